#pragma once

#include "base/message.h"
#include "base/random.h"
#include "base/time.h"
#include "lease/messages.h"

#include <atomic>
#include <deque>
#include <optional>
#include <set>
#include <string_view>
#include <vector>

namespace hawthornpick::lease {

//! Identity of a node and the witnesses of its region, as currency checks and named leases need
//! them.
struct node_place
{
    base::node_id self;
    base::region_id region;
    //! Increases each time the node restarts.
    base::incarnation incarnation = 0;
    //! Witnesses of the node's region.
    std::vector<base::node_id> witnesses;
};

//! Decision object that runs on every node: regularly asks the region's witnesses whether the
//! node's configuration version is the newest one. While a majority has confirmed it within the
//! lease duration, the node holds the currency lease, that is, no newer version can be in force.
//! Thread safety of all members but `isCurrent`: control thread.
class currency_client
{
public:
    using messages = std::vector<base::outgoing_message>;

    //! Time after the start of a round after which the remaining witnesses are asked if no majority
    //! has confirmed the version. A round first asks only as many witnesses as form a majority,
    //! which with five witnesses saves two fifths of the messages.
    static constexpr base::milliseconds ASK_REMAINING_DELAY{150};

    //! Precondition: `random` has a different seed at each start of the node.
    currency_client(node_place place, base::random_source random);

    //! Sets the configuration version that the node uses. After a change, the next tick sends the
    //! check to all witnesses, so that they learn that the node no longer uses the older version.
    //! Precondition: `version` does not decrease.
    auto setVersion(base::config_version version) -> void;

    //! Handles a message of the channel `Currency`; answers of nodes that are not witnesses of the
    //! region are ignored. Returns no messages.
    auto receive(const base::node_id &from, std::string_view payload, base::time_point now)
            -> messages;

    //! Returns the checks that are due.
    auto tick(base::time_point now) -> messages;

    //! Returns true if no newer version can be in force at `now`.
    //! Thread safety: any thread, lock-free.
    [[nodiscard]] auto isCurrent(base::time_point now) const -> bool;

    //! Returns the newest decided version that a witness has reported, with version 0 if there is
    //! none.
    [[nodiscard]] auto newestHeard() const -> const version_id & { return m_newestReported; }

    //! Returns the witness that reported `newestHeard`; empty if there is none.
    [[nodiscard]] auto heardFrom() const -> const base::node_id & { return m_newestReportedBy; }

private:
    struct check_round
    {
        std::int64_t number = 0;
        base::config_version version = 0;
        base::time_point startedAt;
        // Witnesses that were not asked yet, in random order.
        std::vector<base::node_id> unaskedWitnesses;
        std::set<base::node_id> confirmedBy;
        bool isConfirmedByMajority = false;
    };

    auto startRound(base::time_point now) -> messages;
    // Asks the witnesses that the round has not asked yet.
    auto askRemainingWitnesses(check_round &round) -> messages;
    auto makeCheck(const base::node_id &witness, const check_round &round) const
            -> base::outgoing_message;
    // Counts the confirmation and extends the lease if it completes a majority.
    auto onConfirmation(const base::node_id &from, std::int64_t roundNumber) -> void;

    node_place m_place;
    base::random_source m_random;
    base::config_version m_version = 0;
    bool m_hasVersionChanged = false;
    std::int64_t m_lastRoundNumber;
    std::deque<check_round> m_rounds;
    version_id m_newestReported;
    base::node_id m_newestReportedBy;
    std::atomic<base::time_point::rep> m_leaseDeadline{
            base::time_point::min().time_since_epoch().count()};
};

} // namespace hawthornpick::lease
