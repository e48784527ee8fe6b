#include "policy/hedgeplan.h"

#include <algorithm>

namespace hawthornpick::policy {

auto hedge_plan::nextDelay(base::time_point now, base::time_point target,
                           base::time_point deadline) const -> std::optional<base::duration>
{
    const auto shortestDelay = std::min(m_usualDelay, m_expectedLatency);
    for (const auto limit : {target, deadline}) {
        const auto longestDelay = limit - m_expectedLatency - now;
        if (longestDelay >= shortestDelay) {
            return std::min(m_usualDelay, longestDelay);
        }
    }
    return std::nullopt;
}

} // namespace hawthornpick::policy
