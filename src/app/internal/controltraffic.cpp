#include "app/internal/controltraffic.h"

#include "base/log.h"

#include <algorithm>

namespace hawthornpick::app {

auto control_traffic::countSent(std::string_view kind, traffic_distance distance, std::size_t bytes)
        -> void
{
    auto &item = m_counters[kind].at(static_cast<std::size_t>(distance));
    if (item.counter == nullptr) {
        item.counter = &m_metrics.counter(
                "mesh_control_bytes_sent_total", "Bytes of control messages sent",
                {{"kind", std::string(kind)}, {"receiver", distanceName(distance)}});
    }
    item.counter->Increment(static_cast<double>(bytes));
    item.bytesSinceLog += bytes;
}

auto control_traffic::logIfDue(base::time_point now) -> void
{
    if (now < m_nextLogAt) {
        return;
    }
    m_nextLogAt = now + LOG_INTERVAL;
    for (auto &[kind, counters] : m_counters) {
        std::array<std::uint64_t, TRAFFIC_DISTANCE_COUNT> bytes{};
        std::transform(counters.begin(), counters.end(), bytes.begin(),
                       [](distance_counter &item) { return std::exchange(item.bytesSinceLog, 0); });
        const auto bytesTo = [&bytes](traffic_distance distance) {
            return bytes.at(static_cast<std::size_t>(distance));
        };
        if (std::all_of(bytes.begin(), bytes.end(), [](auto count) { return count == 0; })) {
            continue;
        }
        base::log(base::log_level::Info, "control traffic",
                  {{"kind", std::string(kind)},
                   {"own_domain", bytesTo(traffic_distance::OwnDomain)},
                   {"own_region", bytesTo(traffic_distance::OwnRegion)},
                   {"other_region", bytesTo(traffic_distance::OtherRegion)}});
    }
}

} // namespace hawthornpick::app
