#pragma once

#include "base/digest.h"
#include "base/errorkind.h"
#include "config/model.h"
#include "membership/view.h"
#include "policy/placementscope.h"
#include "upstream/exchange.h"

#include <boost/asio/awaitable.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <variant>
#include <vector>

namespace hawthornpick::caller {

//! Input for the selection of the node that executes an attempt.
struct selection_request
{
    const membership::view &view;
    const config::service &service;
    bool idempotent = false;
    //! Length of the request body; for one of unknown length, the number of bytes buffered.
    std::uint64_t bodyBytes = 0;
    //! Nodes that must not be chosen, such as those that refused this request or failed it.
    std::vector<base::node_id> excludedNodes;
    base::organisation_id organisation;
    base::route_id route;
    //! Digest that identifies requests suspected of crashing upstreams.
    base::digest256 fingerprint;
    //! True if another attempt of the request is in flight.
    bool hasAttemptInFlight = false;
    //! True if an earlier attempt of the request may have run.
    bool mayHaveRun = false;
    //! Number of attempts sent so far, refused ones included.
    unsigned attemptCount = 0;
    //! True if an attempt was sent whose wait for a slot was not limited.
    bool hasWaited = false;
    std::string requestId;
    base::time_point arrival;
    base::time_point deadline;
    //! Time until which a response meets the latency target of the route.
    base::time_point targetTime;
    //! Route and organisation as in the newest configuration that has them, so that a request that
    //! is placed again obeys a change; null if the request has none.
    std::shared_ptr<const config::route> routeSettings = {};
    std::shared_ptr<const config::organisation> organisationSettings = {};

    //! Returns where the request may be executed. Thread safety: immutable.
    [[nodiscard]] auto scope(const base::evacuation_list &evacuations) const
            -> policy::placement_scope
    {
        return {routeSettings.get(), organisationSettings.get(), evacuations};
    }
};

//! Node selected to execute an attempt.
struct chosen_node
{
    base::node_id id;
    base::incarnation incarnation = 0;
    membership::endpoint address;
    //! Health of its upstreams, from 0 to 1, below which the node refuses the attempt.
    double minHealth = 0.0;
    //! Longest time for which the attempt may wait for a slot on the node.
    base::duration maxWait = base::duration::max();

    auto operator<=>(const chosen_node &) const = default;
};

//! Outcome of an attempt as seen by the entry node.
struct attempt_report
{
    base::service_id service;
    base::organisation_id organisation;
    chosen_node chosen;
    //! Empty if the response was complete.
    std::optional<base::error_kind> failure;
    //! Load that the executing node reported, if it did.
    std::optional<policy::service_load> load;
    base::duration elapsed{};
    base::route_id route;
    std::string requestId;
    //! HTTP status of the response; 0 if there was none.
    unsigned status = 0;
    //! Number of response body bytes received.
    std::size_t responseBodyBytes = 0;
    bool idempotent = false;
    //! Number of request body bytes that were there when the attempt started; the rest of a body
    //! that is streamed isn't counted.
    std::size_t requestBodyBytes = 0;
};

//! Rules for retries and parallel attempts of one request.
struct attempt_rules
{
    //! True if attempts that were refused before they started count neither towards the route's
    //! maximum number of attempts nor against the retry budget.
    bool refusalsAreUncounted = false;
    //! Maximum number of attempts of one request, uncounted ones included.
    unsigned maxTotalAttempts = 10;
    //! True if a retry waits for a backoff time first.
    bool usesBackoff = true;
    //! Responses with bodies up to this length are buffered until they are complete, so that a
    //! failed one can be retried; longer ones are streamed. 0 streams all responses.
    std::size_t maxBufferedResponseBytes = 0;
    //! True if idempotent requests are retried after a response with a 5xx status.
    bool retriesServerErrors = false;
    //! True if a hedge that couldn't be started is planned again while `hedgeDelay` gives a time.
    bool replansHedges = false;

    auto operator<=>(const attempt_rules &) const = default;
};

//! Outcome of a request, for logs and metrics.
struct request_report
{
    std::string requestId;
    base::organisation_id organisation;
    base::route_id route;
    base::service_id service;
    base::config_version version = 0;
    bool idempotent = false;
    //! Number of attempts, refused ones included.
    unsigned attempts = 0;
    //! HTTP status sent to the caller; for a failure the status of its error kind, also if the
    //! caller had disconnected.
    unsigned status = 0;
    //! Empty if the caller got a complete response of an upstream.
    std::optional<base::error> failure;
    base::milliseconds retryAfter{0};
    base::duration elapsed{};
    //! True if the request ended after its latency target.
    bool isLate = false;
};

//! Decision of the rate limiter.
struct admission
{
    //! Empty if the request is admitted.
    std::optional<base::error_kind> refusal;
    base::milliseconds retryAfter{0};
    //! Reason for the refusal, for the log.
    std::string detail = {};

    auto operator<=>(const admission &) const = default;
};

//! Request with an Idempotency-Key, as stored in its idempotency record.
struct idempotency_request
{
    base::organisation_id organisation;
    std::string key;
    //! Fingerprint of the request; another one under the same key is a mismatch.
    base::digest256 digest;
    //! Time for which the record is kept.
    base::milliseconds recordLifetime{0};
    base::attempt_id attempt;
    chosen_node chosen;
};

//! The record is claimed and the attempt may run; `claim` identifies the claim in later calls.
struct idempotency_held
{
    std::uint64_t claim = 0;
};

//! An earlier request with the same key completed with this encoded response.
struct idempotency_replay
{
    std::string encodedResponse;
};

//! Result of a claim. Errors: the `Idempotency...` kinds and `OutcomeUnknown`.
using idempotency_claim = std::variant<idempotency_held, idempotency_replay, base::error>;

//! Operations on idempotency records. All are empty if the node keeps no records; requests with an
//! Idempotency-Key are then refused with `IdempotencyUnavailable`.
struct idempotency_hooks
{
    template <typename T>
    using task = boost::asio::awaitable<T>;

    //! Creates and claims the record of a key, or finds the existing one.
    std::function<task<idempotency_claim>(idempotency_request request)> claim;
    //! Replaces the attempt in a claimed record by that of a retry; false if that failed.
    //! Precondition: the previous attempt was proved not to have started.
    std::function<task<bool>(idempotency_request request, std::uint64_t claim)> renew;
    //! Stores the encoded response in the claimed record, and returns once that is done or has
    //! taken too long; false if it isn't certain.
    std::function<task<bool>(idempotency_request request, std::uint64_t claim,
                             std::string encodedResponse)>
            complete;
    //! Frees the key of a request that was not run, so that it can be used again.
    //! Precondition: no attempt of the request started or will start.
    std::function<void(idempotency_request request, std::uint64_t claim)> release;
};

//! What an entry node does with requests while its configuration may not be the newest one.
enum class outdated_configuration_use : std::uint8_t {
    //! Refuses all requests.
    None,
    //! Serves the requests that the configuration allows. The others are refused with
    //! `ConfigNotCurrent`, because a newer configuration may allow them.
    AllowedRequests,
};

//! Decisions and observers that other modules supply to the handling of caller requests. All
//! functions except `selectNode` may be empty; an empty one allows everything, or observes nothing.
//! Thread safety: the functions are called on the I/O threads, possibly concurrently, and must not
//! block; coroutines resume on the calling thread.
struct entry_hooks
{
    //! Returns true while the configuration of this node is known to be the newest one or was so
    //! until recently.
    std::function<bool()> isConfigurationCurrent;
    outdated_configuration_use outdatedUse = outdated_configuration_use::None;
    //! Returns false if a request with this deadline might not end before the node stops.
    std::function<bool(base::time_point deadline)> canFinishBy;
    //! Takes one token from the rate limit of the organisation.
    std::function<boost::asio::awaitable<admission>(base::organisation_id organisation)>
            takeRateToken;
    //! Chooses the node for the next attempt. Errors: `NoUpstream`, `UpstreamEjected`, `QueueFull`,
    //! `RegionLinkBusy`, `NoAllowedRegion`, `UpstreamEvacuated`.
    std::function<base::result<chosen_node>(const selection_request &request)> selectNode;
    //! Returns the error that `selectNode` would return now, without choosing a node.
    std::function<base::result<void>(const selection_request &request)> checkPlaceable;
    //! Chooses a node to probe with a parallel attempt of the request; empty if none is due.
    std::function<std::optional<chosen_node>(const selection_request &request)> chooseTrial;
    //! Called before the first attempt of each request; adds it to the retry budget.
    std::function<void(const config::service &service, const base::organisation_id &organisation)>
            onFirstAttempt;
    //! Takes one retry from the retry budget; false if it is used up.
    std::function<bool(const config::service &service, const base::organisation_id &organisation)>
            takeRetry;
    //! Called at the end of each attempt, also of a cancelled one.
    std::function<void(const attempt_report &report)> onAttemptEnd;
    //! Chooses the service of a request. Without the function it is the service of the route.
    std::function<base::service_id(const config::route &route)> chooseService;
    //! Returns the hedging delay: the time without a response after which an idempotent request is
    //! sent to another node in parallel. `duration::max()` or no function means no hedging.
    std::function<base::duration(const selection_request &request, const chosen_node &chosen)>
            hedgeDelay;
    //! Returns the time after which a caller should retry a refused request.
    std::function<base::milliseconds(const base::error &why, const selection_request &request)>
            retryAfter;
    //! Called at the end of each request that was parsed.
    std::function<void(const request_report &report)> onRequestEnd;
    //! Returns the name of the service on this host, which is sent to upstreams.
    std::function<base::service_id()> callerService;
    attempt_rules attemptRules;
    //! Fences an attempt: returns true if it is proved not to have started and never to start.
    std::function<boost::asio::awaitable<bool>(base::attempt_id attempt, chosen_node chosen)> fence;
    idempotency_hooks idempotency;
};

} // namespace hawthornpick::caller
