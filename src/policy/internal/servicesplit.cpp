#include "policy/servicesplit.h"

#include <cmath>
#include <numbers>
#include <numeric>

namespace hawthornpick::policy {

namespace {

//! The golden ratio: its multiples are spread most evenly over the unit interval.
constexpr double STEP = std::numbers::phi - 1.0;

} // namespace

auto service_split::choose(const config::route &route) -> base::service_id
{
    const auto totalWeight =
            std::accumulate(route.split.begin(), route.split.end(), std::uint64_t{0},
                            [](std::uint64_t sum, const config::weighted_service &weighted) {
                                return sum + weighted.weight;
                            });
    if (totalWeight == 0) {
        return route.service;
    }
    auto position = m_positions.find(route.id);
    if (position == m_positions.end()) {
        position = m_positions.emplace(route.id, m_random.unit()).first;
    }
    position->second = std::fmod(position->second + STEP, 1.0);
    auto remainder = position->second * static_cast<double>(totalWeight);
    auto chosen = route.service;
    for (const auto &weighted : route.split) {
        if (weighted.weight == 0) {
            continue;
        }
        chosen = weighted.service;
        if (remainder < weighted.weight) {
            break;
        }
        remainder -= weighted.weight;
    }
    return chosen;
}

} // namespace hawthornpick::policy
