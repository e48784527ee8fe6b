#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "policy/latencymodel.h"

#include <deque>
#include <map>
#include <optional>

namespace hawthornpick::policy {

//! Parameters of the two-state model of an upstream, which is either healthy or failing.
struct health_parameters
{
    //! Mean time in each state. On a calm day of the platform failing periods last about 9 s and
    //! take 30% of the time.
    base::milliseconds meanHealthyTime{21'000};
    base::milliseconds meanFailingTime{9'000};
    //! Share of requests that fail in each state.
    double healthyFailureShare = 0.02;
    double failingFailureShare = 0.75;
    //! Share of responses with a server error in each state.
    double healthyServerErrorShare = 0.08;
    double failingServerErrorShare = 0.4;

    auto operator<=>(const health_parameters &) const = default;
};

//! Result of a request as evidence on the health of its upstream.
enum class health_evidence : std::uint8_t {
    Answered,
    //! No response, or an incomplete or invalid one.
    Failed,
    //! The upstream reported that it did not run the request, which is no evidence about the
    //! requests that it runs.
    Refused,
    //! Response with an error of the upstream or of a request that the upstream made.
    ServerError,
    //! Cancelled. Evidence only that it took at least this long.
    Cancelled,
};

//! Estimates the probability that one upstream answers its next request, from its requests of the
//! last seconds. Detects upstreams that stop responding to most requests for some seconds while
//! their health check passes: requests that are in flight for longer than usual are evidence long
//! before they time out, and responses show that the failing period is over.
//!
//! A hidden Markov model with two states is filtered over the requests in the order of their
//! starts; the likelihood of a request in flight is evaluated anew each time.
//! Thread safety: one thread.
class health_estimator
{
public:
    //! Requests that started longer ago are discarded.
    static constexpr base::milliseconds MAX_REQUEST_AGE{12'000};
    static constexpr std::size_t MAX_REQUESTS = 64;

    //! Precondition: `latencies` outlives the object.
    health_estimator(health_parameters parameters, const latency_model &latencies);

    //! Records the start of a request. `target` is the target latency of its route.
    auto onStart(const base::attempt_id &attempt, const base::route_id &route,
                 base::duration target, base::time_point now) -> void;
    auto onEnd(const base::attempt_id &attempt, health_evidence evidence, base::time_point now)
            -> void;

    //! Returns the probability that a request that starts now is answered.
    [[nodiscard]] auto health(base::time_point now) const -> double;

    //! Discards all requests, for example after a restart of the upstream.
    auto reset() -> void { m_requests.clear(); }

private:
    struct request_state
    {
        base::attempt_id attempt;
        base::route_id route;
        base::duration target{};
        base::time_point startedAt;
        //! Empty while the request is in flight.
        std::optional<health_evidence> evidence;
        base::time_point endedAt;
    };

    [[nodiscard]] auto likelihood(const request_state &item, bool isHealthy,
                                  base::time_point now) const -> double;
    auto discardOldRequests(base::time_point now) -> void;

    health_parameters m_parameters;
    const latency_model &m_latencies;
    std::deque<request_state> m_requests;
};

} // namespace hawthornpick::policy
