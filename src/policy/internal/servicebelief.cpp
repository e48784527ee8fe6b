#include "policy/servicebelief.h"

#include <algorithm>

namespace hawthornpick::policy {

namespace {

// Sums over the upstreams of a region, weighted by the age of their reports.
struct region_sum
{
    std::size_t upstreams = 0;
    std::size_t known = 0;
    double slots = 0.0;
    double freeSlots = 0.0;
};

auto weightOf(const upstream_room &room) -> double
{
    const auto maxAge =
            room.freeSlots < 1.0 ? service_belief::MAX_FULL_AGE : service_belief::MAX_FREE_AGE;
    return std::max(0.0, 1.0 - base::toSeconds(room.age) / base::toSeconds(maxAge));
}

auto roomOf(const region_sum &sum) -> region_room
{
    if (sum.known > 0 && sum.freeSlots >= service_belief::MIN_FREE_SHARE * sum.slots) {
        return region_room::Free;
    }
    const bool isKnown = sum.known >= std::min(sum.upstreams, service_belief::MIN_KNOWN_UPSTREAMS);
    return isKnown ? region_room::Full : region_room::Unknown;
}

} // namespace

service_belief::service_belief(const std::vector<upstream_room> &upstreams)
{
    std::map<base::region_id, region_sum> sums;
    for (const auto &item : upstreams) {
        auto &sum = sums[item.region];
        const double weight = weightOf(item);
        ++sum.upstreams;
        sum.known += weight > 0.0 ? 1 : 0;
        sum.slots += weight * item.usableSlots;
        sum.freeSlots += weight * std::clamp<double>(item.freeSlots, 0.0, item.usableSlots);
    }
    for (const auto &[region, sum] : sums) {
        m_regions.emplace(region, roomOf(sum));
    }
}

auto service_belief::roomIn(const base::region_id &region) const -> region_room
{
    const auto position = m_regions.find(region);
    return position == m_regions.end() ? region_room::Unknown : position->second;
}

auto service_belief::hasUpstreamIn(const base::region_id &region) const -> bool
{
    return m_regions.contains(region);
}

auto service_belief::regions() const -> std::vector<base::region_id>
{
    std::vector<base::region_id> names;
    for (const auto &[region, room] : m_regions) {
        names.push_back(region);
    }
    return names;
}

} // namespace hawthornpick::policy
