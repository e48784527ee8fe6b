#include "app/meshnode.h"

#include "app/internal/crashcontrol.h"
#include "app/internal/decisionlog.h"
#include "app/internal/forwardedtraffic.h"
#include "app/internal/meshcontrol.h"
#include "app/internal/overloadcontrol.h"
#include "app/internal/peeracceptor.h"
#include "app/internal/upstreamhealth.h"
#include "base/evacuation.h"
#include "base/log.h"
#include "base/random.h"
#include "caller/callerserver.h"
#include "config/priority.h"
#include "limits/fleetratelimiter.h"
#include "policy/callratio.h"
#include "policy/hedgeplan.h"
#include "policy/placement.h"
#include "policy/placementlimit.h"
#include "policy/placementscope.h"
#include "policy/repeatbudget.h"
#include "policy/returntime.h"
#include "policy/servicesplit.h"
#include "status/statusserver.h"
#include "upstream/upstreamservice.h"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <chrono>

namespace hawthornpick::app {

namespace {

namespace asio = boost::asio;

//! Time after the stop signal during which other nodes may still forward requests to this node, so
//! that they learn from the directory that it leaves instead of from refusals.
constexpr base::milliseconds LEAVE_PROPAGATION_TIME{500};
//! Time after the stop signal during which the node accepts caller connections. Callers of this
//! host switch to another node after two failed readiness checks, one per second.
constexpr base::milliseconds CALLER_FAILOVER_TIME{2600};
constexpr base::milliseconds DRAIN_POLL_INTERVAL{20};
//! Time after the stop signal during which all requests are admitted. Later requests are admitted
//! only if their deadline is more than `STOP_RESERVE` before the end of the process.
constexpr base::milliseconds FULL_ADMISSION_TIME{2400};
//! Time before the end of the process at which in-flight requests get a final response.
constexpr base::milliseconds FINAL_RESPONSE_LEAD_TIME{700};
//! Time before the end of the process that is reserved for delivering responses.
constexpr base::milliseconds STOP_RESERVE{600};
//! Interval at which overdue registrations and queued requests past their deadline are removed.
constexpr base::milliseconds EXPIRY_INTERVAL{50};
//! Number of missed registrations after which an upstream counts as gone. A registration may arrive
//! seconds late.
constexpr int MAX_MISSED_HEARTBEATS = 8;
//! Responses up to this length are buffered until they are complete; longer ones are streamed.
constexpr std::size_t MAX_BUFFERED_RESPONSE_BYTES = 1024UL * 1024;
//! A network path between nodes may fail for seconds. A request that must not be repeated should
//! not be sent over a failed path, and no request should wait long for a connection; responses over
//! a path with packet loss may arrive late.
constexpr peer::link_timing LINK_TIMING{base::milliseconds(100), base::milliseconds(700),
                                        base::milliseconds(250), base::milliseconds(150)};
//! The queueing time may exceed the estimate of the entry node by the target latency divided by
//! this number.
constexpr int WAIT_MARGIN_DIVISOR = 8;
constexpr unsigned MAX_PLACEMENTS = policy::placement_limit::MAX_ATTEMPTS;
//! The executing node refuses a request if the success probability of its upstream is lower than
//! the entry node's estimate by more than this margin. The wide margin lets idempotent requests
//! explore uncertain upstreams; other requests need a reliable one.
constexpr double HEALTH_MARGIN_NON_IDEMPOTENT = 0.15;
constexpr double HEALTH_MARGIN_IDEMPOTENT = 0.35;
//! A second attempt of an idempotent request (a hedge) starts when the first has taken longer than
//! this quantile of the latencies of its route.
constexpr double HEDGE_LATENCY_QUANTILE = 0.92;
//! Bounds of the delay before a hedge, as ratios of the target latency.
constexpr double MIN_HEDGE_DELAY_RATIO = 0.3;
constexpr double MAX_HEDGE_DELAY_RATIO = 0.7;
//! Ratios of the fleet's limit of repeats (retries and hedges) that the nodes use. The rest covers
//! calls made by a repeated request, which count as repeats of the called service.
constexpr double REPEAT_SHARE_RATIO = 0.6;
constexpr double REPEAT_SLACK_RATIO = 0.35;
//! Minimum of the time after which a refused caller should retry; the maximum is three times this.
//! Transient refusals concern a single request, the others a lack of capacity.
constexpr base::milliseconds MIN_TRANSIENT_RETRY_AFTER{30};
constexpr base::milliseconds MIN_CAPACITY_RETRY_AFTER{150};

auto identityOf(const config::mesh_settings &settings) -> peer::link_identity
{
    return {fleet::nodeIdOf({settings.address, settings.peerPort}), base::wallClockMilliseconds(),
            settings.fleetSecret, settings.address};
}

auto placementSettings(const config::mesh_settings &settings) -> policy::placement_settings
{
    return {fleet::nodeIdOf({settings.address, settings.peerPort}), settings.region,
            settings.failureDomain};
}

auto placeOf(const config::mesh_settings &settings) -> membership::node_entry
{
    membership::node_entry place;
    place.id = fleet::nodeIdOf({settings.address, settings.peerPort});
    place.region = settings.region;
    place.failureDomain = settings.failureDomain;
    return place;
}

} // namespace

class mesh_node_state
{
public:
    mesh_node_state(asio::io_context &context, const config::mesh_settings &settings,
                    mesh_adapter adapter)
        : m_context(context), m_settings(settings), m_adapter(std::move(adapter)),
          m_identity(identityOf(settings)), m_forwardedTraffic(m_metrics, placeOf(settings)),
          m_configuration(std::make_shared<const config::snapshot>()),
          m_membershipView(std::make_shared<const membership::view>()),
          m_placement(placementSettings(settings), base::systemSeed()),
          m_placementLimit(settings.region), m_upstreamHealth(m_configuration),
          m_overload(m_metrics, base::systemSeed()), m_returnTime(base::systemSeed()),
          m_random(base::systemSeed()), m_serviceSplit(base::systemSeed()),
          m_repeatBudget({settings.repeatShare * REPEAT_SHARE_RATIO, 0.0, settings.repeatWindow}),
          m_rateLimiter({}, base::systemSeed(), base::clock::now()),
          m_crashControl(context, m_identity.node, m_metrics, upstreamAddresses(),
                         [this](std::vector<base::crash_record> records) {
                             m_control.setCrashRecords(std::move(records));
                         }),
          m_control(context, settings, m_adapter, m_identity, m_metrics, controlCallbacks()),
          m_upstreams({&context}, {}, upstreamDependencies()),
          m_linkPool(
                  context, m_identity,
                  [this](peer::stream_pointer incoming) {
                      m_upstreams.executorOf(0).serve(std::move(incoming));
                  },
                  [this](const base::node_id &from, base::channel kind, std::string payload) {
                      m_control.runtime().deliver(from, kind, std::move(payload));
                  },
                  LINK_TIMING),
          m_acceptor(std::make_shared<peer_acceptor>(
                  std::vector{&context}, std::vector{&m_linkPool}, settings.peerListenAddress)),
          m_expiryTimer(context), m_finalResponseTimer(context)
    {
        if (!settings.callerAddress.address.empty()) {
            m_callerServer.emplace(std::vector{&context}, settings.callerAddress,
                                   callerDependencies());
        }
        if (!settings.statusAddress.address.empty()) {
            m_statusServer.emplace(context, settings.statusAddress, m_metrics,
                                   [this] { return readiness(); });
        }
    }

    auto start() -> void
    {
        m_acceptor->start();
        m_control.start();
        m_adapterServers.emplace(
                m_adapter.startServers(m_context, m_settings, adapterOperations()));
        removeExpired();
    }

    auto reload(const config::mesh_settings &settings) -> void
    {
        m_settings.seeds = settings.seeds;
        m_settings.service = settings.service;
        m_control.setSeeds(settings.seeds);
    }

    auto drain(const std::function<void()> &done) -> void
    {
        if (std::exchange(m_isDraining, true)) {
            return;
        }
        m_drainStartTime = base::clock::now();
        m_control.leave();
        runAfter(LEAVE_PROPAGATION_TIME, [this] {
            m_linkPool.drain();
            m_upstreams.drain();
        });
        if (!m_callerServer) {
            runAfter(LEAVE_PROPAGATION_TIME, [this, done] { waitForIdleExecutor(done); });
            return;
        }
        runAfter(CALLER_FAILOVER_TIME, [this, done] {
            m_callerServer->drain([this, done] { waitForIdleExecutor(done); });
        });
    }

    auto restartStopTime() -> void
    {
        if (!m_isDraining) {
            return;
        }
        m_stopTimeStart = base::clock::now();
        m_finalResponseTimer.expires_after(m_settings.stopTime - FINAL_RESPONSE_LEAD_TIME);
        m_finalResponseTimer.async_wait([this](const boost::system::error_code &error) {
            if (!error && m_callerServer) {
                m_callerServer->cancelRequests();
            }
        });
    }

    [[nodiscard]] auto openConnections() const -> std::size_t
    {
        return m_callerServer ? m_callerServer->connectionCount() : 0;
    }

private:
    auto controlCallbacks() -> mesh_control_callbacks
    {
        mesh_control_callbacks callbacks;
        callbacks.onConfiguration = [this](config::snapshot_pointer snapshot) {
            m_configuration.store(std::move(snapshot));
        };
        callbacks.onView = [this](membership::view_pointer view) {
            onMembershipView(*view);
            m_membershipView.store(std::move(view));
        };
        callbacks.onEvacuations = [this](const base::evacuation_list &evacuations) {
            onEvacuations(evacuations);
        };
        callbacks.onTotals = [this](const base::usage_map &totals, double coverage) {
            m_rateLimiter.onLiveTotals(totals, coverage, true, base::clock::now());
        };
        callbacks.onTotalsNearLimit = [this](const base::usage_map &totals, double coverage) {
            m_rateLimiter.onLiveTotals(totals, coverage, false, base::clock::now());
        };
        callbacks.changedUsages = [this] {
            return m_rateLimiter.changedUsage(base::clock::now());
        };
        callbacks.currentUsages = [this] {
            return m_rateLimiter.report(base::clock::now());
        };
        callbacks.onCrashRecords = [this](const std::vector<base::crash_record> &records) {
            m_crashControl.merge(records);
        };
        callbacks.onFormerUpstreams =
                [this](const std::vector<membership::upstream_entry> &upstreams) {
                    m_upstreams.registry().restore(upstreams, base::clock::now());
                };
        callbacks.onDirectoryComplete = [this] {
            m_upstreams.registry().allowUse();
        };
        callbacks.isNearLimit = [this](const base::organisation_id &organisation,
                                       const base::rate_usage &usage) {
            return limits::fleet_rate_limiter::isNearLimit(limitOf(organisation), usage);
        };
        return callbacks;
    }

    auto onEvacuations(const base::evacuation_list &evacuations) -> void
    {
        m_evacuations = evacuations;
        followEvacuations();
    }

    auto upstreamAddresses() -> crash_probe::address_function
    {
        return [this](const base::upstream_id &id) -> std::optional<membership::endpoint> {
            const auto record = m_upstreams.registry().table().load()->find(id);
            return record ? std::optional(record->address) : std::nullopt;
        };
    }

    auto limitOf(const base::organisation_id &id) const -> limits::rate_limit
    {
        const auto *organisation = m_configuration.load()->organisationById(id);
        if (organisation == nullptr) {
            return {};
        }
        return {organisation->rate, static_cast<double>(organisation->burst)};
    }

    auto admit(base::organisation_id id) -> asio::awaitable<caller::admission>
    {
        const auto limit = limitOf(id);
        if (m_rateLimiter.admit(id, limit, m_entryNodeCount, base::clock::now())) {
            co_return caller::admission{};
        }
        caller::admission refusal{base::error_kind::RateExceeded,
                                  m_rateLimiter.retryAfter(id, limit),
                                  m_rateLimiter.explain(id, limit, base::clock::now())};
        co_return refusal;
    }

    // Updates the number of nodes with upstreams, which are those that accept caller requests, and
    // divides the fleet's repeat slack among them.
    auto onMembershipView(const membership::view &view) -> void
    {
        const auto &nodes = view.nodes();
        const auto count = std::count_if(nodes.begin(), nodes.end(),
                                         [](const auto &node) { return !node.upstreams.empty(); });
        m_entryNodeCount = static_cast<std::size_t>(count);
        m_repeatBudget.setSlack(m_settings.repeatSlack * REPEAT_SLACK_RATIO
                                / std::max<double>(1.0, static_cast<double>(count)));
    }

    auto executorHooks() -> upstream::executor_hooks
    {
        upstream::executor_hooks hooks;
        hooks.checkPlace = [this](const upstream::attempt_request &request) {
            return checkPlace(request);
        };
        hooks.start = [this](const upstream::attempt_request &request) {
            return m_crashControl.start(request);
        };
        hooks.onStart = [this](const upstream::attempt_observation &observation) {
            m_upstreamHealth.onStart(observation);
            if (observation.idempotent) {
                m_callRatio.onRun(observation.started);
            }
        };
        hooks.onFinish = [this](const upstream::attempt_observation &observation,
                                const upstream::attempt_finish &finish) {
            m_upstreamHealth.onFinish(observation, finish);
            m_crashControl.onFinish(observation, finish);
            logAttemptEnd(observation, finish);
        };
        hooks.expectedTime = [this](const upstream::attempt_request &request) {
            return m_upstreamHealth.expectedLatency(request.route);
        };
        hooks.acceptance = [this](const base::service_id &service) {
            return m_upstreamHealth.acceptanceRatioOf(service);
        };
        hooks.health = [this](const base::service_id &service) {
            return m_upstreamHealth.successProbabilityOf(service, base::clock::now());
        };
        return hooks;
    }

    // Uses the configuration of this node, which may be newer than the entry node's.
    auto checkPlace(const upstream::attempt_request &request) -> base::result<void>
    {
        followEvacuations();
        const auto configuration = m_configuration.load();
        const policy::placement_scope scope(config::findRoute(configuration->set(), request.route),
                                            configuration->organisationById(request.organisation),
                                            m_evacuations);
        if (const auto refusal = scope.refusalFor(m_settings.region, m_settings.failureDomain)) {
            return base::fail(*refusal);
        }
        return {};
    }

    // Refuses waiting requests when the evacuation of the own failure domain begins. When it ends,
    // the upstreams may have become cold; they are in doubt before the first request is checked.
    auto followEvacuations() -> void
    {
        const bool isEvacuated = m_evacuations.contains(m_settings.failureDomain);
        if (std::exchange(m_isEvacuated, isEvacuated) == isEvacuated) {
            return;
        }
        if (!isEvacuated) {
            m_upstreams.registry().startGates()->onDoubtOfAll(base::clock::now());
            return;
        }
        for (const auto &[service, queue] : m_upstreams.registry().table().load()->queues()) {
            queue->refuseWaiting(base::error_kind::UpstreamEvacuated);
        }
    }

    auto upstreamDependencies() -> upstream::service_dependencies
    {
        return {m_identity.node,
                m_identity.incarnation,
                m_configuration,
                executorHooks(),
                [this](const std::vector<membership::upstream_entry> &entries) {
                    m_control.setUpstreams(entries);
                },
                m_adapter.wire,
                {false, false, m_settings.coldOverage},
                m_settings.heartbeat * MAX_MISSED_HEARTBEATS,
                ordersByCost() ? policy::queue_order::Cost : policy::queue_order::Urgency,
                upstream::initial_use::Withheld};
    }

    auto ordersByCost() const -> bool { return m_settings.order == config::waiting_order::Cost; }

    auto callerDependencies() -> caller::server_dependencies
    {
        return {m_identity.node, m_configuration, m_membershipView, m_upstreams,
                {&m_linkPool},   m_metrics,       entryHooks(),     m_settings.maxCallerConnections,
                m_adapter.wire};
    }

    auto entryHooks() -> caller::entry_hooks
    {
        caller::entry_hooks hooks;
        hooks.selectNode = [this](const caller::selection_request &request) {
            return select(request);
        };
        hooks.checkPlaceable = [this](const caller::selection_request &request) {
            updateOwnLoad(request.service.id);
            return m_placement.checkPlaceable(request.view, placementRequest(request),
                                              base::clock::now());
        };
        hooks.onAttemptEnd = [this](const caller::attempt_report &report) {
            onAttemptEnd(report);
        };
        hooks.isConfigurationCurrent = [this] {
            return m_control.isConfigurationCurrent(base::clock::now());
        };
        hooks.outdatedUse = caller::outdated_configuration_use::AllowedRequests;
        hooks.canFinishBy = [this](base::time_point deadline) {
            const auto now = base::clock::now();
            return !m_drainStartTime || now < *m_drainStartTime + FULL_ADMISSION_TIME
                   || deadline < m_stopTimeStart + m_settings.stopTime - STOP_RESERVE;
        };
        hooks.takeRateToken = [this](base::organisation_id organisation) {
            return admit(std::move(organisation));
        };
        hooks.onFirstAttempt = [this](const config::service &service,
                                      const base::organisation_id &organisation) {
            const auto now = base::clock::now();
            m_repeatBudget.onRequest(service.id, now);
            // Calls of upstreams carry no key.
            if (organisation.empty() && service.id != m_settings.service) {
                m_callRatio.onCall(service.id, now);
            }
        };
        hooks.takeRetry = [this](const config::service &service,
                                 const base::organisation_id & /*organisation*/) {
            return tryRepeat(service.id);
        };
        hooks.hedgeDelay = [this](const caller::selection_request &request,
                                  const caller::chosen_node & /*chosen*/) {
            return hedgeDelay(request);
        };
        hooks.retryAfter = [this](const base::error &refusal,
                                  const caller::selection_request &request) {
            const auto refusalTime = refusal.kind == base::error_kind::CrashSuspected
                                             ? m_crashControl.retryAfter(request)
                                             : base::milliseconds(0);
            return std::max(refusalTime, retryAfter(refusal.kind, request));
        };
        hooks.onRequestEnd = [this](const caller::request_report &report) {
            onRequestEnd(report);
        };
        hooks.chooseService = [this](const config::route &route) {
            return m_serviceSplit.choose(route);
        };
        hooks.chooseTrial = [this](const caller::selection_request &request) {
            return chooseTrial(request);
        };
        hooks.callerService = [this] {
            return m_settings.service;
        };
        const auto maxAttempts = m_settings.followsRemoteRoom
                                         ? policy::placement_limit::MAX_ATTEMPTS_WITH_ROOM
                                         : MAX_PLACEMENTS;
        hooks.attemptRules = {true, maxAttempts,  false, MAX_BUFFERED_RESPONSE_BYTES,
                              true, plansHedges()};
        return hooks;
    }

    auto placementRequest(const caller::selection_request &request) const
            -> policy::placement_request
    {
        return {request.service.id,
                request.route,
                request.idempotent,
                request.bodyBytes,
                request.excludedNodes,
                request.targetTime,
                request.deadline,
                expectedLatency(request),
                request.hasAttemptInFlight,
                request.scope(m_evacuations),
                m_entryNodeCount};
    }

    // The load of other upstreams arrives with responses, that of the own one is always known: also
    // that it stopped responding, or that it responds again.
    auto updateOwnLoad(const base::service_id &service) -> void
    {
        if (const auto load = m_upstreams.executorOf(0).loadOf(service)) {
            m_placement.onLoad(m_identity.node, service, *load, base::clock::now());
            recordLevel(m_identity.node, service, *load);
        }
    }

    auto recordLevel(const base::node_id &node, const base::service_id &service,
                     const policy::service_load &load) -> void
    {
        if (ordersByCost()) {
            m_overload.onLoad(node, service, load, base::clock::now());
        }
    }

    auto rankOf(const caller::selection_request &request) const -> std::uint32_t
    {
        const auto snapshot = m_configuration.load();
        const auto *route = config::findRoute(snapshot->set(), request.route);
        return route == nullptr ? 0
                                : config::priorityRank(
                                        snapshot->organisationById(request.organisation), *route);
    }

    // A request that has been sent to an upstream is not refused for its rank any more.
    auto checkRank(const caller::selection_request &request) -> base::result<void>
    {
        if (!ordersByCost() || request.attemptCount > 0) {
            return {};
        }
        auto reason = m_overload.refusalOf(request.service.id, rankOf(request), base::clock::now());
        return reason.empty() ? base::result<void>()
                              : base::fail(base::error_kind::Overloaded, std::move(reason));
    }

    auto select(const caller::selection_request &request) -> base::result<caller::chosen_node>
    {
        if (const auto allowed = m_crashControl.checkSelection(request); !allowed) {
            return tl::unexpected(allowed.error());
        }
        updateOwnLoad(request.service.id);
        if (const auto admitted = checkRank(request); !admitted) {
            return tl::unexpected(admitted.error());
        }
        auto wanted = placementRequest(request);
        const auto maxAttempts = limitByRoom(request, wanted);
        if (request.attemptCount >= maxAttempts) {
            return base::fail(base::error_kind::Overloaded, "no room believed for more attempts");
        }
        const auto placed = m_placement.choose(request.view, wanted, base::clock::now());
        if (!placed) {
            return tl::unexpected(placed.error());
        }
        if (m_settings.followsRemoteRoom) {
            m_placementLimit.onSent(request.service.id, placed->node->region, base::clock::now());
        }
        m_log.write(log_event::AttemptPlaced, base::clock::now(),
                    {{"request", request.requestId},
                     {"service", request.service.id.str()},
                     {"target", placed->node->id.str()},
                     {"health", placed->health},
                     {"placement", request.attemptCount}});
        const double healthMargin =
                request.idempotent ? HEALTH_MARGIN_IDEMPOTENT : HEALTH_MARGIN_NON_IDEMPOTENT;
        caller::chosen_node chosen{placed->node->id, 0, placed->node->peerAddress,
                                   std::max(0.0, placed->health - healthMargin),
                                   maxWait(request, placed->wait)};
        if (request.attemptCount + 1 >= maxAttempts) {
            // The last attempt waits for a slot, and takes the upstream as it is.
            chosen.minHealth = request.idempotent ? 0.0 : chosen.minHealth;
            chosen.maxWait = base::duration::max();
        }
        return chosen;
    }

    // Closes the regions that are believed to have no room for the request, and returns the maximum
    // number of its attempts.
    auto limitByRoom(const caller::selection_request &request,
                     policy::placement_request &wanted) const -> unsigned
    {
        if (!m_settings.followsRemoteRoom) {
            return MAX_PLACEMENTS;
        }
        const auto now = base::clock::now();
        const policy::service_belief belief(m_placement.roomsFor(request.view, wanted, now));
        auto limits =
                m_placementLimit.limitsFor(request.service.id, belief, request.attemptCount, now);
        wanted.closedRegions = std::move(limits.closedRegions);
        // Each request may wait for a slot once, also if there seemed to be room until now.
        return request.hasWaited ? limits.maxAttempts
                                 : std::max(limits.maxAttempts, request.attemptCount + 1);
    }

    auto chooseTrial(const caller::selection_request &request) -> std::optional<caller::chosen_node>
    {
        if (!m_crashControl.checkSelection(request)) {
            return std::nullopt;
        }
        const auto now = base::clock::now();
        const auto *node = m_placement.chooseTrial(request.view, placementRequest(request),
                                                   m_entryNodeCount, now);
        if (node == nullptr) {
            return std::nullopt;
        }
        if (!tryRepeat(request.service.id)) {
            m_placement.onAttemptEnd(node->id, request.service.id, base::error_kind::CallerGone, {},
                                     now);
            return std::nullopt;
        }
        return caller::chosen_node{node->id, 0, node->peerAddress, 0.0, base::duration::zero()};
    }

    // The calls of a service are known only where one of its upstreams is.
    auto tryRepeat(const base::service_id &service) -> bool
    {
        const auto now = base::clock::now();
        const auto calls = service == m_settings.service ? m_callRatio.callsPerRun(now)
                                                         : std::map<base::service_id, double>();
        return m_repeatBudget.tryRepeat(service, now, calls);
    }

    auto expectedLatency(const caller::selection_request &request) const -> base::duration
    {
        return m_latencies.mean(request.route, request.targetTime - request.arrival);
    }

    // The executing node refuses a request that would wait longer than this in its queue. The entry
    // node then chooses again with the load that was reported with the refusal.
    static auto maxWait(const caller::selection_request &request, base::duration expectedWait)
            -> base::duration
    {
        return expectedWait + (request.targetTime - request.arrival) / WAIT_MARGIN_DIVISOR;
    }

    auto onAttemptEnd(const caller::attempt_report &report) -> void
    {
        const auto now = base::clock::now();
        m_placement.onAttemptEnd(report.chosen.id, report.service, report.failure, report.load,
                                 now);
        m_forwardedTraffic.countAttempt(m_membershipView.load()->find(report.chosen.id),
                                        report.requestBodyBytes, report.responseBodyBytes);
        if (report.load) {
            recordLevel(report.chosen.id, report.service, *report.load);
        }
        recordRoom(report);
        const bool isCancelled = report.failure == base::error_kind::CallerGone;
        if (report.failure && !isCancelled) {
            m_log.write(log_event::AttemptFailed, now,
                        {{"request", report.requestId},
                         {"service", report.service.str()},
                         {"target", report.chosen.id.str()},
                         {"reason", base::answerFor(*report.failure).reason},
                         {"ms", base::toMilliseconds(report.elapsed)},
                         {"health", report.load ? report.load->health : -1.0},
                         {"busy", report.load ? report.load->busySlots : 0},
                         {"waiting", report.load ? report.load->waiting : 0}});
        }
        if (!report.failure && !base::isServerError(report.status)) {
            m_placement.onResponseBytes(report.route, report.responseBodyBytes);
            m_latencies.record(report.route, report.elapsed);
        }
    }

    auto recordRoom(const caller::attempt_report &report) -> void
    {
        const auto view = m_membershipView.load();
        const auto *node = m_settings.followsRemoteRoom ? view->find(report.chosen.id) : nullptr;
        if (node != nullptr) {
            m_placementLimit.onEnd(report.service, node->region,
                                   report.failure && base::isNotRun(*report.failure));
        }
    }

    auto logAttemptEnd(const upstream::attempt_observation &observation,
                       const upstream::attempt_finish &finish) -> void
    {
        const auto now = base::clock::now();
        m_log.write(log_event::AttemptEnded, now,
                    {{"request", observation.requestId},
                     {"route", observation.route.str()},
                     {"upstream", observation.upstream.str()},
                     {"ending", upstream::endingName(finish.ending)},
                     {"ms", base::toMilliseconds(finish.latency)},
                     {"health", m_upstreamHealth.successProbabilityOf(observation.service, now)}});
    }

    auto onRequestEnd(const caller::request_report &report) -> void
    {
        const auto logEvent = report.failure || base::isServerError(report.status)
                                      ? log_event::RequestFailed
                                      : log_event::RequestServed;
        m_log.write(logEvent, base::clock::now(),
                    {{"request", report.requestId},
                     {"route", report.route.str()},
                     {"service", report.service.str()},
                     {"organisation", report.organisation.str()},
                     {"version", report.version},
                     {"confirmed_ms", confirmationAge()},
                     {"confirmed_by", m_control.confirmation().hub.str()},
                     {"attempts", report.attempts},
                     {"status", report.status},
                     {"reason",
                      report.failure ? base::answerFor(report.failure->kind).reason : "answered"},
                     {"detail", report.failure ? report.failure->detail : ""},
                     {"retry_after_ms", report.retryAfter.count()},
                     {"ms", base::toMilliseconds(report.elapsed)},
                     {"late", report.isLate}});
    }

    // Milliseconds since the version in force was known to be the newest one, or -1 if it never
    // was.
    auto confirmationAge() const -> std::int64_t
    {
        const auto &confirmation = m_control.confirmation();
        return confirmation.hub.empty()
                       ? -1
                       : base::toMilliseconds(base::clock::now() - confirmation.time);
    }

    // An upstream that refused a single request accepts the next one at once; after other refusals
    // capacity becomes free after about the duration of one request. Random jitter keeps callers
    // that were refused together from retrying together.
    auto retryAfter(base::error_kind refusal, const caller::selection_request &request)
            -> base::milliseconds
    {
        if (const auto planned = plannedReturn(refusal, request)) {
            return *planned;
        }
        const bool isTransient = refusal == base::error_kind::UpstreamRefused
                                 || refusal == base::error_kind::RetryBudgetExhausted;
        const auto minimum = isTransient ? MIN_TRANSIENT_RETRY_AFTER : MIN_CAPACITY_RETRY_AFTER;
        return minimum
               + base::milliseconds(
                       m_random.below(static_cast<std::uint64_t>(minimum.count() * 2)));
    }

    auto plannedReturn(base::error_kind refusal, const caller::selection_request &request)
            -> std::optional<base::milliseconds>
    {
        const bool lacksRoom =
                refusal == base::error_kind::QueueFull || refusal == base::error_kind::Overloaded;
        if (!ordersByCost() || !lacksRoom) {
            return std::nullopt;
        }
        const auto now = base::clock::now();
        const auto &service = request.service.id;
        const auto backlog =
                m_overload.backlogOf(service, request.view.upstreamsOf(service).size(), now);
        const auto delay =
                m_returnTime.next(service, rankOf(request), backlog, request.deadline - now,
                                  std::max<std::size_t>(1, m_entryNodeCount), now);
        return delay ? std::optional(std::chrono::floor<base::milliseconds>(*delay)) : std::nullopt;
    }

    auto hedgeDelay(const caller::selection_request &request) const -> base::duration
    {
        const auto targetLatency = request.targetTime - request.arrival;
        const auto latencyQuantile =
                m_latencies.quantile(request.route, HEDGE_LATENCY_QUANTILE, targetLatency);
        const auto scaledTarget = [targetLatency](double ratio) {
            return std::chrono::duration_cast<base::duration>(targetLatency * ratio);
        };
        const auto delay = std::clamp(latencyQuantile, scaledTarget(MIN_HEDGE_DELAY_RATIO),
                                      scaledTarget(MAX_HEDGE_DELAY_RATIO));
        if (!plansHedges()) {
            return delay;
        }
        return policy::hedge_plan(delay, expectedLatency(request))
                .nextDelay(base::clock::now(), request.targetTime, request.deadline)
                .value_or(base::duration::max());
    }

    auto plansHedges() const -> bool
    {
        return m_settings.followsRemoteRoom || m_settings.order == config::waiting_order::Cost;
    }

    auto adapterOperations() -> mesh_node_operations
    {
        mesh_node_operations operations;
        operations.announce = [this](const upstream::announcement &announcement) {
            return announce(announcement);
        };
        operations.withdraw = [this](const std::string &name) {
            return withdraw(name);
        };
        operations.isReady = [this] {
            return !m_isDraining && m_configuration.load()->version() > 0;
        };
        if (m_control.storesConfiguration()) {
            operations.submitChange = [this](quorum::config_change configChange) {
                return m_control.submitChange(std::move(configChange));
            };
            operations.readConfiguration = [this] {
                return m_control.readConfiguration();
            };
            operations.startEvacuation = [this](base::failure_domain_id failureDomain) {
                return m_control.orderEvacuation(std::move(failureDomain), true);
            };
            operations.endEvacuation = [this](base::failure_domain_id failureDomain) {
                return m_control.orderEvacuation(std::move(failureDomain), false);
            };
        }
        return operations;
    }

    auto announce(const upstream::announcement &announcement) -> asio::awaitable<bool>
    {
        const auto result = m_upstreams.registry().announce(announcement, base::clock::now());
        if (result == upstream::announce_result::Full) {
            co_return false;
        }
        if (announcement.state != membership::upstream_state::Draining) {
            co_return true;
        }
        const bool isStored = co_await m_control.awaitUpstreamsStored();
        if (!isStored) {
            base::log(base::log_level::Warning, "drain not acknowledged: not stored by other nodes",
                      {{"upstream", announcement.name}});
        }
        co_return isStored;
    }

    auto withdraw(const std::string &name) -> asio::awaitable<bool>
    {
        const auto result = m_upstreams.registry().withdraw(name, base::clock::now());
        const bool isStored = co_await m_control.awaitUpstreamsStored();
        base::log(base::log_level::Info, "upstream withdrawn",
                  {{"upstream", name},
                   {"known", result == upstream::withdraw_result::Withdrawn},
                   {"stored", isStored}});
        co_return isStored;
    }

    auto readiness() const -> std::vector<status::readiness_check>
    {
        return {{"configured", m_configuration.load()->version() > 0},
                {"accepting", !m_isDraining}};
    }

    auto removeExpired() -> void
    {
        const auto now = base::clock::now();
        followEvacuations();
        m_upstreams.registry().expire(now);
        m_crashControl.tick(now);
        for (const auto &[service, queue] : m_upstreams.registry().table().load()->queues()) {
            queue->expire(now);
            if (ordersByCost()) {
                m_overload.onOwnQueue(service, *queue);
            }
        }
        m_expiryTimer.expires_after(EXPIRY_INTERVAL);
        m_expiryTimer.async_wait([this](const boost::system::error_code &error) {
            if (!error) {
                removeExpired();
            }
        });
    }

    auto waitForIdleExecutor(const std::function<void()> &done) -> void
    {
        if (m_upstreams.executorOf(0).activeCount() == 0) {
            done();
            return;
        }
        runAfter(DRAIN_POLL_INTERVAL, [this, done] { waitForIdleExecutor(done); });
    }

    auto runAfter(base::milliseconds delay, std::function<void()> action) -> void
    {
        auto timer = std::make_shared<asio::steady_timer>(m_context, delay);
        timer->async_wait(
                [timer, action = std::move(action)](const auto & /*failure*/) { action(); });
    }

    asio::io_context &m_context;
    config::mesh_settings m_settings;
    mesh_adapter m_adapter;
    peer::link_identity m_identity;
    base::metrics m_metrics;
    forwarded_traffic m_forwardedTraffic;
    bool m_isDraining = false;
    //! True if the own failure domain is evacuated as far as `followEvacuations` has seen.
    bool m_isEvacuated = false;
    std::optional<base::time_point> m_drainStartTime;
    //! Time of the last stop signal.
    base::time_point m_stopTimeStart;
    config::snapshot_cell m_configuration;
    base::snapshot_cell<membership::view> m_membershipView;
    //! Evacuations in force.
    base::evacuation_list m_evacuations;
    policy::placement m_placement;
    policy::placement_limit m_placementLimit;
    upstream_health m_upstreamHealth;
    overload_control m_overload;
    policy::return_time m_returnTime;
    policy::latency_model m_latencies;
    base::random_source m_random;
    policy::service_split m_serviceSplit;
    policy::repeat_budget m_repeatBudget;
    policy::call_ratio m_callRatio;
    limits::fleet_rate_limiter m_rateLimiter;
    std::size_t m_entryNodeCount = 1;
    decision_log m_log;
    crash_control m_crashControl;
    mesh_control m_control;
    upstream::upstream_service m_upstreams;
    peer::link_pool m_linkPool;
    std::shared_ptr<peer_acceptor> m_acceptor;
    std::optional<caller::caller_server> m_callerServer;
    std::optional<status::status_server> m_statusServer;
    std::optional<adapter_server_handle> m_adapterServers;
    asio::steady_timer m_expiryTimer;
    asio::steady_timer m_finalResponseTimer;
};

mesh_node::mesh_node(asio::io_context &context, const config::mesh_settings &settings,
                     mesh_adapter adapter)
    : m_state(std::make_unique<mesh_node_state>(
            context, adapter.applyOptions ? adapter.applyOptions(settings) : settings,
            std::move(adapter)))
{}

mesh_node::~mesh_node() = default;

auto mesh_node::start() -> void
{
    m_state->start();
}

auto mesh_node::reload(const config::mesh_settings &settings) -> void
{
    m_state->reload(settings);
}

auto mesh_node::drain(std::function<void()> done) -> void
{
    m_state->drain(done);
}

auto mesh_node::restartStopTime() -> void
{
    m_state->restartStopTime();
}

auto mesh_node::openConnections() const -> std::size_t
{
    return m_state->openConnections();
}

} // namespace hawthornpick::app
