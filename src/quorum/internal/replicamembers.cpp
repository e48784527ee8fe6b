#include "quorum/replica.h"

#include <algorithm>

namespace hawthornpick::quorum {

namespace {

//! A learner that has been silent for longer is forgotten; it asks again.
constexpr base::milliseconds LEARNER_LIFE{3000};
//! Time without a leader after which a member asks to join.
constexpr base::milliseconds LONELY_TIME{1000};

} // namespace

// One member changes at a time, and only when the change before it is committed, so that majorities
// of consecutive lists always share a voter.
auto replica::nextMembers(base::time_point now) const -> std::optional<std::vector<member>>
{
    auto voters = m_state.value->voters;
    if (const auto gone = memberToRemove(now)) {
        std::erase(voters, *gone);
        return voters;
    }
    if (const auto newcomer = memberToAdd()) {
        voters.insert(std::lower_bound(voters.begin(), voters.end(), *newcomer), *newcomer);
        return voters;
    }
    return std::nullopt;
}

auto replica::memberToAdd() const -> std::optional<member>
{
    for (const auto &learner : m_learners) {
        const auto peer = m_progress.find(learner);
        const bool isVoterNow = m_state.value->isVoter(learner);
        if (!isVoterNow && peer != m_progress.end()
            && peer->second.durable >= m_committed->position) {
            return learner;
        }
    }
    return std::nullopt;
}

auto replica::memberToRemove(base::time_point now) const -> std::optional<member>
{
    const auto &voters = m_state.value->voters;
    const auto isSilent = [&](const member &item) {
        const auto peer = m_progress.find(item);
        return item != self() && peer != m_progress.end()
               && now - peer->second.heardAt >= SILENT_TIME;
    };
    for (const auto &item : voters) {
        // A second member of the same node shows that the first one's disk is gone.
        const auto hasSuccessor = [&](const member &other) {
            return other.node == item.node && other != item && !isSilent(other);
        };
        if (isSilent(item) && std::any_of(voters.begin(), voters.end(), hasSuccessor)) {
            return item;
        }
    }
    // Of an even number of voters one can go without lowering the number of losses that the group
    // bears. Of an odd number none can, however long it is silent.
    if (voters.size() % 2 != 0 || voters.size() < 4) {
        return std::nullopt;
    }
    const auto silent = std::find_if(voters.begin(), voters.end(), isSilent);
    return silent == voters.end() ? std::nullopt : std::optional(*silent);
}

auto replica::handle(const join_request &request, base::time_point now) -> void
{
    if (request.newcomer == self()) {
        return;
    }
    if (m_role != replica_role::Leader) {
        if (!m_leader.empty() && m_leader != request.newcomer.node) {
            send(m_leader, request);
        }
        return;
    }
    if (!m_state.value->isVoter(request.newcomer)) {
        m_learners.insert(request.newcomer);
    }
    auto &peer =
            m_progress.try_emplace(request.newcomer, progress{{}, {}, {}, now, 0}).first->second;
    peer.heardAt = now;
    sendAppend(request.newcomer, peer, now);
}

auto replica::forgetSilentLearners(base::time_point now) -> void
{
    for (auto learner = m_learners.begin(); learner != m_learners.end();) {
        const auto peer = m_progress.find(*learner);
        const bool isVoterNow = m_state.value->isVoter(*learner);
        const bool isSilent =
                peer == m_progress.end() || now - peer->second.heardAt >= LEARNER_LIFE;
        if (!isVoterNow && isSilent && peer != m_progress.end()) {
            m_progress.erase(peer);
        }
        learner = isVoterNow || isSilent ? m_learners.erase(learner) : std::next(learner);
    }
}

// Also a voter asks, because it may have been removed while it was away.
auto replica::askToJoin(base::time_point now) -> void
{
    const bool isLonely = m_leader.empty() || now - m_leaderHeardAt >= LONELY_TIME;
    if (!isLonely || now < m_joinAt) {
        return;
    }
    m_joinAt = now + JOIN_INTERVAL;
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
