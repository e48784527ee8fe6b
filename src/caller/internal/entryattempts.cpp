#include "caller/internal/entry.h"
#include "upstream/headerrules.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace hawthornpick::caller {

namespace asio = boost::asio;

using base::error_kind;

namespace {

// Kinds after which a retry, on another node or later, may succeed. The other kinds concern the
// request itself or the time that is left for it.
auto isRetryable(error_kind kind) -> bool
{
    switch (kind) {
    case error_kind::ConfigNotCurrent:
    case error_kind::NoUpstream:
    case error_kind::UpstreamEjected:
    case error_kind::UpstreamDraining:
    case error_kind::IncarnationChanged:
    case error_kind::QueueFull:
    case error_kind::UpstreamUnreachable:
    case error_kind::UpstreamFailed:
    case error_kind::UpstreamTimeout:
    case error_kind::PeerUnreachable:
    case error_kind::OutcomeUnknown:
    case error_kind::ShuttingDown:
    case error_kind::UpstreamRefused:
    case error_kind::UpstreamSuspected:
    case error_kind::UpstreamTruncated:
    case error_kind::Overloaded:
    case error_kind::UpstreamEvacuated:
    case error_kind::NoAllowedRegion:
    case error_kind::UpstreamCold:
    case error_kind::UpstreamLimited:
        return true;
    default:
        return false;
    }
}

// Failures of an upstream, as opposed to failures of its node.
auto isUpstreamFailure(error_kind kind) -> bool
{
    return kind == error_kind::UpstreamUnreachable || kind == error_kind::UpstreamFailed
           || kind == error_kind::UpstreamTimeout || kind == error_kind::UpstreamTruncated;
}

// Refusals for the load or health of the node, which the entry node knows only with a delay.
auto isOverloadRefusal(error_kind kind) -> bool
{
    return kind == error_kind::UpstreamSuspected || kind == error_kind::QueueFull
           || kind == error_kind::Overloaded;
}

// Returns the item in the first snapshot, or else in the second one, or null.
template <typename Item, typename Id>
auto newestOf(const Item *(*find)(const config::config_set &, const Id &), const Id &id,
              const config::snapshot_pointer &newest, const config::snapshot_pointer &previous)
        -> std::shared_ptr<const Item>
{
    for (const auto &snapshot : {newest, previous}) {
        if (const auto *item = find(snapshot->set(), id)) {
            return {snapshot, item};
        }
    }
    return nullptr;
}

} // namespace

// If an earlier attempt may have run, the outcome is unknown even if the last attempt was refused
// before it started.
auto request_handler::makeFinalRefusal(base::error error) const -> refusal
{
    const bool isOutcomeUnknown = m_mayHaveRun || m_attempts.runningCount() > 0;
    if (isOutcomeUnknown && base::isNotRun(error.kind)) {
        return {{error_kind::OutcomeUnknown, std::string(base::answerFor(error.kind).reason)}, {}};
    }
    const auto &retryAfter = m_entryContext.dependencies().hooks.retryAfter;
    const auto delay = retryAfter && base::isNotRun(error.kind)
                               ? retryAfter(error, makeSelectionRequest())
                               : base::milliseconds(0);
    return {std::move(error), delay};
}

auto request_handler::targetTime() const -> base::time_point
{
    return m_arrival + m_route->effectiveTarget();
}

auto request_handler::makeSelectionRequest() const -> selection_request
{
    const auto configuration = m_entryContext.configuration();
    return {*m_entryContext.fleet(),
            m_service,
            m_request.idempotent,
            m_request.contentLength.value_or(m_request.body.size()),
            m_excludedNodes,
            m_request.organisation,
            m_request.route,
            m_request.fingerprint,
            m_attempts.runningCount() > 0,
            m_mayHaveRun,
            m_totalAttempts,
            m_hasWaited,
            m_request.requestId,
            m_arrival,
            m_request.deadline,
            targetTime(),
            newestOf(config::findRoute, m_request.route, configuration, m_snapshot),
            newestOf(config::findOrganisation, m_request.organisation, configuration, m_snapshot)};
}

auto request_handler::chooseNode() -> base::result<chosen_node>
{
    const auto &selectNode = m_entryContext.dependencies().hooks.selectNode;
    auto request = makeSelectionRequest();
    request.excludedNodes.insert(request.excludedNodes.end(), m_failedNodes.begin(),
                                 m_failedNodes.end());
    for (const auto &attempt : m_attempts.runningAttempts()) {
        request.excludedNodes.push_back(attempt->chosen.id);
    }
    auto preferredRequest = request;
    preferredRequest.excludedNodes.insert(preferredRequest.excludedNodes.end(),
                                          m_overloadedNodes.begin(), m_overloadedNodes.end());
    auto chosen = selectNode(preferredRequest);
    if (!chosen && !m_overloadedNodes.empty()) {
        // No other node can be chosen; the overloaded ones may have free slots by now.
        chosen = selectNode(request);
    }
    if (!chosen && !m_failedNodes.empty() && m_attempts.runningCount() == 0) {
        // The node of a failed upstream may have another upstream of the service.
        request.excludedNodes = m_excludedNodes;
        chosen = selectNode(request);
    }
    return chosen;
}

auto request_handler::maxAttempts() const -> unsigned
{
    return m_route->maxAttempts > 0 ? m_route->maxAttempts : m_service.maxAttempts;
}

auto request_handler::runAttempts() -> task<optional_refusal>
{
    const auto &hooks = m_entryContext.dependencies().hooks;
    if (hooks.onFirstAttempt) {
        hooks.onFirstAttempt(m_service, m_request.organisation);
    }
    m_cancel.onRequest([this] { m_attempts.cancelOthers(nullptr, *m_cancel.reason()); });
    const auto firstNode = chooseNode();
    if (!firstNode) {
        co_return makeFinalRefusal(firstNode.error());
    }
    if (auto refused = co_await launchAttempt(*firstNode)) {
        co_return refused;
    }
    if (m_isResponseWritten) {
        // A stored response was replayed instead of an attempt.
        co_return std::nullopt;
    }
    co_await launchProbe();
    while (true) {
        const auto ended = co_await waitForEndedAttempt();
        if (m_cancel.reason() && m_attempts.runningCount() == 0) {
            // A cancelled attempt may have started before its cancellation.
            m_mayHaveRun = true;
            co_return makeFinalRefusal({*m_cancel.reason(), "cancelled"});
        }
        if (!ended) {
            co_await launchHedge();
            continue;
        }
        // The end of an attempt that was cancelled for a streamed response doesn't matter.
        const bool isSuperseded = m_writer.hasStarted() && !ended->response.isStreaming();
        if (m_cancel.reason() || isSuperseded) {
            continue;
        }
        if (isFinalResponse(*ended)) {
            co_return co_await deliverResponse(*ended);
        }
        auto refused = co_await handleFailedAttempt(ended);
        if (refused) {
            co_return refused;
        }
        if (m_isResponseWritten) {
            co_return std::nullopt;
        }
    }
}

auto request_handler::waitForEndedAttempt() -> task<attempt_pointer>
{
    // There is no hedging once the request is cancelled or its response is streamed.
    const bool mayHedge = !m_cancel.reason() && !m_writer.hasStarted();
    co_return co_await m_attempts.waitForEnded(mayHedge ? m_hedgeTime : base::time_point::max());
}

// A streamed response that fails midway has a failure as its result and is not final.
auto request_handler::isFinalResponse(const attempt_state &attempt) const -> bool
{
    if (attempt.result->failure) {
        return false;
    }
    const bool mustRetry = base::isServerError(attempt.response.status()) && m_request.idempotent
                           && !attempt.response.isStreaming()
                           && m_entryContext.dependencies().hooks.attemptRules.retriesServerErrors;
    return !mustRetry;
}

auto request_handler::launchAttempt(const chosen_node &chosen) -> task<optional_refusal>
{
    ++m_totalAttempts;
    m_request.attempt = m_entryContext.random().attemptId();
    m_request.nodeIncarnation = chosen.incarnation;
    const bool isLastAttempt =
            m_totalAttempts >= m_entryContext.dependencies().hooks.attemptRules.maxTotalAttempts;
    const bool ignoresHealth = isLastAttempt && m_request.idempotent;
    m_request.minHealth = ignoresHealth ? 0.0 : chosen.minHealth;
    m_request.maxWait = isLastAttempt ? base::duration::max() : chosen.maxWait;
    m_hasWaited = m_hasWaited || m_request.maxWait == base::duration::max();
    if (m_idempotency) {
        auto claim = co_await m_idempotency->claimForAttempt(m_request, chosen);
        if (claim && std::holds_alternative<idempotency_replay>(*claim)) {
            co_return co_await replayStoredResponse(std::get<idempotency_replay>(*claim));
        }
        if (claim) {
            co_return refusal{std::get<base::error>(*claim), {}};
        }
    }
    m_attempts.launch(std::make_shared<attempt_state>(chosen, m_request, newResponse()),
                      bodySource());
    if (m_cancel.reason()) {
        m_attempts.cancelOthers(nullptr, *m_cancel.reason());
    }
    scheduleHedge(chosen);
    co_return std::nullopt;
}

auto request_handler::scheduleHedge(const chosen_node &chosen) -> void
{
    const auto &hedgeDelay = m_entryContext.dependencies().hooks.hedgeDelay;
    m_hedgeTime = base::time_point::max();
    if (!hedgeDelay || !m_request.idempotent || !m_request.bodyComplete) {
        return;
    }
    const auto delay = hedgeDelay(makeSelectionRequest(), chosen);
    if (delay != base::duration::max()) {
        m_hedgeTime = base::clock::now() + delay;
    }
}

// The first response is used, so the probe does not delay the request.
auto request_handler::launchProbe() -> task<void>
{
    const auto &chooseTrial = m_entryContext.dependencies().hooks.chooseTrial;
    if (!chooseTrial || !m_request.idempotent || !m_request.bodyComplete || maxAttempts() < 2) {
        co_return;
    }
    auto request = makeSelectionRequest();
    for (const auto &attempt : m_attempts.runningAttempts()) {
        request.excludedNodes.push_back(attempt->chosen.id);
    }
    const auto chosen = chooseTrial(request);
    if (!chosen) {
        co_return;
    }
    const auto hedgeTime = m_hedgeTime;
    co_await launchAttempt(*chosen);
    m_hedgeTime = hedgeTime;
}

// Starts a parallel attempt if the limits of attempts, a node and the retry budget allow it.
auto request_handler::launchHedge() -> task<void>
{
    m_hedgeTime = base::time_point::max();
    const auto inFlight = static_cast<unsigned>(m_attempts.runningCount());
    if (m_writer.hasStarted() || m_countedAttempts + inFlight >= maxAttempts()
        || m_totalAttempts >= m_entryContext.dependencies().hooks.attemptRules.maxTotalAttempts) {
        co_return;
    }
    const auto chosen = chooseNode();
    if (!chosen || !spendRetryBudget()) {
        if (m_entryContext.dependencies().hooks.attemptRules.replansHedges && inFlight > 0) {
            scheduleHedge(m_attempts.runningAttempts().front()->chosen);
        }
        co_return;
    }
    m_entryContext.dependencies().metrics.countRetry(error_kind::UpstreamTimeout);
    co_await launchAttempt(*chosen);
}

auto request_handler::spendRetryBudget() -> bool
{
    const auto &takeRetry = m_entryContext.dependencies().hooks.takeRetry;
    return !takeRetry || takeRetry(m_service, m_request.organisation);
}

auto request_handler::deliverResponse(attempt_state &attempt) -> task<optional_refusal>
{
    m_attempts.cancelOthers(&attempt, error_kind::CallerGone);
    m_mayHaveRun = true;
    if (attempt.response.isStreaming()) {
        const auto ended = co_await m_writer.end();
        if (m_idempotency) {
            co_await m_idempotency->complete();
        }
        co_return ended ? std::nullopt : optional_refusal(refusal{ended.error(), {}});
    }
    co_return co_await finishWithResponse(attempt.response.take());
}

// The response is stored before it is written, because its caller may repeat the request as soon as
// it has it.
auto request_handler::finishWithResponse(upstream::answer_start response) -> task<optional_refusal>
{
    if (m_idempotency) {
        m_idempotency->recordStart(response);
        co_await m_idempotency->complete();
    }
    co_return co_await writeResponse(std::move(response));
}

auto request_handler::writeResponse(upstream::answer_start response) -> task<optional_refusal>
{
    auto sent = co_await m_writer.start(std::move(response));
    if (sent) {
        sent = co_await m_writer.end();
    }
    m_isResponseWritten = sent.has_value();
    co_return sent ? std::nullopt : optional_refusal(refusal{sent.error(), {}});
}

auto request_handler::replayStoredResponse(const idempotency_replay &stored)
        -> task<optional_refusal>
{
    auto response = decodeStoredResponse(stored.encodedResponse);
    if (!response) {
        co_return refusal{{error_kind::OutcomeUnknown, "stored response cannot be decoded"}, {}};
    }
    upstream::appendHeader(response->headers, "Idempotency-Replayed", "true");
    co_return co_await writeResponse(std::move(*response));
}

// Returns a refusal if the request has failed finally. Otherwise another attempt is in flight or
// the response was written.
auto request_handler::handleFailedAttempt(const attempt_pointer &attempt) -> task<optional_refusal>
{
    if (attempt->result->failure) {
        m_lastFailure = attempt->result->failure;
    } else {
        m_fallbackAttempt = attempt;
    }
    const bool canRetry = co_await prepareRetry(*attempt);
    if (canRetry) {
        const auto chosen = chooseNode();
        if (chosen) {
            const auto kind = attempt->result->failure ? attempt->result->failure->kind
                                                       : error_kind::UpstreamFailed;
            m_entryContext.dependencies().metrics.countRetry(kind);
            co_await waitForBackoff();
            if (m_writer.hasStarted()) {
                co_return std::nullopt;
            }
            co_return co_await launchAttempt(*chosen);
        }
        if (!m_lastFailure) {
            m_lastFailure = chosen.error();
        }
    }
    if (m_attempts.runningCount() > 0 && !m_writer.hasStarted()) {
        co_return std::nullopt;
    }
    co_return co_await finishAfterLastAttempt();
}

auto request_handler::finishAfterLastAttempt() -> task<optional_refusal>
{
    if (m_fallbackAttempt && !m_writer.hasStarted()) {
        co_return co_await finishWithResponse(m_fallbackAttempt->response.take());
    }
    co_return makeFinalRefusal(m_lastFailure.value_or(base::error{error_kind::NoUpstream, {}}));
}

auto request_handler::proveNotStarted(const base::error &failure, const attempt_state &attempt)
        -> task<bool>
{
    if (base::isNotRun(failure.kind)) {
        co_return true;
    }
    const auto &fence = m_entryContext.dependencies().hooks.fence;
    if (failure.kind != error_kind::OutcomeUnknown || !fence) {
        co_return false;
    }
    co_return co_await fence(attempt.request.attempt, attempt.chosen);
}

auto request_handler::prepareRetry(const attempt_state &attempt) -> task<bool>
{
    const auto &rules = m_entryContext.dependencies().hooks.attemptRules;
    const auto kind =
            attempt.result->failure ? attempt.result->failure->kind : error_kind::UpstreamFailed;
    const bool isRefusal = base::isNotRun(kind) && !attempt.result->answerStarted;
    m_countedAttempts +=
            isRefusal && kind != error_kind::UpstreamRefused && rules.refusalsAreUncounted ? 0 : 1;
    m_mayHaveRun = m_mayHaveRun || !isRefusal;
    if (m_writer.hasStarted() || m_isBodyConsumed || !isRetryable(kind) || m_cancel.reason()) {
        co_return false;
    }
    if (!m_request.idempotent) {
        const bool isProvedNotStarted = co_await proveNotStarted(*attempt.result->failure, attempt);
        if (!isProvedNotStarted) {
            co_return false;
        }
        // All earlier attempts of a non-idempotent request were proved not to have started either,
        // because only such a proof allows a retry.
        m_mayHaveRun = false;
        if (!base::isNotRun(kind)) {
            m_lastFailure = base::error{error_kind::PeerUnreachable,
                                        "fence proved that the attempt did not start"};
        }
    }
    const auto inFlight = static_cast<unsigned>(m_attempts.runningCount());
    if (m_countedAttempts + inFlight >= maxAttempts() || m_totalAttempts >= rules.maxTotalAttempts
        || base::clock::now() >= m_request.deadline) {
        co_return false;
    }
    // A node that refused for its load or health is chosen again after the nodes not tried yet.
    const bool isOverloaded = isOverloadRefusal(kind) && rules.refusalsAreUncounted;
    auto &avoidedNodes = isOverloaded ? m_overloadedNodes
                                      : (isUpstreamFailure(kind) ? m_failedNodes : m_excludedNodes);
    avoidedNodes.push_back(attempt.chosen.id);
    const bool isUncounted =
            rules.refusalsAreUncounted && isRefusal && kind != error_kind::UpstreamRefused;
    if (!isUncounted && !spendRetryBudget()) {
        // RetryBudgetExhausted reports "not run", so it may replace only a refusal before start.
        if (base::isNotRun(kind)) {
            m_lastFailure = base::error{error_kind::RetryBudgetExhausted, {}};
        }
        co_return false;
    }
    co_return true;
}

auto request_handler::waitForBackoff() -> task<void>
{
    if (!m_entryContext.dependencies().hooks.attemptRules.usesBackoff) {
        co_return;
    }
    const auto delay = policy::retryDelay(m_totalAttempts, m_entryContext.random());
    asio::steady_timer timer(m_input.socket().get_executor(), delay);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
}

auto request_handler::newResponse() -> buffered_response
{
    // A response that can be stored for repeats must be complete before it is written.
    const auto limitBytes =
            std::max(m_entryContext.dependencies().hooks.attemptRules.maxBufferedResponseBytes,
                     m_idempotency ? idempotency_session::MAX_STORED_RESPONSE_BYTES : 0);
    return {limitBytes,
            [this](upstream::answer_start start) {
                // The writer belongs to this response from now on.
                m_attempts.cancelAllButStreaming(error_kind::CallerGone);
                if (m_idempotency) {
                    m_idempotency->recordStart(start);
                }
                return m_writer.start(std::move(start));
            },
            [this](std::string part) {
                if (m_idempotency) {
                    m_idempotency->recordData(part);
                }
                return m_writer.data(std::move(part));
            }};
}

} // namespace hawthornpick::caller
