#pragma once

#include "base/message.h"
#include "base/random.h"
#include "base/time.h"
#include "control/acceptancestate.h"
#include "control/logentry.h"
#include "control/storage.h"
#include "transfer/contentexchange.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace hawthornpick::control {

//! Role of a replica.
enum class replica_role : std::uint8_t {
    //! Has no log yet. Leaves this role when all configured controllers are found uninitialised,
    //! when
    //! an initialised controller lists it as a voter, or when it installs a snapshot from a leader.
    Uninitialised,
    Follower,
    PreCandidate,
    Candidate,
    Leader,
    //! The storage failed; the replica sends and handles no messages until the process restarts.
    Failed,
};

struct replica_options
{
    base::node_id self;
    //! The controllers from the settings; they are the initial voters of a new fleet.
    std::vector<base::node_id> controllers;
    //! The log is compacted into a snapshot once this many entries are applied since the last one.
    std::size_t compactAfterEntries = 256;
    //! The log is also compacted once the commands of its entries take up this many bytes.
    std::size_t compactAfterBytes = 4UL * 1024 * 1024;
};

//! Replica of the controllers' replicated log, following Raft. A leader is elected after a pre-vote
//! round, which does not raise the term. Entries commit by a majority of the voters, messages leave
//! only after the storage is synced, the log is compacted into snapshots, membership changes one
//! member at a time, and reads are confirmed by a majority of the voters.
//!
//! `receive`, `tick` and `propose` change the state in memory only; `flush` syncs the storage,
//! commits, applies and returns the messages to send. The class does no network I/O and reads no
//! clock. Thread safety of all members: control thread.
class replica
{
public:
    using messages = std::vector<base::outgoing_message>;

    static constexpr base::milliseconds HEARTBEAT_INTERVAL{250};
    //! Unanswered log entries are sent again after this time. It is longer than a round trip
    //! between regions plus a slow sync.
    static constexpr base::milliseconds RESEND_TIMEOUT{500};
    //! Each election timeout is random between one and two times this. Several heartbeats and a
    //! slow sync fit into it.
    static constexpr base::milliseconds MIN_ELECTION_TIMEOUT{1000};
    static constexpr base::milliseconds HELLO_INTERVAL{500};
    //! A hello older than this is ignored, as the disk of its sender may have been wiped since.
    static constexpr base::milliseconds MAX_HELLO_AGE{2000};
    //! Entries are added to an append message until their commands reach this size.
    static constexpr std::size_t MAX_APPEND_BYTES = 128UL * 1024;
    //! Largest piece of a change's content in one log entry.
    static constexpr std::size_t MAX_ENTRY_BYTES = 64UL * 1024;

    //! Precondition: `logStorage` and `exchange` outlive the replica; `loaded` was loaded from
    //! `logStorage`.
    replica(replica_options options, storage &logStorage, stored_state loaded,
            transfer::content_exchange &exchange, base::random_source random, base::time_point now);

    //! Handles a message of the kinds `Vote` to `HelloAnswer`. `payload` is the message without its
    //! kind byte; other kinds and payloads that cannot be decoded are ignored.
    auto receive(const base::node_id &from, std::uint8_t kind, std::string_view payload,
                 base::time_point now) -> void;
    auto tick(base::time_point now) -> void;
    auto flush(base::time_point now) -> messages;

    //! Appends a command to the log. Precondition: `isReady()`.
    auto propose(const wire::command &command) -> void;

    //! Adds `newNode` as a learner. Once its copy of the log is durable, it becomes a voter and
    //! `oldNode` is removed; both may be the same node after its disk was wiped. Returns an empty
    //! string if the replacement was started, otherwise the reason for the refusal. When the
    //! replacement is complete, the state has a record of `changeId`. Precondition: `isReady()`.
    auto replaceController(const base::node_id &oldNode, const base::node_id &newNode,
                           const std::string &changeId, base::time_point now) -> std::string;

    //! Starts a confirmed read and returns its heartbeat round. `state()` includes everything that
    //! was committed before the call once `isReadConfirmed(round)` returns true.
    //! Precondition: `isReady()`.
    auto startConfirmedRead() -> std::int64_t;
    //! Returns true if a majority of the voters answered heartbeat round `round` or a later one and
    //! this replica is still a ready leader.
    [[nodiscard]] auto isReadConfirmed(std::int64_t round) const -> bool;

    //! Returns true for a leader that has committed the first entry of its term and applied the log
    //! up to it.
    [[nodiscard]] auto isReady() const -> bool;
    //! Returns true if the log has entries that are not committed.
    [[nodiscard]] auto hasUncommitted() const -> bool { return m_commitIndex < lastIndex(); }
    [[nodiscard]] auto role() const -> replica_role { return m_role; }
    [[nodiscard]] auto term() const -> std::uint64_t { return m_term; }
    [[nodiscard]] auto leader() const -> const base::node_id & { return m_leader; }
    [[nodiscard]] auto state() const -> const acceptance_state & { return m_state; }
    [[nodiscard]] auto members() const -> const membership & { return m_membership; }
    [[nodiscard]] auto commitIndex() const -> std::uint64_t { return m_commitIndex; }
    //! Returns the detail of the storage error; empty unless the role is `Failed`.
    [[nodiscard]] auto failure() const -> const std::string & { return m_failure; }

private:
    // Replication progress of another member, kept by the leader.
    struct member_progress
    {
        std::uint64_t matchIndex = 0;
        std::uint64_t nextIndex = 1;
        std::int64_t confirmedRound = 0;
        base::time_point lastContactAt;
        base::time_point sentAt;
        bool isAwaitingAnswer = false;
    };

    auto onVoteRequest(const base::node_id &from, const wire::vote &request, base::time_point now)
            -> void;
    auto onVoteAnswer(const base::node_id &from, const wire::vote_answer &answer,
                      base::time_point now) -> void;
    auto onAppendRequest(const base::node_id &from, const wire::append &request,
                         base::time_point now) -> void;
    auto onAppendAnswer(const base::node_id &from, const wire::append_answer &answer,
                        base::time_point now) -> void;
    auto onSnapshotOffer(const base::node_id &from, const wire::snapshot_offer &offer,
                         base::time_point now) -> void;
    auto onHello(const base::node_id &from, const wire::hello &hello, base::time_point now) -> void;
    auto onHelloAnswer(const base::node_id &from, const wire::hello_answer &answer) -> void;

    // Election.
    auto startPreVote(base::time_point now) -> void;
    auto startElection(base::time_point now) -> void;
    auto requestVotes(bool isPreVote) -> void;
    auto becomeLeader(base::time_point now) -> void;
    auto becomeFollower(std::uint64_t term, base::time_point now) -> void;
    auto followLeader(const base::node_id &from, std::uint64_t term, base::time_point now) -> bool;
    auto resetElectionTimer(base::time_point now) -> void;
    auto setTermAndVote(std::uint64_t term, std::string votedFor) -> void;
    [[nodiscard]] auto isUpToDate(std::uint64_t candidateLastIndex,
                                  std::uint64_t candidateLastTerm) const -> bool;
    [[nodiscard]] auto hasMajority(const std::set<member> &supporters) const -> bool;

    // Bootstrap of a new fleet and contact between controllers.
    auto sendHellos(base::time_point now) -> void;
    auto bootstrapFleet() -> void;
    auto initialise(const membership &initialMembership) -> void;

    // Replication.
    auto sendHeartbeats(base::time_point now) -> void;
    auto sendEntries(const member &to, member_progress &peer, base::time_point now) -> void;
    auto offerSnapshot(const member &to, const member_progress &peer) -> void;
    auto appendNewEntries(const wire::append &request) -> std::uint64_t;
    // `reportedIndex` is the last index that equals the leader's log if `matched`, otherwise the
    // index from which the leader continues its search.
    auto sendAppendAnswer(const base::node_id &to, bool matched, std::uint64_t reportedIndex,
                          std::int64_t round) -> void;
    auto advanceCommit() -> void;
    auto stepDownWithoutMajority(base::time_point now) -> void;
    auto advanceReplacement() -> void;
    [[nodiscard]] auto otherMembers() const -> std::vector<member>;

    // Log.
    auto append(log_entry entry) -> void;
    auto truncateFrom(std::uint64_t index) -> void;
    auto applyCommitted() -> void;
    auto compact() -> void;
    auto loadSnapshot(const std::string &snapshotBytes) -> bool;
    auto installOfferedSnapshot(base::time_point now) -> void;
    auto refreshMembership() -> void;
    auto syncStorage() -> bool;
    auto failStorage(const storage_error &error) -> void;
    auto replaceStorage(const stored_state &state) -> void;
    [[nodiscard]] auto lastIndex() const -> std::uint64_t
    {
        return m_snapshotIndex + m_logEntries.size();
    }
    [[nodiscard]] auto termAt(std::uint64_t index) const -> std::optional<std::uint64_t>;
    [[nodiscard]] auto entryAt(std::uint64_t index) const -> const log_entry &;
    [[nodiscard]] auto ownMember() const -> member { return {m_options.self, m_diskId}; }

    replica_options m_options;
    storage &m_storage;
    transfer::content_exchange &m_exchange;
    base::random_source m_random;

    replica_role m_role = replica_role::Uninitialised;
    std::string m_failure;
    std::uint64_t m_diskId = 0;
    std::uint64_t m_term = 0;
    std::string m_votedFor;
    base::node_id m_leader;
    base::time_point m_electionDeadline;
    base::time_point m_lastLeaderContactAt;
    std::set<member> m_grantedVotes;

    std::deque<log_entry> m_logEntries;
    std::size_t m_logBytes = 0;
    std::uint64_t m_snapshotIndex = 0;
    std::uint64_t m_snapshotTerm = 0;
    transfer::content_pointer m_snapshotBytes;
    base::digest256 m_snapshotDigest;
    membership m_snapshotMembership;
    membership m_membership;
    std::deque<std::pair<std::uint64_t, membership>> m_membershipChanges;
    // Log entries up to this index have been scanned for membership changes.
    std::uint64_t m_scannedIndex = 0;
    std::uint64_t m_commitIndex = 0;
    std::uint64_t m_appliedIndex = 0;
    acceptance_state m_state;

    std::map<member, member_progress> m_memberProgress;
    std::int64_t m_heartbeatRound = 0;
    bool m_isHeartbeatDue = false;
    base::time_point m_lastHeartbeatAt;
    std::uint64_t m_termStartIndex = 0;

    std::optional<wire::snapshot_offer> m_pendingSnapshotOffer;
    base::time_point m_lastHelloAt;
    struct received_hello
    {
        std::uint64_t diskId = 0;
        base::time_point receivedAt;
    };
    std::map<base::node_id, received_hello> m_receivedHellos;
    std::map<base::node_id, std::uint64_t> m_uninitialisedPeers;

    std::vector<storage_item> m_unsyncedItems;
    messages m_outgoing;
};

} // namespace hawthornpick::control
