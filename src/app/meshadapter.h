#pragma once

#include "config/meshsettings.h"
#include "config/model.h"
#include "quorum/configchange.h"
#include "upstream/registry.h"
#include "upstream/wireprofile.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>
#include <tl/expected.hpp>

namespace hawthornpick::app {

//! What a node of the mesh offers to the servers of an adapter. All functions are called on the
//! node's thread.
struct mesh_access
{
    //! Records what an upstream of this host says of itself.
    std::function<upstream::announce_result(const upstream::announcement &what)> announce;
    //! Records that an upstream of this host leaves; false if it is unknown.
    std::function<bool(const std::string &name)> withdraw;
    //! Empty functions on nodes that do not keep the configuration.
    std::function<boost::asio::awaitable<quorum::group_answer>(quorum::config_change change)>
            change;
    std::function<boost::asio::awaitable<quorum::group_answer>()> read;
    //! True while the node takes work of callers.
    std::function<bool()> isReady;
};

//! Servers of an adapter; they end with the object.
class adapter_servers
{
public:
    explicit adapter_servers(std::shared_ptr<void> servers) : m_servers(std::move(servers)) {}

private:
    std::shared_ptr<void> m_servers;
};

//! Translation between a fleet and the platform it runs on. It takes no decisions and keeps no
//! state that must survive.
struct mesh_adapter
{
    upstream::wire_profile wire;
    //! Returns the document after a change, or why the change can't be read. Pure.
    std::function<tl::expected<std::string, std::string>(const std::string &current,
                                                         const quorum::config_change &change)>
            edit;
    //! Returns the set that a document describes, or why it can't be read. Pure.
    std::function<tl::expected<config::config_set, std::string>(const std::string &document)>
            decode;
    //! Starts the servers towards the platform on the node's thread.
    std::function<adapter_servers(boost::asio::io_context &context,
                                  const config::mesh_settings &settings, mesh_access access)>
            serve;
};

} // namespace hawthornpick::app
