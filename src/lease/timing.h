#pragma once

#include "base/time.h"

namespace hawthornpick::lease {

//! Time for which a currency lease or a named lease holds, on the holder's clock and from before
//! the request was sent.
inline constexpr base::milliseconds LEASE_TERM{2000};

//! Time for which the granting side counts a lease as held: the term, 5% for the difference in
//! clock rates and a fixed margin.
inline constexpr base::milliseconds GRANT_HOLD{LEASE_TERM.count() * 105 / 100 + 100};

inline constexpr base::milliseconds CHECK_INTERVAL{500};
inline constexpr base::milliseconds RENEW_INTERVAL{500};

//! Returns the smallest number of members that is more than half. Thread safety: pure.
constexpr auto majorityOf(std::size_t members) -> std::size_t
{
    return members / 2 + 1;
}

} // namespace hawthornpick::lease
