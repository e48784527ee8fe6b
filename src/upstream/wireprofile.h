#pragma once

#include "base/errorkind.h"

#include <array>
#include <compare>
#include <string>
#include <string_view>

namespace hawthornpick::upstream {

using status_table = std::array<unsigned, base::ERROR_KIND_COUNT>;

//! Returns the statuses of the table of error kinds. Thread safety: pure.
auto defaultStatuses() -> status_table;

//! Names of headers and statuses towards callers and upstreams. The defaults are the product's own;
//! an adapter gives those of the platform it translates for. Immutable after construction.
struct wire_profile
{
    std::string requestId = "X-Request-Id";
    std::string deadline = "X-Request-Deadline-Ms";
    //! Names the organisation to the upstream; empty if it is not told.
    std::string organisation;
    //! Names the service of the host where the request began; empty if it is not told.
    std::string callerService;
    //! Names the upstream that is to run the request; empty if it is not told.
    std::string upstream;
    //! Present in answers of upstreams that did not run the request; empty if they do not say so.
    std::string notRun;
    //! Upstreams repeat the request id in their answers, which shows answers to other requests.
    bool echoesRequestId = false;
    //! Requests without an id are refused instead of getting one.
    bool needsRequestId = false;
    //! Adds X-Forwarded-For and Via.
    bool addsForwardingHeaders = true;
    //! Refuses requests with a key in their target.
    bool refusesKeysInTarget = true;
    //! Retry-After may have a fraction.
    bool hasFractionalRetryAfter = false;
    status_table statuses = defaultStatuses();

    auto operator<=>(const wire_profile &) const = default;

    //! True for headers that the fleet sets itself or that only concern this hop, which are not
    //! taken over from callers. Thread safety: immutable.
    [[nodiscard]] auto isReserved(std::string_view name) const -> bool;

    //! Status of an error answer. Thread safety: immutable.
    [[nodiscard]] auto statusOf(base::error_kind kind) const -> unsigned
    {
        return statuses.at(static_cast<std::size_t>(kind));
    }
};

} // namespace hawthornpick::upstream
