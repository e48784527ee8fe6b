#pragma once

#include "base/metrics.h"
#include "base/random.h"
#include "caller/hooks.h"
#include "caller/internal/attemptset.h"
#include "caller/internal/bodybufferbudget.h"
#include "caller/internal/idempotencysession.h"
#include "caller/internal/requestbody.h"
#include "caller/internal/requesthead.h"
#include "caller/internal/responsewriter.h"
#include "config/snapshot.h"
#include "policy/retrybudget.h"
#include "upstream/executor.h"
#include "upstream/forwarder.h"

namespace hawthornpick::caller {

//! Dependencies of the request handling on one I/O thread.
//! Precondition: the referenced objects outlive the `entry_context`.
struct entry_dependencies
{
    base::node_id node;
    const config::snapshot_cell &configuration;
    const base::snapshot_cell<membership::view> &fleet;
    upstream::executor &local;
    //! Null if the node has no links to peers.
    upstream::forwarder *remote = nullptr;
    base::metrics &metrics;
    const entry_hooks &hooks;
    const upstream::wire_profile &wire;
};

//! State that the connections of one I/O thread share. Thread safety: that thread.
class entry_context
{
public:
    entry_context(entry_dependencies dependencies, std::uint64_t seed);

    auto dependencies() -> entry_dependencies & { return m_dependencies; }
    auto configuration() -> const config::snapshot_pointer & { return m_configuration.current(); }
    auto fleet() -> const membership::view_pointer & { return m_fleet.current(); }
    auto random() -> base::random_source & { return m_random; }
    auto largeBodyBuffers() -> body_buffer_budget & { return m_largeBodyBuffers; }

private:
    //! Memory for large request bodies, which the copies for attempts can triple.
    static constexpr std::size_t LARGE_BODY_BUFFER_BYTES = 16UL * 1024 * 1024;

    entry_dependencies m_dependencies;
    base::snapshot_reader<config::snapshot> m_configuration;
    base::snapshot_reader<membership::view> m_fleet;
    base::random_source m_random;
    body_buffer_budget m_largeBodyBuffers{LARGE_BODY_BUFFER_BYTES};
};

//! Refusal or failure of a request, with the time after which a retry may succeed.
struct refusal
{
    base::error error;
    base::milliseconds retryAfter{0};
};

//! Handles one request of a caller on the entry node: checks and admits it, sends attempts to
//! executing nodes, and writes the response. Thread safety: the thread of the connection.
class request_handler
{
public:
    //! Precondition: the referenced arguments outlive the handler.
    request_handler(entry_context &entryContext, caller_input &input, request_parser &parser,
                    const request_head &head, response_writer &writer, std::string requestId);

    //! Handles the request and writes the response. Returns true if the connection can be reused.
    auto run() -> boost::asio::awaitable<bool>;

    //! Cancels the request, which ends it with a final response, because the node is about to stop.
    auto cancel() -> void { m_cancel.request(base::error_kind::ShuttingDown); }

private:
    using optional_refusal = std::optional<refusal>;
    template <typename T>
    using task = boost::asio::awaitable<T>;

    auto process() -> task<optional_refusal>;
    auto admit() -> task<optional_refusal>;
    auto checkPreconditions() -> optional_refusal;
    auto isConfigurationCurrent() const -> bool;
    // A denial out of an outdated configuration may be wrong: the node says that it can't know.
    auto replaceUncertainDenial(refusal refused) const -> refusal;
    auto matchRoute() -> optional_refusal;
    auto authenticate() -> optional_refusal;
    auto checkIdempotencyKey() -> optional_refusal;
    auto checkRateLimit() -> task<optional_refusal>;
    auto checkPlaceable() -> optional_refusal;
    auto readBodyStart() -> task<optional_refusal>;
    auto reserveBodyBuffer() -> std::size_t;
    auto buildAttemptRequest(std::string body) -> void;
    auto deadline() const -> base::time_point;
    auto readRemainingBody() -> task<base::result<std::string>>;
    auto forward() -> task<optional_refusal>;
    auto writeRefusal(const refusal &refused) -> task<bool>;
    auto priority() const -> std::uint32_t;
    auto reportRequestEnd(const optional_refusal &refused) const -> void;

    // Attempts, retries and hedging; defined in entryattempts.cpp.
    auto runAttempts() -> task<optional_refusal>;
    auto targetTime() const -> base::time_point;
    auto makeSelectionRequest() const -> selection_request;
    auto chooseNode() -> base::result<chosen_node>;
    auto launchAttempt(const chosen_node &chosen) -> task<optional_refusal>;
    auto launchHedge() -> task<void>;
    auto launchProbe() -> task<void>;
    auto scheduleHedge(const chosen_node &chosen) -> void;
    auto waitForEndedAttempt() -> task<attempt_pointer>;
    auto isFinalResponse(const attempt_state &attempt) const -> bool;
    auto deliverResponse(attempt_state &attempt) -> task<optional_refusal>;
    auto finishWithResponse(upstream::answer_start response) -> task<optional_refusal>;
    auto writeResponse(upstream::answer_start response) -> task<optional_refusal>;
    auto handleFailedAttempt(const attempt_pointer &attempt) -> task<optional_refusal>;
    auto finishAfterLastAttempt() -> task<optional_refusal>;
    auto replayStoredResponse(const idempotency_replay &stored) -> task<optional_refusal>;
    auto makeFinalRefusal(base::error error) const -> refusal;
    auto prepareRetry(const attempt_state &attempt) -> task<bool>;
    auto spendRetryBudget() -> bool;
    auto maxAttempts() const -> unsigned;
    auto proveNotStarted(const base::error &failure, const attempt_state &attempt) -> task<bool>;
    auto waitForBackoff() -> task<void>;
    auto bodySource() -> upstream::body_source;
    auto newResponse() -> buffered_response;

    entry_context &m_entryContext;
    caller_input &m_input;
    request_parser &m_parser;
    const request_head &m_head;
    response_writer &m_writer;
    base::time_point m_arrival;
    config::snapshot_pointer m_snapshot;
    const config::route *m_route = nullptr;
    config::service m_service;
    std::optional<request_body> m_body;
    // Memory for the buffered start of a large body.
    std::optional<body_buffer_budget::reservation> m_bodyBuffer;
    upstream::attempt_request m_request;
    upstream::cancellation m_cancel;
    // Nodes that refused the request; never chosen again.
    std::vector<base::node_id> m_excludedNodes;
    // Nodes whose upstream failed the request; chosen again only if there is no other node.
    std::vector<base::node_id> m_failedNodes;
    // With `refusalsAreUncounted`, nodes that refused the request for their load or health; chosen
    // again after the nodes not tried yet.
    std::vector<base::node_id> m_overloadedNodes;
    std::optional<base::error> m_lastFailure;
    std::optional<idempotency_session> m_idempotency;
    // True once an attempt may have started, and no fence proved the opposite.
    bool m_mayHaveRun = false;
    // True once an attempt was sent whose wait for a slot was not limited.
    bool m_hasWaited = false;
    unsigned m_totalAttempts = 0;
    // Ended attempts that count towards `maxAttempts`.
    unsigned m_countedAttempts = 0;
    // True once an attempt has read more of the body than its buffered start.
    bool m_isBodyConsumed = false;
    attempt_set m_attempts;
    base::time_point m_hedgeTime = base::time_point::max();
    // True once a complete response has been written that was not streamed.
    bool m_isResponseWritten = false;
    // Attempt with a 5xx response, which is sent to the caller if no other attempt succeeds.
    attempt_pointer m_fallbackAttempt;
};

//! Returns the request id of the caller if it is valid. Otherwise returns a new one, or an empty
//! string if the wire profile requires callers to send an id.
auto requestIdFor(const request_fields &fields, const upstream::wire_profile &wire,
                  base::random_source &random) -> std::string;

} // namespace hawthornpick::caller
