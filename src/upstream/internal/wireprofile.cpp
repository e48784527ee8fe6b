#include "upstream/wireprofile.h"

#include "upstream/headerrules.h"

#include <algorithm>

namespace hawthornpick::upstream {

auto defaultStatuses() -> status_table
{
    status_table statuses{};
    for (const auto &row : base::errorTable()) {
        statuses.at(static_cast<std::size_t>(row.kind)) = row.httpStatus;
    }
    return statuses;
}

auto wire_profile::isReserved(std::string_view name) const -> bool
{
    static constexpr std::array<std::string_view, 4> RESERVED_HEADERS{"X-Api-Key", "Expect",
                                                                      "X-Forwarded-For", "Via"};
    const auto isSameName = [name](std::string_view other) {
        return !other.empty() && equalIgnoreCase(name, other);
    };
    const std::array<std::string_view, 5> profileHeaders{requestId, deadline, organisation,
                                                         callerService, upstream};
    const bool isForwardingHeader =
            equalIgnoreCase(name, "X-Forwarded-For") || equalIgnoreCase(name, "Via");
    if (isForwardingHeader && !addsForwardingHeaders) {
        return false;
    }
    return startsWithIgnoreCase(name, "X-Hawthornpick-")
           || std::any_of(RESERVED_HEADERS.begin(), RESERVED_HEADERS.end(), isSameName)
           || std::any_of(profileHeaders.begin(), profileHeaders.end(), isSameName);
}

} // namespace hawthornpick::upstream
