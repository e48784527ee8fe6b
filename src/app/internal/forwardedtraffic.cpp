#include "app/internal/forwardedtraffic.h"

namespace hawthornpick::app {

forwarded_traffic::forwarded_traffic(base::metrics &metrics, membership::node_entry self)
    : m_self(std::move(self))
{
    for (std::size_t i = 0; i < TRAFFIC_DISTANCE_COUNT; ++i) {
        const auto counter = [&](const std::string &body) {
            return &metrics.counter(
                    "mesh_forwarded_body_bytes_total", "Bytes of bodies exchanged with other nodes",
                    {{"body", body}, {"distance", distanceName(static_cast<traffic_distance>(i))}});
        };
        m_counters.at(i) = {counter("request"), counter("response")};
    }
}

auto forwarded_traffic::countAttempt(const membership::node_entry *node, std::size_t requestBytes,
                                     std::size_t responseBytes) -> void
{
    if (node == nullptr || node->id == m_self.id) {
        return;
    }
    const auto &counters = m_counters.at(static_cast<std::size_t>(distanceBetween(m_self, *node)));
    counters.requests->Increment(static_cast<double>(requestBytes));
    counters.responses->Increment(static_cast<double>(responseBytes));
}

} // namespace hawthornpick::app
