#pragma once

#include "base/message.h"
#include "base/random.h"
#include "base/time.h"
#include "quorum/messages.h"

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace hawthornpick::quorum {

enum class replica_role : std::uint8_t {
    Follower,
    PreCandidate,
    Candidate,
    Leader,
};

struct replica_options
{
    base::node_id self;
    //! Voters of the initial value. Set only at the first start of the whole system, and used only
    //! by a node with an empty disk; empty otherwise.
    std::vector<base::node_id> firstMembers;
    //! Nodes to which a member without a leader sends join requests, besides the known voters.
    std::vector<base::node_id> contacts;
};

//! State to write to disk. The owner calls `replica::onStatePersisted` with `revision` once the
//! write is durable.
struct storage_job
{
    //! Number of the state change that the job contains; increases with each change.
    std::uint64_t revision = 0;
    durable_state state;
    //! True if `state.value` differs from the one of the previous job.
    bool hasNewValue = false;
};

//! Answer to a request that `replica::submit` or `replica::read` started on this replica.
struct completed_request
{
    std::uint64_t requestId = 0;
    group_answer answer;
};

//! Replica of the quorum group: a replicated register that holds the configuration, the evacuations
//! and the list of voters. Performs no I/O; its owner delivers messages, calls `tick` and writes
//! the storage jobs.
//!
//! A majority of the voters elects a leader; a pre-vote round precedes each new term. A value is
//! committed when a majority of the voters has it on disk. Each value contains the whole state, so
//! a voter keeps only the newest one. The list of voters changes by one member at a time. A voter
//! acknowledges only what is on its disk; a slow or hanging disk delays the acknowledgement of
//! values and votes, but not the answers to heartbeats.
//!
//! Thread safety of all members: one thread.
class replica
{
public:
    using messages = std::vector<base::outgoing_message>;

    static constexpr base::milliseconds HEARTBEAT_INTERVAL{200};
    //! Lower limit of the random election timeout; the upper limit is twice as long. Covers four
    //! heartbeats and a round trip between regions.
    static constexpr base::milliseconds MIN_ELECTION_TIMEOUT{800};
    //! Lower limit and random addition of the election timeout during `STARTUP_PERIOD`, for a
    //! member that has not heard a leader since its start. It is shorter because all members may
    //! have been killed together, and a pre-vote does not disturb an existing leader. It is longer
    //! than a round trip between regions and a disk write.
    static constexpr base::milliseconds STARTUP_ELECTION_TIMEOUT_MIN{120};
    static constexpr base::milliseconds STARTUP_ELECTION_TIMEOUT_SPREAD{300};
    //! Time after its start during which a member uses the startup election timeout. Members that
    //! are restarted together start within a second.
    static constexpr base::milliseconds STARTUP_PERIOD{3000};
    //! Time after which the leader sends a value again to a member that has not acknowledged it.
    static constexpr base::milliseconds VALUE_RESEND_INTERVAL{400};
    static constexpr base::milliseconds JOIN_REQUEST_INTERVAL{400};
    //! Time without an answer or join request after which the leader may remove a voter. Longer
    //! than an election, and short enough for a replacement within 4 s.
    static constexpr base::milliseconds VOTER_SILENCE_TIMEOUT{2500};

    //! Preconditions: `loaded` is the state on disk; `edit` is a pure function.
    replica(replica_options options, durable_state loaded, edit_function edit,
            base::random_source random, base::time_point now);

    //! Handles a message from another member. Ignores operator requests and answers.
    auto receive(const base::node_id &from, const message &content, base::time_point now) -> void;

    //! Runs the timers: elections, heartbeats, resends and join requests. The owner calls it at
    //! least every 50 ms.
    auto tick(base::time_point now) -> void;

    //! Starts a change and returns its request ID, with which `takeCompletedRequests` returns the
    //! answer. The answer is `group_unavailable` unless `isReadyLeader()`.
    auto submit(config_change change, base::time_point now) -> std::uint64_t;

    //! Starts an evacuation order, as `submit` does a change. Several orders with the same base
    //! revision can be in flight; the first one is applied and the others are answered as outdated.
    auto submitOrder(evacuation_order order, base::time_point now) -> std::uint64_t;

    //! Starts a read of the committed value, which is answered once a majority of the voters has
    //! confirmed the leader. Returns its request ID as `submit` does.
    auto read(base::time_point now) -> std::uint64_t;
    //! As `read`, for the evacuations.
    auto readEvacuations(base::time_point now) -> std::uint64_t;

    //! Reports that the state of the storage job with this revision is on disk.
    auto onStatePersisted(std::uint64_t revision, base::time_point now) -> void;

    //! Returns the current state if it is not on disk and no write is in flight. The owner writes
    //! it and calls `onStatePersisted`.
    auto takeStorageJob() -> std::optional<storage_job>;
    auto takeMessages() -> messages { return std::exchange(m_outgoing, {}); }
    auto takeCompletedRequests() -> std::vector<completed_request>
    {
        return std::exchange(m_completedRequests, {});
    }

    //! Newest value known to be committed; null until the first one.
    [[nodiscard]] auto committed() const -> const value_pointer & { return m_committed; }

    //! On a follower or candidate: true if a leader confirmed at most `maxAge` ago that
    //! `committed()` is the leader's newest committed value. On a leader: the same as
    //! `isReadyLeader()`.
    [[nodiscard]] auto isFresh(base::time_point now, base::duration maxAge) const -> bool;

    //! True for a leader that has committed a value of its own term and so accepts requests.
    [[nodiscard]] auto isReadyLeader() const -> bool;
    [[nodiscard]] auto role() const -> replica_role { return m_role; }
    [[nodiscard]] auto term() const -> std::uint64_t { return m_state.term; }
    //! Leader of the current term; empty if unknown.
    [[nodiscard]] auto leader() const -> const base::node_id & { return m_leader; }
    [[nodiscard]] auto self() const -> member { return {m_options.self, m_state.diskId}; }
    //! Newest value held here, committed or not; null until one is received.
    [[nodiscard]] auto newest() const -> const value_pointer & { return m_state.value; }

private:
    // Replication state that the leader keeps for another member.
    struct peer_progress
    {
        value_position durablePosition;
        value_position sentPosition;
        base::time_point valueSentAt;
        base::time_point lastHeardAt;
        std::int64_t confirmedRound = 0;
    };
    struct queued_change
    {
        std::uint64_t requestId = 0;
        std::variant<config_change, evacuation_order> request;
    };
    // Request whose answer is sent once a majority has confirmed the leader.
    struct pending_confirmation
    {
        std::uint64_t requestId = 0;
        //! First confirmation round that began after the request.
        std::int64_t requiredRound = 0;
        //! Returns the answer from the committed value; null for a request whose answer is known.
        group_answer (*readAnswer)(const group_value &committed) = nullptr;
        //! Answer to a change or order that needs no new value.
        std::optional<group_answer> answer = std::nullopt;
    };
    // Message that is sent once the state with `requiredRevision` is on disk.
    struct deferred_message
    {
        std::uint64_t requiredRevision = 0;
        base::outgoing_message message;
    };

    auto handle(const vote_request &request, base::time_point now) -> void;
    auto handle(const vote_answer &answer, base::time_point now) -> void;
    auto handle(const append_request &request, base::time_point now) -> void;
    auto handle(const append_answer &answer, base::time_point now) -> void;
    auto handle(const join_request &request, base::time_point now) -> void;

    // Election (replicaelection.cpp).
    auto startElection(base::time_point now, bool isPreVote) -> void;
    auto countVotes(base::time_point now) -> void;
    auto becomeLeader(base::time_point now) -> void;
    auto becomeFollower(std::uint64_t term, base::time_point now) -> void;
    auto resetElectionTimer(base::time_point now) -> void;
    [[nodiscard]] auto hasRecentLeader(base::time_point now) const -> bool;
    [[nodiscard]] auto mayVoteFor(const vote_request &request, base::time_point now) const -> bool;
    auto stepDownWithoutMajority(base::time_point now) -> void;

    // Replication (replica.cpp).
    auto sendAppends(base::time_point now, bool isHeartbeat) -> void;
    auto sendAppend(const member &to, peer_progress &progress, base::time_point now) -> void;
    auto advanceCommit(base::time_point now) -> void;
    auto commitValue(const value_pointer &value) -> void;
    auto completeConfirmedRequests() -> void;
    auto proposeNextValue(base::time_point now) -> void;
    auto applyQueuedChanges(group_value &next, base::time_point now) -> bool;
    auto applyRequest(const config_change &change, group_value &next) -> group_answer;
    static auto applyRequest(const evacuation_order &order, group_value &next) -> group_answer;
    auto enqueue(std::variant<config_change, evacuation_order> request, base::time_point now)
            -> std::uint64_t;
    auto startRead(group_answer (*readAnswer)(const group_value &committed), base::time_point now)
            -> std::uint64_t;
    auto proposeValue(group_value next, base::time_point now) -> void;
    auto failRequests(const std::string &reason) -> void;
    auto completeRequest(std::uint64_t requestId, group_answer answer) -> void;

    // Members (replicamembers.cpp).
    auto nextVoters(base::time_point now) const -> std::optional<std::vector<member>>;
    auto voterToRemove(base::time_point now) const -> std::optional<member>;
    auto learnerToPromote() const -> std::optional<member>;
    auto sendJoinRequests(base::time_point now) -> void;
    auto removeSilentLearners(base::time_point now) -> void;

    //! Makes the current state due for writing.
    auto markStateChanged(bool hasNewValue) -> void;
    auto send(const base::node_id &to, const message &content) -> void;
    //! Sends the message once the current state is on disk.
    auto sendWhenDurable(const base::node_id &to, const message &content) -> void;
    [[nodiscard]] auto isMajority(std::size_t count) const -> bool;
    [[nodiscard]] auto isVoter() const -> bool;
    [[nodiscard]] auto newestPosition() const -> value_position;
    [[nodiscard]] auto isNewestValueCommitted() const -> bool;

    replica_options m_options;
    edit_function m_edit;
    base::random_source m_random;

    durable_state m_state;
    std::uint64_t m_stateRevision = 0;
    std::uint64_t m_durableRevision = 0;
    bool m_isWriteInFlight = false;
    bool m_hasUnwrittenValue = false;
    // Position of the value in the write in flight, and of the newest value on disk.
    value_position m_inFlightWritePosition;
    value_position m_durablePosition;
    std::vector<deferred_message> m_deferredMessages;

    replica_role m_role = replica_role::Follower;
    base::node_id m_leader;
    base::time_point m_electionDeadline;
    base::time_point m_leaderLastHeardAt;
    base::time_point m_startedAt;
    bool m_hasHeardLeader = false;
    // Last time at which a leader confirmed that `m_committed` is its newest committed value.
    std::optional<base::time_point> m_lastConfirmedCurrentAt;
    base::time_point m_nextJoinRequestAt;
    std::set<member> m_grantedVotes;
    value_pointer m_committed;

    // Used by a leader only.
    std::map<member, peer_progress> m_progress;
    std::set<member> m_learners;
    std::int64_t m_confirmationRound = 0;
    base::time_point m_nextHeartbeatAt;
    base::time_point m_leaderSince;
    std::deque<queued_change> m_queuedChanges;
    // Answers to the changes contained in the newest value, sent when that value is committed.
    std::vector<completed_request> m_answersAwaitingCommit;
    std::vector<pending_confirmation> m_pendingConfirmations;

    std::uint64_t m_lastRequestId = 0;
    std::vector<completed_request> m_completedRequests;
    messages m_outgoing;
};

} // namespace hawthornpick::quorum
