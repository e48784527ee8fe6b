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

using witness_map = std::map<base::region_id, std::vector<base::node_id>>;

//! Decision object of a controller that, while its replica leads, brings changes into force:
//! propose, prepare at the witnesses, accept, announce, in force. Every decision is a log entry, so
//! a new leader continues where the former one stopped. It also answers operators.
//! Thread safety of all members: control thread.
class acceptance_driver
{
public:
    using messages = std::vector<base::outgoing_message>;

    static constexpr base::milliseconds RESEND_INTERVAL{200};
    //! Interval of announcements to witnesses that are not needed any more to be in force.
    static constexpr base::milliseconds REMINDER_INTERVAL{1000};
    //! Time after which an unprepared change is aborted. A witness that restarts needs less.
    static constexpr base::milliseconds PREPARE_TIME{5000};
    //! Time after which a change whose content cannot be fetched is dropped.
    static constexpr base::milliseconds CONTENT_TIME{10000};
    static constexpr std::size_t MAX_QUEUED_CHANGES = 64;
    static constexpr std::size_t MAX_HISTORY_IN_ANSWER = 200;

    //! Precondition: `replica` and `exchange` outlive the driver.
    acceptance_driver(base::node_id self, witness_map witnesses, replica &log,
                      transfer::content_exchange &exchange);

    auto onOperatorRequest(const base::node_id &from, const wire::operator_request &request,
                           base::time_point now) -> messages;
    auto onWitnessReport(const base::node_id &from, const lease::wire::witness_report &report)
            -> void;
    //! Answers a recovering witness after a confirmed read.
    auto onReadNewest(const base::node_id &from, const lease::wire::read_newest &request) -> void;

    //! Does what the state allows. Call after each `replica::flush`; it may propose entries.
    auto advance(base::time_point now) -> messages;

private:
    struct witness_state
    {
        std::int64_t incarnation = 0;
        std::map<std::string, std::int64_t> incarnations;
        base::config_version prepared = 0;
        base::config_version decided = 0;
        base::config_version drained = 0;
    };
    struct send_state
    {
        base::config_version prepareVersion = 0;
        base::time_point prepareAt;
        base::config_version announceVersion = 0;
        base::time_point announceAt;
    };
    struct queued_change
    {
        std::string id;
        base::config_version base = 0;
        base::digest256 digest;
        base::node_id from;
        base::time_point since;
    };
    struct waiter
    {
        base::node_id from;
        std::int64_t id = 0;
        std::string changeId;
    };
    struct status_read
    {
        base::node_id from;
        wire::operator_request request;
        std::int64_t ticket = 0;
    };
    struct witness_read
    {
        base::node_id from;
        lease::wire::read_newest request;
        std::int64_t ticket = 0;
    };

    auto onApply(const base::node_id &from, const wire::operator_request &request,
                 base::time_point now) -> messages;
    auto onReplace(const base::node_id &from, const wire::operator_request &request,
                   base::time_point now) -> messages;
    auto resetOnNewTerm() -> void;
    auto keepContents() -> void;
    auto answerWaiters(messages &out) -> void;
    auto answerReads(messages &out) -> void;
    auto proposeNext(base::time_point now, messages &out) -> void;
    auto proposeChange(const queued_change &change, const std::string &content) -> void;
    auto drivePrepare(base::time_point now, messages &out) -> void;
    auto driveAnnounce(base::time_point now, messages &out) -> void;
    auto isPrepared(base::config_version version) const -> bool;
    auto drainedEverywhere() const -> base::config_version;
    auto proposeDecision(command_kind kind, base::config_version version) -> void;
    auto statusReply(const status_read &read) const -> wire::operator_reply;

    base::node_id m_self;
    witness_map m_witnesses;
    replica &m_replica;
    transfer::content_exchange &m_exchange;
    std::uint64_t m_term = 0;
    std::deque<queued_change> m_queue;
    std::vector<waiter> m_waiters;
    std::vector<status_read> m_statusReads;
    std::vector<witness_read> m_witnessReads;
    std::map<base::region_id, std::map<base::node_id, witness_state>> m_states;
    std::map<base::region_id, std::map<base::node_id, send_state>> m_sent;
    base::config_version m_preparing = 0;
    base::time_point m_preparingSince;
    base::digest256 m_keptAccepted;
    base::digest256 m_keptPending;
};

} // namespace hawthornpick::control
