#pragma once

#include "app/internal/trafficdistance.h"
#include "base/metrics.h"

#include <array>

namespace hawthornpick::app {

//! Counts the bytes of request and response bodies that a node exchanges with other nodes for its
//! callers, by distance, as the metric `mesh_forwarded_body_bytes_total`.
//! Thread safety of all members: one thread.
class forwarded_traffic
{
public:
    //! `self` is the place of this node. Precondition: `metrics` outlives the object.
    forwarded_traffic(base::metrics &metrics, membership::node_entry self);

    //! Counts one attempt at a node. No effect if `node` is null or this node.
    auto countAttempt(const membership::node_entry *node, std::size_t requestBytes,
                      std::size_t responseBytes) -> void;

private:
    struct body_counters
    {
        prometheus::Counter *requests = nullptr;
        prometheus::Counter *responses = nullptr;
    };

    membership::node_entry m_self;
    std::array<body_counters, TRAFFIC_DISTANCE_COUNT> m_counters;
};

} // namespace hawthornpick::app
