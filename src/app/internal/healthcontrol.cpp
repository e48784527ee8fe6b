#include "app/internal/healthcontrol.h"

#include "app/internal/crashcontrol.h"
#include "base/log.h"
#include "base/random.h"

#include <algorithm>

namespace hawthornpick::app {

namespace {

using messages = health_control::messages;
using upstream::attempt_ending;

auto appendMessages(messages &outgoing, messages batch) -> void
{
    outgoing.insert(outgoing.end(), std::make_move_iterator(batch.begin()),
                    std::make_move_iterator(batch.end()));
}

auto outcomeOf(attempt_ending ending) -> policy::attempt_outcome
{
    switch (ending) {
    case attempt_ending::Answered:
        return policy::attempt_outcome::Succeeded;
    case attempt_ending::ServerError:
    case attempt_ending::ConnectFailed:
    case attempt_ending::ConnectionLost:
    case attempt_ending::Truncated:
        return policy::attempt_outcome::Failed;
    case attempt_ending::TimedOut:
        return policy::attempt_outcome::TimedOut;
    // The caller chooses the deadline, so a missed one is no evidence against the upstream.
    case attempt_ending::DeadlinePassed:
    case attempt_ending::Cancelled:
    case attempt_ending::Refused:
        return policy::attempt_outcome::Cancelled;
    }
    return policy::attempt_outcome::Cancelled;
}

auto nodesWithUpstreamsOf(const membership::view &view, const base::service_id &service)
        -> std::vector<base::node_id>
{
    std::set<base::node_id> nodes;
    for (const auto &place : view.upstreamsOf(service)) {
        nodes.insert(place.node->id);
    }
    return {nodes.begin(), nodes.end()};
}

auto arbiterServiceOf(const config::snapshot &configuration, const base::service_id &id)
        -> std::optional<policy::arbiter_service_settings>
{
    const auto *service = configuration.serviceById(id);
    if (service == nullptr) {
        return std::nullopt;
    }
    return policy::arbiter_service_settings{service->floor, service->warmUp};
}

} // namespace

health_control::service_health::service_health(const health_dependencies &dependencies,
                                               const config::service &service)
    : detector(policy::detectorParametersOf(dependencies.profile), service.id, dependencies.node,
               base::systemSeed()),
      crashes(service.id, dependencies.node, service.timeout)
{}

health_control::health_control(boost::asio::io_context &context,
                               const health_dependencies &dependencies)
    : m_dependencies(dependencies), m_services(std::make_shared<const service_map>()),
      m_ejectionClient(dependencies.region, dependencies.incarnation, {},
                       [this](const policy::arbiter_scope &scope) {
                           return policy::arbiterCandidates(*m_dependencies.view(), scope);
                       }),
      m_arbiter(dependencies.holdsLease, dependencies.view,
                [this](const base::service_id &id) {
                    return arbiterServiceOf(*m_dependencies.configuration(), id);
                }),
      m_crashProbe(std::make_shared<crash_probe>(
              context,
              [this](const base::upstream_id &id) -> std::optional<membership::endpoint> {
                  const auto record = m_registry->table().load()->find(id);
                  return record ? std::optional(record->address) : std::nullopt;
              },
              [this](const auto &lostAttempts, bool hasCrashed) {
                  onConnectionsLost(lostAttempts, hasCrashed);
              })),
      m_ejectionCounter(dependencies.metrics.counter("ejections_total", "Upstreams ejected here")),
      m_returnCounter(dependencies.metrics.counter("ejection_returns_total",
                                                   "Upstreams returned from ejection here")),
      m_crashCounter(dependencies.metrics.counter("upstream_crashes_total",
                                                  "Crashes of upstreams seen here")),
      m_ejectedGauge(dependencies.metrics.gauge("ejected_upstreams",
                                                "Upstreams beside this node that are ejected"))
{}

auto health_control::addHooks(upstream::executor_hooks &hooks) -> void
{
    hooks.start = [this, next = std::move(hooks.start)](
                          const upstream::attempt_request &request) -> base::result<void> {
        const auto health = findService(request.service);
        if (health
            && !health->crashes.tryStart({request.attempt, crashFingerprintOf(request)},
                                         base::clock::now())) {
            return base::fail(base::error_kind::CrashSuspected);
        }
        auto result = next(request);
        if (health && !result) {
            health->crashes.onAttemptEnd(request.attempt, false, base::clock::now());
        }
        return result;
    };
    hooks.onStart = [this](const upstream::attempt_observation &observation) {
        onStart(observation);
    };
    hooks.onFinish = [this](const upstream::attempt_observation &observation,
                            const upstream::attempt_finish &finish) {
        onFinish(observation, finish);
    };
}

auto health_control::findService(const base::service_id &service) const -> service_pointer
{
    const auto services = m_services.load();
    const auto position = services->find(service);
    return position == services->end() ? nullptr : position->second;
}

auto health_control::findOrCreateService(const base::service_id &service) -> service_pointer
{
    if (auto existing = findService(service)) {
        return existing;
    }
    const auto configuration = m_dependencies.configuration();
    const auto *serviceConfig = configuration->serviceById(service);
    if (serviceConfig == nullptr) {
        return nullptr;
    }
    auto extendedServices = std::make_shared<service_map>(*m_services.load());
    auto created = std::make_shared<service_health>(m_dependencies, *serviceConfig);
    extendedServices->emplace(service, created);
    m_services.store(std::move(extendedServices));
    m_hasAppliedView = false;
    return created;
}

auto health_control::setUpstreams(const std::vector<membership::upstream_entry> &entries,
                                  base::time_point now) -> void
{
    for (const auto &entry : entries) {
        if (entry.state == membership::upstream_state::Gone) {
            untrackUpstream(entry.id, now);
        } else {
            trackUpstream(entry, now);
        }
    }
}

auto health_control::trackUpstream(const membership::upstream_entry &entry, base::time_point now)
        -> void
{
    const auto position = m_trackedUpstreams.find(entry.id);
    if (position != m_trackedUpstreams.end() && position->second.incarnation == entry.incarnation
        && position->second.service == entry.service) {
        m_ejectionClient.setUpstream(entry.id, entry.service, entry.slots);
        return;
    }
    if (position != m_trackedUpstreams.end()) {
        untrackUpstream(entry.id, now);
    }
    m_ejectionClient.setUpstream(entry.id, entry.service, entry.slots);
    m_trackedUpstreams[entry.id] = {entry.service, entry.incarnation, false, std::nullopt};
    if (const auto health = findOrCreateService(entry.service)) {
        health->detector.setUpstream(entry.id, m_ejectionClient.isFlapping(entry.id, now));
    }
}

auto health_control::untrackUpstream(const base::upstream_id &upstream, base::time_point now)
        -> void
{
    const auto position = m_trackedUpstreams.find(upstream);
    if (position == m_trackedUpstreams.end()) {
        return;
    }
    m_ejectionClient.removeUpstream(upstream, now);
    if (const auto health = findService(position->second.service)) {
        health->detector.removeUpstream(upstream);
    }
    m_trackedUpstreams.erase(position);
}

auto health_control::onStart(const upstream::attempt_observation &observation) -> void
{
    if (const auto health = findService(observation.service)) {
        health->detector.onAttemptStart({observation.upstream, observation.attempt,
                                         observation.organisation, crashFingerprintOf(observation)},
                                        base::clock::now());
    }
}

auto health_control::onFinish(const upstream::attempt_observation &observation,
                              const upstream::attempt_finish &finish) -> void
{
    if (finish.ending == attempt_ending::ConnectionLost) {
        m_crashProbe->onConnectionLost(observation);
        return;
    }
    finishAttempt(observation, outcomeOf(finish.ending));
}

auto health_control::finishAttempt(const upstream::attempt_observation &observation,
                                   policy::attempt_outcome outcome) -> void
{
    const auto now = base::clock::now();
    const bool succeeded = outcome == policy::attempt_outcome::Succeeded;
    if (const auto health = findService(observation.service)) {
        health->detector.onAttemptEnd(observation.upstream, observation.attempt, outcome, now);
        health->crashes.onAttemptEnd(observation.attempt, succeeded, now);
    }
    if (outcome != policy::attempt_outcome::Cancelled) {
        m_ejectionClient.onResult(observation.upstream, succeeded, now);
    }
}

auto health_control::onConnectionsLost(
        const std::vector<upstream::attempt_observation> &lostAttempts, bool hasCrashed) -> void
{
    if (lostAttempts.empty()) {
        return;
    }
    if (hasCrashed) {
        m_crashCounter.Increment();
        std::vector<policy::crash_attempt> runningAttempts;
        runningAttempts.reserve(lostAttempts.size());
        for (const auto &attempt : lostAttempts) {
            runningAttempts.push_back({attempt.attempt, crashFingerprintOf(attempt)});
        }
        if (const auto health = findService(lostAttempts.front().service)) {
            health->crashes.onUpstreamCrash(runningAttempts, base::clock::now());
        }
        base::log(base::log_level::Warning, "upstream crashed",
                  {{"upstream", lostAttempts.front().upstream.str()},
                   {"requests", lostAttempts.size()}});
    }
    for (const auto &attempt : lostAttempts) {
        finishAttempt(attempt, hasCrashed ? policy::attempt_outcome::Crashed
                                          : policy::attempt_outcome::Failed);
    }
}

auto health_control::receiveArbiter(const base::node_id &from, std::string_view payload,
                                    base::time_point now) -> messages
{
    auto outgoing = m_arbiter.receive(from, payload, now);
    appendMessages(outgoing, m_ejectionClient.receive(from, payload, now));
    return outgoing;
}

auto health_control::receiveBaseline(const base::node_id &from, std::string_view payload,
                                     base::time_point now) -> messages
{
    const auto service = policy::failure_detector::serviceOf(payload);
    const auto health = service ? findService(*service) : nullptr;
    return health ? health->detector.receive(from, payload, now) : messages{};
}

auto health_control::receiveCrashReport(const base::node_id &from, std::string_view payload,
                                        base::time_point now) -> messages
{
    const auto service = policy::crash_tracker::serviceOf(payload);
    const auto health = service ? findService(*service) : nullptr;
    return health ? health->crashes.receive(from, payload, now) : messages{};
}

auto health_control::tick(base::time_point now) -> messages
{
    applyViewChanges();
    applyHealthVerdicts(now);
    auto outgoing = m_ejectionClient.tick(now);
    appendMessages(outgoing, m_arbiter.tick(now));
    for (const auto &[id, health] : *m_services.load()) {
        appendMessages(outgoing, health->detector.tick(now));
        appendMessages(outgoing, health->crashes.tick(now));
        logCrashChanges(health->crashes.takeChanges());
    }
    return outgoing;
}

auto health_control::applyViewChanges() -> void
{
    const auto view = m_dependencies.view();
    const auto configuration = m_dependencies.configuration();
    if (m_hasAppliedView && view->version() == m_appliedViewVersion
        && configuration->version() == m_appliedConfigVersion) {
        return;
    }
    // An upstream may register before the configuration declares its service.
    for (const auto &[id, upstream] : m_trackedUpstreams) {
        if (const auto health = findService(upstream.service)
                                        ? nullptr
                                        : findOrCreateService(upstream.service)) {
            health->detector.setUpstream(id, false);
        }
    }
    m_appliedViewVersion = view->version();
    m_appliedConfigVersion = configuration->version();
    m_hasAppliedView = true;
    const auto now = base::clock::now();
    for (const auto &[id, health] : *m_services.load()) {
        auto nodes = nodesWithUpstreamsOf(*view, id);
        health->crashes.setNodes(nodes, now);
        std::erase(nodes, m_dependencies.node);
        health->detector.setPeers(std::move(nodes));
    }
    updateLeases(*view, *configuration);
}

auto health_control::updateLeases(const membership::view &view,
                                  const config::snapshot &configuration) -> void
{
    std::set<std::string> wantedLeases;
    std::vector<policy::arbiter_scope> scopes;
    for (const auto &service : configuration.set().services) {
        const policy::arbiter_scope scope{service.id, m_dependencies.region};
        const auto candidates = policy::arbiterCandidates(view, scope);
        if (!candidates.empty() && candidates.front() == m_dependencies.node) {
            scopes.push_back(scope);
            wantedLeases.insert(policy::arbiterLeaseName(scope));
        }
    }
    for (const auto &name : m_wantedLeases) {
        if (!wantedLeases.contains(name)) {
            m_dependencies.setLeaseWanted(name, false);
        }
    }
    for (const auto &name : wantedLeases) {
        if (!m_wantedLeases.contains(name)) {
            m_dependencies.setLeaseWanted(name, true);
        }
    }
    m_wantedLeases = std::move(wantedLeases);
    m_arbiter.setScopes(scopes);
}

auto health_control::applyHealthVerdicts(base::time_point now) -> void
{
    std::size_t ejectedCount = 0;
    for (auto &[id, upstream] : m_trackedUpstreams) {
        const auto health = findService(upstream.service);
        if (!health) {
            continue;
        }
        const auto healthVerdict = health->detector.health(id, now);
        m_ejectionClient.onVerdict(id, healthVerdict.unhealthy, healthVerdict.evidence, now);
        const bool ejected = m_ejectionClient.isEjected(id, now);
        const auto admission = m_ejectionClient.admissionOf(id, now);
        if (upstream.admission != admission || upstream.ejected != ejected) {
            m_registry->setAdmission(id, ejected, admission.usableSlots, admission.probation);
            upstream.admission = admission;
        }
        ejectedCount += ejected ? 1 : 0;
        if (ejected == upstream.ejected) {
            continue;
        }
        upstream.ejected = ejected;
        (ejected ? m_ejectionCounter : m_returnCounter).Increment();
        base::log(base::log_level::Warning, ejected ? "upstream ejected" : "upstream returned",
                  {{"upstream", id.str()}, {"evidence", healthVerdict.evidence}});
        if (!ejected) {
            health->detector.resetEvidence(id);
            health->detector.setUpstream(id, m_ejectionClient.isFlapping(id, now));
        }
    }
    m_ejectedGauge.Set(static_cast<double>(ejectedCount));
}

auto health_control::crashVerdict(const base::service_id &service,
                                  policy::crash_fingerprint fingerprint) const
        -> policy::crash_verdict
{
    const auto health = findService(service);
    return health ? health->crashes.verdict(fingerprint, base::clock::now())
                  : policy::crash_verdict::Run;
}

auto health_control::suspectOwner(const base::service_id &service,
                                  policy::crash_fingerprint fingerprint) const
        -> std::optional<base::node_id>
{
    const auto health = findService(service);
    return health ? health->crashes.suspectOwner(fingerprint) : std::nullopt;
}

} // namespace hawthornpick::app
