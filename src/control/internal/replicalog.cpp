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
    return m_logEntries[index - m_snapshotIndex - 1];
}

auto replica::append(log_entry entry) -> void
{
    m_unsyncedItems.emplace_back(entry);
    m_logBytes += entry.command.size();
    m_logEntries.push_back(std::move(entry));
    refreshMembership();
}

auto replica::truncateFrom(std::uint64_t index) -> void
{
    while (lastIndex() >= index) {
        m_logBytes -= m_logEntries.back().command.size();
        m_logEntries.pop_back();
    }
    while (!m_membershipChanges.empty() && m_membershipChanges.back().first >= index) {
        m_membershipChanges.pop_back();
    }
    refreshMembership();
}

// A replica uses the newest membership in its log, whether or not that entry is committed.
auto replica::refreshMembership() -> void
{
    auto scannedIndex =
            m_membershipChanges.empty() ? m_snapshotIndex : m_membershipChanges.back().first;
    if (!m_logEntries.empty()) {
        scannedIndex = std::max(scannedIndex, m_scannedIndex);
    }
    for (auto index = scannedIndex + 1; index <= lastIndex(); ++index) {
        const auto command = base::decodeThrift<wire::command>(entryAt(index).command);
        if (command && command->kind == static_cast<std::int8_t>(command_kind::Members)) {
            m_membershipChanges.emplace_back(index, fromWire(command->members));
        }
    }
    m_scannedIndex = lastIndex();
    m_membership =
            m_membershipChanges.empty() ? m_snapshotMembership : m_membershipChanges.back().second;
}

auto replica::otherMembers() const -> std::vector<member>
{
    auto members = m_membership.voters;
    members.insert(members.end(), m_membership.learners.begin(), m_membership.learners.end());
    std::erase(members, ownMember());
    return members;
}

auto replica::sendHeartbeats(base::time_point now) -> void
{
    m_isHeartbeatDue = false;
    m_lastHeartbeatAt = now;
    ++m_heartbeatRound;
    const auto peers = otherMembers();
    std::erase_if(m_memberProgress, [&peers](const auto &item) {
        return std::find(peers.begin(), peers.end(), item.first) == peers.end();
    });
    for (const auto &peer : peers) {
        const auto [position, isNew] = m_memberProgress.try_emplace(peer);
        auto &progress = position->second;
        if (isNew) {
            progress.nextIndex = lastIndex() + 1;
            progress.lastContactAt = now;
        }
        // An unanswered message may have been lost; its entries are sent again.
        progress.isAwaitingAnswer =
                progress.isAwaitingAnswer && now - progress.sentAt < RESEND_TIMEOUT;
        sendEntries(peer, progress, now);
    }
}

auto replica::sendEntries(const member &to, member_progress &peer, base::time_point now) -> void
{
    const auto previousTerm = termAt(peer.nextIndex - 1);
    if (!previousTerm) {
        // The entries before nextIndex are compacted, so the member needs the snapshot. Until it
        // has installed that, the offer also serves as the heartbeat.
        offerSnapshot(to, peer);
        peer.isAwaitingAnswer = true;
        peer.sentAt = now;
        return;
    }
    wire::append request;
    request.term = static_cast<std::int64_t>(m_term);
    request.disk = static_cast<std::int64_t>(to.diskId);
    request.previous_index = static_cast<std::int64_t>(peer.nextIndex - 1);
    request.previous_term = static_cast<std::int64_t>(*previousTerm);
    request.commit = static_cast<std::int64_t>(m_commitIndex);
    request.round = m_heartbeatRound;
    std::size_t messageBytes = 0;
    const auto lastToSend = peer.isAwaitingAnswer ? 0 : lastIndex();
    for (auto index = peer.nextIndex; index <= lastToSend && messageBytes < MAX_APPEND_BYTES;
         ++index) {
        messageBytes += entryAt(index).command.size();
        request.entries.push_back(toWire(entryAt(index)));
    }
    if (!request.entries.empty()) {
        peer.isAwaitingAnswer = true;
        peer.sentAt = now;
    }
    m_outgoing.push_back(toMessage(to.node, message_kind::Append, request));
}

auto replica::offerSnapshot(const member &to, const member_progress &) -> void
{
    m_exchange.store().put(m_snapshotDigest, m_snapshotBytes);
    wire::snapshot_offer offer;
    offer.term = static_cast<std::int64_t>(m_term);
    offer.disk = static_cast<std::int64_t>(to.diskId);
    offer.index = static_cast<std::int64_t>(m_snapshotIndex);
    offer.digest = base::toBytes(m_snapshotDigest);
    offer.round = m_heartbeatRound;
    m_outgoing.push_back(toMessage(to.node, message_kind::SnapshotOffer, offer));
}

auto replica::sendAppendAnswer(const base::node_id &to, bool matched, std::uint64_t reportedIndex,
                               std::int64_t round) -> void
{
    wire::append_answer answer;
    answer.term = static_cast<std::int64_t>(m_term);
    answer.disk = static_cast<std::int64_t>(m_diskId);
    answer.matched = matched;
    answer.last = static_cast<std::int64_t>(reportedIndex);
    answer.round = round;
    m_outgoing.push_back(toMessage(to, message_kind::AppendAnswer, answer));
}

auto replica::onAppendRequest(const base::node_id &from, const wire::append &request,
                              base::time_point now) -> void
{
    if (static_cast<std::uint64_t>(request.disk) != m_diskId) {
        return;
    }
    if (!followLeader(from, static_cast<std::uint64_t>(request.term), now)) {
        sendAppendAnswer(from, false, lastIndex(), request.round);
        return;
    }
    const auto previousIndex = static_cast<std::uint64_t>(request.previous_index);
    const auto previousTerm = static_cast<std::uint64_t>(request.previous_term);
    // Entries covered by the snapshot are committed, so they are the same on all replicas.
    const bool matches = previousIndex < m_snapshotIndex || termAt(previousIndex) == previousTerm;
    const bool isUninitialised = m_role == replica_role::Uninitialised;
    if (isUninitialised || !matches) {
        const auto lastIndexHint =
                previousIndex == 0 ? 0 : std::min(previousIndex - 1, lastIndex());
        sendAppendAnswer(from, false, isUninitialised ? 0 : std::max(lastIndexHint, m_commitIndex),
                         request.round);
        return;
    }
    const auto lastMatchingIndex = appendNewEntries(request);
    m_commitIndex = std::max(
            m_commitIndex, std::min(static_cast<std::uint64_t>(request.commit), lastMatchingIndex));
    sendAppendAnswer(from, true, lastMatchingIndex, request.round);
}

// Appends the entries of `request` that the log lacks and replaces conflicting ones. Returns the
// last index up to which the log is known to equal the leader's.
auto replica::appendNewEntries(const wire::append &request) -> std::uint64_t
{
    auto lastMatchingIndex =
            std::max(static_cast<std::uint64_t>(request.previous_index), m_snapshotIndex);
    for (const auto &item : request.entries) {
        auto entry = fromWire(item);
        if (entry.index <= m_snapshotIndex) {
            continue;
        }
        lastMatchingIndex = entry.index;
        const auto term = termAt(entry.index);
        if (term == entry.term) {
            continue;
        }
        if (term) {
            truncateFrom(entry.index);
        }
        append(std::move(entry));
    }
    return lastMatchingIndex;
}

auto replica::onAppendAnswer(const base::node_id &from, const wire::append_answer &answer,
                             base::time_point now) -> void
{
    const auto term = static_cast<std::uint64_t>(answer.term);
    if (term > m_term) {
        becomeFollower(term, now);
        return;
    }
    const auto found = m_memberProgress.find({from, static_cast<std::uint64_t>(answer.disk)});
    if (m_role != replica_role::Leader || term != m_term || found == m_memberProgress.end()) {
        return;
    }
    auto &peer = found->second;
    peer.lastContactAt = now;
    peer.confirmedRound = std::max(peer.confirmedRound, answer.round);
    const auto reportedIndex = std::min(static_cast<std::uint64_t>(answer.last), lastIndex());
    if (answer.matched) {
        peer.isAwaitingAnswer = peer.isAwaitingAnswer && reportedIndex <= peer.matchIndex;
        peer.matchIndex = std::max(peer.matchIndex, reportedIndex);
        peer.nextIndex = std::max(peer.nextIndex, peer.matchIndex + 1);
    } else if (reportedIndex + 1 < peer.nextIndex) {
        peer.nextIndex = std::max(reportedIndex, peer.matchIndex) + 1;
        peer.isAwaitingAnswer = false;
        sendEntries(found->first, peer, now);
    }
}

auto replica::advanceCommit() -> void
{
    std::vector<std::uint64_t> matchIndices;
    for (const auto &voter : m_membership.voters) {
        const auto peer = m_memberProgress.find(voter);
        const auto matchIndex = peer == m_memberProgress.end() ? 0 : peer->second.matchIndex;
        matchIndices.push_back(voter == ownMember() ? lastIndex() : matchIndex);
    }
    std::sort(matchIndices.begin(), matchIndices.end(), std::greater<>());
    const auto majorityIndex = matchIndices[lease::majorityOf(matchIndices.size()) - 1];
    // An entry of an earlier term could still be replaced although a majority has it. It commits
    // only together with a later entry of the current term.
    if (majorityIndex > m_commitIndex && termAt(majorityIndex) == m_term) {
        m_commitIndex = majorityIndex;
    }
}

auto replica::advanceReplacement() -> void
{
    const bool isMembershipCommitted =
            m_membershipChanges.empty() || m_membershipChanges.back().first <= m_commitIndex;
    if (!isReady() || !isMembershipCommitted || m_membership.replacements.empty()) {
        return;
    }
    const auto replacement = m_membership.replacements.front();
    auto newMembership = m_membership;
    wire::command command;
    command.kind = static_cast<std::int8_t>(command_kind::Members);
    if (m_membership.isLearner(replacement.newMember)) {
        const auto peer = m_memberProgress.find(replacement.newMember);
        if (peer == m_memberProgress.end() || peer->second.matchIndex == 0
            || peer->second.matchIndex < m_commitIndex) {
            return;
        }
        std::erase(newMembership.learners, replacement.newMember);
        newMembership.voters.push_back(replacement.newMember);
    } else {
        std::erase(newMembership.voters, replacement.oldMember);
        newMembership.replacements.erase(newMembership.replacements.begin());
        command.change_id = replacement.changeId;
    }
    command.members = toWire(newMembership);
    propose(command);
}

auto replica::applyCommitted() -> void
{
    while (m_appliedIndex < m_commitIndex) {
        ++m_appliedIndex;
        if (const auto command =
                    base::decodeThrift<wire::command>(entryAt(m_appliedIndex).command)) {
            m_state.apply(*command);
        }
    }
    const auto appliedEntries = m_appliedIndex - m_snapshotIndex;
    if (appliedEntries >= m_options.compactAfterEntries
        || (appliedEntries > 0 && m_logBytes >= m_options.compactAfterBytes)) {
        compact();
    }
}

auto replica::compact() -> void
{
    wire::snapshot newSnapshot;
    newSnapshot.index = static_cast<std::int64_t>(m_appliedIndex);
    newSnapshot.term = static_cast<std::int64_t>(*termAt(m_appliedIndex));
    auto appliedMembership = m_snapshotMembership;
    for (const auto &[index, changed] : m_membershipChanges) {
        appliedMembership = index <= m_appliedIndex ? changed : appliedMembership;
    }
    newSnapshot.members = toWire(appliedMembership);
    newSnapshot.state_bytes = m_state.encode();
    const auto bytes = base::encodeThrift(newSnapshot);
    const auto appliedCount = static_cast<std::ptrdiff_t>(m_appliedIndex - m_snapshotIndex);
    replaceStorage({m_diskId,
                    m_term,
                    m_votedFor,
                    bytes,
                    {m_logEntries.begin() + appliedCount, m_logEntries.end()}});
    if (m_role != replica_role::Failed) {
        loadSnapshot(bytes);
    }
}

// Replaces the beginning of the log by the snapshot in `snapshotBytes`. Keeps the entries after it
// if the log has the entry at the snapshot's index and term, and drops all entries otherwise.
// Returns false if the snapshot cannot be decoded.
auto replica::loadSnapshot(const std::string &snapshotBytes) -> bool
{
    const auto decoded = base::decodeThrift<wire::snapshot>(snapshotBytes);
    auto state = decoded ? acceptance_state::decode(decoded->state_bytes) : std::nullopt;
    if (!state) {
        return false;
    }
    const auto index = static_cast<std::uint64_t>(decoded->index);
    const auto term = static_cast<std::uint64_t>(decoded->term);
    const bool continuesLog = termAt(index) == term;
    while (!m_logEntries.empty() && (!continuesLog || m_logEntries.front().index <= index)) {
        m_logBytes -= m_logEntries.front().command.size();
        m_logEntries.pop_front();
    }
    std::erase_if(m_membershipChanges,
                  [&](const auto &item) { return !continuesLog || item.first <= index; });
    m_snapshotIndex = index;
    m_snapshotTerm = term;
    m_snapshotMembership = fromWire(decoded->members);
    m_snapshotBytes = std::make_shared<const std::string>(snapshotBytes);
    m_snapshotDigest = base::sha256(snapshotBytes);
    m_state = std::move(*state);
    m_appliedIndex = index;
    m_commitIndex = std::max(m_commitIndex, index);
    refreshMembership();
    return true;
}

auto replica::onSnapshotOffer(const base::node_id &from, const wire::snapshot_offer &offer,
                              base::time_point now) -> void
{
    if (static_cast<std::uint64_t>(offer.disk) != m_diskId) {
        return;
    }
    if (!followLeader(from, static_cast<std::uint64_t>(offer.term), now)) {
        sendAppendAnswer(from, false, lastIndex(), offer.round);
        return;
    }
    if (static_cast<std::uint64_t>(offer.index) <= m_commitIndex) {
        sendAppendAnswer(from, true, m_commitIndex, offer.round);
        return;
    }
    // Confirms the contact with the leader; index 0 says that the snapshot is not installed yet.
    sendAppendAnswer(from, true, 0, offer.round);
    const auto digest = base::digestFromBytes(offer.digest);
    if (!digest) {
        return;
    }
    m_pendingSnapshotOffer = offer;
    const auto fetchRequests = m_exchange.want(*digest, {from}, now);
    m_outgoing.insert(m_outgoing.end(), fetchRequests.begin(), fetchRequests.end());
}

auto replica::installOfferedSnapshot(base::time_point) -> void
{
    const auto bytes = m_pendingSnapshotOffer ? m_exchange.store().find(
                               *base::digestFromBytes(m_pendingSnapshotOffer->digest))
                                              : nullptr;
    if (!bytes || m_role == replica_role::Failed) {
        return;
    }
    const auto offer = *std::exchange(m_pendingSnapshotOffer, std::nullopt);
    const auto decoded = base::decodeThrift<wire::snapshot>(*bytes);
    const bool isNeeded = decoded && static_cast<std::uint64_t>(decoded->index) > m_commitIndex;
    if (!isNeeded || !acceptance_state::decode(decoded->state_bytes)) {
        return;
    }
    const auto index = static_cast<std::uint64_t>(decoded->index);
    std::vector<log_entry> retainedEntries;
    if (termAt(index) == static_cast<std::uint64_t>(decoded->term)) {
        const auto coveredCount = static_cast<std::ptrdiff_t>(index - m_snapshotIndex);
        retainedEntries.assign(m_logEntries.begin() + coveredCount, m_logEntries.end());
    }
    replaceStorage({m_diskId, m_term, m_votedFor, *bytes, retainedEntries});
    if (m_role == replica_role::Failed) {
        return;
    }
    loadSnapshot(*bytes);
    if (m_role == replica_role::Uninitialised) {
        m_role = replica_role::Follower;
    }
    if (static_cast<std::uint64_t>(offer.term) == m_term && !m_leader.empty()) {
        sendAppendAnswer(m_leader, true, index, offer.round);
    }
}

} // namespace hawthornpick::control
