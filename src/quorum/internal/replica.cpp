#include "quorum/replica.h"

#include <algorithm>

namespace hawthornpick::quorum {

namespace {

constexpr const char *NOT_LEADER = "this node is not a ready leader of the quorum group";

auto initialValue(const std::vector<base::node_id> &nodes) -> value_pointer
{
    group_value value;
    for (const auto &node : nodes) {
        value.voters.push_back({node, 0});
    }
    std::sort(value.voters.begin(), value.voters.end());
    return std::make_shared<const group_value>(std::move(value));
}

} // namespace

replica::replica(replica_options options, durable_state loaded, edit_function edit,
                 base::random_source random, base::time_point now)
    : m_options(std::move(options)), m_edit(std::move(edit)), m_random(random),
      m_state(std::move(loaded)), m_leaderLastHeardAt(now), m_startedAt(now),
      m_nextJoinRequestAt(now)
{
    const auto &initialMembers = m_options.firstMembers;
    const bool isDiskEmpty = !m_state.value && m_state.diskId == 0;
    const bool isInitialMember =
            std::find(initialMembers.begin(), initialMembers.end(), m_options.self)
            != initialMembers.end();
    if (isDiskEmpty && isInitialMember) {
        m_state.value = initialValue(initialMembers);
        markStateChanged(true);
    } else if (isDiskEmpty) {
        m_state.diskId = m_random.bits() | 1U;
        markStateChanged(false);
    } else if (m_state.value) {
        m_durablePosition = m_state.value->position;
    }
    resetElectionTimer(now);
}

auto replica::receive(const base::node_id & /*from*/, const message &content, base::time_point now)
        -> void
{
    // Operator requests and answers have no handler here: `quorum_node` handles them.
    const auto dispatch = [this, now](const auto &item) {
        if constexpr (requires { handle(item, now); }) {
            handle(item, now);
        }
    };
    std::visit(dispatch, content);
    proposeNextValue(now);
}

auto replica::tick(base::time_point now) -> void
{
    if (m_role == replica_role::Leader) {
        stepDownWithoutMajority(now);
    }
    if (m_role == replica_role::Leader) {
        removeSilentLearners(now);
        proposeNextValue(now);
        sendAppends(now, now >= m_nextHeartbeatAt);
        return;
    }
    if (now >= m_electionDeadline && isVoter()) {
        startElection(now, true);
    }
    sendJoinRequests(now);
}

auto replica::submit(config_change change, base::time_point now) -> std::uint64_t
{
    return enqueue(std::move(change), now);
}

auto replica::submitOrder(evacuation_order order, base::time_point now) -> std::uint64_t
{
    return enqueue(std::move(order), now);
}

auto replica::enqueue(std::variant<config_change, evacuation_order> request, base::time_point now)
        -> std::uint64_t
{
    const auto requestId = ++m_lastRequestId;
    if (!isReadyLeader()) {
        completeRequest(requestId, group_unavailable{NOT_LEADER});
        return requestId;
    }
    m_queuedChanges.push_back({requestId, std::move(request)});
    proposeNextValue(now);
    return requestId;
}

auto replica::read(base::time_point now) -> std::uint64_t
{
    return startRead(
            [](const group_value &committed) -> group_answer {
                return current_document{committed.version, committed.content};
            },
            now);
}

auto replica::readEvacuations(base::time_point now) -> std::uint64_t
{
    return startRead(
            [](const group_value &committed) -> group_answer {
                return current_evacuations{committed.evacuations};
            },
            now);
}

auto replica::startRead(group_answer (*readAnswer)(const group_value &committed),
                        base::time_point now) -> std::uint64_t
{
    const auto requestId = ++m_lastRequestId;
    if (!isReadyLeader()) {
        completeRequest(requestId, group_unavailable{NOT_LEADER});
        return requestId;
    }
    m_pendingConfirmations.push_back({requestId, ++m_confirmationRound, readAnswer});
    sendAppends(now, true);
    completeConfirmedRequests();
    return requestId;
}

auto replica::onStatePersisted(std::uint64_t revision, base::time_point now) -> void
{
    m_isWriteInFlight = false;
    m_durableRevision = revision;
    m_durablePosition = std::max(m_durablePosition, m_inFlightWritePosition);
    for (auto &item : m_deferredMessages) {
        if (item.requiredRevision <= revision) {
            m_outgoing.push_back(std::move(item.message));
        }
    }
    std::erase_if(m_deferredMessages, [revision](const deferred_message &item) {
        return item.requiredRevision <= revision;
    });
    if (m_role == replica_role::Candidate) {
        countVotes(now);
    }
    if (m_role == replica_role::Leader) {
        advanceCommit(now);
        proposeNextValue(now);
    }
}

auto replica::takeStorageJob() -> std::optional<storage_job>
{
    if (m_isWriteInFlight || m_durableRevision == m_stateRevision) {
        return std::nullopt;
    }
    m_isWriteInFlight = true;
    m_inFlightWritePosition = newestPosition();
    return storage_job{m_stateRevision, m_state, std::exchange(m_hasUnwrittenValue, false)};
}

auto replica::isFresh(base::time_point now, base::duration maxAge) const -> bool
{
    if (m_role == replica_role::Leader) {
        return isReadyLeader();
    }
    return m_lastConfirmedCurrentAt && now - *m_lastConfirmedCurrentAt <= maxAge;
}

auto replica::isReadyLeader() const -> bool
{
    return m_role == replica_role::Leader && m_committed
           && m_committed->position.term == m_state.term;
}

auto replica::isNewestValueCommitted() const -> bool
{
    return m_committed && m_committed->position == newestPosition();
}

auto replica::isVoter() const -> bool
{
    return m_state.value && m_state.value->isVoter(self());
}

auto replica::newestPosition() const -> value_position
{
    return m_state.value ? m_state.value->position : value_position{};
}

auto replica::isMajority(std::size_t count) const -> bool
{
    return m_state.value && count > m_state.value->voters.size() / 2;
}

auto replica::markStateChanged(bool hasNewValue) -> void
{
    ++m_stateRevision;
    m_hasUnwrittenValue = m_hasUnwrittenValue || hasNewValue;
}

auto replica::send(const base::node_id &to, const message &content) -> void
{
    m_outgoing.push_back({to, base::channel::Quorum, encodeMessage(content)});
}

auto replica::sendWhenDurable(const base::node_id &to, const message &content) -> void
{
    if (m_durableRevision == m_stateRevision) {
        send(to, content);
        return;
    }
    m_deferredMessages.push_back(
            {m_stateRevision, {to, base::channel::Quorum, encodeMessage(content)}});
}

auto replica::handle(const append_request &request, base::time_point now) -> void
{
    if (request.term < m_state.term) {
        send(request.leader.node, append_answer{m_state.term, self(), 0, m_durablePosition});
        return;
    }
    if (request.term > m_state.term || m_role != replica_role::Follower) {
        becomeFollower(request.term, now);
    }
    m_leader = request.leader.node;
    m_leaderLastHeardAt = now;
    m_hasHeardLeader = true;
    resetElectionTimer(now);
    if (request.value && request.value->position > newestPosition()) {
        m_state.value = request.value;
        markStateChanged(true);
    }
    if (m_state.value && m_state.value->position == request.committedPosition) {
        commitValue(m_state.value);
    }
    if (m_committed && m_committed->position == request.committedPosition) {
        m_lastConfirmedCurrentAt = now;
    }
    const append_answer acknowledgement{m_state.term, self(), request.round, newestPosition()};
    // The answer to a heartbeat does not wait for the disk, which may be slow; it reports the value
    // that is already durable.
    if (request.value) {
        sendWhenDurable(request.leader.node, acknowledgement);
    } else {
        send(request.leader.node,
             append_answer{m_state.term, self(), request.round, m_durablePosition});
    }
}

auto replica::handle(const append_answer &answer, base::time_point now) -> void
{
    if (answer.term > m_state.term) {
        becomeFollower(answer.term, now);
        return;
    }
    const auto found = m_progress.find(answer.voter);
    if (m_role != replica_role::Leader || answer.term < m_state.term || found == m_progress.end()) {
        return;
    }
    auto &progress = found->second;
    progress.lastHeardAt = now;
    progress.durablePosition = std::max(progress.durablePosition, answer.durablePosition);
    progress.confirmedRound = std::max(progress.confirmedRound, answer.round);
    advanceCommit(now);
    completeConfirmedRequests();
}

auto replica::sendAppends(base::time_point now, bool isHeartbeat) -> void
{
    if (isHeartbeat) {
        m_nextHeartbeatAt = now + HEARTBEAT_INTERVAL;
    }
    for (auto &[to, progress] : m_progress) {
        const bool lacksValue = progress.durablePosition < newestPosition();
        const bool isDue = progress.sentPosition < newestPosition()
                           || now - progress.valueSentAt >= VALUE_RESEND_INTERVAL;
        if (isHeartbeat || (lacksValue && isDue)) {
            sendAppend(to, progress, now);
        }
    }
}

auto replica::sendAppend(const member &to, peer_progress &progress, base::time_point now) -> void
{
    const auto committed = m_committed ? m_committed->position : value_position{};
    append_request request{m_state.term, self(), m_confirmationRound, committed, nullptr};
    const bool isDue = progress.sentPosition < newestPosition()
                       || now - progress.valueSentAt >= VALUE_RESEND_INTERVAL;
    if (progress.durablePosition < newestPosition() && isDue) {
        request.value = m_state.value;
        progress.sentPosition = newestPosition();
        progress.valueSentAt = now;
    }
    send(to.node, request);
}

auto replica::advanceCommit(base::time_point now) -> void
{
    const auto target = newestPosition();
    // Only a value of the leader's own term is committed by counting durable copies: a later leader
    // may still replace a value of an earlier term that a majority holds.
    if (isNewestValueCommitted() || target.term != m_state.term) {
        return;
    }
    std::size_t durableCopies = 0;
    for (const auto &voter : m_state.value->voters) {
        if (voter == self()) {
            durableCopies += m_durablePosition >= target ? 1 : 0;
            continue;
        }
        const auto peer = m_progress.find(voter);
        durableCopies += peer != m_progress.end() && peer->second.durablePosition >= target ? 1 : 0;
    }
    if (!isMajority(durableCopies)) {
        return;
    }
    commitValue(m_state.value);
    for (auto &item : std::exchange(m_answersAwaitingCommit, {})) {
        m_completedRequests.push_back(std::move(item));
    }
    sendAppends(now, true);
}

auto replica::commitValue(const value_pointer &value) -> void
{
    if (!m_committed || m_committed->position < value->position) {
        m_committed = value;
    }
}

// An answer is confirmed when a majority of the voters has answered a confirmation round that began
// after the request.
auto replica::completeConfirmedRequests() -> void
{
    if (m_pendingConfirmations.empty() || !isReadyLeader()) {
        return;
    }
    std::vector<std::int64_t> confirmedRounds;
    for (const auto &voter : m_state.value->voters) {
        const auto peer = m_progress.find(voter);
        const bool isSelf = voter == self();
        confirmedRounds.push_back(isSelf                     ? m_confirmationRound
                                  : peer == m_progress.end() ? 0
                                                             : peer->second.confirmedRound);
    }
    std::sort(confirmedRounds.begin(), confirmedRounds.end(), std::greater<>());
    const auto majorityRound = confirmedRounds.at(confirmedRounds.size() / 2);
    for (auto &item : m_pendingConfirmations) {
        if (item.requiredRound <= majorityRound) {
            completeRequest(item.requestId,
                            item.answer ? std::move(*item.answer) : item.readAnswer(*m_committed));
        }
    }
    std::erase_if(m_pendingConfirmations, [majorityRound](const pending_confirmation &item) {
        return item.requiredRound <= majorityRound;
    });
}

// At most one value is uncommitted at a time. Changes that arrive meanwhile are combined into the
// next value.
auto replica::proposeNextValue(base::time_point now) -> void
{
    if (m_role != replica_role::Leader) {
        return;
    }
    if (newestPosition().term != m_state.term) {
        proposeValue(*m_state.value, now);
        return;
    }
    if (!isNewestValueCommitted()) {
        return;
    }
    auto next = *m_state.value;
    bool hasChanges = applyQueuedChanges(next, now);
    if (const auto voters = nextVoters(now)) {
        next.voters = *voters;
        hasChanges = true;
    }
    if (hasChanges) {
        proposeValue(std::move(next), now);
    }
}

auto replica::applyQueuedChanges(group_value &next, base::time_point now) -> bool
{
    bool hasChanges = false;
    bool needsConfirmation = false;
    for (auto &item : std::exchange(m_queuedChanges, {})) {
        const auto previous = std::pair(next.version, next.evacuations.revision);
        auto answer = std::visit([&](const auto &request) { return applyRequest(request, next); },
                                 item.request);
        hasChanges = hasChanges || std::pair(next.version, next.evacuations.revision) != previous;
        if (hasChanges) {
            // This answer depends on the new value, so it waits for that value's commit.
            m_answersAwaitingCommit.push_back({item.requestId, std::move(answer)});
            continue;
        }
        // This answer changes nothing, but a majority must still confirm the leader: one that was
        // replaced without noticing must neither refuse a change nor report it as accepted.
        m_pendingConfirmations.push_back(
                {item.requestId, m_confirmationRound + 1, nullptr, std::move(answer)});
        needsConfirmation = true;
    }
    if (needsConfirmation) {
        ++m_confirmationRound;
        sendAppends(now, true);
        completeConfirmedRequests();
    }
    return hasChanges;
}

auto replica::applyRequest(const config_change &change, group_value &next) -> group_answer
{
    if (next.hasAcceptedChange(change.digest)) {
        return change_accepted{change.version};
    }
    if (change.baseVersion && *change.baseVersion != next.version) {
        return change_conflict{next.version};
    }
    if (change.version <= next.version) {
        return change_invalid{"version " + std::to_string(change.version)
                              + " is not greater than the current version "
                              + std::to_string(next.version)};
    }
    auto content = m_edit(next.version, next.content, change);
    if (!content) {
        return change_invalid{std::move(content.error())};
    }
    next.version = change.version;
    next.content = std::move(*content);
    next.changes.push_back({change.version, change.digest});
    if (next.changes.size() > MAX_RETAINED_CHANGES) {
        next.changes.erase(next.changes.begin());
    }
    return change_accepted{change.version};
}

// An order whose effect is already in force is written all the same: its revision makes the copies
// of earlier orders outdated, which could undo it otherwise.
auto replica::applyRequest(const evacuation_order &order, group_value &next) -> group_answer
{
    if (next.hasAcceptedOrder(order.id)) {
        return order_accepted{};
    }
    auto &list = next.evacuations;
    if (order.baseRevision != list.revision) {
        return order_outdated{};
    }
    ++list.revision;
    next.evacuationOrders.push_back(order.id);
    if (next.evacuationOrders.size() > MAX_RETAINED_ORDERS) {
        next.evacuationOrders.erase(next.evacuationOrders.begin());
    }
    if (!order.starts) {
        std::erase_if(list.items, [&](const base::evacuation &item) {
            return item.failureDomain == order.failureDomain;
        });
    } else if (!list.contains(order.failureDomain)) {
        const base::evacuation added{order.failureDomain, order.since};
        list.items.insert(std::lower_bound(list.items.begin(), list.items.end(), added), added);
    }
    return order_accepted{};
}

auto replica::proposeValue(group_value next, base::time_point now) -> void
{
    next.position = {m_state.term, newestPosition().index + 1};
    for (const auto &voter : next.voters) {
        if (voter != self()) {
            m_progress.try_emplace(voter, peer_progress{{}, {}, {}, now, 0});
        }
    }
    std::erase_if(m_progress, [&](const auto &item) {
        return !next.isVoter(item.first) && !m_learners.contains(item.first);
    });
    m_state.value = std::make_shared<const group_value>(std::move(next));
    markStateChanged(true);
    sendAppends(now, false);
}

auto replica::failRequests(const std::string &reason) -> void
{
    for (const auto &item : std::exchange(m_queuedChanges, {})) {
        completeRequest(item.requestId, group_unavailable{reason});
    }
    for (const auto &item : std::exchange(m_answersAwaitingCommit, {})) {
        completeRequest(item.requestId, group_unavailable{reason});
    }
    for (const auto &item : std::exchange(m_pendingConfirmations, {})) {
        completeRequest(item.requestId, group_unavailable{reason});
    }
}

auto replica::completeRequest(std::uint64_t requestId, group_answer answer) -> void
{
    m_completedRequests.push_back({requestId, std::move(answer)});
}

} // namespace hawthornpick::quorum
