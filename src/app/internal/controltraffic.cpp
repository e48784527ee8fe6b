#include "app/internal/controltraffic.h"

#include "base/log.h"

namespace hawthornpick::app {

namespace {

auto receiverName(bool isToOtherRegion) -> std::string
{
    return isToOtherRegion ? "other_region" : "own_region";
}

} // namespace

auto control_traffic::countSent(std::string_view kind, bool isToOtherRegion, std::size_t bytes)
        -> void
{
    auto &item = m_counters[{kind, isToOtherRegion}];
    if (item.counter == nullptr) {
        item.counter = &m_metrics.counter(
                "mesh_control_bytes_sent_total", "Bytes of control messages sent",
                {{"kind", std::string(kind)}, {"receiver", receiverName(isToOtherRegion)}});
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
    for (auto &[key, item] : m_counters) {
        if (item.bytesSinceLog == 0) {
            continue;
        }
        base::log(base::log_level::Info, "control traffic",
                  {{"kind", std::string(key.first)},
                   {"receiver", receiverName(key.second)},
                   {"bytes", item.bytesSinceLog}});
        item.bytesSinceLog = 0;
    }
}

} // namespace hawthornpick::app
