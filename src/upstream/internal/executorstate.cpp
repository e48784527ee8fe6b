#include "upstream/internal/executorstate.h"

#include "upstream/internal/coldprobe.h"
#include "upstream/internal/slotwait.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace hawthornpick::upstream {

namespace asio = boost::asio;

namespace {

using base::error_kind;
using membership::upstream_state;

constexpr std::chrono::seconds POOL_CHECK_INTERVAL{1};

auto endingOf(const exchange_result &result) -> attempt_ending
{
    if (!result.failure) {
        return base::isServerError(result.status) ? attempt_ending::ServerError
                                                  : attempt_ending::Answered;
    }
    switch (result.failure->kind) {
    case error_kind::UpstreamUnreachable:
        return attempt_ending::ConnectFailed;
    case error_kind::UpstreamRefused:
        return attempt_ending::Refused;
    case error_kind::UpstreamFailed:
        return attempt_ending::ConnectionLost;
    case error_kind::UpstreamTruncated:
        return attempt_ending::Truncated;
    case error_kind::UpstreamTimeout:
        return attempt_ending::TimedOut;
    case error_kind::DeadlineAfterStart:
        return result.answerStarted ? attempt_ending::Cancelled : attempt_ending::DeadlinePassed;
    default:
        return attempt_ending::Cancelled;
    }
}

auto observationOf(const attempt_request &request, const upstream_record &target)
        -> attempt_observation
{
    return {request.attempt,      target.entry.id,  target.entry.incarnation, target.entry.service,
            request.organisation, request.route,    request.fingerprint,      request.idempotent,
            base::clock::now(),   request.requestId};
}

// A reused connection that the upstream closed while it was idle can't be told from one lost during
// the request. If no byte of an answer arrived and the body can be sent again, the request is
// retried when no byte of it was sent, so that the upstream can't have received it, or when it is
// idempotent.
auto mayRetryOnNewConnection(const exchange_result &result, const attempt_request &request,
                             bool reused, const executor_options &options) -> bool
{
    if (!reused || !result.failure || result.failure->kind != error_kind::UpstreamFailed
        || !result.lostBeforeAnswer || result.sourceConsumed) {
        return false;
    }
    return result.nothingSent || (request.idempotent && options.retriesLostRequests);
}

auto tellsOfRestart(attempt_ending ending) -> bool
{
    return ending == attempt_ending::ConnectFailed || ending == attempt_ending::ConnectionLost
           || ending == attempt_ending::Truncated;
}

} // namespace

auto endingName(attempt_ending ending) -> std::string_view
{
    switch (ending) {
    case attempt_ending::Answered:
        return "answered";
    case attempt_ending::ServerError:
        return "server_error";
    case attempt_ending::ConnectFailed:
        return "connect_failed";
    case attempt_ending::ConnectionLost:
        return "connection_lost";
    case attempt_ending::Truncated:
        return "truncated";
    case attempt_ending::TimedOut:
        return "timed_out";
    case attempt_ending::DeadlinePassed:
        return "deadline_passed";
    case attempt_ending::Cancelled:
        return "cancelled";
    case attempt_ending::Refused:
        return "refused";
    }
    return "unknown";
}

executor_state::executor_state(asio::io_context &context, executor_dependencies dependencies)
    : m_context(context), m_dependencies(std::move(dependencies)),
      m_configuration(m_dependencies.configuration), m_upstreams(m_dependencies.upstreams),
      m_pool(context), m_poolTimer(context)
{}

auto executor_state::closeExpiredConnections(std::shared_ptr<executor_state> self)
        -> asio::awaitable<void>
{
    while (!self->m_stopped) {
        self->m_pool.closeExpired(base::clock::now());
        self->m_poolTimer.expires_after(POOL_CHECK_INTERVAL);
        co_await self->m_poolTimer.async_wait(asio::as_tuple(asio::use_awaitable));
    }
}

auto executor_state::stop() -> void
{
    m_stopped = true;
    m_poolTimer.cancel();
    m_pool.closeAll();
}

auto executor_state::loadOf(const base::service_id &service) -> std::optional<policy::service_load>
{
    const auto queue = m_upstreams.current()->queueOf(service);
    if (!queue) {
        return std::nullopt;
    }
    auto load = queue->load();
    if (m_dependencies.hooks.health) {
        load.health = m_dependencies.hooks.health(service);
    }
    if (m_dependencies.hooks.acceptance) {
        load.acceptance = m_dependencies.hooks.acceptance(service);
    }
    load.startRate = m_dependencies.startGates->startRateOf(service, coldTermsOf(service),
                                                            base::clock::now());
    return load;
}

auto executor_state::coldTermsOf(const base::service_id &service) -> policy::cold_terms
{
    const auto *settings = m_configuration.current()->serviceById(service);
    return settings == nullptr
                   ? policy::cold_terms()
                   : upstream::coldTermsOf(*settings, m_dependencies.options.coldOverage);
}

auto executor_state::checkKeyAndRoute(const attempt_request &request) -> base::result<void>
{
    const auto &snapshot = *m_configuration.current();
    // An older configuration than the entry node's may lack the key or the route.
    if (snapshot.version() < request.configVersion) {
        return base::fail(error_kind::ConfigNotCurrent);
    }
    const auto *route = config::findRoute(snapshot.set(), request.route);
    if (route == nullptr) {
        return base::fail(error_kind::NoRoute);
    }
    if (route->access == config::route_access::Open) {
        return {};
    }
    const auto *key = snapshot.keyById(request.key);
    if (key == nullptr || key->organisation != request.organisation) {
        return base::fail(error_kind::KeyInvalid);
    }
    return {};
}

auto executor_state::checkAdmission(const attempt_request &request) -> base::result<void>
{
    const auto &hooks = m_dependencies.hooks;
    if (request.nodeIncarnation != 0 && request.nodeIncarnation != m_dependencies.nodeIncarnation) {
        return base::fail(error_kind::IncarnationChanged);
    }
    if (hooks.isCurrent && !hooks.isCurrent()) {
        return base::fail(error_kind::ConfigNotCurrent);
    }
    if (m_dependencies.options.checksKeyAndRoute) {
        if (auto key = checkKeyAndRoute(request); !key) {
            return key;
        }
    }
    if (hooks.checkPlace) {
        if (auto place = hooks.checkPlace(request); !place) {
            return place;
        }
    }
    if (request.deadline <= base::clock::now()) {
        return base::fail(error_kind::DeadlineBeforeStart);
    }
    if (hooks.health && hooks.health(request.service) < request.minHealth) {
        return base::fail(error_kind::UpstreamSuspected);
    }
    return {};
}

auto executor_state::run(const attempt_request &request, const body_source &source,
                         const answer_sink &sink, cancellation &cancel)
        -> asio::awaitable<attempt_result>
{
    ++inFlightCount;
    auto result = co_await admitAndRun(request, source, sink, cancel);
    --inFlightCount;
    result.load = loadOf(request.service);
    co_return result;
}

auto executor_state::admitAndRun(const attempt_request &request, const body_source &source,
                                 const answer_sink &sink, cancellation &cancel)
        -> asio::awaitable<attempt_result>
{
    if (cancel.reason()) {
        co_return attempt_result{base::error{*cancel.reason(), {}}, false, {}};
    }
    recordStatements(request);
    if (const auto admitted = checkAdmission(request); !admitted) {
        co_return attempt_result{admitted.error(), false, {}};
    }
    if (const auto allowed = checkFreeStart(request); !allowed) {
        co_return attempt_result{allowed.error(), false, {}};
    }
    auto slot = co_await acquireSlot(request, cancel);
    if (!slot) {
        co_return attempt_result{slot.error(), false, {}};
    }
    auto start = authorizeStart(request, slot->upstream());
    if (!start) {
        co_return attempt_result{start.error(), false, {}};
    }
    const auto outcome = co_await runExchange(request, *start, source, sink, cancel);
    if (!outcome.failure && !base::isServerError(outcome.status)) {
        slot->markSucceeded();
    }
    co_return attempt_result{outcome.failure, outcome.answerStarted, {}};
}

auto executor_state::recordStatements(const attempt_request &request) -> void
{
    for (const auto &statement : request.statements) {
        m_dependencies.startGates->onStatement(statement, base::clock::now());
        if (statement.isLeaving && m_dependencies.markLeaving) {
            m_dependencies.markLeaving(statement.upstream, statement.incarnation);
        }
    }
}

auto executor_state::recordNotice(const upstream_record &target, const upstream_notice &notice,
                                  base::time_point sentAt) -> void
{
    const auto &entry = target.entry;
    m_dependencies.startGates->onNotice(entry.id, entry.incarnation, notice, sentAt,
                                        base::clock::now());
    if (notice.isLeaving && m_dependencies.markLeaving) {
        m_dependencies.markLeaving(entry.id, entry.incarnation);
    }
}

auto executor_state::checkFreeStart(const attempt_request &request) -> base::result<void>
{
    const auto terms = coldTermsOf(request.service);
    auto &startGates = *m_dependencies.startGates;
    const auto now = base::clock::now();
    if (terms.isLimited() && canAsk(request.service)) {
        for (const auto &upstream : startGates.takeQuestions(request.service, terms, now)) {
            m_dependencies.askUpstream(upstream);
        }
    }
    return startGates.checkFreeStart(request.service, terms, now);
}

auto executor_state::canAsk(const base::service_id &service) -> bool
{
    const auto *settings = m_configuration.current()->serviceById(service);
    return settings != nullptr && !settings->healthPath.empty()
           && !m_dependencies.wire.coldTime.empty() && m_dependencies.askUpstream;
}

auto executor_state::reserveStart(const attempt_request &request, const base::upstream_id &upstream)
        -> base::result<start_reservation>
{
    const auto terms = coldTermsOf(request.service);
    const auto &startGates = m_dependencies.startGates;
    if (auto reserved = startGates->tryReserve(upstream, terms, base::clock::now()); !reserved) {
        return tl::unexpected(reserved.error());
    }
    return start_reservation(startGates, upstream, terms);
}

auto executor_state::acquireSlot(const attempt_request &request, cancellation &cancel)
        -> asio::awaitable<base::result<slot_guard>>
{
    const auto queue = m_upstreams.current()->queueOf(request.service);
    if (!queue) {
        co_return base::fail(error_kind::NoUpstream);
    }
    const auto *organisation = m_configuration.current()->organisationById(request.organisation);
    const auto weight = organisation == nullptr ? 1 : organisation->weight;
    const auto &expectedTime = m_dependencies.hooks.expectedTime;
    const policy::slot_request slotRequest{request.attempt,
                                           request.organisation,
                                           weight,
                                           request.deadline,
                                           request.idempotent,
                                           request.answerBy,
                                           expectedTime ? expectedTime(request) : base::duration{},
                                           request.priority,
                                           request.maxWait};
    const auto slotWait = std::make_shared<slot_wait>(m_context.get_executor());
    const auto enterResult =
            queue->acquire(slotRequest, base::clock::now(), slot_wait::resumeFunction(slotWait));
    if (!enterResult) {
        co_return tl::unexpected(enterResult.error());
    }
    if (*enterResult) {
        co_return slot_guard(queue, **enterResult);
    }
    const auto grant = co_await slot_wait::awaitResult(slotWait, *queue, slotRequest, cancel);
    if (!grant) {
        co_return tl::unexpected(grant.error());
    }
    slot_guard guard(queue, *grant);
    if (cancel.reason()) {
        co_return base::fail(*cancel.reason());
    }
    co_return guard;
}

// While the request waited for its slot, its key may have been revoked or the upstream may have
// been withdrawn.
auto executor_state::authorizeStart(const attempt_request &request,
                                    const base::upstream_id &upstream)
        -> base::result<authorized_start>
{
    if (auto checked = checkAdmission(request); !checked) {
        return tl::unexpected(checked.error());
    }
    auto record = m_upstreams.current()->find(upstream);
    if (!record) {
        return base::fail(error_kind::NoUpstream);
    }
    if (record->entry.state != upstream_state::Ready) {
        return base::fail(error_kind::UpstreamDraining);
    }
    auto reservation = reserveStart(request, upstream);
    if (!reservation) {
        return tl::unexpected(reservation.error());
    }
    if (m_dependencies.hooks.start) {
        if (auto started = m_dependencies.hooks.start(request); !started) {
            return tl::unexpected(started.error());
        }
    }
    return authorized_start{std::move(record), std::move(*reservation)};
}

auto executor_state::runExchange(const attempt_request &request, authorized_start &start,
                                 const body_source &source, const answer_sink &sink,
                                 cancellation &cancel) -> asio::awaitable<exchange_result>
{
    const auto &hooks = m_dependencies.hooks;
    const auto &target = *start.record;
    const auto observation = observationOf(request, target);
    if (hooks.onStart) {
        hooks.onStart(observation);
    }
    const auto service = serviceSettingsOf(request);
    base::time_point sentAt;
    const auto onNotice = [&](const upstream_notice &notice) {
        recordNotice(target, notice, sentAt);
    };
    exchange_result result;
    for (bool openNew = false, retry = true; retry;) {
        auto connection = co_await acquireConnection(request, target, openNew, cancel);
        if (!connection) {
            // A previous exchange that sent bytes keeps its failure, because the upstream may have
            // received the request.
            if (!openNew || result.nothingSent) {
                result = {};
                result.failure = connection.error();
            }
            break;
        }
        if (const auto renewed = start.reservation.renew(); !renewed) {
            if (result.nothingSent) {
                result.failure = renewed.error();
            }
            break;
        }
        sentAt = base::clock::now();
        start.reservation.onSent();
        (*connection)->addRequest(request.requestId);
        upstream_exchange exchange(**connection, request, m_dependencies.wire, target.name,
                                   service.timeout, source, sink, cancel, onNotice);
        result = co_await exchange.run();
        retry = !openNew
                && mayRetryOnNewConnection(result, request, (*connection)->reused,
                                           m_dependencies.options);
        openNew = true;
        if (result.reusable) {
            m_pool.release(std::move(*connection));
        }
    }
    const auto ending = endingOf(result);
    if (tellsOfRestart(ending)) {
        m_dependencies.startGates->onConnectionLost(target.entry.id, target.entry.incarnation,
                                                    base::clock::now());
    }
    if (hooks.onFinish) {
        const auto endTime = result.headTime.value_or(base::clock::now());
        hooks.onFinish(observation, {ending, endTime - observation.started});
    }
    co_return result;
}

auto executor_state::serviceSettingsOf(const attempt_request &request) -> config::service
{
    const auto *service = m_configuration.current()->serviceById(request.service);
    return service == nullptr ? config::service{} : *service;
}

auto executor_state::acquireConnection(const attempt_request &request,
                                       const upstream_record &target, bool openNew,
                                       cancellation &cancel)
        -> asio::awaitable<base::result<connection_pointer>>
{
    if (!openNew) {
        const auto maxIdleTime = request.idempotent ? connection_pool::MAX_IDLE_TIME
                                                    : connection_pool::MAX_IDLE_TIME_NON_IDEMPOTENT;
        if (auto idle = m_pool.acquireIdle(target, maxIdleTime, request.requestId)) {
            co_return idle;
        }
    }
    const auto connectDeadline = base::clock::now() + serviceSettingsOf(request).connectTimeout;
    co_return co_await m_pool.connect(target, std::min(connectDeadline, request.deadline), cancel);
}

} // namespace hawthornpick::upstream
