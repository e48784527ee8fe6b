#include "control/replica.h"

#include "base/log.h"
#include "base/thriftcodec.h"
#include "control/messages.h"
#include "lease/timing.h"

#include <algorithm>

namespace hawthornpick::control {

namespace {

constexpr std::uint64_t FIRST_INDEX = 1;

} // namespace

replica::replica(replica_options options, storage &disk, stored_state loaded,
                 transfer::content_exchange &exchange, base::random_source random,
                 base::time_point now)
    : m_options(std::move(options)), m_storage(disk), m_exchange(exchange), m_random(random),
      m_disk(loaded.disk), m_term(loaded.term), m_votedFor(std::move(loaded.votedFor))
{
    delayElection(now);
    if (m_disk == 0) {
        m_disk = m_random.bits() >> 1;
        m_unsynced.emplace_back(disk_identity{m_disk});
    }
    if (!loaded.snapshot.empty() && !loadSnapshot(loaded.snapshot)) {
        fail({storage_failure::Corrupt, "the snapshot cannot be decoded"});
        return;
    }
    for (auto &entry : loaded.entries) {
        if (entry.index == lastIndex() + 1) {
            m_logBytes += entry.command.size();
            m_log.push_back(std::move(entry));
        }
    }
    refreshMembers();
    if (m_snapshot) {
        m_role = replica_role::Follower;
    }
}

auto replica::receive(const base::node_id &from, std::uint8_t kind, std::string_view payload,
                      base::time_point now) -> void
{
    if (m_role == replica_role::Failed) {
        return;
    }
    const auto handle = [&]<typename Struct>(const Struct *, auto function) {
        if (const auto message = base::decodeThrift<Struct>(payload)) {
            function(*message);
        }
    };
    switch (static_cast<message_kind>(kind)) {
    case message_kind::Vote:
        handle(static_cast<wire::vote *>(nullptr), [&](const auto &m) { onVote(from, m, now); });
        return;
    case message_kind::VoteAnswer:
        handle(static_cast<wire::vote_answer *>(nullptr),
               [&](const auto &m) { onVoteAnswer(from, m, now); });
        return;
    case message_kind::Append:
        handle(static_cast<wire::append *>(nullptr),
               [&](const auto &m) { onAppend(from, m, now); });
        return;
    case message_kind::AppendAnswer:
        handle(static_cast<wire::append_answer *>(nullptr),
               [&](const auto &m) { onAppendAnswer(from, m, now); });
        return;
    case message_kind::SnapshotOffer:
        handle(static_cast<wire::snapshot_offer *>(nullptr),
               [&](const auto &m) { onSnapshotOffer(from, m, now); });
        return;
    case message_kind::Hello:
        handle(static_cast<wire::hello *>(nullptr), [&](const auto &m) { onHello(from, m, now); });
        return;
    case message_kind::HelloAnswer:
        handle(static_cast<wire::hello_answer *>(nullptr),
               [&](const auto &m) { onHelloAnswer(from, m); });
        return;
    default:
        return;
    }
}

auto replica::tick(base::time_point now) -> void
{
    switch (m_role) {
    case replica_role::Failed:
        return;
    case replica_role::Uninitialised:
        greet(now);
        return;
    case replica_role::Leader:
        stepDownWithoutMajority(now);
        if (m_role == replica_role::Leader) {
            advanceReplacement();
            m_heartbeatIsDue = m_heartbeatIsDue || now - m_heartbeatAt >= HEARTBEAT_INTERVAL;
        }
        return;
    case replica_role::Follower:
    case replica_role::PreCandidate:
    case replica_role::Candidate:
        if (now >= m_electionAt && m_members.isVoter(ownMember())) {
            startTrial(now);
        }
        // The entry that made this replica a member may have been lost with its leader.
        if (now - m_leaderHeardAt > 3 * ELECTION_TIME) {
            greet(now);
        }
        return;
    }
}

auto replica::flush(base::time_point now) -> messages
{
    installOffered(now);
    if (!sync()) {
        return {};
    }
    if (m_role == replica_role::Leader) {
        advanceCommit();
    }
    applyCommitted();
    if (m_role == replica_role::Leader) {
        if (m_heartbeatIsDue) {
            sendHeartbeats(now);
        }
        for (auto &[peer, state] : m_progress) {
            if (!state.isWaiting && state.next <= lastIndex()) {
                sendEntries(peer, state, now);
            }
        }
    }
    return std::exchange(m_out, {});
}

// Everything that a message promises must be on disk before the message leaves.
auto replica::sync() -> bool
{
    if (m_role == replica_role::Failed) {
        m_out.clear();
        return false;
    }
    if (m_unsynced.empty()) {
        return true;
    }
    const auto items = std::exchange(m_unsynced, {});
    const auto result = std::visit([&items](auto &disk) { return disk.sync(items); }, m_storage);
    if (!result) {
        fail(result.error());
        return false;
    }
    return true;
}

auto replica::store(const stored_state &state) -> void
{
    m_unsynced.clear();
    const auto result = std::visit([&state](auto &disk) { return disk.replace(state); }, m_storage);
    if (!result) {
        fail(result.error());
    }
}

auto replica::fail(const storage_error &error) -> void
{
    base::log(base::log_level::Error, "controller stopped: its storage failed",
              {{"detail", error.detail}});
    m_failure = error.detail;
    m_role = replica_role::Failed;
    m_leader = {};
    m_out.clear();
    m_unsynced.clear();
}

auto replica::greet(base::time_point now) -> void
{
    if (now - m_helloAt < HELLO_INTERVAL) {
        return;
    }
    m_helloAt = now;
    wire::hello hello;
    hello.disk = static_cast<std::int64_t>(m_disk);
    for (const auto &node : m_options.controllers) {
        if (node != m_options.self) {
            m_out.push_back(toMessage(node, message_kind::Hello, hello));
        }
    }
    if (m_role == replica_role::Uninitialised) {
        startNewFleet();
    }
}

// Only a fleet in which every configured controller is empty is a new one.
auto replica::startNewFleet() -> void
{
    const auto empty = std::exchange(m_emptyPeers, {});
    membership first;
    bool hasSelf = false;
    for (const auto &node : m_options.controllers) {
        const auto peer = empty.find(node);
        if (node != m_options.self && peer == empty.end()) {
            return;
        }
        hasSelf = hasSelf || node == m_options.self;
        first.voters.push_back(node == m_options.self ? ownMember() : member{node, peer->second});
    }
    if (hasSelf) {
        initialise(first);
    }
}

auto replica::onHello(const base::node_id &from, const wire::hello &hello, base::time_point now)
        -> void
{
    m_hellos[from] = {static_cast<std::uint64_t>(hello.disk), now};
    wire::hello_answer answer;
    answer.disk = static_cast<std::int64_t>(m_disk);
    answer.initialised = m_role != replica_role::Uninitialised;
    answer.members = toWire(m_members);
    m_out.push_back(toMessage(from, message_kind::HelloAnswer, answer));
}

auto replica::onHelloAnswer(const base::node_id &from, const wire::hello_answer &answer) -> void
{
    if (m_role != replica_role::Uninitialised) {
        return;
    }
    if (!answer.initialised) {
        m_emptyPeers[from] = static_cast<std::uint64_t>(answer.disk);
        return;
    }
    const auto members = fromWire(answer.members);
    if (members.isVoter(ownMember())) {
        initialise(members);
    }
}

auto replica::initialise(const membership &members) -> void
{
    wire::snapshot first;
    first.index = static_cast<std::int64_t>(FIRST_INDEX);
    first.term = 0;
    first.members = toWire(members);
    first.state_bytes = acceptance_state().encode();
    const auto bytes = base::encodeThrift(first);
    store({m_disk, m_term, m_votedFor, bytes, {}});
    if (m_role != replica_role::Failed && loadSnapshot(bytes)) {
        refreshMembers();
        m_role = replica_role::Follower;
    }
}

auto replica::startRead() -> std::int64_t
{
    m_heartbeatIsDue = true;
    return m_round + 1;
}

auto replica::isConfirmed(std::int64_t ticket) const -> bool
{
    if (!isReady()) {
        return false;
    }
    std::size_t confirmed = 0;
    for (const auto &voter : m_members.voters) {
        const auto peer = m_progress.find(voter);
        const bool agrees = voter == ownMember() ? m_round >= ticket
                                                 : peer != m_progress.end()
                                                           && peer->second.confirmedRound >= ticket;
        confirmed += agrees ? 1 : 0;
    }
    return confirmed >= lease::majorityOf(m_members.voters.size());
}

auto replica::isReady() const -> bool
{
    return m_role == replica_role::Leader && m_applied >= m_termStart;
}

auto replica::propose(const wire::command &command) -> void
{
    append({lastIndex() + 1, m_term, base::encodeThrift(command)});
}

auto replica::replaceController(const base::node_id &oldNode, const base::node_id &newNode,
                                const std::string &changeId, base::time_point now) -> std::string
{
    const auto hello = m_hellos.find(newNode);
    const auto &voters = m_members.voters;
    const auto old = std::find_if(voters.begin(), voters.end(),
                                  [&oldNode](const auto &voter) { return voter.node == oldNode; });
    const bool isSettled = m_memberChanges.empty() || m_memberChanges.back().first <= m_commit;
    const bool isPromoted = !m_members.replacements.empty() && m_members.learners.empty();
    if (!isSettled || isPromoted) {
        return "another replacement is under way";
    }
    if (old == voters.end()) {
        return "the old controller is not a voter";
    }
    if (hello == m_hellos.end() || now - hello->second.at > HELLO_LIFE) {
        return "the new controller has not contacted the leader";
    }
    const member fresh{newNode, hello->second.disk};
    if (m_members.isVoter(fresh)) {
        return "the new controller is a voter";
    }
    auto next = m_members;
    next.learners = {fresh};
    next.replacements = {{*old, fresh, changeId}};
    wire::command command;
    command.kind = static_cast<std::int8_t>(command_kind::Members);
    command.members = toWire(next);
    propose(command);
    return {};
}

} // namespace hawthornpick::control
