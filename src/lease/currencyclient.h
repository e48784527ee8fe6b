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

//! Place of a node in the fleet, as far as currency checks and leases need it.
struct node_place
{
    base::node_id self;
    base::region_id region;
    //! Increases each time the node restarts.
    base::incarnation incarnation = 0;
    //! Witnesses of the node's region.
    std::vector<base::node_id> witnesses;
};

//! Decision object of every node: asks the region's witnesses whether the node's configuration
//! version is the newest and keeps the currency lease.
//! Thread safety of all members but `isCurrent`: control thread.
class currency_client
{
public:
    using messages = std::vector<base::outgoing_message>;

    //! The first part of a round goes to a bare majority, which saves two fifths of the messages;
    //! the others are asked after this time without a majority of answers.
    static constexpr base::milliseconds WIDEN_TIME{150};

    currency_client(node_place place, base::random_source random);

    //! Tells the version that the node serves. If it is new, the next tick checks with all
    //! witnesses, so that these learn that the node left the older version.
    //! Precondition: `version` does not decrease.
    auto setVersion(base::config_version version) -> void;

    auto receive(const base::node_id &from, std::string_view payload, base::time_point now)
            -> messages;
    auto tick(base::time_point now) -> messages;

    //! Returns true if no newer version can be in force at `now`.
    //! Thread safety: any thread, lock-free.
    [[nodiscard]] auto isCurrent(base::time_point now) const -> bool;

    //! Returns the newest decided version that a witness named, with version 0 if none did.
    [[nodiscard]] auto newestHeard() const -> const version_id & { return m_newest; }

    //! Returns the witness that named the newest version.
    [[nodiscard]] auto heardFrom() const -> const base::node_id & { return m_heardFrom; }

private:
    struct check_round
    {
        std::int64_t number = 0;
        base::config_version version = 0;
        base::time_point startedAt;
        std::vector<base::node_id> unasked;
        std::set<base::node_id> confirmed;
        bool answeredByMajority = false;
    };

    auto startRound(base::time_point now) -> messages;
    auto widen(check_round &round) -> messages;
    auto ask(const base::node_id &witness, const check_round &round) const
            -> base::outgoing_message;
    auto confirm(const base::node_id &from, std::int64_t number) -> void;

    node_place m_place;
    base::random_source m_random;
    base::config_version m_version = 0;
    bool m_versionChanged = false;
    std::int64_t m_lastRound = 0;
    std::deque<check_round> m_rounds;
    version_id m_newest;
    base::node_id m_heardFrom;
    std::atomic<base::time_point::rep> m_deadline{
            base::time_point::min().time_since_epoch().count()};
};

} // namespace hawthornpick::lease
