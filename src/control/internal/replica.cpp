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

replica::replica(replica_options options, storage &logStorage, stored_state loaded,
                 transfer::content_exchange &exchange, base::random_source random,
                 base::time_point now)
    : m_options(std::move(options)), m_storage(logStorage), m_exchange(exchange), m_random(random),
      m_diskId(loaded.disk), m_term(loaded.term), m_votedFor(std::move(loaded.votedFor))
{
    resetElectionTimer(now);
    if (m_diskId == 0) {
        m_diskId = m_random.bits() >> 1;
        m_unsyncedItems.emplace_back(disk_identity{m_diskId});
    }
    if (!loaded.snapshot.empty() && !loadSnapshot(loaded.snapshot)) {
        failStorage({storage_failure::Corrupt, "the stored snapshot cannot be decoded"});
        return;
    }
    for (auto &entry : loaded.entries) {
        if (entry.index == lastIndex() + 1) {
            m_logBytes += entry.command.size();
            m_logEntries.push_back(std::move(entry));
        }
    }
    refreshMembership();
    if (m_snapshotBytes) {
        m_role = replica_role::Follower;
    }
}

auto replica::receive(const base::node_id &from, std::uint8_t kind, std::string_view payload,
                      base::time_point now) -> void
{
    if (m_role == replica_role::Failed) {
        return;
    }
    const auto handle = [&]<typename Struct>(const Struct *, auto handler) {
        if (const auto message = base::decodeThrift<Struct>(payload)) {
            handler(*message);
        }
    };
    switch (static_cast<message_kind>(kind)) {
    case message_kind::Vote:
        handle(static_cast<wire::vote *>(nullptr),
               [&](const auto &m) { onVoteRequest(from, m, now); });
        return;
    case message_kind::VoteAnswer:
        handle(static_cast<wire::vote_answer *>(nullptr),
               [&](const auto &m) { onVoteAnswer(from, m, now); });
        return;
    case message_kind::Append:
        handle(static_cast<wire::append *>(nullptr),
               [&](const auto &m) { onAppendRequest(from, m, now); });
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
        sendHellos(now);
        return;
    case replica_role::Leader:
        stepDownWithoutMajority(now);
        if (m_role == replica_role::Leader) {
            advanceReplacement();
            m_isHeartbeatDue = m_isHeartbeatDue || now - m_lastHeartbeatAt >= HEARTBEAT_INTERVAL;
        }
        return;
    case replica_role::Follower:
    case replica_role::PreCandidate:
    case replica_role::Candidate:
        if (now >= m_electionDeadline && m_membership.isVoter(ownMember())) {
            startPreVote(now);
        }
        // The entry that added this replica as a member may have been lost with its leader. The
        // leader adds a node as a learner only if it has a recent hello of it.
        if (now - m_lastLeaderContactAt > 3 * MIN_ELECTION_TIMEOUT) {
            sendHellos(now);
        }
        return;
    }
}

auto replica::flush(base::time_point now) -> messages
{
    installOfferedSnapshot(now);
    if (!syncStorage()) {
        return {};
    }
    if (m_role == replica_role::Leader) {
        advanceCommit();
    }
    applyCommitted();
    if (m_role == replica_role::Leader) {
        if (m_isHeartbeatDue) {
            sendHeartbeats(now);
        }
        for (auto &[peer, progress] : m_memberProgress) {
            if (!progress.isAwaitingAnswer && progress.nextIndex <= lastIndex()) {
                sendEntries(peer, progress, now);
            }
        }
    }
    return std::exchange(m_outgoing, {});
}

// Writes the changes since the last call durably. A vote or an acknowledgement must be on disk
// before the message that carries it is sent. Returns false if the storage has failed.
auto replica::syncStorage() -> bool
{
    if (m_role == replica_role::Failed) {
        m_outgoing.clear();
        return false;
    }
    if (m_unsyncedItems.empty()) {
        return true;
    }
    const auto items = std::exchange(m_unsyncedItems, {});
    const auto result =
            std::visit([&items](auto &backend) { return backend.sync(items); }, m_storage);
    if (!result) {
        failStorage(result.error());
        return false;
    }
    return true;
}

auto replica::replaceStorage(const stored_state &state) -> void
{
    m_unsyncedItems.clear();
    const auto result =
            std::visit([&state](auto &backend) { return backend.replace(state); }, m_storage);
    if (!result) {
        failStorage(result.error());
    }
}

auto replica::failStorage(const storage_error &error) -> void
{
    base::log(base::log_level::Error, "controller stopped: its storage failed",
              {{"detail", error.detail}});
    m_failure = error.detail;
    m_role = replica_role::Failed;
    m_leader = {};
    m_outgoing.clear();
    m_unsyncedItems.clear();
}

auto replica::sendHellos(base::time_point now) -> void
{
    if (now - m_lastHelloAt < HELLO_INTERVAL) {
        return;
    }
    m_lastHelloAt = now;
    wire::hello hello;
    hello.disk = static_cast<std::int64_t>(m_diskId);
    for (const auto &node : m_options.controllers) {
        if (node != m_options.self) {
            m_outgoing.push_back(toMessage(node, message_kind::Hello, hello));
        }
    }
    if (m_role == replica_role::Uninitialised) {
        bootstrapFleet();
    }
}

// Initialises a new fleet if every configured controller is uninitialised. If one is initialised,
// the fleet exists already and a second one must not be started.
auto replica::bootstrapFleet() -> void
{
    const auto uninitialised = std::exchange(m_uninitialisedPeers, {});
    membership initialMembership;
    bool hasSelf = false;
    for (const auto &node : m_options.controllers) {
        const auto peer = uninitialised.find(node);
        if (node != m_options.self && peer == uninitialised.end()) {
            return;
        }
        hasSelf = hasSelf || node == m_options.self;
        initialMembership.voters.push_back(node == m_options.self ? ownMember()
                                                                  : member{node, peer->second});
    }
    if (hasSelf) {
        initialise(initialMembership);
    }
}

auto replica::onHello(const base::node_id &from, const wire::hello &hello, base::time_point now)
        -> void
{
    m_receivedHellos[from] = {static_cast<std::uint64_t>(hello.disk), now};
    wire::hello_answer answer;
    answer.disk = static_cast<std::int64_t>(m_diskId);
    answer.initialised = m_role != replica_role::Uninitialised;
    answer.members = toWire(m_membership);
    m_outgoing.push_back(toMessage(from, message_kind::HelloAnswer, answer));
}

auto replica::onHelloAnswer(const base::node_id &from, const wire::hello_answer &answer) -> void
{
    if (m_role != replica_role::Uninitialised) {
        return;
    }
    if (!answer.initialised) {
        m_uninitialisedPeers[from] = static_cast<std::uint64_t>(answer.disk);
        return;
    }
    const auto members = fromWire(answer.members);
    if (members.isVoter(ownMember())) {
        initialise(members);
    }
}

auto replica::initialise(const membership &initialMembership) -> void
{
    wire::snapshot initialSnapshot;
    initialSnapshot.index = static_cast<std::int64_t>(FIRST_INDEX);
    initialSnapshot.term = 0;
    initialSnapshot.members = toWire(initialMembership);
    initialSnapshot.state_bytes = acceptance_state().encode();
    const auto bytes = base::encodeThrift(initialSnapshot);
    replaceStorage({m_diskId, m_term, m_votedFor, bytes, {}});
    if (m_role != replica_role::Failed && loadSnapshot(bytes)) {
        refreshMembership();
        m_role = replica_role::Follower;
    }
}

auto replica::startConfirmedRead() -> std::int64_t
{
    m_isHeartbeatDue = true;
    return m_heartbeatRound + 1;
}

auto replica::isReadConfirmed(std::int64_t round) const -> bool
{
    if (!isReady()) {
        return false;
    }
    std::size_t confirmations = 0;
    for (const auto &voter : m_membership.voters) {
        const auto peer = m_memberProgress.find(voter);
        const bool hasConfirmed =
                voter == ownMember()
                        ? m_heartbeatRound >= round
                        : peer != m_memberProgress.end() && peer->second.confirmedRound >= round;
        confirmations += hasConfirmed ? 1 : 0;
    }
    return confirmations >= lease::majorityOf(m_membership.voters.size());
}

auto replica::isReady() const -> bool
{
    return m_role == replica_role::Leader && m_appliedIndex >= m_termStartIndex;
}

auto replica::propose(const wire::command &command) -> void
{
    append({lastIndex() + 1, m_term, base::encodeThrift(command)});
}

auto replica::replaceController(const base::node_id &oldNode, const base::node_id &newNode,
                                const std::string &changeId, base::time_point now) -> std::string
{
    const auto hello = m_receivedHellos.find(newNode);
    const auto &voters = m_membership.voters;
    const auto oldMember =
            std::find_if(voters.begin(), voters.end(),
                         [&oldNode](const auto &voter) { return voter.node == oldNode; });
    const bool isMembershipCommitted =
            m_membershipChanges.empty() || m_membershipChanges.back().first <= m_commitIndex;
    const bool isNewMemberPromoted =
            !m_membership.replacements.empty() && m_membership.learners.empty();
    if (!isMembershipCommitted || isNewMemberPromoted) {
        return "another controller replacement is in progress";
    }
    if (oldMember == voters.end()) {
        return "the controller to replace, " + oldNode.str() + ", is not a voter";
    }
    if (hello == m_receivedHellos.end() || now - hello->second.receivedAt > MAX_HELLO_AGE) {
        return "the new controller has not contacted the leader";
    }
    const member newMember{newNode, hello->second.diskId};
    if (m_membership.isVoter(newMember)) {
        return "the new controller is a voter";
    }
    auto newMembership = m_membership;
    newMembership.learners = {newMember};
    newMembership.replacements = {{*oldMember, newMember, changeId}};
    wire::command command;
    command.kind = static_cast<std::int8_t>(command_kind::Members);
    command.members = toWire(newMembership);
    propose(command);
    return {};
}

} // namespace hawthornpick::control
