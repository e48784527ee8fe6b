#pragma once

#include "membership/view.h"

#include <cstddef>
#include <string>

namespace hawthornpick::app {

//! How far bytes travel between two nodes. Bytes between failure domains and regions are paid for.
enum class traffic_distance { OwnDomain, OwnRegion, OtherRegion };

inline constexpr std::size_t TRAFFIC_DISTANCE_COUNT = 3;

//! Returns the distance between two places. Thread safety: pure.
inline auto distanceBetween(const membership::node_entry &from, const membership::node_entry &to)
        -> traffic_distance
{
    if (from.region != to.region) {
        return traffic_distance::OtherRegion;
    }
    return from.failureDomain == to.failureDomain ? traffic_distance::OwnDomain
                                                  : traffic_distance::OwnRegion;
}

//! Returns the name used in metrics and logs. Thread safety: pure.
inline auto distanceName(traffic_distance distance) -> std::string
{
    switch (distance) {
    case traffic_distance::OwnDomain:
        return "own_domain";
    case traffic_distance::OwnRegion:
        return "own_region";
    case traffic_distance::OtherRegion:
        break;
    }
    return "other_region";
}

} // namespace hawthornpick::app
