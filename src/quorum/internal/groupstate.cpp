#include "quorum/groupstate.h"

#include <algorithm>

namespace hawthornpick::quorum {

auto group_value::isVoter(const member &item) const -> bool
{
    return std::binary_search(voters.begin(), voters.end(), item);
}

auto group_value::hasAcceptedChange(const std::string &digest) const -> bool
{
    return std::any_of(changes.rbegin(), changes.rend(),
                       [&digest](const accepted_change &item) { return item.digest == digest; });
}

auto group_value::hasAcceptedOrder(std::uint64_t id) const -> bool
{
    return std::find(evacuationOrders.rbegin(), evacuationOrders.rend(), id)
           != evacuationOrders.rend();
}

} // namespace hawthornpick::quorum
