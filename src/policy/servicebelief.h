#pragma once

#include "base/ids.h"
#include "base/time.h"

#include <compare>
#include <map>
#include <vector>

namespace hawthornpick::policy {

//! What a node knows of the free slots of one upstream.
struct upstream_room
{
    base::region_id region;
    std::uint32_t usableSlots = 1;
    //! Usable slots less the requests that run or wait there, as reported, and those that this node
    //! has sent since; negative if more requests are there than slots.
    double freeSlots = 0.0;
    //! Age of the report; `duration::max()` if there is none.
    base::duration age = base::duration::max();

    auto operator<=>(const upstream_room &) const = default;
};

enum class region_room : std::uint8_t {
    Free,
    //! Hardly a slot of the upstreams that something is known of is free.
    Full,
    //! Too little is known.
    Unknown,
};

//! Belief of one node about the room of a service in each region. A report counts the less the
//! older it is, and one of a full upstream is forgotten sooner, because the upstream may have room
//! by then. A slot that has just become free is taken soon; therefore the share of free slots
//! counts, not whether there is one. Load pattern: a burst fills all regions, and reports arrive
//! rarely. Thread safety of all members: immutable.
class service_belief
{
public:
    //! Age at which a report of free slots counts for nothing.
    static constexpr base::milliseconds MAX_FREE_AGE{3000};
    //! Age at which a report of a full upstream counts for nothing: with room everything is sent
    //! again within a second.
    static constexpr base::milliseconds MAX_FULL_AGE{1000};
    //! A region counts as full only if the room of so many of its upstreams, or of all, is known.
    static constexpr std::size_t MIN_KNOWN_UPSTREAMS = 3;
    //! Share of free slots below which a region counts as full.
    static constexpr double MIN_FREE_SHARE = 0.05;

    //! `upstreams` are all that a request may use.
    explicit service_belief(const std::vector<upstream_room> &upstreams);

    //! Returns `Unknown` for a region without upstreams.
    [[nodiscard]] auto roomIn(const base::region_id &region) const -> region_room;

    [[nodiscard]] auto hasUpstreamIn(const base::region_id &region) const -> bool;

    //! Returns the regions with upstreams.
    [[nodiscard]] auto regions() const -> std::vector<base::region_id>;

private:
    std::map<base::region_id, region_room> m_regions;
};

} // namespace hawthornpick::policy
