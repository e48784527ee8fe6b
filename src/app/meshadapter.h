#pragma once

#include "base/ids.h"
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

enum class evacuation_outcome : std::uint8_t {
    //! The order is committed.
    Acknowledged,
    UnknownDomain,
    //! The domain is the last one with ready upstreams of a service.
    LastDomain,
    //! The order can't be acknowledged now; it may still be committed later.
    Unavailable,
};

struct evacuation_answer
{
    evacuation_outcome outcome = evacuation_outcome::Unavailable;
    //! What to do; empty for `Acknowledged`.
    std::string detail;

    auto operator<=>(const evacuation_answer &) const = default;
};

//! Operations of a mesh node that the servers of an adapter may call. Call them on the node's
//! thread only.
struct mesh_node_operations
{
    //! Arguments must outlive the awaited result.
    //! Registers an upstream of this host or renews its registration. Returns false if it can't be
    //! acknowledged: the maximum number of upstreams is reached, or the upstream drains and other
    //! nodes have not stored this in time, so that a restart of this node would forget it.
    std::function<boost::asio::awaitable<bool>(const upstream::announcement &announcement)>
            announce;
    //! Removes the registration of an upstream of this host. Returns false if it can't be
    //! acknowledged because other nodes have not stored this in time.
    std::function<boost::asio::awaitable<bool>(const std::string &name)> withdraw;
    //! Proposes a change of the configuration and waits for the result. Empty on nodes that do not
    //! store the configuration.
    std::function<boost::asio::awaitable<quorum::group_answer>(quorum::config_change change)>
            submitChange;
    //! Reads the committed configuration document. Empty on nodes that do not store it.
    std::function<boost::asio::awaitable<quorum::group_answer>()> readConfiguration;
    //! Starts or ends the evacuation of a failure domain: no request is sent to its upstreams.
    //! Repeats are acknowledged again. Empty on nodes that do not store the configuration.
    std::function<boost::asio::awaitable<evacuation_answer>(base::failure_domain_id failureDomain)>
            startEvacuation;
    std::function<boost::asio::awaitable<evacuation_answer>(base::failure_domain_id failureDomain)>
            endEvacuation;
    //! Returns true while the node accepts caller requests: it has a configuration and is not
    //! draining.
    std::function<bool()> isReady;
};

//! Owns the running servers of an adapter and stops them in its destructor.
class adapter_server_handle
{
public:
    explicit adapter_server_handle(std::shared_ptr<void> servers) : m_servers(std::move(servers)) {}

private:
    std::shared_ptr<void> m_servers;
};

//! Translates between the fleet and the interfaces of the platform that it runs on. It makes no
//! decisions and keeps no state that must survive a restart.
struct mesh_adapter
{
    upstream::wire_profile wire;
    //! Returns the settings with the features that the platform's options call for. Empty if there
    //! are no such options. Thread safety: pure.
    std::function<config::mesh_settings(config::mesh_settings settings)> applyOptions;
    //! Returns the document that results from a change, or an error text if the change can't be
    //! parsed. Thread safety: pure.
    std::function<tl::expected<std::string, std::string>(const std::string &current,
                                                         const quorum::config_change &change)>
            applyChange;
    //! Parses a document into a configuration, or returns an error text. Thread safety: pure.
    std::function<tl::expected<config::config_set, std::string>(const std::string &document)>
            parseDocument;
    //! Starts the servers for the requests of the platform on the node's thread.
    std::function<adapter_server_handle(boost::asio::io_context &context,
                                        const config::mesh_settings &settings,
                                        mesh_node_operations operations)>
            startServers;
};

} // namespace hawthornpick::app
