#include "policy/servicesplit.h"

#include <numeric>

namespace hawthornpick::policy {

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
    auto remainder = m_random.below(totalWeight);
    for (const auto &weighted : route.split) {
        if (remainder < weighted.weight) {
            return weighted.service;
        }
        remainder -= weighted.weight;
    }
    return route.service;
}

} // namespace hawthornpick::policy
