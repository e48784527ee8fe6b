#include "app/internal/healthcontrol.h"

#include "base/log.h"
#include "base/random.h"

#include <algorithm>

namespace hawthornpick::app {

namespace {

using messages = health_control::messages;
using upstream::attempt_ending;

auto append(messages &out, messages batch) -> void
{
    out.insert(out.end(), std::make_move_iterator(batch.begin()),
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
    // The caller chose the deadline, so a short one says nothing about the upstream.
    case attempt_ending::DeadlinePassed:
    case attempt_ending::Cancelled:
    case attempt_ending::Refused:
        return policy::attempt_outcome::Cancelled;
    }
    return policy::attempt_outcome::Cancelled;
}

auto fingerprintOf(const base::organisation_id &organisation, const base::route_id &route,
                   const base::digest256 &digest) -> policy::crash_fingerprint
{
    return policy::crashFingerprint(organisation, route, base::toBytes(digest));
}

auto fingerprintOf(const upstream::attempt_observation &item) -> policy::crash_fingerprint
{
    return fingerprintOf(item.organisation, item.route, item.fingerprint);
}

auto fingerprintOf(const upstream::attempt_request &item) -> policy::crash_fingerprint
{
    return fingerprintOf(item.organisation, item.route, item.fingerprint);
}

auto nodesOf(const membership::view &view, const base::service_id &service)
        -> std::vector<base::node_id>
{
    std::set<base::node_id> nodes;
    for (const auto &place : view.upstreamsOf(service)) {
        nodes.insert(place.node->id);
    }
    return {nodes.begin(), nodes.end()};
}

auto arbiterServiceOf(const config::snapshot &configuration, const base::service_id &id)
        -> std::optional<policy::arbiter_service>
{
    const auto *service = configuration.serviceById(id);
    if (service == nullptr) {
        return std::nullopt;
    }
    return policy::arbiter_service{service->floor, service->warmUp};
}

} // namespace

health_control::service_health::service_health(const health_dependencies &dependencies,
                                               const config::service &service)
    : detector(policy::detectorParametersOf(dependencies.profile), service.id, dependencies.node,
               base::systemSeed()),
      crashes(service.id, dependencies.node, dependencies.incarnation, service.timeout)
{}

health_control::health_control(boost::asio::io_context &context,
                               const health_dependencies &dependencies)
    : m_dependencies(dependencies), m_services(std::make_shared<const service_map>()),
      m_ejections(dependencies.region, dependencies.incarnation, {},
                  [this](const policy::arbiter_scope &scope) {
                      return policy::arbiterCandidates(*m_dependencies.view(), scope);
                  }),
      m_arbiter(dependencies.holdsLease, dependencies.view,
                [this](const base::service_id &id) {
                    return arbiterServiceOf(*m_dependencies.configuration(), id);
                }),
      m_probe(std::make_shared<crash_probe>(
              context,
              [this](const base::upstream_id &id) -> std::optional<membership::endpoint> {
                  const auto record = m_registry->table().load()->find(id);
                  return record ? std::optional(record->address) : std::nullopt;
              },
              [this](const auto &losses, bool hasCrashed) { onLosses(losses, hasCrashed); })),
      m_ejectionCount(dependencies.metrics.counter("ejections_total", "Upstreams ejected here")),
      m_returnCount(dependencies.metrics.counter("ejection_returns_total",
                                                 "Upstreams returned from ejection here")),
      m_crashCount(dependencies.metrics.counter("upstream_crashes_total",
                                                "Crashes of upstreams seen here")),
      m_ejectedGauge(dependencies.metrics.gauge("ejected_upstreams",
                                                "Upstreams beside this node that are ejected"))
{}

auto health_control::addHooks(upstream::executor_hooks &hooks) -> void
{
    hooks.start = [this, next = std::move(hooks.start)](
                          const upstream::attempt_request &request) -> base::result<void> {
        const auto health = find(request.service);
        const auto fingerprint = fingerprintOf(request);
        if (health && !health->crashes.tryStart(fingerprint, base::clock::now())) {
            return base::fail(base::error_kind::CrashSuspected);
        }
        auto result = next(request);
        if (health && !result) {
            health->crashes.finished(fingerprint, false, base::clock::now());
        }
        return result;
    };
    hooks.onStart = [this](const upstream::attempt_observation &item) {
        onStart(item);
    };
    hooks.onFinish = [this](const upstream::attempt_observation &item,
                            const upstream::attempt_finish &finish) {
        onFinish(item, finish);
    };
}

auto health_control::find(const base::service_id &service) const -> service_pointer
{
    const auto services = m_services.load();
    const auto position = services->find(service);
    return position == services->end() ? nullptr : position->second;
}

auto health_control::ensureService(const base::service_id &service) -> service_pointer
{
    if (auto known = find(service)) {
        return known;
    }
    const auto configuration = m_dependencies.configuration();
    const auto *declared = configuration->serviceById(service);
    if (declared == nullptr) {
        return nullptr;
    }
    auto next = std::make_shared<service_map>(*m_services.load());
    auto created = std::make_shared<service_health>(m_dependencies, *declared);
    next->emplace(service, created);
    m_services.store(std::move(next));
    m_hasSeen = false;
    return created;
}

auto health_control::setUpstreams(const std::vector<membership::upstream_entry> &entries,
                                  base::time_point now) -> void
{
    for (const auto &entry : entries) {
        if (entry.state == membership::upstream_state::Gone) {
            forget(entry.id, now);
        } else {
            watch(entry, now);
        }
    }
}

auto health_control::watch(const membership::upstream_entry &entry, base::time_point now) -> void
{
    const auto known = m_watched.find(entry.id);
    if (known != m_watched.end() && known->second.incarnation == entry.incarnation
        && known->second.service == entry.service) {
        m_ejections.setUpstream(entry.id, entry.service, entry.slots);
        return;
    }
    if (known != m_watched.end()) {
        forget(entry.id, now);
    }
    m_ejections.setUpstream(entry.id, entry.service, entry.slots);
    m_watched[entry.id] = {entry.service, entry.incarnation, false, std::nullopt};
    if (const auto health = ensureService(entry.service)) {
        health->detector.setUpstream(entry.id, m_ejections.isFlapping(entry.id, now));
    }
}

auto health_control::forget(const base::upstream_id &upstream, base::time_point now) -> void
{
    const auto known = m_watched.find(upstream);
    if (known == m_watched.end()) {
        return;
    }
    m_ejections.upstreamGone(upstream, now);
    if (const auto health = find(known->second.service)) {
        health->detector.removeUpstream(upstream);
    }
    m_watched.erase(known);
}

auto health_control::onStart(const upstream::attempt_observation &observation) -> void
{
    if (const auto health = find(observation.service)) {
        health->detector.started({observation.upstream, observation.attempt,
                                  observation.organisation, fingerprintOf(observation)},
                                 base::clock::now());
    }
}

auto health_control::onFinish(const upstream::attempt_observation &observation,
                              const upstream::attempt_finish &finish) -> void
{
    if (finish.ending == attempt_ending::ConnectionLost) {
        m_probe->onConnectionLost(observation);
        return;
    }
    finishAttempt(observation, outcomeOf(finish.ending));
}

auto health_control::finishAttempt(const upstream::attempt_observation &observation,
                                   policy::attempt_outcome outcome) -> void
{
    const auto now = base::clock::now();
    const bool succeeded = outcome == policy::attempt_outcome::Succeeded;
    if (const auto health = find(observation.service)) {
        health->detector.finished(observation.upstream, observation.attempt, outcome, now);
        health->crashes.finished(fingerprintOf(observation), succeeded, now);
    }
    if (outcome != policy::attempt_outcome::Cancelled) {
        m_ejections.onResult(observation.upstream, succeeded, now);
    }
}

auto health_control::onLosses(const std::vector<upstream::attempt_observation> &losses,
                              bool hasCrashed) -> void
{
    if (losses.empty()) {
        return;
    }
    if (hasCrashed) {
        m_crashCount.Increment();
        std::vector<policy::crash_fingerprint> running;
        running.reserve(losses.size());
        for (const auto &item : losses) {
            running.push_back(fingerprintOf(item));
        }
        if (const auto health = find(losses.front().service)) {
            health->crashes.upstreamCrashed(running, base::clock::now());
        }
        base::log(base::log_level::Warning, "upstream crashed",
                  {{"upstream", losses.front().upstream.str()}, {"requests", losses.size()}});
    }
    for (const auto &item : losses) {
        finishAttempt(item, hasCrashed ? policy::attempt_outcome::Crashed
                                       : policy::attempt_outcome::Failed);
    }
}

auto health_control::receiveArbiter(const base::node_id &from, std::string_view payload,
                                    base::time_point now) -> messages
{
    auto out = m_arbiter.receive(from, payload, now);
    append(out, m_ejections.receive(from, payload, now));
    return out;
}

auto health_control::receiveBaseline(const base::node_id &from, std::string_view payload,
                                     base::time_point now) -> messages
{
    const auto service = policy::failure_detector::serviceOf(payload);
    const auto health = service ? find(*service) : nullptr;
    return health ? health->detector.receive(from, payload, now) : messages{};
}

auto health_control::receiveCrashReport(const base::node_id &from, std::string_view payload,
                                        base::time_point now) -> messages
{
    const auto service = policy::crash_tracker::serviceOf(payload);
    const auto health = service ? find(*service) : nullptr;
    return health ? health->crashes.receive(from, payload, now) : messages{};
}

auto health_control::tick(base::time_point now) -> messages
{
    refreshView();
    applyVerdicts(now);
    auto out = m_ejections.tick(now);
    append(out, m_arbiter.tick(now));
    for (const auto &[id, health] : *m_services.load()) {
        append(out, health->detector.tick(now));
        append(out, health->crashes.tick(now));
    }
    return out;
}

auto health_control::refreshView() -> void
{
    const auto view = m_dependencies.view();
    const auto configuration = m_dependencies.configuration();
    if (m_hasSeen && view->version() == m_seenView && configuration->version() == m_seenConfig) {
        return;
    }
    // An upstream may announce itself before its service is declared.
    for (const auto &[id, item] : m_watched) {
        if (const auto health = find(item.service) ? nullptr : ensureService(item.service)) {
            health->detector.setUpstream(id, false);
        }
    }
    m_seenView = view->version();
    m_seenConfig = configuration->version();
    m_hasSeen = true;
    const auto now = base::clock::now();
    for (const auto &[id, health] : *m_services.load()) {
        auto nodes = nodesOf(*view, id);
        health->crashes.setNodes(nodes, now);
        std::erase(nodes, m_dependencies.node);
        health->detector.setPeers(std::move(nodes));
    }
    refreshLeases(*view, *configuration);
}

auto health_control::refreshLeases(const membership::view &view,
                                   const config::snapshot &configuration) -> void
{
    std::set<std::string> wanted;
    std::vector<policy::arbiter_scope> scopes;
    for (const auto &service : configuration.set().services) {
        const policy::arbiter_scope scope{service.id, m_dependencies.region};
        const auto candidates = policy::arbiterCandidates(view, scope);
        if (!candidates.empty() && candidates.front() == m_dependencies.node) {
            scopes.push_back(scope);
            wanted.insert(policy::arbiterLeaseName(scope));
        }
    }
    for (const auto &name : m_wantedLeases) {
        if (!wanted.contains(name)) {
            m_dependencies.wishLease(name, false);
        }
    }
    for (const auto &name : wanted) {
        if (!m_wantedLeases.contains(name)) {
            m_dependencies.wishLease(name, true);
        }
    }
    m_wantedLeases = std::move(wanted);
    m_arbiter.setScopes(scopes);
}

auto health_control::applyVerdicts(base::time_point now) -> void
{
    std::size_t ejectedCount = 0;
    for (auto &[id, item] : m_watched) {
        const auto health = find(item.service);
        if (!health) {
            continue;
        }
        const auto verdict = health->detector.health(id, now);
        m_ejections.report(id, verdict.unhealthy, verdict.evidence, now);
        const bool ejected = m_ejections.isEjected(id, now);
        const auto admission = m_ejections.admissionOf(id, now);
        if (item.admission != admission || item.ejected != ejected) {
            m_registry->setAdmission(id, ejected, admission.usableSlots, admission.probation);
            item.admission = admission;
        }
        ejectedCount += ejected ? 1 : 0;
        if (ejected == item.ejected) {
            continue;
        }
        item.ejected = ejected;
        (ejected ? m_ejectionCount : m_returnCount).Increment();
        base::log(base::log_level::Warning, ejected ? "upstream ejected" : "upstream returned",
                  {{"upstream", id.str()}, {"evidence", verdict.evidence}});
        if (!ejected) {
            health->detector.resetEvidence(id);
            health->detector.setUpstream(id, m_ejections.isFlapping(id, now));
        }
    }
    m_ejectedGauge.Set(static_cast<double>(ejectedCount));
}

auto health_control::verdict(const base::service_id &service,
                             policy::crash_fingerprint fingerprint) const -> policy::crash_verdict
{
    const auto health = find(service);
    return health ? health->crashes.verdict(fingerprint, base::clock::now())
                  : policy::crash_verdict::Run;
}

auto health_control::suspectOwner(const base::service_id &service,
                                  policy::crash_fingerprint fingerprint) const
        -> std::optional<base::node_id>
{
    const auto health = find(service);
    return health ? health->crashes.suspectOwner(fingerprint) : std::nullopt;
}

} // namespace hawthornpick::app
