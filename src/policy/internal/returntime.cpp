#include "policy/returntime.h"

#include <algorithm>

namespace hawthornpick::policy {

auto return_time::next(const base::service_id &service, std::uint32_t rank,
                       const service_backlog &backlog, base::duration timeLeft,
                       std::size_t entryNodes, base::time_point now)
        -> std::optional<base::duration>
{
    const bool hasRoom = backlog.freeSlots > 0.0 && backlog.freeSlots >= backlog.waiting;
    if (hasRoom || backlog.endsPerSecond <= 0.0) {
        return std::nullopt;
    }
    const auto longest = std::max<base::duration>(timeLeft / TIME_LEFT_DIVISOR, {});
    const auto interval =
            base::fromSeconds(static_cast<double>(entryNodes) / backlog.endsPerSecond);
    auto &planned = m_plans[service];
    std::erase_if(planned, [now](const auto &item) { return item.second <= now; });
    auto previous = now + base::fromSeconds(backlog.waiting / backlog.endsPerSecond);
    for (const auto &[plannedRank, until] : planned) {
        if (plannedRank <= rank) {
            previous = std::max(previous, until);
        }
    }
    const auto returnAt = previous + interval;
    if (returnAt > now + longest) {
        return base::fromSeconds(base::toSeconds(longest) * (1.0 + m_random.unit()) / 2.0);
    }
    planned[rank] = returnAt;
    return returnAt - now;
}

} // namespace hawthornpick::policy
