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

//! Identity of a witness and the members of its region.
struct witness_place
{
    base::node_id self;
    base::region_id region;
    //! Increases each time the node restarts.
    base::incarnation incarnation = 0;
    //! All witnesses of the region, `self` included.
    std::vector<base::node_id> witnesses;
    //! All controllers; a restarted witness can recover from any one of them.
    std::vector<base::node_id> controllers;
};

//! Decision object of a witness of one region: answers currency checks, stores the prepared and the
//! decided configuration version with their content, and grants named leases. All state is in
//! memory. A restarted witness answers checks, announcements and lease requests only after it has
//! recovered the decided version from a majority of the region's witnesses or from a controller.
//!
//! Each answer that counts towards a quorum carries the witness's own incarnation and the newest
//! incarnations that it knows of the other witnesses. An answer is not counted if another member of
//! the quorum knows a newer incarnation of its sender. Without this rule, a witness could
//! acknowledge a version, restart, recover from witnesses that do not know the version yet, and
//! still be counted as knowing it.
//!
//! Thread safety of all members: control thread.
class witness
{
public:
    using messages = std::vector<base::outgoing_message>;

    //! Interval between the recovery requests of a recovering witness.
    static constexpr base::milliseconds RECOVERY_REQUEST_INTERVAL{200};
    //! Time after the start from which a recovering witness also asks the controllers.
    static constexpr base::milliseconds CONTROLLER_REQUEST_DELAY{600};
    //! Time after which the record of a node that sends no more checks is removed, to bound memory.
    static constexpr base::milliseconds CHECK_RETENTION_TIME{60000};

    //! Precondition: `exchange` outlives the witness; `startedAt` is the start of the process.
    witness(witness_place place, transfer::content_exchange &exchange, base::time_point startedAt);

    //! Handles a message of the channel `Currency`. Returns the messages to send; malformed
    //! messages and those for other regions are ignored.
    auto receive(const base::node_id &from, std::string_view payload, base::time_point now)
            -> messages;

    //! Handles a message of the channel `Lease`. Returns the answer to send; there is none while
    //! the witness is recovering and for `GRANT_DURATION` after its start.
    auto receiveLease(const base::node_id &from, std::string_view payload, base::time_point now)
            -> messages;

    //! Sends recovery requests and content requests that are due, and the reports of `poll`.
    auto tick(base::time_point now) -> messages;

    //! Returns reports that have become due: that the content of the prepared version is stored,
    //! and that no node uses a version older than the decided one. Call after the exchange has
    //! received content.
    auto poll(base::time_point now) -> messages;

    [[nodiscard]] auto isRecovering() const -> bool { return m_isRecovering; }
    //! Returns the newest decided version that this witness knows, with version 0 if there is none.
    [[nodiscard]] auto decided() const -> const version_id & { return m_decided; }

private:
    // Newest check of a node that this witness confirmed, that is, answered without a newer
    // version. The node may use `version` under a lease that counts from this check.
    struct confirmed_check
    {
        base::incarnation incarnation = 0;
        std::int64_t round = 0;
        base::config_version version = 0;
        base::time_point confirmedAt;
    };
    struct recovery_reply
    {
        // Incarnation of the witness that replied.
        std::int64_t incarnation = 0;
        version_id version;
        // Highest epoch of the named leases that the witness knows.
        std::uint64_t epoch = 0;
        // Newest incarnations of the region's witnesses that the witness knows.
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

    auto sendRecoveryRequests(base::time_point now) -> messages;
    // Ends the recovery if a majority of the region's witnesses has sent consistent replies.
    auto recoverFromQuorum() -> void;
    // Returns false if `version` is not newer than the known decided version.
    auto adoptDecided(const version_id &version) -> bool;
    // Sends the decided version to nodes that may use an older one. They would find out with their
    // next check; the notice saves that time.
    auto notifyOutdatedNodes(base::time_point now) const -> messages;
    auto requestMissingContent(base::time_point now) -> messages;
    // Returns the oldest version that a node may still use under a lease of this witness, or 0 if
    // that is unknown.
    [[nodiscard]] auto drainedVersion(base::time_point now) const -> base::config_version;
    [[nodiscard]] auto makeReport(const base::node_id &to, base::time_point now) const
            -> base::outgoing_message;
    [[nodiscard]] auto isRegionWitness(const base::node_id &node) const -> bool;

    witness_place m_place;
    transfer::content_exchange &m_exchange;
    base::time_point m_startedAt;
    bool m_isRecovering = true;
    base::time_point m_recoveryRequestSentAt;
    std::map<base::node_id, recovery_reply> m_recoveryReplies;
    // Newest known incarnations of the region's witnesses, by node name.
    std::map<std::string, std::int64_t> m_incarnations;

    version_id m_decided;
    transfer::content_pointer m_decidedContent;
    version_id m_prepared;
    transfer::content_pointer m_preparedContent;
    base::node_id m_prepareSender;
    base::node_id m_announceSender;
    // True while the announcing controller waits for the report that older versions are no longer
    // in use.
    bool m_isDrainedReportDue = false;
    std::map<base::node_id, confirmed_check> m_confirmedChecks;
    lease_granter m_granter;
};

//! Returns the nodes whose answers count towards a quorum: those for which no member of `answers`
//! knows a newer incarnation than that of the answer. `Answer` has the members `incarnation`, that
//! of the answering node, and `incarnations`, the newest ones it knows by node name.
//! Thread safety: pure.
template <typename Answer>
auto consistentMembers(const std::map<base::node_id, Answer> &answers) -> std::vector<base::node_id>
{
    std::map<std::string, std::int64_t> newestIncarnations;
    for (const auto &[node, answer] : answers) {
        for (const auto &[name, incarnation] : answer.incarnations) {
            newestIncarnations[name] = std::max(newestIncarnations[name], incarnation);
        }
    }
    std::vector<base::node_id> members;
    for (const auto &[node, answer] : answers) {
        if (answer.incarnation >= newestIncarnations[node.str()]) {
            members.push_back(node);
        }
    }
    return members;
}

} // namespace hawthornpick::lease
