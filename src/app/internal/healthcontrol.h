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

//! Functions and properties of the node that `health_control` uses. Precondition: referenced
//! objects outlive it.
struct health_dependencies
{
    base::node_id node;
    base::region_id region;
    base::incarnation incarnation = 0;
    config::policy_profile profile = config::policy_profile::Balanced;
    std::function<membership::view_pointer()> view;
    std::function<config::snapshot_pointer()> configuration;
    std::function<bool(const std::string &lease, base::time_point now)> holdsLease;
    std::function<void(const std::string &lease, bool wanted)> setLeaseWanted;
    base::metrics &metrics;
};

//! Connects failure detection, ejection, the ejection arbiter and crash tracking for the upstreams
//! of this host. Thread safety: stated for each member.
class health_control
{
public:
    using messages = std::vector<base::outgoing_message>;

    //! `context` runs the probes that detect crashed upstreams. Precondition: `context` outlives
    //! the object.
    health_control(boost::asio::io_context &context, const health_dependencies &dependencies);

    //! Sets the observers of attempts in the hooks of the executing node and puts the check for
    //! crash suspects before the existing `start` check.
    //! Precondition: the object outlives the hooks.
    auto addHooks(upstream::executor_hooks &hooks) -> void;

    //! Sets the registry that receives the admission state of the upstreams. Call before `tick`.
    auto setRegistry(upstream::upstream_registry &registry) -> void { m_registry = &registry; }

    //! Applies changes of the upstreams of this host. Thread safety: control thread.
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

    //! Returns whether a request may run on any node, only on the owner of the crash suspect or not
    //! at all. Thread safety: any thread.
    auto crashVerdict(const base::service_id &service, policy::crash_fingerprint fingerprint) const
            -> policy::crash_verdict;
    //! Returns the only node that may run a crash suspect; nothing if it is unknown. Thread safety:
    //! any thread.
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

    struct tracked_upstream
    {
        base::service_id service;
        base::incarnation incarnation = 0;
        bool ejected = false;
        std::optional<policy::upstream_admission> admission;
    };

    [[nodiscard]] auto findService(const base::service_id &service) const -> service_pointer;
    auto findOrCreateService(const base::service_id &service) -> service_pointer;
    auto trackUpstream(const membership::upstream_entry &entry, base::time_point now) -> void;
    auto untrackUpstream(const base::upstream_id &upstream, base::time_point now) -> void;
    auto onStart(const upstream::attempt_observation &observation) -> void;
    auto onFinish(const upstream::attempt_observation &observation,
                  const upstream::attempt_finish &finish) -> void;
    auto finishAttempt(const upstream::attempt_observation &observation,
                       policy::attempt_outcome outcome) -> void;
    auto onConnectionsLost(const std::vector<upstream::attempt_observation> &lostAttempts,
                           bool hasCrashed) -> void;
    auto applyViewChanges() -> void;
    auto updateLeases(const membership::view &view, const config::snapshot &configuration) -> void;
    auto applyHealthVerdicts(base::time_point now) -> void;

    health_dependencies m_dependencies;
    upstream::upstream_registry *m_registry = nullptr;
    base::snapshot_cell<service_map> m_services;
    policy::ejection_client m_ejectionClient;
    policy::arbiter m_arbiter;
    std::shared_ptr<crash_probe> m_crashProbe;
    std::map<base::upstream_id, tracked_upstream> m_trackedUpstreams;
    std::set<std::string> m_wantedLeases;
    std::uint64_t m_appliedViewVersion = 0;
    base::config_version m_appliedConfigVersion = 0;
    bool m_hasAppliedView = false;
    prometheus::Counter &m_ejectionCounter;
    prometheus::Counter &m_returnCounter;
    prometheus::Counter &m_crashCounter;
    prometheus::Gauge &m_ejectedGauge;
};

} // namespace hawthornpick::app
