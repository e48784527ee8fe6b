#pragma once

#include "app/meshadapter.h"
#include "config/meshsettings.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>

namespace hawthornpick::app {

class mesh_node_state;

//! One process of a fleet whose nodes discover each other. It accepts caller requests, executes
//! requests on the upstreams of its host and takes part in the node directory; a node with a data
//! folder also stores the replicated configuration. Everything except disk access runs on the
//! thread of one io_context. Thread safety of all members: that thread.
class mesh_node
{
public:
    //! Binds all addresses. Throws boost::system::system_error if binding one of them fails.
    mesh_node(boost::asio::io_context &context, const config::mesh_settings &settings,
              mesh_adapter adapter);
    ~mesh_node();
    mesh_node(const mesh_node &) = delete;
    auto operator=(const mesh_node &) -> mesh_node & = delete;

    auto start() -> void;

    //! Applies the settings that may change while the process runs: the seeds and the service of
    //! the host. Changes to other settings take effect at the next start.
    auto reload(const config::mesh_settings &settings) -> void;

    //! Announces that the node leaves the fleet, waits until all requests have finished and calls
    //! `done`. Only the first call has an effect.
    auto drain(std::function<void()> done) -> void;

    //! Grants the stop time anew, because the platform has asked again to stop. The node still
    //! accepts no more than before; requests under way get the longer time. No effect before
    //! `drain`.
    auto restartStopTime() -> void;

    //! Number of open caller connections.
    [[nodiscard]] auto openConnections() const -> std::size_t;

private:
    std::unique_ptr<mesh_node_state> m_state;
};

} // namespace hawthornpick::app
