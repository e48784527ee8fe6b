#pragma once

#include "app/meshadapter.h"
#include "config/meshsettings.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>

namespace hawthornpick::app {

class mesh_node_state;

//! One process of a fleet whose nodes discover each other: entry and executing side, directory,
//! and on nodes with a disk the replicated configuration. Everything but the disk runs on the
//! thread of one io_context. Thread safety of all members: that thread.
class mesh_node
{
public:
    //! Binds all addresses. Throws boost::system::system_error if one can't be used.
    mesh_node(boost::asio::io_context &context, const config::mesh_settings &settings,
              mesh_adapter adapter);
    ~mesh_node();
    mesh_node(const mesh_node &) = delete;
    auto operator=(const mesh_node &) -> mesh_node & = delete;

    auto start() -> void;

    //! Takes over the settings that may change while the process runs: the seeds and the service of
    //! the host. Others count from the next start.
    auto reload(const config::mesh_settings &settings) -> void;

    //! Lets all requests finish and calls `done`.
    auto drain(std::function<void()> done) -> void;

    //! Number of open caller connections.
    [[nodiscard]] auto openConnections() const -> std::size_t;

private:
    std::unique_ptr<mesh_node_state> m_state;
};

} // namespace hawthornpick::app
