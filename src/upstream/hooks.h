#pragma once

#include "base/time.h"
#include "upstream/exchange.h"

#include <compare>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace hawthornpick::upstream {

//! How a started attempt ended, as observed on the connection to the upstream.
enum class attempt_ending : std::uint8_t {
    //! The upstream answered with a status below 500.
    Answered,
    //! The upstream answered with a status of 500 or above.
    ServerError,
    //! No connection could be opened.
    ConnectFailed,
    //! The connection was lost before a complete answer head.
    ConnectionLost,
    //! The answer ended early, after its head was forwarded.
    Truncated,
    //! The answer head or a further part of the body did not arrive within the service's timeout.
    TimedOut,
    //! The deadline passed before the answer head.
    DeadlinePassed,
    //! The caller disconnected or failed to send its body, or the deadline passed after the answer
    //! head. Not evidence about the upstream.
    Cancelled,
    //! The upstream reported that it did not run the request.
    Refused,
};

//! Returns the name of an ending as written in logs. Thread safety: pure.
auto endingName(attempt_ending ending) -> std::string_view;

//! Properties of a started attempt, reported for failure detection.
struct attempt_observation
{
    base::attempt_id attempt;
    base::upstream_id upstream;
    base::incarnation upstreamIncarnation = 0;
    base::service_id service;
    base::organisation_id organisation;
    base::route_id route;
    base::digest256 fingerprint;
    bool idempotent = false;
    base::time_point started;
    std::string requestId;

    auto operator<=>(const attempt_observation &) const = default;
};

//! Result of an observed attempt.
struct attempt_finish
{
    attempt_ending ending = attempt_ending::Answered;
    //! Time from the start to the answer head or, without one, to the failure.
    base::duration latency{};

    auto operator<=>(const attempt_finish &) const = default;
};

//! Callbacks with which other modules admit, estimate and observe requests on the executing side.
//! Thread safety: called on I/O threads, possibly concurrently; must not block. An empty function
//! allows every request or observes nothing.
struct executor_hooks
{
    //! Returns true while this node holds a currency lease.
    std::function<bool()> isCurrent;
    //! Refuses a request that may not be executed at this place, for example with `NoAllowedRegion`
    //! or `UpstreamEvacuated`. Called at admission and again before the start.
    std::function<base::result<void>(const attempt_request &request)> checkPlace;
    //! Marks the attempt as started, or refuses it if the attempt registry or the crash tracker
    //! does not allow it. Called at most once for each attempt.
    std::function<base::result<void>(const attempt_request &request)> start;
    std::function<void(const attempt_observation &observation)> onStart;
    std::function<void(const attempt_observation &observation, const attempt_finish &finish)>
            onFinish;
    //! Returns the expected service time of a request on the upstreams of this host.
    std::function<base::duration(const attempt_request &request)> expectedTime;
    //! Returns the success probability, from 0 to 1, of the next request to the service's upstreams
    //! on this host.
    std::function<double(const base::service_id &service)> health;
    //! Returns the share, from 0 to 1, of requests that these upstreams accept while a slot is
    //! free.
    std::function<double(const base::service_id &service)> acceptance;
};

} // namespace hawthornpick::upstream
