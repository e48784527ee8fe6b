#pragma once

#include "base/time.h"

namespace hawthornpick::lease {

//! Validity of a currency lease or a named lease, measured on the holder's clock from the time at
//! which the holder sends the request.
inline constexpr base::milliseconds LEASE_DURATION{2000};

//! Time for which a witness treats a lease as held, measured on its own clock from the time at
//! which it answers: the lease duration, 5% for the difference in clock rates and a margin of 100
//! ms.
inline constexpr base::milliseconds GRANT_DURATION{LEASE_DURATION.count() * 105 / 100 + 100};

//! Interval between the currency checks of a node.
inline constexpr base::milliseconds CURRENCY_CHECK_INTERVAL{500};

//! Interval between the renewals of a held named lease.
inline constexpr base::milliseconds LEASE_RENEWAL_INTERVAL{500};

//! Returns the number of members that form a majority: the smallest number above half of `members`.
//! Thread safety: pure.
constexpr auto majorityOf(std::size_t members) -> std::size_t
{
    return members / 2 + 1;
}

} // namespace hawthornpick::lease
