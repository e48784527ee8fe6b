#pragma once

#include "base/ids.h"
#include "base/metrics.h"
#include "base/random.h"
#include "base/time.h"
#include "policy/returntime.h"
#include "policy/slotqueue.h"

#include <cstdint>
#include <string>
#include <unordered_map>

namespace hawthornpick::app {

//! Refusal of requests at the entry node because the upstreams of their service exclude their rank.
//! For a service whose callers need up to three times its slots, and whose levels entry nodes know
//! from answers that are up to half a second old: if all entry nodes followed every level at once,
//! requests would be admitted and refused in waves.
//!
//! The probability of a refusal grows with the share of the upstreams that exclude the rank, newer
//! reports counting more. An upstream with a free slot serves every rank and excludes none. A node
//! without recent reports admits everything.
//! Thread safety of all members: one thread.
class overload_control
{
public:
    //! Time for which a report counts.
    static constexpr base::milliseconds REPORT_LIFE{1000};
    //! No request is refused while at most this share of the upstreams excludes its rank.
    static constexpr double MIN_EXCLUDED_SHARE = 0.5;
    //! From this share on the probability of a refusal is `MAX_REFUSAL_PROBABILITY`. The others go
    //! through, so that the levels of the upstreams are heard of again.
    static constexpr double FULL_EXCLUDED_SHARE = 0.9;
    static constexpr double MAX_REFUSAL_PROBABILITY = 0.95;

    overload_control(base::metrics &metrics, std::uint64_t seed);

    //! Records the load that an upstream's node reported.
    auto onLoad(const base::node_id &node, const base::service_id &service,
                const policy::service_load &load, base::time_point now) -> void;

    //! Returns the reason for which a request is refused, or an empty text if it is admitted.
    auto refusalOf(const base::service_id &service, std::uint32_t rank, base::time_point now)
            -> std::string;

    //! Returns the backlog of a service with `upstreamCount` upstreams; those without a recent
    //! report count like the average of the others.
    auto backlogOf(const base::service_id &service, std::size_t upstreamCount, base::time_point now)
            -> policy::service_backlog;

    //! Publishes level and counts of the queue of a service on this node, and logs changes of the
    //! level.
    auto onOwnQueue(const base::service_id &service, const policy::slot_queue &queue) -> void;

private:
    struct report
    {
        policy::service_load load;
        base::time_point receivedAt;
    };
    //! State of a queue of this node as published last.
    struct own_queue
    {
        prometheus::Gauge &levelGauge;
        prometheus::Counter &inversionCounter;
        std::uint32_t lowestRank = policy::admission_level::ALL_RANKS;
        policy::refusal_counts refusals = {};
    };
    using report_map = std::unordered_map<base::node_id, report>;

    auto ownQueue(const base::service_id &service) -> own_queue &;
    auto recentReports(const base::service_id &service, base::time_point now) -> report_map &;

    base::metrics &m_metrics;
    base::random_source m_random;
    prometheus::Counter &m_entryRefusals;
    prometheus::Counter &m_upstreamRefusals;
    std::unordered_map<base::service_id, report_map> m_reports;
    std::unordered_map<base::service_id, own_queue> m_ownQueues;
};

} // namespace hawthornpick::app
