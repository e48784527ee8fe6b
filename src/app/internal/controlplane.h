#pragma once

#include "app/internal/healthcontrol.h"
#include "app/internal/iothreads.h"
#include "atmostonce/atmostoncemodule.h"
#include "base/metrics.h"
#include "config/settings.h"
#include "config/snapshot.h"
#include "control/controlnode.h"
#include "limits/limitsmodule.h"
#include "membership/directory.h"
#include "operators/fleetaccess.h"
#include "peer/link.h"
#include "peer/runtime.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace hawthornpick::app {

//! Control side of a node: membership, replicated configuration, leases, rate limits and
//! at-most-once execution. Creates these components and runs them on one thread, the control
//! thread.
class control_plane
{
public:
    //! Throws boost::system::system_error if the peer address is in use, and std::runtime_error if
    //! the data folder can't be used.
    control_plane(const config::settings &settings, const peer::link_identity &identity,
                  base::metrics &metrics);
    ~control_plane();
    control_plane(const control_plane &) = delete;
    auto operator=(const control_plane &) -> control_plane & = delete;

    //! Registers the message receivers and the tick of `health`. Call before `start`.
    //! Precondition: `health` exists until the control thread has stopped.
    auto registerHealthControl(health_control &health) -> void;

    //! Lease functions for `health_control`. Thread safety: control thread.
    auto holdsLease(const std::string &name, base::time_point now) const -> bool;
    auto setLeaseWanted(const std::string &name, bool wanted) -> void;

    //! Starts the control thread.
    auto start() -> void;

    //! Stops the control thread. Thread safety: not on the control thread.
    auto stop() -> void;

    //! Passes a control message that was received over a link to its receiver. Thread safety: any
    //! thread.
    auto deliver(const base::node_id &from, base::channel kind, std::string payload) -> void;

    //! Publishes changes of the upstreams of this host to the fleet. Thread safety: any thread.
    auto publishUpstreams(std::vector<membership::upstream_entry> entries) -> void;

    //! Announces to the fleet that this node leaves. Thread safety: any thread.
    auto leave() -> void;

    //! Returns the operations that the operator API calls. Thread safety: any thread, also of the
    //! returned functions.
    auto operatorAccess() -> operators::fleet_access;

    //! Thread safety of the following: any thread. The returned objects document their own thread
    //! safety.
    [[nodiscard]] auto configuration() const -> const config::snapshot_cell & { return m_config; }
    [[nodiscard]] auto fleet() const -> const base::snapshot_cell<membership::view> &;
    //! Returns true while this node holds a currency lease, so that no newer configuration can be
    //! in force.
    [[nodiscard]] auto isCurrent() const -> bool;
    //! The io_context of the control thread.
    [[nodiscard]] auto context() const -> boost::asio::io_context &
    {
        return *m_controlThread.contexts().front();
    }
    auto attempts() -> atmostonce::attempt_registry & { return m_atMostOnce.attempts(); }
    auto fences() -> atmostonce::fence_client & { return m_atMostOnce.fences(); }
    auto records() -> atmostonce::idempotency_client & { return m_atMostOnce.records(); }
    auto tokenCache() -> limits::token_cache & { return m_rateLimits.tokenCache(); }

private:
    auto createControlNode(base::incarnation incarnation) -> std::unique_ptr<control::control_node>;
    auto atMostOnceDependencies(base::incarnation incarnation)
            -> atmostonce::atmostonce_dependencies;
    auto limitsDependencies() -> limits::allocator_dependencies;
    auto postFunction() -> limits::post_function;
    auto registerReceivers() -> void;
    auto resolve(const base::node_id &node) const -> std::optional<membership::endpoint>;
    auto livePeers() const -> std::vector<base::node_id>;

    auto applyChange(operators::change_request request,
                     std::function<void(operators::change_answer)> done) -> void;
    auto readHistory(std::function<void(std::vector<operators::history_entry>)> done) -> void;
    auto readStatus(std::function<void(operators::control_status)> done) -> void;
    auto replaceController(const base::node_id &removed, const base::node_id &added,
                           std::function<void(std::string)> done) -> void;

    config::settings m_settings;
    //! Addresses from the settings, used for nodes that are not in the membership view yet.
    std::map<base::node_id, membership::endpoint> m_configuredAddresses;
    io_threads m_controlThread;
    config::snapshot_cell m_config;
    membership::directory m_directory;
    peer::control_runtime m_runtime;
    std::unique_ptr<control::control_node> m_controlNode;
    health_control *m_health = nullptr;
    limits::limits_module m_rateLimits;
    atmostonce::atmostonce_module m_atMostOnce;
};

} // namespace hawthornpick::app
