#pragma once

#include "config/snapshot.h"
#include "upstream/announceserver.h"
#include "upstream/executor.h"
#include "upstream/hooks.h"
#include "upstream/registry.h"

#include <boost/asio/io_context.hpp>
#include <memory>
#include <optional>
#include <vector>

namespace hawthornpick::upstream {

//! Dependencies of the upstream module. Referenced objects outlive the service.
struct service_dependencies
{
    base::node_id node;
    base::incarnation nodeIncarnation = 0;
    const config::snapshot_cell &configuration;
    executor_hooks hooks;
    //! Called after each change of the upstreams of this host, on any thread.
    upstream_registry::change_function onUpstreamsChanged;
    wire_profile wire = {};
    executor_options options = {};
    base::milliseconds announcementLife = upstream_registry::ANNOUNCEMENT_LIFE;
    policy::queue_order queueOrder = policy::queue_order::FairShare;
    initial_use use = initial_use::Allowed;
};

class cold_probe;

//! Owns the objects of the upstream module: registry, announce endpoint and one executor for each
//! I/O thread.
class upstream_service
{
public:
    //! Precondition: each context is run by one thread and outlives the service; `contexts` is not
    //! empty. The announce endpoint runs on the first context. With an empty address there is no
    //! endpoint, and the owner has to call `announce` and `expire` of `registry`.
    //! Throws the exceptions of `announce_server`.
    upstream_service(std::vector<boost::asio::io_context *> contexts,
                     const membership::endpoint &announceAddress,
                     const service_dependencies &dependencies);

    ~upstream_service();
    upstream_service(const upstream_service &) = delete;
    auto operator=(const upstream_service &) -> upstream_service & = delete;

    //! Thread safety: any thread.
    auto registry() -> upstream_registry & { return m_registry; }
    //! Returns the port of the announce endpoint, or 0 if there is none. Thread safety: any thread.
    [[nodiscard]] auto announcePort() const -> std::uint16_t
    {
        return m_announceServer ? m_announceServer->port() : 0;
    }

    //! Returns the executor of the I/O thread with the given index, in the order of `contexts`.
    //! Thread safety: any thread; the executor belongs to its thread.
    auto executorOf(std::size_t thread) -> executor & { return *m_executors.at(thread); }

    //! Refuses new streams of other nodes; in-flight requests continue. Thread safety: any thread.
    auto drain() -> void;

    //! Stops the announce endpoint and closes idle connections. Thread safety: any thread.
    auto stop() -> void;

private:
    std::vector<boost::asio::io_context *> m_contexts;
    upstream_registry m_registry;
    std::optional<announce_server> m_announceServer;
    //! Runs on the first context.
    std::shared_ptr<cold_probe> m_coldProbe;
    std::vector<std::unique_ptr<executor>> m_executors;
};

} // namespace hawthornpick::upstream
