#pragma once

#include "base/errorkind.h"

#include <array>
#include <compare>
#include <string>
#include <string_view>

namespace hawthornpick::upstream {

using status_table = std::array<unsigned, base::ERROR_KIND_COUNT>;

//! Returns the HTTP statuses from the table of error kinds. Thread safety: pure.
auto defaultStatuses() -> status_table;

//! Header names and statuses used towards callers and upstreams. The defaults are those of the
//! proxy itself; a platform adapter supplies those of its platform. Immutable after construction.
struct wire_profile
{
    std::string requestId = "X-Request-Id";
    std::string deadline = "X-Request-Deadline-Ms";
    //! Header that names the organisation to the upstream; empty if it is not sent.
    std::string organisation;
    //! Header that names the service of the host where the request originated; empty if it is not
    //! sent.
    std::string callerService;
    //! Header that names the upstream that is to run the request; empty if it is not sent.
    std::string upstream;
    //! Header in the answer of an upstream that did not run the request; empty if there is none.
    std::string notRun;
    //! Header in the answer to a health question that names the upstream; empty if there is none.
    std::string upstreamId;
    //! Header in the answer to a health question with the time in milliseconds that the upstream
    //! stays cold; empty if there is none.
    std::string coldTime;
    //! Header in any answer of an upstream that names how many requests per second it takes from
    //! all nodes together.
    std::string requestLimit = "X-Upstream-Request-Limit";
    //! Header in any answer of an upstream that is about to end, with the value 1.
    std::string leaving = "X-Upstream-Leaving";
    //! Upstreams repeat the request id in their answers, so that answers to other requests can be
    //! recognised.
    bool echoesRequestId = false;
    //! Refuses requests without an id instead of generating one.
    bool needsRequestId = false;
    //! Adds X-Forwarded-For and Via to forwarded requests.
    bool addsForwardingHeaders = true;
    //! Refuses requests with an API key in their target.
    bool refusesKeysInTarget = true;
    //! Retry-After may have fractional seconds.
    bool hasFractionalRetryAfter = false;
    status_table statuses = defaultStatuses();

    auto operator<=>(const wire_profile &) const = default;

    //! Returns true for headers that the proxy sets itself or that apply to this hop only; they are
    //! not copied from callers. Thread safety: immutable.
    [[nodiscard]] auto isReserved(std::string_view name) const -> bool;

    //! Returns the HTTP status of an error answer. Thread safety: immutable.
    [[nodiscard]] auto statusOf(base::error_kind kind) const -> unsigned
    {
        return statuses.at(static_cast<std::size_t>(kind));
    }
};

} // namespace hawthornpick::upstream
