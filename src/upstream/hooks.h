#pragma once

#include "base/time.h"
#include "upstream/exchange.h"

#include <compare>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace hawthornpick::upstream {

//! How an attempt that was started ended, as seen on the upstream's connection.
enum class attempt_ending : std::uint8_t {
    //! Answer with a status below 500.
    Answered,
    //! Answer with a status from 500.
    ServerError,
    //! No connection could be opened.
    ConnectFailed,
    //! The connection was lost before a complete answer head.
    ConnectionLost,
    //! The answer ended early.
    Truncated,
    //! No answer head within the timeout of the service.
    TimedOut,
    //! The deadline passed before an answer head.
    DeadlinePassed,
    //! The caller left or failed to send its body; says nothing about the upstream.
    Cancelled,
    //! The upstream said that it did not run the request.
    Refused,
};

//! Name of an ending in logs. Thread safety: pure.
auto endingName(attempt_ending ending) -> std::string_view;

//! One attempt as an observation for failure detection.
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

//! End of an observed attempt.
struct attempt_finish
{
    attempt_ending ending = attempt_ending::Answered;
    //! Time from start to the answer head, or to the failure.
    base::duration latency{};

    auto operator<=>(const attempt_finish &) const = default;
};

//! Decisions and observers that other modules supply to the executing side. All functions are
//! called on I/O threads, possibly at the same time, and must not block. An empty function stands
//! for "always allowed" or "not observed".
struct executor_hooks
{
    //! Returns true while this node holds a currency lease.
    std::function<bool()> isCurrent;
    //! Crash suspects and the attempt registry: marks the attempt as started. Called at most once
    //! for each attempt.
    std::function<base::result<void>(const attempt_request &request)> start;
    std::function<void(const attempt_observation &observation)> onStart;
    std::function<void(const attempt_observation &observation, const attempt_finish &finish)>
            onFinish;
    //! Time that the upstreams of this host probably take for a request.
    std::function<base::duration(const attempt_request &request)> expectedTime;
    //! Chance that the service's upstreams of this host answer the next request.
    std::function<double(const base::service_id &service)> health;
    //! Share of the requests that these upstreams take although they have a free slot.
    std::function<double(const base::service_id &service)> acceptance;
};

} // namespace hawthornpick::upstream
