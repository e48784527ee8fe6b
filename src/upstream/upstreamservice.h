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

//! What the module needs from the node. Referenced objects outlive the service.
struct service_dependencies
{
    base::node_id node;
    base::incarnation nodeIncarnation = 0;
    const config::snapshot_cell &configuration;
    executor_hooks hooks;
    //! Called on any thread after each change of the upstreams of this host.
    upstream_registry::change_function onUpstreamsChanged;
    wire_profile wire = {};
    executor_rules rules = {};
    base::milliseconds announcementLife = upstream_registry::ANNOUNCEMENT_LIFE;
    policy::queue_order order = policy::queue_order::FairShare;
};

//! Wires the upstream module: registry, announce endpoint and one executor for each I/O thread.
class upstream_service
{
public:
    //! Precondition: each context is run by one thread and outlives the service; `contexts` is not
    //! empty. The announce endpoint runs on the first context; an empty address gives none, and
    //! then `registry` is fed by other means and `expire` of it is called there.
    //! Throws as `announce_server` does.
    upstream_service(std::vector<boost::asio::io_context *> contexts,
                     const membership::endpoint &announceAddress,
                     const service_dependencies &dependencies);

    //! Thread safety: any thread.
    auto registry() -> upstream_registry & { return m_registry; }
    [[nodiscard]] auto announcePort() const -> std::uint16_t
    {
        return m_announcements ? m_announcements->port() : 0;
    }

    //! Returns the executor of the I/O thread with the given index, in the order of `contexts`.
    //! Thread safety: any thread; the executor belongs to its thread.
    auto executorOf(std::size_t thread) -> executor & { return *m_executors.at(thread); }

    //! Refuses new streams of other nodes; requests under way go on. Thread safety: any thread.
    auto drain() -> void;

    //! Stops the announce endpoint and closes idle connections. Thread safety: any thread.
    auto stop() -> void;

private:
    std::vector<boost::asio::io_context *> m_contexts;
    upstream_registry m_registry;
    std::optional<announce_server> m_announcements;
    std::vector<std::unique_ptr<executor>> m_executors;
};

} // namespace hawthornpick::upstream
