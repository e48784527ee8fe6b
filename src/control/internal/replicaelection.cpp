#include "control/replica.h"

#include "base/thriftcodec.h"
#include "control/messages.h"
#include "lease/timing.h"

#include <algorithm>

namespace hawthornpick::control {

namespace {

auto candidateId(const base::node_id &node, std::int64_t diskId) -> std::string
{
    return node.str() + "#" + std::to_string(diskId);
}

} // namespace

auto replica::resetElectionTimer(base::time_point now) -> void
{
    const auto spreadMs = static_cast<std::uint64_t>(MIN_ELECTION_TIMEOUT.count());
    m_electionDeadline = now + MIN_ELECTION_TIMEOUT + base::milliseconds(m_random.below(spreadMs));
}

auto replica::setTermAndVote(std::uint64_t term, std::string votedFor) -> void
{
    m_term = term;
    m_votedFor = std::move(votedFor);
    m_unsyncedItems.emplace_back(term_and_vote{m_term, m_votedFor});
}

auto replica::isUpToDate(std::uint64_t candidateLastIndex, std::uint64_t candidateLastTerm) const
        -> bool
{
    return std::pair(candidateLastTerm, candidateLastIndex)
           >= std::pair(*termAt(lastIndex()), lastIndex());
}

auto replica::hasMajority(const std::set<member> &supporters) const -> bool
{
    const auto voteCount =
            std::count_if(m_membership.voters.begin(), m_membership.voters.end(),
                          [&supporters](const auto &voter) { return supporters.contains(voter); });
    return static_cast<std::size_t>(voteCount) >= lease::majorityOf(m_membership.voters.size());
}

auto replica::startPreVote(base::time_point now) -> void
{
    resetElectionTimer(now);
    m_role = replica_role::PreCandidate;
    m_leader = {};
    m_grantedVotes = {ownMember()};
    if (hasMajority(m_grantedVotes)) {
        startElection(now);
        return;
    }
    requestVotes(true);
}

auto replica::startElection(base::time_point now) -> void
{
    resetElectionTimer(now);
    m_role = replica_role::Candidate;
    setTermAndVote(m_term + 1, candidateId(m_options.self, static_cast<std::int64_t>(m_diskId)));
    m_grantedVotes = {ownMember()};
    if (hasMajority(m_grantedVotes)) {
        becomeLeader(now);
        return;
    }
    requestVotes(false);
}

auto replica::requestVotes(bool isPreVote) -> void
{
    wire::vote request;
    request.term = static_cast<std::int64_t>(isPreVote ? m_term + 1 : m_term);
    request.disk = static_cast<std::int64_t>(m_diskId);
    request.last_index = static_cast<std::int64_t>(lastIndex());
    request.last_term = static_cast<std::int64_t>(*termAt(lastIndex()));
    request.trial = isPreVote;
    for (const auto &voter : m_membership.voters) {
        if (voter != ownMember()) {
            m_outgoing.push_back(toMessage(voter.node, message_kind::Vote, request));
        }
    }
}

auto replica::onVoteRequest(const base::node_id &from, const wire::vote &request,
                            base::time_point now) -> void
{
    if (m_role == replica_role::Uninitialised) {
        return;
    }
    const auto term = static_cast<std::uint64_t>(request.term);
    // A replica in contact with a leader grants no pre-vote, so that a replica which lost its
    // connection cannot depose a working leader.
    const bool hasLeaderContact =
            m_role == replica_role::Leader || now - m_lastLeaderContactAt < MIN_ELECTION_TIMEOUT;
    if (!request.trial && term > m_term) {
        becomeFollower(term, now);
    }
    const bool isCandidateUpToDate = isUpToDate(static_cast<std::uint64_t>(request.last_index),
                                                static_cast<std::uint64_t>(request.last_term));
    wire::vote_answer answer;
    answer.disk = static_cast<std::int64_t>(m_diskId);
    answer.trial = request.trial;
    answer.asked_term = request.term;
    if (request.trial) {
        answer.granted = term > m_term && isCandidateUpToDate && !hasLeaderContact;
    } else {
        const auto candidate = candidateId(from, request.disk);
        const bool canGrant = m_votedFor.empty() || m_votedFor == candidate;
        answer.granted = term == m_term && isCandidateUpToDate && canGrant;
        if (answer.granted && m_votedFor.empty()) {
            setTermAndVote(m_term, candidate);
            resetElectionTimer(now);
        }
    }
    answer.term = static_cast<std::int64_t>(m_term);
    m_outgoing.push_back(toMessage(from, message_kind::VoteAnswer, answer));
}

auto replica::onVoteAnswer(const base::node_id &from, const wire::vote_answer &answer,
                           base::time_point now) -> void
{
    const auto term = static_cast<std::uint64_t>(answer.term);
    if (term > m_term) {
        becomeFollower(term, now);
        return;
    }
    const auto expectedRole = answer.trial ? replica_role::PreCandidate : replica_role::Candidate;
    const auto expectedTerm = answer.trial ? m_term + 1 : m_term;
    if (!answer.granted || m_role != expectedRole
        || static_cast<std::uint64_t>(answer.asked_term) != expectedTerm) {
        return;
    }
    m_grantedVotes.insert({from, static_cast<std::uint64_t>(answer.disk)});
    if (!hasMajority(m_grantedVotes)) {
        return;
    }
    if (answer.trial) {
        startElection(now);
    } else {
        becomeLeader(now);
    }
}

auto replica::becomeFollower(std::uint64_t term, base::time_point now) -> void
{
    if (term > m_term) {
        setTermAndVote(term, {});
    }
    if (m_role != replica_role::Uninitialised) {
        m_role = replica_role::Follower;
    }
    m_leader = {};
    m_memberProgress.clear();
    resetElectionTimer(now);
}

auto replica::followLeader(const base::node_id &from, std::uint64_t term, base::time_point now)
        -> bool
{
    if (term < m_term) {
        return false;
    }
    if (term > m_term || m_role == replica_role::PreCandidate
        || m_role == replica_role::Candidate) {
        becomeFollower(term, now);
    }
    m_leader = from;
    m_lastLeaderContactAt = now;
    resetElectionTimer(now);
    return true;
}

auto replica::becomeLeader(base::time_point now) -> void
{
    m_role = replica_role::Leader;
    m_leader = m_options.self;
    m_memberProgress.clear();
    m_heartbeatRound = 0;
    // Entries of earlier terms commit only together with an entry of the current term.
    wire::command noop;
    noop.kind = static_cast<std::int8_t>(command_kind::Noop);
    propose(noop);
    m_termStartIndex = lastIndex();
    for (const auto &peer : otherMembers()) {
        auto &progress = m_memberProgress[peer];
        progress.nextIndex = m_termStartIndex;
        progress.lastContactAt = now;
    }
    m_isHeartbeatDue = true;
}

auto replica::stepDownWithoutMajority(base::time_point now) -> void
{
    std::set<member> reachable{ownMember()};
    for (const auto &[peer, progress] : m_memberProgress) {
        if (now - progress.lastContactAt < 2 * MIN_ELECTION_TIMEOUT) {
            reachable.insert(peer);
        }
    }
    const bool isRemoved = !m_membership.isVoter(ownMember()) && !hasUncommitted();
    if (isRemoved || !hasMajority(reachable)) {
        becomeFollower(m_term, now);
    }
}

} // namespace hawthornpick::control
