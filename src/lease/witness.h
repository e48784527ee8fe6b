#pragma once

#include "base/message.h"
#include "base/time.h"
#include "lease/leasegranter.h"
#include "lease/messages.h"
#include "transfer/contentexchange.h"

#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace hawthornpick::lease {

//! Place of one witness among those of a region.
struct witness_place
{
    base::node_id self;
    base::region_id region;
    //! Increases each time the node restarts.
    base::incarnation incarnation = 0;
    //! All witnesses of the region, `self` included.
    std::vector<base::node_id> witnesses;
    std::vector<base::node_id> controllers;
};

//! Decision object of a witness of one region: answers currency checks, holds prepared and decided
//! versions with their content, and grants named leases. All state is in memory; a restarted
//! witness answers only after it has recovered.
//!
//! Each answer that counts towards a quorum carries the witness's incarnation and the newest
//! incarnations of the other witnesses that it knows. An answer of a life that another member of
//! the quorum knows to be over is not counted. Without this rule a witness could acknowledge a
//! version, restart, recover from witnesses that do not know the version yet, and be counted for
//! it.
//!
//! Thread safety of all members: control thread.
class witness
{
public:
    using messages = std::vector<base::outgoing_message>;

    static constexpr base::milliseconds RECOVER_INTERVAL{200};
    //! Time after the start from which the controllers are asked too.
    static constexpr base::milliseconds CONTROLLER_DELAY{600};
    //! Bounds the memory for nodes that stopped asking.
    static constexpr base::milliseconds FORGET_TIME{60000};

    //! Precondition: `exchange` outlives the witness; `startedAt` is the start of the process.
    witness(witness_place place, transfer::content_exchange &exchange, base::time_point startedAt);

    //! Handles a message of the channel `Currency`.
    auto receive(const base::node_id &from, std::string_view payload, base::time_point now)
            -> messages;

    //! Handles a message of the channel `Lease`.
    auto receiveLease(const base::node_id &from, std::string_view payload, base::time_point now)
            -> messages;

    auto tick(base::time_point now) -> messages;

    //! Reports a prepared version whose content has arrived. Call after the exchange received
    //! something.
    auto poll(base::time_point now) -> messages;

    [[nodiscard]] auto isRecovering() const -> bool { return m_isRecovering; }
    [[nodiscard]] auto decided() const -> const version_id & { return m_decided; }

private:
    // Last check of a node that was answered "none newer".
    struct node_check
    {
        base::incarnation incarnation = 0;
        std::int64_t round = 0;
        base::config_version version = 0;
        base::time_point at;
    };
    struct recovery_vote
    {
        std::int64_t incarnation = 0;
        version_id version;
        std::uint64_t epoch = 0;
        std::map<std::string, std::int64_t> incarnations;
    };

    auto onCheck(const base::node_id &from, const wire::check &check, base::time_point now)
            -> messages;
    auto onRecover(const base::node_id &from, const wire::recover &request) -> messages;
    auto onRecoverAnswer(const base::node_id &from, const wire::recover_answer &answer) -> void;
    auto onControllerAnswer(const base::node_id &from, const wire::controller_answer &answer)
            -> void;
    auto onPrepare(const base::node_id &from, const wire::prepare &request, base::time_point now)
            -> messages;
    auto onAnnounce(const base::node_id &from, const wire::announce &request, base::time_point now)
            -> messages;

    auto askForRecovery(base::time_point now) -> messages;
    auto tryToRecover() -> void;
    auto decide(const version_id &version) -> bool;
    auto noticeToNodes(base::time_point now) const -> messages;
    auto fetchMissing(base::time_point now) -> messages;
    [[nodiscard]] auto drained(base::time_point now) const -> base::config_version;
    [[nodiscard]] auto report(const base::node_id &to, base::time_point now) const
            -> base::outgoing_message;
    [[nodiscard]] auto isMember(const base::node_id &node) const -> bool;

    witness_place m_place;
    transfer::content_exchange &m_exchange;
    base::time_point m_startedAt;
    bool m_isRecovering = true;
    base::time_point m_recoverySentAt;
    std::map<base::node_id, recovery_vote> m_recoveryVotes;
    // Newest known incarnations of the region's witnesses.
    std::map<std::string, std::int64_t> m_incarnations;

    version_id m_decided;
    transfer::content_pointer m_decidedContent;
    version_id m_prepared;
    transfer::content_pointer m_preparedContent;
    base::node_id m_preparer;
    base::node_id m_announcer;
    bool m_drainedReportIsDue = false;
    std::map<base::node_id, node_check> m_checks;
    lease_granter m_granter;
};

//! Returns the members of a quorum whose answers count: those whose incarnation is not older than
//! any member of `answers` knows. `Answer` has `incarnation` and `incarnations`.
//! Thread safety: pure.
template <typename Answer>
auto consistentMembers(const std::map<base::node_id, Answer> &answers) -> std::vector<base::node_id>
{
    std::map<std::string, std::int64_t> newest;
    for (const auto &[node, answer] : answers) {
        for (const auto &[name, incarnation] : answer.incarnations) {
            newest[name] = std::max(newest[name], incarnation);
        }
    }
    std::vector<base::node_id> members;
    for (const auto &[node, answer] : answers) {
        if (answer.incarnation >= newest[node.str()]) {
            members.push_back(node);
        }
    }
    return members;
}

} // namespace hawthornpick::lease
