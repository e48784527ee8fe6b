#pragma once

#include "base/random.h"
#include "config/model.h"

namespace hawthornpick::policy {

//! Chooses the service of each request of a route whose requests are divided between services by
//! weight. Each request is drawn independently, so that many nodes with few requests each keep a
//! small share together without messages between them. If a service has too little capacity, its
//! share of the requests is refused; it does not move to another service.
//! Thread safety of all members: one thread.
class service_split
{
public:
    explicit service_split(std::uint64_t seed) : m_random(seed) {}

    //! Returns the service for one request; the route's own service if the route is not divided.
    auto choose(const config::route &route) -> base::service_id;

private:
    base::random_source m_random;
};

} // namespace hawthornpick::policy
