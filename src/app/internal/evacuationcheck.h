#pragma once

#include "app/meshadapter.h"
#include "base/evacuation.h"
#include "membership/view.h"

#include <map>
#include <optional>

namespace hawthornpick::app {

//! What an evacuation order is checked against.
struct evacuation_check
{
    base::evacuation_list inForce;
    membership::view_pointer view;
    //! Failure domains that the settings name.
    std::map<base::failure_domain_id, base::region_id> failureDomains;

    //! Returns the refusal of an order to start or end the evacuation of a domain, or nothing. An
    //! order that is already in force is never refused, so that its repeats are acknowledged.
    //! Refused are a domain that no node and no setting names, and the start for the last domain
    //! with ready upstreams of a service: all calls of that service would be refused at once. Only
    //! upstreams that the view has count, so not one that started within the last report interval.
    //! Thread safety: immutable.
    [[nodiscard]] auto refusalOf(const base::failure_domain_id &failureDomain, bool starts) const
            -> std::optional<evacuation_answer>;

private:
    [[nodiscard]] auto isKnown(const base::failure_domain_id &failureDomain) const -> bool;
};

} // namespace hawthornpick::app
