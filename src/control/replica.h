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
    //! Waits until all configured controllers are present for the first time, or until a leader
    //! adds it as a learner.
    Uninitialised,
    Follower,
    PreCandidate,
    Candidate,
    Leader,
    //! The disk failed; silent until the process restarts.
    Failed,
};

struct replica_options
{
    base::node_id self;
    //! The controllers of the settings; they are the first voters of a new fleet.
    std::vector<base::node_id> controllers;
    //! Log entries after which a snapshot is taken.
    std::size_t compactAfterEntries = 256;
    std::size_t compactAfterBytes = 4UL * 1024 * 1024;
};

//! Decision object of a controller: the replicated log. Leader election with a trial round before a
//! term is raised, commit by a majority, answers only after a sync, snapshots, single-member
//! changes and reads confirmed by a majority.
//!
//! `receive`, `tick` and `propose` only change the state; `flush` syncs, commits, applies and
//! returns the messages. Thread safety of all members: control thread.
class replica
{
public:
    using messages = std::vector<base::outgoing_message>;

    static constexpr base::milliseconds HEARTBEAT_INTERVAL{250};
    //! Longer than a round trip between regions and a slow sync.
    static constexpr base::milliseconds RESEND_TIME{500};
    //! Random between one and two times this; several heartbeats and a slow sync fit into it.
    static constexpr base::milliseconds ELECTION_TIME{1000};
    static constexpr base::milliseconds HELLO_INTERVAL{500};
    //! An older greeting may come from a disk that has been wiped since.
    static constexpr base::milliseconds HELLO_LIFE{2000};
    //! Bounds one message with log entries.
    static constexpr std::size_t MAX_APPEND_BYTES = 128UL * 1024;
    static constexpr std::size_t MAX_ENTRY_BYTES = 64UL * 1024;

    //! Precondition: `disk` and `exchange` outlive the replica; `loaded` comes from `disk`.
    replica(replica_options options, storage &disk, stored_state loaded,
            transfer::content_exchange &exchange, base::random_source random, base::time_point now);

    //! Handles a message of the kinds `Vote` to `HelloAnswer`, without its kind byte.
    auto receive(const base::node_id &from, std::uint8_t kind, std::string_view payload,
                 base::time_point now) -> void;
    auto tick(base::time_point now) -> void;
    auto flush(base::time_point now) -> messages;

    //! Appends a command. Precondition: `isReady()`.
    auto propose(const wire::command &command) -> void;

    //! Adds `newNode` as a learner that replaces `oldNode` as soon as its copy is durable; both may
    //! be the same node after its disk was wiped. Returns a text that says why not, or an empty
    //! one. The state has a record of `changeId` when the replacement is complete. Precondition:
    //! `isReady()`.
    auto replaceController(const base::node_id &oldNode, const base::node_id &newNode,
                           const std::string &changeId, base::time_point now) -> std::string;

    //! Starts a confirmed read; the state may be read when `isConfirmed(ticket)`.
    //! Precondition: `isReady()`.
    auto startRead() -> std::int64_t;
    [[nodiscard]] auto isConfirmed(std::int64_t ticket) const -> bool;

    //! Returns true for a leader that has committed an entry of its term and has applied all before
    //! it.
    [[nodiscard]] auto isReady() const -> bool;
    //! Returns true if entries wait for their commit.
    [[nodiscard]] auto hasUncommitted() const -> bool { return m_commit < lastIndex(); }
    [[nodiscard]] auto role() const -> replica_role { return m_role; }
    [[nodiscard]] auto term() const -> std::uint64_t { return m_term; }
    [[nodiscard]] auto leader() const -> const base::node_id & { return m_leader; }
    [[nodiscard]] auto state() const -> const acceptance_state & { return m_state; }
    [[nodiscard]] auto members() const -> const membership & { return m_members; }
    [[nodiscard]] auto commitIndex() const -> std::uint64_t { return m_commit; }
    [[nodiscard]] auto failure() const -> const std::string & { return m_failure; }

private:
    // What a leader knows about another member.
    struct progress
    {
        std::uint64_t match = 0;
        std::uint64_t next = 1;
        std::int64_t confirmedRound = 0;
        base::time_point heardAt;
        base::time_point sentAt;
        bool isWaiting = false;
    };

    auto onVote(const base::node_id &from, const wire::vote &request, base::time_point now) -> void;
    auto onVoteAnswer(const base::node_id &from, const wire::vote_answer &answer,
                      base::time_point now) -> void;
    auto onAppend(const base::node_id &from, const wire::append &request, base::time_point now)
            -> void;
    auto onAppendAnswer(const base::node_id &from, const wire::append_answer &answer,
                        base::time_point now) -> void;
    auto onSnapshotOffer(const base::node_id &from, const wire::snapshot_offer &offer,
                         base::time_point now) -> void;
    auto onHello(const base::node_id &from, const wire::hello &hello, base::time_point now) -> void;
    auto onHelloAnswer(const base::node_id &from, const wire::hello_answer &answer) -> void;

    // Election.
    auto startTrial(base::time_point now) -> void;
    auto startElection(base::time_point now) -> void;
    auto askForVotes(bool isTrial) -> void;
    auto becomeLeader(base::time_point now) -> void;
    auto becomeFollower(std::uint64_t term, base::time_point now) -> void;
    auto followLeader(const base::node_id &from, std::uint64_t term, base::time_point now) -> bool;
    auto delayElection(base::time_point now) -> void;
    auto setTermAndVote(std::uint64_t term, std::string votedFor) -> void;
    [[nodiscard]] auto isUpToDate(std::uint64_t lastIndex, std::uint64_t lastTerm) const -> bool;
    [[nodiscard]] auto hasMajority(const std::set<member> &votes) const -> bool;

    // First start of a fleet.
    auto greet(base::time_point now) -> void;
    auto startNewFleet() -> void;
    auto initialise(const membership &members) -> void;

    // Replication.
    auto sendHeartbeats(base::time_point now) -> void;
    auto sendEntries(const member &to, progress &peer, base::time_point now) -> void;
    auto offerSnapshot(const member &to, const progress &peer) -> void;
    auto appendNewEntries(const wire::append &request) -> std::uint64_t;
    auto answerAppend(const base::node_id &to, bool matched, std::uint64_t last, std::int64_t round)
            -> void;
    auto advanceCommit() -> void;
    auto stepDownWithoutMajority(base::time_point now) -> void;
    auto advanceReplacement() -> void;
    [[nodiscard]] auto others() const -> std::vector<member>;

    // Log.
    auto append(log_entry entry) -> void;
    auto truncateFrom(std::uint64_t index) -> void;
    auto applyCommitted() -> void;
    auto compact() -> void;
    auto loadSnapshot(const std::string &bytes) -> bool;
    auto installOffered(base::time_point now) -> void;
    auto refreshMembers() -> void;
    auto sync() -> bool;
    auto fail(const storage_error &error) -> void;
    auto store(const stored_state &state) -> void;
    [[nodiscard]] auto lastIndex() const -> std::uint64_t { return m_snapshotIndex + m_log.size(); }
    [[nodiscard]] auto termAt(std::uint64_t index) const -> std::optional<std::uint64_t>;
    [[nodiscard]] auto entryAt(std::uint64_t index) const -> const log_entry &;
    [[nodiscard]] auto ownMember() const -> member { return {m_options.self, m_disk}; }

    replica_options m_options;
    storage &m_storage;
    transfer::content_exchange &m_exchange;
    base::random_source m_random;

    replica_role m_role = replica_role::Uninitialised;
    std::string m_failure;
    std::uint64_t m_disk = 0;
    std::uint64_t m_term = 0;
    std::string m_votedFor;
    base::node_id m_leader;
    base::time_point m_electionAt;
    base::time_point m_leaderHeardAt;
    std::set<member> m_votes;

    std::deque<log_entry> m_log;
    std::size_t m_logBytes = 0;
    std::uint64_t m_snapshotIndex = 0;
    std::uint64_t m_snapshotTerm = 0;
    transfer::content_pointer m_snapshot;
    base::digest256 m_snapshotDigest;
    membership m_snapshotMembers;
    membership m_members;
    std::deque<std::pair<std::uint64_t, membership>> m_memberChanges;
    // Log entries up to this index have been searched for memberships.
    std::uint64_t m_scanned = 0;
    std::uint64_t m_commit = 0;
    std::uint64_t m_applied = 0;
    acceptance_state m_state;

    std::map<member, progress> m_progress;
    std::int64_t m_round = 0;
    bool m_heartbeatIsDue = false;
    base::time_point m_heartbeatAt;
    std::uint64_t m_termStart = 0;

    std::optional<wire::snapshot_offer> m_offer;
    base::time_point m_helloAt;
    struct hello_record
    {
        std::uint64_t disk = 0;
        base::time_point at;
    };
    std::map<base::node_id, hello_record> m_hellos;
    std::map<base::node_id, std::uint64_t> m_emptyPeers;

    std::vector<storage_item> m_unsynced;
    messages m_out;
};

} // namespace hawthornpick::control
