#include "quorum/replica.h"

#include <algorithm>

namespace hawthornpick::quorum {

namespace {

//! A leader that has not heard a majority of the voters for this time steps down, so that its node
//! reports its configuration as stale.
constexpr base::milliseconds LEADER_QUORUM_TIMEOUT{2000};

} // namespace

auto replica::resetElectionTimer(base::time_point now) -> void
{
    const bool isStarting = !m_hasHeardLeader && now - m_startedAt < STARTUP_PERIOD;
    const auto minimum = isStarting ? STARTUP_ELECTION_TIMEOUT_MIN : MIN_ELECTION_TIMEOUT;
    const auto spread = isStarting ? STARTUP_ELECTION_TIMEOUT_SPREAD : MIN_ELECTION_TIMEOUT;
    m_electionDeadline =
            now + minimum
            + base::milliseconds(m_random.below(static_cast<std::uint64_t>(spread.count())));
}

auto replica::startElection(base::time_point now, bool isPreVote) -> void
{
    resetElectionTimer(now);
    m_grantedVotes.clear();
    m_role = isPreVote ? replica_role::PreCandidate : replica_role::Candidate;
    m_leader = {};
    const auto electionTerm = m_state.term + 1;
    if (!isPreVote) {
        m_state.term = electionTerm;
        m_state.votedFor = self();
        markStateChanged(false);
    }
    const vote_request request{electionTerm, self(), newestPosition(), isPreVote};
    for (const auto &voter : m_state.value->voters) {
        if (voter != self()) {
            sendWhenDurable(voter.node, request);
        }
    }
    countVotes(now);
}

auto replica::hasRecentLeader(base::time_point now) const -> bool
{
    return m_role == replica_role::Leader
           || (!m_leader.empty() && now - m_leaderLastHeardAt < MIN_ELECTION_TIMEOUT);
}

auto replica::mayVoteFor(const vote_request &request, base::time_point now) const -> bool
{
    // A disk without a value may replace a lost one. Its member must not help to elect a leader
    // that lacks a value which the lost disk had acknowledged.
    if (!m_state.value || hasRecentLeader(now) || request.newestPosition < newestPosition()) {
        return false;
    }
    if (request.isPreVote) {
        return request.term > m_state.term;
    }
    return request.term == m_state.term
           && (m_state.votedFor.node.empty() || m_state.votedFor == request.candidate);
}

auto replica::handle(const vote_request &request, base::time_point now) -> void
{
    if (!request.isPreVote && request.term > m_state.term && !hasRecentLeader(now)) {
        becomeFollower(request.term, now);
    }
    const bool isGranted = mayVoteFor(request, now);
    if (isGranted && !request.isPreVote) {
        if (m_state.votedFor != request.candidate) {
            m_state.votedFor = request.candidate;
            markStateChanged(false);
        }
        resetElectionTimer(now);
    }
    const auto answerTerm = isGranted && request.isPreVote ? request.term : m_state.term;
    sendWhenDurable(request.candidate.node,
                    vote_answer{answerTerm, self(), isGranted, request.isPreVote});
}

auto replica::handle(const vote_answer &answer, base::time_point now) -> void
{
    if (!answer.isGranted) {
        if (answer.term > m_state.term) {
            becomeFollower(answer.term, now);
        }
        return;
    }
    const bool isExpected =
            answer.isPreVote
                    ? m_role == replica_role::PreCandidate && answer.term == m_state.term + 1
                    : m_role == replica_role::Candidate && answer.term == m_state.term;
    if (isExpected && m_state.value->isVoter(answer.voter)) {
        m_grantedVotes.insert(answer.voter);
        countVotes(now);
    }
}

auto replica::countVotes(base::time_point now) -> void
{
    if (m_role == replica_role::PreCandidate) {
        if (isMajority(m_grantedVotes.size() + 1)) {
            startElection(now, false);
        }
        return;
    }
    // The candidate's own vote counts once it is on disk.
    if (m_role == replica_role::Candidate && m_durableRevision == m_stateRevision
        && isMajority(m_grantedVotes.size() + 1)) {
        becomeLeader(now);
    }
}

auto replica::becomeLeader(base::time_point now) -> void
{
    m_role = replica_role::Leader;
    m_leader = m_options.self;
    m_leaderSince = now;
    m_learners.clear();
    m_progress.clear();
    for (const auto &voter : m_state.value->voters) {
        if (voter != self()) {
            m_progress[voter] = {{}, {}, {}, now, 0};
        }
    }
    proposeNextValue(now);
    sendAppends(now, true);
}

auto replica::becomeFollower(std::uint64_t term, base::time_point now) -> void
{
    if (m_role == replica_role::Leader) {
        failRequests("this node is no longer the leader of the quorum group");
    }
    m_role = replica_role::Follower;
    m_leader = {};
    m_grantedVotes.clear();
    if (term > m_state.term) {
        m_state.term = term;
        m_state.votedFor = {};
        markStateChanged(false);
    }
    resetElectionTimer(now);
}

auto replica::stepDownWithoutMajority(base::time_point now) -> void
{
    std::size_t reachable = 0;
    for (const auto &voter : m_state.value->voters) {
        const auto peer = m_progress.find(voter);
        reachable += voter == self()
                                     || (peer != m_progress.end()
                                         && now - peer->second.lastHeardAt < LEADER_QUORUM_TIMEOUT)
                             ? 1
                             : 0;
    }
    if (!isMajority(reachable)) {
        becomeFollower(m_state.term, now);
    }
}

} // namespace hawthornpick::quorum
