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

} // namespace hawthornpick::quorum
