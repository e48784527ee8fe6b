#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "policy/latencymodel.h"

#include <deque>
#include <map>
#include <optional>

namespace hawthornpick::policy {

//! How upstreams change between answering and failing.
struct health_parameters
{
    //! Mean time for which an upstream answers, and for which it fails part of its requests.
    //! On a calm day of the platform spells last about 9 s and take 30% of the time.
    base::milliseconds meanGoodTime{21'000};
    base::milliseconds meanBadTime{9'000};
    //! Share of requests that fail in either state.
    double goodFailureShare = 0.02;
    double badFailureShare = 0.75;
    //! Share of answers with an error in either state.
    double goodErrorShare = 0.08;
    double badErrorShare = 0.4;

    auto operator<=>(const health_parameters &) const = default;
};

//! Result of a request for the health of its upstream.
enum class health_evidence : std::uint8_t {
    Answered,
    //! No answer or a broken one.
    Failed,
    //! The upstream said that it did not run the request, which shows nothing about those it runs.
    Refused,
    //! Answer with an error of the upstream, or of a request that it made itself.
    ServerError,
    //! Cancelled before it could show anything beyond its age.
    Cancelled,
};

//! Probability that one upstream answers its next request, from the requests that it had in the
//! last seconds. It answers the pattern of upstreams that stop answering most requests for some
//! seconds while their health check passes: requests that are under way for longer than usual are
//! evidence long before they time out, and answers show that a spell is over.
//!
//! A hidden Markov model with two states is filtered over the requests in the order of their
//! starts; what a request shows is revised while it is under way. Thread safety: one thread.
class health_belief
{
public:
    //! Requests that started earlier say nothing about the present.
    static constexpr base::milliseconds MEMORY{12'000};
    static constexpr std::size_t MAX_REQUESTS = 64;

    //! Precondition: `latencies` outlives the object.
    health_belief(health_parameters parameters, const latency_model &latencies);

    //! A request started. `target` is the time in which operators want its answer.
    auto onStart(const base::attempt_id &attempt, const base::route_id &route,
                 base::duration target, base::time_point now) -> void;
    auto onEnd(const base::attempt_id &attempt, health_evidence evidence, base::time_point now)
            -> void;

    //! Chance that a request that starts now is answered.
    [[nodiscard]] auto health(base::time_point now) const -> double;

    //! Forgets all requests, as after a restart of the upstream.
    auto reset() -> void { m_requests.clear(); }

private:
    struct request_state
    {
        base::attempt_id attempt;
        base::route_id route;
        base::duration target{};
        base::time_point started;
        //! Empty while it is under way.
        std::optional<health_evidence> evidence;
        base::time_point ended;
    };

    [[nodiscard]] auto likelihood(const request_state &item, bool isGood,
                                  base::time_point now) const -> double;
    auto forget(base::time_point now) -> void;

    health_parameters m_parameters;
    const latency_model &m_latencies;
    std::deque<request_state> m_requests;
};

} // namespace hawthornpick::policy
