#include "base/errorkind.h"

#include <array>

namespace hawthornpick::base {

namespace {

using enum error_kind;

constexpr std::array<error_answer, ERROR_KIND_COUNT> ERROR_TABLE{{
        {BadRequest, 400, "bad_request", outcome::NotRun, false,
         "The request is malformed or uses a construct that is not accepted."},
        {HeaderTooLarge, 431, "header_too_large", outcome::NotRun, false,
         "The request header is larger than the limit."},
        {BodyTooLarge, 413, "body_too_large", outcome::NotRun, false,
         "The request body is larger than the limit of the route."},
        {RequestTimeout, 408, "request_timeout", outcome::NotRun, true,
         "The caller sent the request too slowly."},
        {KeyInQuery, 400, "key_in_query", outcome::NotRun, false,
         "A key was found in the query string; keys belong in the key header."},
        {NoRoute, 404, "no_route", outcome::NotRun, false, "No route matches the host and path."},
        {MethodNotAllowed, 405, "method_not_allowed", outcome::NotRun, false,
         "A route matches the host and path but not the method."},
        {KeyMissing, 401, "key_missing", outcome::NotRun, false,
         "The route needs a key and the request has none."},
        {KeyInvalid, 401, "key_invalid", outcome::NotRun, false,
         "The key is unknown or was revoked."},
        {RateExceeded, 429, "rate_exceeded", outcome::NotRun, true,
         "The organisation has used up its rate and burst."},
        {RateUnavailable, 429, "rate_unavailable", outcome::NotRun, true,
         "The organisation's rate allocator could not be reached in time."},
        {ConfigNotCurrent, 503, "config_not_current", outcome::NotRun, true,
         "The node can't confirm that its configuration is the newest one."},
        {NoConfiguration, 503, "no_configuration", outcome::NotRun, true,
         "No configuration has been accepted yet."},
        {NoUpstream, 503, "no_upstream", outcome::NotRun, true,
         "The service has no upstream that can take the request."},
        {UpstreamEjected, 503, "upstream_ejected", outcome::NotRun, true,
         "The chosen upstream is ejected."},
        {UpstreamDraining, 503, "upstream_draining", outcome::NotRun, true,
         "The chosen upstream is draining or not ready."},
        {IncarnationChanged, 503, "incarnation_changed", outcome::NotRun, true,
         "The executing node has restarted since it was chosen."},
        {QueueFull, 503, "queue_full", outcome::NotRun, true,
         "The queue of the service is full on every node that was asked."},
        {DeadlineBeforeStart, 504, "deadline_before_start", outcome::NotRun, true,
         "The deadline passed, or could no longer be met, before the request was started."},
        {DeadlineAfterStart, 504, "deadline_after_start", outcome::Unknown, false,
         "The deadline passed while the upstream was working on the request."},
        {UpstreamUnreachable, 502, "upstream_unreachable", outcome::NotRun, true,
         "No connection to the upstream could be opened."},
        {UpstreamFailed, 502, "upstream_failed", outcome::Unknown, false,
         "The upstream closed the connection before a complete answer head."},
        {UpstreamTimeout, 504, "upstream_timeout", outcome::Unknown, false,
         "The upstream did not answer within the timeout of the service."},
        {UpstreamTruncated, 502, "upstream_truncated", outcome::Unknown, false,
         "The upstream's answer ended before it was complete."},
        {PeerUnreachable, 503, "peer_unreachable", outcome::NotRun, true,
         "The executing node could not be reached and nothing was sent to it."},
        {OutcomeUnknown, 502, "outcome_unknown", outcome::Unknown, false,
         "Contact with the executing node was lost after the request was sent to it."},
        {CrashSuspected, 422, "crash_suspected", outcome::NotRun, false,
         "The same request has crashed upstreams and is refused for a while."},
        {IdempotencyKeyRequired, 400, "idempotency_key_required", outcome::NotRun, false,
         "The route needs an Idempotency-Key header and the request has none."},
        {IdempotencyInProgress, 409, "idempotency_in_progress", outcome::Unknown, true,
         "A request with the same Idempotency-Key is still running."},
        {IdempotencyMismatch, 422, "idempotency_mismatch", outcome::NotRun, false,
         "The Idempotency-Key was used before with another request."},
        {IdempotencyUnavailable, 503, "idempotency_unavailable", outcome::NotRun, true,
         "The record of the Idempotency-Key could not be written to a majority of replicas."},
        {RetryBudgetExhausted, 503, "retry_budget_exhausted", outcome::NotRun, true,
         "The attempt was refused before start and the service's retry budget is used up."},
        {RegionLinkBusy, 503, "region_link_busy", outcome::NotRun, true,
         "Only another region has capacity and the limit of the link between regions is reached."},
        {ShuttingDown, 503, "shutting_down", outcome::NotRun, true, "The node is shutting down."},
        {TooManyConnections, 503, "too_many_connections", outcome::NotRun, true,
         "The node has reached its limit of open connections."},
        {CallerGone, 499, "caller_gone", outcome::Unknown, false,
         "The caller closed its connection before the answer was complete."},
        {InternalError, 500, "internal_error", outcome::Unknown, false,
         "An unexpected error inside the node."},
        {UpstreamRefused, 503, "upstream_refused", outcome::NotRun, true,
         "The upstream answered that it did not run the request."},
        {UpstreamSuspected, 503, "upstream_suspected", outcome::NotRun, true,
         "The chosen upstream probably does not answer at present."},
        {Overloaded, 503, "overloaded", outcome::NotRun, true,
         "No upstream of the service can serve the request in its time."},
        {UpstreamEvacuated, 503, "upstream_evacuated", outcome::NotRun, true,
         "The failure domain of the chosen upstream has been evacuated."},
        {NoAllowedRegion, 503, "no_allowed_region", outcome::NotRun, true,
         "No region that the route and the organisation allow has an upstream for the request."},
        {UpstreamCold, 503, "upstream_cold", outcome::NotRun, true,
         "The chosen upstream is cold and has reached the rate at which it may be given requests."},
        {UpstreamLimited, 503, "upstream_limited", outcome::NotRun, true,
         "The chosen upstream has got the requests of the limit that it names in its answers."},
}};

} // namespace

auto answerFor(error_kind kind) -> const error_answer &
{
    return ERROR_TABLE.at(static_cast<std::size_t>(kind));
}

auto errorTable() -> std::span<const error_answer>
{
    return ERROR_TABLE;
}

auto errorKindFromNumber(std::uint8_t number) -> std::optional<error_kind>
{
    if (number >= ERROR_KIND_COUNT) {
        return std::nullopt;
    }
    return static_cast<error_kind>(number);
}

auto outcomeName(outcome result) -> std::string_view
{
    switch (result) {
    case outcome::NotRun:
        return "not_run";
    case outcome::Unknown:
        return "unknown";
    case outcome::Ran:
        return "ran";
    }
    return "unknown";
}

} // namespace hawthornpick::base
