#include "policy/placementlimit.h"

#include <algorithm>

namespace hawthornpick::policy {

auto placement_limit::limitsFor(const base::service_id &service, const service_belief &belief,
                                unsigned attemptCount, base::time_point now) const
        -> placement_limits
{
    if (!belief.hasUpstreamIn(m_ownRegion)) {
        return {MAX_ATTEMPTS, {}};
    }
    placement_limits limits;
    limits.maxAttempts =
            belief.roomIn(m_ownRegion) == region_room::Free ? MAX_ATTEMPTS_WITH_ROOM : MAX_ATTEMPTS;
    const bool isOwnRegionFull =
            belief.roomIn(m_ownRegion) == region_room::Full || attemptCount >= OWN_REGION_ATTEMPTS;
    const bool isLast = attemptCount + 1 >= limits.maxAttempts;
    for (const auto &region : belief.regions()) {
        const bool isOpen =
                isOwnRegionFull && hasOrMayHaveRoom(service, region, belief, isLast, now);
        if (region != m_ownRegion && !isOpen) {
            limits.closedRegions.push_back(region);
        }
    }
    return limits;
}

auto placement_limit::hasOrMayHaveRoom(const base::service_id &service,
                                       const base::region_id &region, const service_belief &belief,
                                       bool isLastAttempt, base::time_point now) const -> bool
{
    const auto room = belief.roomIn(region);
    if (room != region_room::Unknown) {
        return room == region_room::Free;
    }
    const auto position = m_explorations.find({service, region});
    return isLastAttempt || position == m_explorations.end()
           || now - position->second.lastSent >= position->second.interval;
}

auto placement_limit::onSent(const base::service_id &service, const base::region_id &region,
                             base::time_point now) -> void
{
    if (region != m_ownRegion) {
        m_explorations.try_emplace({service, region}, exploration{now, MIN_EXPLORATION_INTERVAL})
                .first->second.lastSent = now;
    }
}

auto placement_limit::onEnd(const base::service_id &service, const base::region_id &region,
                            bool isRefused) -> void
{
    const auto position = m_explorations.find({service, region});
    if (position != m_explorations.end()) {
        auto &interval = position->second.interval;
        interval = isRefused ? std::min(2 * interval, MAX_EXPLORATION_INTERVAL)
                             : MIN_EXPLORATION_INTERVAL;
    }
}

} // namespace hawthornpick::policy
