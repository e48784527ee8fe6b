#pragma once

#include <compare>
#include <cstdint>

namespace hawthornpick::base {

//! Evidence that a request crashes the upstreams that run it. Of two values for one request, the
//! greater one is newer, so that values may arrive late, repeatedly and in any order.
struct crash_evidence
{
    //! Increases when the request succeeds after a crash.
    std::uint32_t generation = 0;
    //! Crashes in a row. A crash counts if its attempt started after the one before it was known:
    //! attempts that are lost together, as with a host, count once.
    std::uint32_t crashes = 0;

    auto operator<=>(const crash_evidence &) const = default;
};

struct crash_record
{
    //! Identifies the request.
    std::uint64_t fingerprint = 0;
    crash_evidence evidence;

    auto operator<=>(const crash_record &) const = default;
};

} // namespace hawthornpick::base
