#include "quorum/replica.h"

#include <algorithm>

namespace hawthornpick::quorum {

namespace {

//! Time without a message after which the leader removes a learner. A learner that is still alive
//! sends another join request.
constexpr base::milliseconds LEARNER_SILENCE_TIMEOUT{3000};
//! Time without a message from a leader after which a member sends join requests.
constexpr base::milliseconds LEADER_LOSS_TIMEOUT{1000};

} // namespace

// Returns the next list of voters, or nothing if the list stays. It differs by one member, and the
// caller asks only when the list before it is committed, so that any majorities of two consecutive
// lists share a voter.
auto replica::nextVoters(base::time_point now) const -> std::optional<std::vector<member>>
{
    auto voters = m_state.value->voters;
    if (const auto removed = voterToRemove(now)) {
        std::erase(voters, *removed);
        return voters;
    }
    if (const auto added = learnerToPromote()) {
        voters.insert(std::lower_bound(voters.begin(), voters.end(), *added), *added);
        return voters;
    }
    return std::nullopt;
}

auto replica::learnerToPromote() const -> std::optional<member>
{
    for (const auto &learner : m_learners) {
        const auto peer = m_progress.find(learner);
        const bool isVoterNow = m_state.value->isVoter(learner);
        if (!isVoterNow && peer != m_progress.end()
            && peer->second.durablePosition >= m_committed->position) {
            return learner;
        }
    }
    return std::nullopt;
}

auto replica::voterToRemove(base::time_point now) const -> std::optional<member>
{
    const auto &voters = m_state.value->voters;
    const auto isSilent = [&](const member &voter) {
        const auto peer = m_progress.find(voter);
        return voter != self() && peer != m_progress.end()
               && now - peer->second.lastHeardAt >= VOTER_SILENCE_TIMEOUT;
    };
    for (const auto &voter : voters) {
        // Another voter on the same node shows that the disk of the silent one was lost.
        const auto isReplacement = [&](const member &other) {
            return other.node == voter.node && other != voter && !isSilent(other);
        };
        if (isSilent(voter) && std::any_of(voters.begin(), voters.end(), isReplacement)) {
            return voter;
        }
    }
    // Removing one of an even number of voters leaves the number of tolerated failures unchanged.
    // Removing one of an odd number would lower it, so a silent voter then stays.
    if (voters.size() % 2 != 0 || voters.size() < 4) {
        return std::nullopt;
    }
    const auto silent = std::find_if(voters.begin(), voters.end(), isSilent);
    return silent == voters.end() ? std::nullopt : std::optional(*silent);
}

auto replica::handle(const join_request &request, base::time_point now) -> void
{
    if (request.joiningMember == self()) {
        return;
    }
    if (m_role != replica_role::Leader) {
        if (!m_leader.empty() && m_leader != request.joiningMember.node) {
            send(m_leader, request);
        }
        return;
    }
    if (!m_state.value->isVoter(request.joiningMember)) {
        m_learners.insert(request.joiningMember);
    }
    auto &progress =
            m_progress.try_emplace(request.joiningMember, peer_progress{{}, {}, {}, now, 0})
                    .first->second;
    progress.lastHeardAt = now;
    sendAppend(request.joiningMember, progress, now);
}

auto replica::removeSilentLearners(base::time_point now) -> void
{
    for (auto learner = m_learners.begin(); learner != m_learners.end();) {
        const auto peer = m_progress.find(*learner);
        const bool isVoterNow = m_state.value->isVoter(*learner);
        const bool isSilent = peer == m_progress.end()
                              || now - peer->second.lastHeardAt >= LEARNER_SILENCE_TIMEOUT;
        if (!isVoterNow && isSilent && peer != m_progress.end()) {
            m_progress.erase(peer);
        }
        learner = isVoterNow || isSilent ? m_learners.erase(learner) : std::next(learner);
    }
}

// A voter sends join requests too, because it may have been removed while it was unreachable.
auto replica::sendJoinRequests(base::time_point now) -> void
{
    const bool hasLostLeader = m_leader.empty() || now - m_leaderLastHeardAt >= LEADER_LOSS_TIMEOUT;
    if (!hasLostLeader || now < m_nextJoinRequestAt) {
        return;
    }
    m_nextJoinRequestAt = now + JOIN_REQUEST_INTERVAL;
    std::set<base::node_id> targets(m_options.contacts.begin(), m_options.contacts.end());
    if (m_state.value) {
        for (const auto &voter : m_state.value->voters) {
            targets.insert(voter.node);
        }
    }
    targets.erase(m_options.self);
    for (const auto &target : targets) {
        sendWhenDurable(target, join_request{self()});
    }
}

} // namespace hawthornpick::quorum
