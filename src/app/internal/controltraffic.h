#pragma once

#include "app/internal/trafficdistance.h"
#include "base/metrics.h"
#include "base/time.h"

#include <array>
#include <cstdint>
#include <map>
#include <string_view>

namespace hawthornpick::app {

//! Counts the bytes of control messages that a node sends, by kind of message and by distance.
//! Exported as the metric `mesh_control_bytes_sent_total` and logged in intervals.
//! Thread safety of all members: one thread.
class control_traffic
{
public:
    static constexpr base::milliseconds LOG_INTERVAL{10'000};

    //! Precondition: `metrics` outlives the object.
    explicit control_traffic(base::metrics &metrics) : m_metrics(metrics) {}

    auto countSent(std::string_view kind, traffic_distance distance, std::size_t bytes) -> void;

    //! Logs the bytes sent since the last line once `LOG_INTERVAL` has passed.
    auto logIfDue(base::time_point now) -> void;

private:
    struct distance_counter
    {
        prometheus::Counter *counter = nullptr;
        std::uint64_t bytesSinceLog = 0;
    };

    using kind_counters = std::array<distance_counter, TRAFFIC_DISTANCE_COUNT>;

    base::metrics &m_metrics;
    std::map<std::string_view, kind_counters> m_counters;
    base::time_point m_nextLogAt{};
};

} // namespace hawthornpick::app
