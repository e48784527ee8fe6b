#include "control/replica.h"

#include "base/thriftcodec.h"
#include "control/messages.h"
#include "lease/timing.h"

#include <algorithm>

namespace hawthornpick::control {

auto replica::termAt(std::uint64_t index) const -> std::optional<std::uint64_t>
{
    if (index == m_snapshotIndex) {
        return m_snapshotTerm;
    }
    if (index < m_snapshotIndex || index > lastIndex()) {
        return std::nullopt;
    }
    return entryAt(index).term;
}

auto replica::entryAt(std::uint64_t index) const -> const log_entry &
{
    return m_log[index - m_snapshotIndex - 1];
}

auto replica::append(log_entry entry) -> void
{
    m_unsynced.emplace_back(entry);
    m_logBytes += entry.command.size();
    m_log.push_back(std::move(entry));
    refreshMembers();
}

auto replica::truncateFrom(std::uint64_t index) -> void
{
    while (lastIndex() >= index) {
        m_logBytes -= m_log.back().command.size();
        m_log.pop_back();
    }
    while (!m_memberChanges.empty() && m_memberChanges.back().first >= index) {
        m_memberChanges.pop_back();
    }
    refreshMembers();
}

// A membership is used as soon as it is in the log, committed or not.
auto replica::refreshMembers() -> void
{
    auto known = m_memberChanges.empty() ? m_snapshotIndex : m_memberChanges.back().first;
    if (!m_log.empty()) {
        known = std::max(known, m_scanned);
    }
    for (auto index = known + 1; index <= lastIndex(); ++index) {
        const auto command = base::decodeThrift<wire::command>(entryAt(index).command);
        if (command && command->kind == static_cast<std::int8_t>(command_kind::Members)) {
            m_memberChanges.emplace_back(index, fromWire(command->members));
        }
    }
    m_scanned = lastIndex();
    m_members = m_memberChanges.empty() ? m_snapshotMembers : m_memberChanges.back().second;
}

auto replica::others() const -> std::vector<member>
{
    auto all = m_members.voters;
    all.insert(all.end(), m_members.learners.begin(), m_members.learners.end());
    std::erase(all, ownMember());
    return all;
}

auto replica::sendHeartbeats(base::time_point now) -> void
{
    m_heartbeatIsDue = false;
    m_heartbeatAt = now;
    ++m_round;
    const auto peers = others();
    std::erase_if(m_progress, [&peers](const auto &item) {
        return std::find(peers.begin(), peers.end(), item.first) == peers.end();
    });
    for (const auto &peer : peers) {
        const auto [position, isNew] = m_progress.try_emplace(peer);
        auto &state = position->second;
        if (isNew) {
            state.next = lastIndex() + 1;
            state.heardAt = now;
        }
        // An unanswered message may be lost; its entries go again.
        state.isWaiting = state.isWaiting && now - state.sentAt < RESEND_TIME;
        sendEntries(peer, state, now);
    }
}

auto replica::sendEntries(const member &to, progress &peer, base::time_point now) -> void
{
    const auto previousTerm = termAt(peer.next - 1);
    if (!previousTerm) {
        // While the snapshot is on its way the offer also serves as the heartbeat.
        offerSnapshot(to, peer);
        peer.isWaiting = true;
        peer.sentAt = now;
        return;
    }
    wire::append request;
    request.term = static_cast<std::int64_t>(m_term);
    request.disk = static_cast<std::int64_t>(to.disk);
    request.previous_index = static_cast<std::int64_t>(peer.next - 1);
    request.previous_term = static_cast<std::int64_t>(*previousTerm);
    request.commit = static_cast<std::int64_t>(m_commit);
    request.round = m_round;
    std::size_t bytes = 0;
    const auto last = peer.isWaiting ? 0 : lastIndex();
    for (auto index = peer.next; index <= last && bytes < MAX_APPEND_BYTES; ++index) {
        bytes += entryAt(index).command.size();
        request.entries.push_back(toWire(entryAt(index)));
    }
    if (!request.entries.empty()) {
        peer.isWaiting = true;
        peer.sentAt = now;
    }
    m_out.push_back(toMessage(to.node, message_kind::Append, request));
}

auto replica::offerSnapshot(const member &to, const progress &) -> void
{
    m_exchange.store().put(m_snapshotDigest, m_snapshot);
    wire::snapshot_offer offer;
    offer.term = static_cast<std::int64_t>(m_term);
    offer.disk = static_cast<std::int64_t>(to.disk);
    offer.index = static_cast<std::int64_t>(m_snapshotIndex);
    offer.digest = base::toBytes(m_snapshotDigest);
    offer.round = m_round;
    m_out.push_back(toMessage(to.node, message_kind::SnapshotOffer, offer));
}

auto replica::answerAppend(const base::node_id &to, bool matched, std::uint64_t last,
                           std::int64_t round) -> void
{
    wire::append_answer answer;
    answer.term = static_cast<std::int64_t>(m_term);
    answer.disk = static_cast<std::int64_t>(m_disk);
    answer.matched = matched;
    answer.last = static_cast<std::int64_t>(last);
    answer.round = round;
    m_out.push_back(toMessage(to, message_kind::AppendAnswer, answer));
}

auto replica::onAppend(const base::node_id &from, const wire::append &request, base::time_point now)
        -> void
{
    if (static_cast<std::uint64_t>(request.disk) != m_disk) {
        return;
    }
    if (!followLeader(from, static_cast<std::uint64_t>(request.term), now)) {
        answerAppend(from, false, lastIndex(), request.round);
        return;
    }
    const auto previous = static_cast<std::uint64_t>(request.previous_index);
    const auto previousTerm = static_cast<std::uint64_t>(request.previous_term);
    // Entries up to the snapshot are committed and equal on all replicas.
    const bool matches = previous < m_snapshotIndex || termAt(previous) == previousTerm;
    const bool isBlank = m_role == replica_role::Uninitialised;
    if (isBlank || !matches) {
        const auto hint = previous == 0 ? 0 : std::min(previous - 1, lastIndex());
        answerAppend(from, false, isBlank ? 0 : std::max(hint, m_commit), request.round);
        return;
    }
    const auto last = appendNewEntries(request);
    m_commit = std::max(m_commit, std::min(static_cast<std::uint64_t>(request.commit), last));
    answerAppend(from, true, last, request.round);
}

// Returns the last index that is known to equal the leader's log.
auto replica::appendNewEntries(const wire::append &request) -> std::uint64_t
{
    auto last = std::max(static_cast<std::uint64_t>(request.previous_index), m_snapshotIndex);
    for (const auto &item : request.entries) {
        auto entry = fromWire(item);
        if (entry.index <= m_snapshotIndex) {
            continue;
        }
        last = entry.index;
        const auto term = termAt(entry.index);
        if (term == entry.term) {
            continue;
        }
        if (term) {
            truncateFrom(entry.index);
        }
        append(std::move(entry));
    }
    return last;
}

auto replica::onAppendAnswer(const base::node_id &from, const wire::append_answer &answer,
                             base::time_point now) -> void
{
    const auto term = static_cast<std::uint64_t>(answer.term);
    if (term > m_term) {
        becomeFollower(term, now);
        return;
    }
    const auto found = m_progress.find({from, static_cast<std::uint64_t>(answer.disk)});
    if (m_role != replica_role::Leader || term != m_term || found == m_progress.end()) {
        return;
    }
    auto &peer = found->second;
    peer.heardAt = now;
    peer.confirmedRound = std::max(peer.confirmedRound, answer.round);
    const auto last = std::min(static_cast<std::uint64_t>(answer.last), lastIndex());
    if (answer.matched) {
        peer.isWaiting = peer.isWaiting && last <= peer.match;
        peer.match = std::max(peer.match, last);
        peer.next = std::max(peer.next, peer.match + 1);
    } else if (last + 1 < peer.next) {
        peer.next = std::max(last, peer.match) + 1;
        peer.isWaiting = false;
        sendEntries(found->first, peer, now);
    }
}

auto replica::advanceCommit() -> void
{
    std::vector<std::uint64_t> matches;
    for (const auto &voter : m_members.voters) {
        const auto peer = m_progress.find(voter);
        const auto match = peer == m_progress.end() ? 0 : peer->second.match;
        matches.push_back(voter == ownMember() ? lastIndex() : match);
    }
    std::sort(matches.begin(), matches.end(), std::greater<>());
    const auto index = matches[lease::majorityOf(matches.size()) - 1];
    // Entries of earlier terms count only through a later one of the own term.
    if (index > m_commit && termAt(index) == m_term) {
        m_commit = index;
    }
}

auto replica::advanceReplacement() -> void
{
    const bool isSettled = m_memberChanges.empty() || m_memberChanges.back().first <= m_commit;
    if (!isReady() || !isSettled || m_members.replacements.empty()) {
        return;
    }
    const auto change = m_members.replacements.front();
    auto next = m_members;
    wire::command command;
    command.kind = static_cast<std::int8_t>(command_kind::Members);
    if (m_members.isLearner(change.newMember)) {
        const auto peer = m_progress.find(change.newMember);
        if (peer == m_progress.end() || peer->second.match == 0 || peer->second.match < m_commit) {
            return;
        }
        std::erase(next.learners, change.newMember);
        next.voters.push_back(change.newMember);
    } else {
        std::erase(next.voters, change.oldMember);
        next.replacements.erase(next.replacements.begin());
        command.change_id = change.changeId;
    }
    command.members = toWire(next);
    propose(command);
}

auto replica::applyCommitted() -> void
{
    while (m_applied < m_commit) {
        ++m_applied;
        if (const auto command = base::decodeThrift<wire::command>(entryAt(m_applied).command)) {
            m_state.apply(*command);
        }
    }
    const auto applied = m_applied - m_snapshotIndex;
    if (applied >= m_options.compactAfterEntries
        || (applied > 0 && m_logBytes >= m_options.compactAfterBytes)) {
        compact();
    }
}

auto replica::compact() -> void
{
    wire::snapshot fresh;
    fresh.index = static_cast<std::int64_t>(m_applied);
    fresh.term = static_cast<std::int64_t>(*termAt(m_applied));
    auto members = m_snapshotMembers;
    for (const auto &[index, item] : m_memberChanges) {
        members = index <= m_applied ? item : members;
    }
    fresh.members = toWire(members);
    fresh.state_bytes = m_state.encode();
    const auto bytes = base::encodeThrift(fresh);
    const auto kept = static_cast<std::ptrdiff_t>(m_applied - m_snapshotIndex);
    store({m_disk, m_term, m_votedFor, bytes, {m_log.begin() + kept, m_log.end()}});
    if (m_role != replica_role::Failed) {
        loadSnapshot(bytes);
    }
}

// Makes `bytes` the start of the log; keeps the entries after it if they continue it.
auto replica::loadSnapshot(const std::string &bytes) -> bool
{
    const auto fresh = base::decodeThrift<wire::snapshot>(bytes);
    auto state = fresh ? acceptance_state::decode(fresh->state_bytes) : std::nullopt;
    if (!state) {
        return false;
    }
    const auto index = static_cast<std::uint64_t>(fresh->index);
    const auto term = static_cast<std::uint64_t>(fresh->term);
    const bool continues = termAt(index) == term;
    while (!m_log.empty() && (!continues || m_log.front().index <= index)) {
        m_logBytes -= m_log.front().command.size();
        m_log.pop_front();
    }
    std::erase_if(m_memberChanges,
                  [&](const auto &item) { return !continues || item.first <= index; });
    m_snapshotIndex = index;
    m_snapshotTerm = term;
    m_snapshotMembers = fromWire(fresh->members);
    m_snapshot = std::make_shared<const std::string>(bytes);
    m_snapshotDigest = base::sha256(bytes);
    m_state = std::move(*state);
    m_applied = index;
    m_commit = std::max(m_commit, index);
    refreshMembers();
    return true;
}

auto replica::onSnapshotOffer(const base::node_id &from, const wire::snapshot_offer &offer,
                              base::time_point now) -> void
{
    if (static_cast<std::uint64_t>(offer.disk) != m_disk) {
        return;
    }
    if (!followLeader(from, static_cast<std::uint64_t>(offer.term), now)) {
        answerAppend(from, false, lastIndex(), offer.round);
        return;
    }
    if (static_cast<std::uint64_t>(offer.index) <= m_commit) {
        answerAppend(from, true, m_commit, offer.round);
        return;
    }
    // The answer tells the leader that this replica hears it, not that it has the snapshot.
    answerAppend(from, true, 0, offer.round);
    const auto digest = base::digestFromBytes(offer.digest);
    if (!digest) {
        return;
    }
    m_offer = offer;
    const auto requests = m_exchange.want(*digest, {from}, now);
    m_out.insert(m_out.end(), requests.begin(), requests.end());
}

auto replica::installOffered(base::time_point) -> void
{
    const auto bytes =
            m_offer ? m_exchange.store().find(*base::digestFromBytes(m_offer->digest)) : nullptr;
    if (!bytes || m_role == replica_role::Failed) {
        return;
    }
    const auto offer = *std::exchange(m_offer, std::nullopt);
    const auto fresh = base::decodeThrift<wire::snapshot>(*bytes);
    const bool isNeeded = fresh && static_cast<std::uint64_t>(fresh->index) > m_commit;
    if (!isNeeded || !acceptance_state::decode(fresh->state_bytes)) {
        return;
    }
    const auto index = static_cast<std::uint64_t>(fresh->index);
    std::vector<log_entry> kept;
    if (termAt(index) == static_cast<std::uint64_t>(fresh->term)) {
        const auto skip = static_cast<std::ptrdiff_t>(index - m_snapshotIndex);
        kept.assign(m_log.begin() + skip, m_log.end());
    }
    store({m_disk, m_term, m_votedFor, *bytes, kept});
    if (m_role == replica_role::Failed) {
        return;
    }
    loadSnapshot(*bytes);
    if (m_role == replica_role::Uninitialised) {
        m_role = replica_role::Follower;
    }
    if (static_cast<std::uint64_t>(offer.term) == m_term && !m_leader.empty()) {
        answerAppend(m_leader, true, index, offer.round);
    }
}

} // namespace hawthornpick::control
