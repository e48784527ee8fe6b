#pragma once

#include "app/internal/crashprobe.h"
#include "base/metrics.h"
#include "base/snapshotcell.h"
#include "config/settings.h"
#include "config/snapshot.h"
#include "membership/view.h"
#include "policy/arbiter.h"
#include "policy/crashtracker.h"
#include "policy/ejectionclient.h"
#include "policy/failuredetector.h"
#include "upstream/hooks.h"
#include "upstream/registry.h"

#include <boost/asio/io_context.hpp>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace hawthornpick::app {

//! What `health_control` needs from the node. Referenced objects outlive it.
struct health_dependencies
{
    base::node_id node;
    base::region_id region;
    base::incarnation incarnation = 0;
    config::policy_profile profile = config::policy_profile::Balanced;
    std::function<membership::view_pointer()> view;
    std::function<config::snapshot_pointer()> configuration;
    std::function<bool(const std::string &lease, base::time_point now)> holdsLease;
    std::function<void(const std::string &lease, bool wanted)> wishLease;
    base::metrics &metrics;
};

//! Wires failure detection, ejection, the arbiter and crash fingerprints of the upstreams beside
//! this node. Thread safety: stated for each member.
class health_control
{
public:
    using messages = std::vector<base::outgoing_message>;

    //! `context` runs the probes for crashed upstreams. Precondition: it outlives the object's use.
    health_control(boost::asio::io_context &context, const health_dependencies &dependencies);

    //! Adds the observers and the start check to the hooks of the executing side. `start` is the
    //! check that must pass after the one for crash suspects.
    //! Precondition: the object outlives the hooks.
    auto addHooks(upstream::executor_hooks &hooks) -> void;

    //! Sets the registry that admissions are applied to. Call before `tick`.
    auto setRegistry(upstream::upstream_registry &registry) -> void { m_registry = &registry; }

    //! Takes over the upstreams of this host. Thread safety: control thread.
    auto setUpstreams(const std::vector<membership::upstream_entry> &entries, base::time_point now)
            -> void;

    //! Thread safety of the following: control thread.
    auto receiveArbiter(const base::node_id &from, std::string_view payload, base::time_point now)
            -> messages;
    auto receiveBaseline(const base::node_id &from, std::string_view payload, base::time_point now)
            -> messages;
    auto receiveCrashReport(const base::node_id &from, std::string_view payload,
                            base::time_point now) -> messages;
    auto tick(base::time_point now) -> messages;

    //! Returns how a request may be run and, for a suspect, where. Thread safety: any thread.
    auto verdict(const base::service_id &service, policy::crash_fingerprint fingerprint) const
            -> policy::crash_verdict;
    auto suspectOwner(const base::service_id &service, policy::crash_fingerprint fingerprint) const
            -> std::optional<base::node_id>;

private:
    struct service_health
    {
        service_health(const health_dependencies &dependencies, const config::service &service);

        policy::failure_detector detector;
        policy::crash_tracker crashes;
    };
    using service_pointer = std::shared_ptr<service_health>;
    using service_map = std::unordered_map<base::service_id, service_pointer>;

    struct watched_upstream
    {
        base::service_id service;
        base::incarnation incarnation = 0;
        bool ejected = false;
        std::optional<policy::upstream_admission> admission;
    };

    [[nodiscard]] auto find(const base::service_id &service) const -> service_pointer;
    auto ensureService(const base::service_id &service) -> service_pointer;
    auto watch(const membership::upstream_entry &entry, base::time_point now) -> void;
    auto forget(const base::upstream_id &upstream, base::time_point now) -> void;
    auto onStart(const upstream::attempt_observation &observation) -> void;
    auto onFinish(const upstream::attempt_observation &observation,
                  const upstream::attempt_finish &finish) -> void;
    auto finishAttempt(const upstream::attempt_observation &observation,
                       policy::attempt_outcome outcome) -> void;
    auto onLosses(const std::vector<upstream::attempt_observation> &losses, bool hasCrashed)
            -> void;
    auto refreshView() -> void;
    auto refreshLeases(const membership::view &view, const config::snapshot &configuration) -> void;
    auto applyVerdicts(base::time_point now) -> void;

    health_dependencies m_dependencies;
    upstream::upstream_registry *m_registry = nullptr;
    base::snapshot_cell<service_map> m_services;
    policy::ejection_client m_ejections;
    policy::arbiter m_arbiter;
    std::shared_ptr<crash_probe> m_probe;
    std::map<base::upstream_id, watched_upstream> m_watched;
    std::set<std::string> m_wantedLeases;
    std::uint64_t m_seenView = 0;
    base::config_version m_seenConfig = 0;
    bool m_hasSeen = false;
    prometheus::Counter &m_ejectionCount;
    prometheus::Counter &m_returnCount;
    prometheus::Counter &m_crashCount;
    prometheus::Gauge &m_ejectedGauge;
};

} // namespace hawthornpick::app
