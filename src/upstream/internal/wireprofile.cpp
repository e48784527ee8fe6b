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
    static constexpr std::array<std::string_view, 4> ALWAYS{"X-Api-Key", "Expect",
                                                            "X-Forwarded-For", "Via"};
    const auto isSame = [name](std::string_view other) {
        return !other.empty() && equalIgnoreCase(name, other);
    };
    const std::array<std::string_view, 5> own{requestId, deadline, organisation, callerService,
                                              upstream};
    const bool isForwarding =
            equalIgnoreCase(name, "X-Forwarded-For") || equalIgnoreCase(name, "Via");
    if (isForwarding && !addsForwardingHeaders) {
        return false;
    }
    return startsWithIgnoreCase(name, "X-Hawthornpick-")
           || std::any_of(ALWAYS.begin(), ALWAYS.end(), isSame)
           || std::any_of(own.begin(), own.end(), isSame);
}

} // namespace hawthornpick::upstream
