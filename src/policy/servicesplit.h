#pragma once

#include "base/random.h"
#include "config/model.h"

#include <unordered_map>

namespace hawthornpick::policy {

//! Chooses the service of each request of a route whose requests are divided between services by
//! weight. If a service has too little capacity, its share of the requests is refused; it does not
//! move to another service.
//!
//! Load pattern: many nodes with few requests each divide a route, and its small part has little
//! room. Each node walks through the weights in equal steps of an irrational length from a random
//! start, so that its requests are spread evenly, each single one is distributed by the weights,
//! and the nodes together keep the shares in short windows without messages between them. The
//! weights may change at any time. Thread safety of all members: one thread.
class service_split
{
public:
    explicit service_split(std::uint64_t seed) : m_random(seed) {}

    //! Returns the service for one request; the route's own service if the route is not divided.
    auto choose(const config::route &route) -> base::service_id;

private:
    base::random_source m_random;
    //! Position of the last request of each divided route, from 0 to 1.
    std::unordered_map<base::route_id, double> m_positions;
};

} // namespace hawthornpick::policy
