#pragma once

#include "base/errorkind.h"
#include "base/evacuation.h"
#include "base/ids.h"
#include "config/model.h"

#include <optional>
#include <vector>

namespace hawthornpick::policy {

//! Where a request may be executed: the regions that its route and its organisation allow, without
//! the evacuated failure domains. Every choice of an upstream and the executing node use this
//! check. Thread safety of all members: immutable.
class placement_scope
{
public:
    //! Allows all places.
    placement_scope() = default;

    //! Either pointer may be null if the request has no route or no organisation.
    placement_scope(const config::route *route, const config::organisation *organisation,
                    const base::evacuation_list &evacuations);

    //! Returns `NoAllowedRegion` or `UpstreamEvacuated` if the place isn't allowed, or nothing.
    [[nodiscard]] auto refusalFor(const base::region_id &region,
                                  const base::failure_domain_id &failureDomain) const
            -> std::optional<base::error_kind>;

    auto operator<=>(const placement_scope &) const = default;

private:
    bool m_isRestricted = false;
    //! Regions that both lists allow; used only if `m_isRestricted`.
    std::vector<base::region_id> m_allowedRegions;
    std::vector<base::failure_domain_id> m_evacuated;
};

} // namespace hawthornpick::policy
