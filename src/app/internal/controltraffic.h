#pragma once

#include "base/metrics.h"
#include "base/time.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace hawthornpick::app {

//! Counts the bytes of control messages that a node sends, by kind of message and by whether the
//! receiver is in another region, where bytes are paid for. Exported as the metric
//! `mesh_control_bytes_sent_total` and logged in intervals.
//! Thread safety of all members: one thread.
class control_traffic
{
public:
    static constexpr base::milliseconds LOG_INTERVAL{10'000};

    //! Precondition: `metrics` outlives the object.
    explicit control_traffic(base::metrics &metrics) : m_metrics(metrics) {}

    auto countSent(std::string_view kind, bool isToOtherRegion, std::size_t bytes) -> void;

    //! Logs the bytes sent since the last line once `LOG_INTERVAL` has passed.
    auto logIfDue(base::time_point now) -> void;

private:
    struct kind_counter
    {
        prometheus::Counter *counter = nullptr;
        std::uint64_t bytesSinceLog = 0;
    };

    base::metrics &m_metrics;
    std::map<std::pair<std::string_view, bool>, kind_counter> m_counters;
    base::time_point m_nextLogAt{};
};

} // namespace hawthornpick::app
