#pragma once

#include "base/message.h"
#include "base/time.h"
#include "control/messages.h"
#include "control/replica.h"

#include <deque>
#include <map>
#include <string>
#include <vector>

namespace hawthornpick::control {

//! Witnesses of each region.
using witness_map = std::map<base::region_id, std::vector<base::node_id>>;

//! Brings configuration changes into force while the replica of this controller is the leader. A
//! change is proposed, prepared at the witnesses, accepted, announced to the witnesses, and in
//! force once they report that no node serves an older version. Each decision is a log entry, so a
//! new leader continues where the previous one stopped. Also answers operators' requests. The class
//! does no network I/O and reads no clock. Thread safety of all members: control thread.
class acceptance_driver
{
public:
    using messages = std::vector<base::outgoing_message>;

    //! Interval of prepare requests, and of announcements of a version that is not in force yet.
    static constexpr base::milliseconds RESEND_INTERVAL{200};
    //! Interval of announcements of a version that is in force, to witnesses that have not decided
    //! it yet.
    static constexpr base::milliseconds REANNOUNCE_INTERVAL{1000};
    //! A change that is not prepared within this time is aborted. A witness restarts in less time.
    static constexpr base::milliseconds PREPARE_TIMEOUT{5000};
    //! A queued change is dropped without an answer if it could not be proposed, for example
    //! because its content could not be fetched, within this time.
    static constexpr base::milliseconds CONTENT_FETCH_TIMEOUT{10000};
    static constexpr std::size_t MAX_QUEUED_CHANGES = 64;
    static constexpr std::size_t MAX_HISTORY_ENTRIES_IN_REPLY = 200;

    //! Precondition: `ownReplica` and `exchange` outlive the driver.
    acceptance_driver(base::node_id self, witness_map witnesses, replica &ownReplica,
                      transfer::content_exchange &exchange);

    //! Handles an operator's request. A controller that is not a ready leader replies with a
    //! redirect.
    auto onOperatorRequest(const base::node_id &from, const wire::operator_request &request,
                           base::time_point now) -> messages;
    //! Ignores reports from nodes that are not witnesses of the reported region.
    auto onWitnessReport(const base::node_id &from, const lease::wire::witness_report &report)
            -> void;
    //! Starts a confirmed read of the accepted version for a recovering witness.
    auto onReadNewest(const base::node_id &from, const lease::wire::read_newest &request) -> void;

    //! Sends the answers that are ready and takes the next step of a change. May propose entries.
    //! Call after each `replica::flush`.
    auto advance(base::time_point now) -> messages;

private:
    // Newest report of a witness.
    struct witness_state
    {
        std::int64_t incarnation = 0;
        std::map<std::string, std::int64_t> incarnations;
        base::config_version prepared = 0;
        base::config_version decided = 0;
        base::config_version drained = 0;
    };
    // Versions last sent to a witness and when.
    struct send_state
    {
        base::config_version prepareSentVersion = 0;
        base::time_point prepareSentAt;
        base::config_version announceSentVersion = 0;
        base::time_point announceSentAt;
    };
    struct queued_change
    {
        std::string id;
        base::config_version baseVersion = 0;
        base::digest256 digest;
        base::node_id requester;
        base::time_point queuedAt;
    };
    // Request to apply a change that is answered when the result of the change is known.
    struct pending_reply
    {
        base::node_id requester;
        std::int64_t requestId = 0;
        std::string changeId;
    };
    struct status_read
    {
        base::node_id requester;
        wire::operator_request request;
        std::int64_t round = 0;
    };
    struct witness_read
    {
        base::node_id requester;
        lease::wire::read_newest request;
        std::int64_t round = 0;
    };

    auto onApply(const base::node_id &from, const wire::operator_request &request,
                 base::time_point now) -> messages;
    auto onReplaceController(const base::node_id &from, const wire::operator_request &request,
                             base::time_point now) -> messages;
    auto resetOnNewTerm() -> void;
    auto storeContents() -> void;
    auto sendPendingReplies(messages &out) -> void;
    auto answerConfirmedReads(messages &out) -> void;
    auto proposeNextChange(base::time_point now, messages &out) -> void;
    auto proposeChange(const queued_change &change, const std::string &content) -> void;
    auto advancePrepare(base::time_point now, messages &out) -> void;
    auto advanceAnnouncement(base::time_point now, messages &out) -> void;
    auto isPreparedInAllRegions(base::config_version version) const -> bool;
    auto drainedInAllRegions() const -> base::config_version;
    auto proposeDecision(command_kind kind, base::config_version version) -> void;
    auto makeStatusReply(const status_read &read) const -> wire::operator_reply;

    base::node_id m_self;
    witness_map m_witnesses;
    replica &m_replica;
    transfer::content_exchange &m_exchange;
    // Term that the queued changes and pending replies belong to.
    std::uint64_t m_term = 0;
    std::deque<queued_change> m_queuedChanges;
    std::vector<pending_reply> m_pendingReplies;
    std::vector<status_read> m_statusReads;
    std::vector<witness_read> m_witnessReads;
    std::map<base::region_id, std::map<base::node_id, witness_state>> m_witnessStates;
    std::map<base::region_id, std::map<base::node_id, send_state>> m_sendStates;
    base::config_version m_preparingVersion = 0;
    base::time_point m_prepareStartedAt;
    base::digest256 m_storedAcceptedDigest;
    base::digest256 m_storedPendingDigest;
};

} // namespace hawthornpick::control
