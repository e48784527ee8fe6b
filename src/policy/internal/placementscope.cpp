#include "policy/placementscope.h"

#include <algorithm>
#include <iterator>

namespace hawthornpick::policy {

placement_scope::placement_scope(const config::route *route,
                                 const config::organisation *organisation,
                                 const base::evacuation_list &evacuations)
{
    const std::vector<base::region_id> none;
    const auto &ofRoute = route == nullptr ? none : route->allowedRegions;
    const auto &ofOrganisation = organisation == nullptr ? none : organisation->allowedRegions;
    m_isRestricted = !ofRoute.empty() || !ofOrganisation.empty();
    if (!ofRoute.empty() && !ofOrganisation.empty()) {
        std::set_intersection(ofRoute.begin(), ofRoute.end(), ofOrganisation.begin(),
                              ofOrganisation.end(), std::back_inserter(m_allowedRegions));
    } else {
        m_allowedRegions = ofRoute.empty() ? ofOrganisation : ofRoute;
    }
    for (const auto &item : evacuations.items) {
        m_evacuated.push_back(item.failureDomain);
    }
}

auto placement_scope::refusalFor(const base::region_id &region,
                                 const base::failure_domain_id &failureDomain) const
        -> std::optional<base::error_kind>
{
    if (m_isRestricted
        && std::find(m_allowedRegions.begin(), m_allowedRegions.end(), region)
                   == m_allowedRegions.end()) {
        return base::error_kind::NoAllowedRegion;
    }
    if (std::find(m_evacuated.begin(), m_evacuated.end(), failureDomain) != m_evacuated.end()) {
        return base::error_kind::UpstreamEvacuated;
    }
    return std::nullopt;
}

} // namespace hawthornpick::policy
