#include "control/replica.h"

#include "base/thriftcodec.h"
#include "control/messages.h"
#include "lease/timing.h"

#include <algorithm>

namespace hawthornpick::control {

namespace {

auto candidateName(const base::node_id &node, std::int64_t disk) -> std::string
{
    return node.str() + "#" + std::to_string(disk);
}

} // namespace

auto replica::delayElection(base::time_point now) -> void
{
    const auto spread = static_cast<std::uint64_t>(ELECTION_TIME.count());
    m_electionAt = now + ELECTION_TIME + base::milliseconds(m_random.below(spread));
}

auto replica::setTermAndVote(std::uint64_t term, std::string votedFor) -> void
{
    m_term = term;
    m_votedFor = std::move(votedFor);
    m_unsynced.emplace_back(term_and_vote{m_term, m_votedFor});
}

auto replica::isUpToDate(std::uint64_t lastIndexOfPeer, std::uint64_t lastTermOfPeer) const -> bool
{
    return std::pair(lastTermOfPeer, lastIndexOfPeer)
           >= std::pair(*termAt(lastIndex()), lastIndex());
}

auto replica::hasMajority(const std::set<member> &votes) const -> bool
{
    const auto count = std::count_if(m_members.voters.begin(), m_members.voters.end(),
                                     [&votes](const auto &voter) { return votes.contains(voter); });
    return static_cast<std::size_t>(count) >= lease::majorityOf(m_members.voters.size());
}

auto replica::startTrial(base::time_point now) -> void
{
    delayElection(now);
    m_role = replica_role::PreCandidate;
    m_leader = {};
    m_votes = {ownMember()};
    if (hasMajority(m_votes)) {
        startElection(now);
        return;
    }
    askForVotes(true);
}

auto replica::startElection(base::time_point now) -> void
{
    delayElection(now);
    m_role = replica_role::Candidate;
    setTermAndVote(m_term + 1, candidateName(m_options.self, static_cast<std::int64_t>(m_disk)));
    m_votes = {ownMember()};
    if (hasMajority(m_votes)) {
        becomeLeader(now);
        return;
    }
    askForVotes(false);
}

auto replica::askForVotes(bool isTrial) -> void
{
    wire::vote request;
    request.term = static_cast<std::int64_t>(isTrial ? m_term + 1 : m_term);
    request.disk = static_cast<std::int64_t>(m_disk);
    request.last_index = static_cast<std::int64_t>(lastIndex());
    request.last_term = static_cast<std::int64_t>(*termAt(lastIndex()));
    request.trial = isTrial;
    for (const auto &voter : m_members.voters) {
        if (voter != ownMember()) {
            m_out.push_back(toMessage(voter.node, message_kind::Vote, request));
        }
    }
}

auto replica::onVote(const base::node_id &from, const wire::vote &request, base::time_point now)
        -> void
{
    if (m_role == replica_role::Uninitialised) {
        return;
    }
    const auto term = static_cast<std::uint64_t>(request.term);
    // A replica that hears a leader does not help to disturb it.
    const bool hearsLeader =
            m_role == replica_role::Leader || now - m_leaderHeardAt < ELECTION_TIME;
    if (!request.trial && term > m_term) {
        becomeFollower(term, now);
    }
    const bool isUpToDateCandidate = isUpToDate(static_cast<std::uint64_t>(request.last_index),
                                                static_cast<std::uint64_t>(request.last_term));
    wire::vote_answer answer;
    answer.disk = static_cast<std::int64_t>(m_disk);
    answer.trial = request.trial;
    answer.asked_term = request.term;
    if (request.trial) {
        answer.granted = term > m_term && isUpToDateCandidate && !hearsLeader;
    } else {
        const auto name = candidateName(from, request.disk);
        const bool isFree = m_votedFor.empty() || m_votedFor == name;
        answer.granted = term == m_term && isUpToDateCandidate && isFree;
        if (answer.granted && m_votedFor.empty()) {
            setTermAndVote(m_term, name);
            delayElection(now);
        }
    }
    answer.term = static_cast<std::int64_t>(m_term);
    m_out.push_back(toMessage(from, message_kind::VoteAnswer, answer));
}

auto replica::onVoteAnswer(const base::node_id &from, const wire::vote_answer &answer,
                           base::time_point now) -> void
{
    const auto term = static_cast<std::uint64_t>(answer.term);
    if (term > m_term) {
        becomeFollower(term, now);
        return;
    }
    const auto role = answer.trial ? replica_role::PreCandidate : replica_role::Candidate;
    const auto expected = answer.trial ? m_term + 1 : m_term;
    if (!answer.granted || m_role != role
        || static_cast<std::uint64_t>(answer.asked_term) != expected) {
        return;
    }
    m_votes.insert({from, static_cast<std::uint64_t>(answer.disk)});
    if (!hasMajority(m_votes)) {
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
    m_progress.clear();
    delayElection(now);
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
    m_leaderHeardAt = now;
    delayElection(now);
    return true;
}

auto replica::becomeLeader(base::time_point now) -> void
{
    m_role = replica_role::Leader;
    m_leader = m_options.self;
    m_progress.clear();
    m_round = 0;
    wire::command noop;
    noop.kind = static_cast<std::int8_t>(command_kind::Noop);
    propose(noop);
    m_termStart = lastIndex();
    for (const auto &peer : others()) {
        auto &state = m_progress[peer];
        state.next = m_termStart;
        state.heardAt = now;
    }
    m_heartbeatIsDue = true;
}

auto replica::stepDownWithoutMajority(base::time_point now) -> void
{
    std::set<member> heard{ownMember()};
    for (const auto &[peer, state] : m_progress) {
        if (now - state.heardAt < 2 * ELECTION_TIME) {
            heard.insert(peer);
        }
    }
    const bool wasRemoved = !m_members.isVoter(ownMember()) && !hasUncommitted();
    if (wasRemoved || !hasMajority(heard)) {
        becomeFollower(m_term, now);
    }
}

} // namespace hawthornpick::control
