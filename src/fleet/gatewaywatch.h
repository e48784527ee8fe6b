#pragma once

#include "base/ids.h"
#include "base/time.h"

#include <map>
#include <optional>
#include <vector>

namespace hawthornpick::fleet {

//! Decides which hub of a region asks another region, so that what crosses between two regions
//! crosses once: the first live hub of an order that depends on the two regions, which spreads the
//! load of several regions over the hubs. The others get its answers forwarded. A hub that gets
//! none for a while asks itself, those that come first in the order sooner; it needs no agreement,
//! so a gateway that has died, is paused, or reaches only some of the hubs is replaced for those
//! that it doesn't reach. Load pattern: usage and records that change all the time in each region.
//! Thread safety of all members: one thread.
class gateway_watch
{
public:
    //! A hub that has just started asks for itself: the directory must be complete soon.
    static constexpr base::milliseconds START_TIME{1000};
    //! Hubs that were silent for longer aren't waited for: four intervals of exchange.
    static constexpr base::milliseconds MAX_SILENCE{1000};
    //! Time without forwarded answers after which the second hub in the order asks: two intervals
    //! of exchange and the delay of a message.
    static constexpr base::milliseconds TAKEOVER_TIME{600};
    //! Further time for each further hub in the order.
    static constexpr base::milliseconds TAKEOVER_STEP{250};

    gateway_watch(base::node_id self, base::region_id ownRegion)
        : m_self(std::move(self)), m_ownRegion(std::move(ownRegion))
    {}

    //! Called for each message from a hub of the own region.
    auto onHeard(const base::node_id &hub, base::time_point now) -> void;

    //! Called for each answer of another region that `hub` forwarded; `hub` is this node if the
    //! region answered it directly. Returns true if the answer is to be used: false if a hub that
    //! comes earlier in the order forwards as well.
    auto onAnswer(const base::region_id &region, const base::node_id &hub, base::time_point now)
            -> bool;

    //! Returns true if this hub must ask `region` now. `liveHubs` are the other hubs of the own
    //! region.
    auto mustAsk(const base::region_id &region, const std::vector<base::node_id> &liveHubs,
                 base::time_point now) -> bool;

private:
    struct region_state
    {
        //! Hub whose answers are used.
        base::node_id forwarder;
        std::optional<base::time_point> lastUsedAt;
        //! Last answer that a hub earlier in the order than this one forwarded.
        std::optional<base::time_point> lastEarlierAt;
    };

    //! Returns true if `left` comes earlier in the order than `right`.
    [[nodiscard]] auto isEarlier(const base::region_id &region, const base::node_id &left,
                                 const base::node_id &right) const -> bool;

    base::node_id m_self;
    base::region_id m_ownRegion;
    std::optional<base::time_point> m_startTime;
    std::map<base::node_id, base::time_point> m_heardAt;
    std::map<base::region_id, region_state> m_regions;
};

} // namespace hawthornpick::fleet
