#pragma once

#include "config/snapshot.h"
#include "lease/currencyclient.h"
#include "transfer/contentexchange.h"

#include <functional>
#include <vector>

namespace hawthornpick::control {

//! Distributes accepted configurations to a node. Fetches the content of the newest decided version
//! that the currency client knows of from the peers and publishes it in the snapshot cell.
//! Published versions only increase. Works without a controller. The class does no network I/O and
//! reads no clock. Thread safety of all members: control thread; readers use the snapshot cell.
class distributor
{
public:
    using messages = std::vector<base::outgoing_message>;
    //! Returns the nodes that are alive, except this one.
    using peers_function = std::function<std::vector<base::node_id>()>;

    //! Number of random peers that are asked in addition to the node that reported the version.
    static constexpr std::size_t RANDOM_SOURCE_COUNT = 2;

    //! Precondition: all references outlive the distributor.
    distributor(config::snapshot_cell &snapshotCell, lease::currency_client &currencyClient,
                transfer::content_exchange &exchange, peers_function peers,
                base::random_source random);

    //! Publishes the newest version if its content is available, and returns requests for the
    //! content otherwise. Call after each message and at each tick.
    auto poll(base::time_point now) -> messages;

private:
    auto publish(const lease::version_id &version, const transfer::content_pointer &content)
            -> void;
    auto chooseSources() -> std::vector<base::node_id>;

    config::snapshot_cell &m_snapshotCell;
    lease::currency_client &m_currencyClient;
    transfer::content_exchange &m_exchange;
    peers_function m_peers;
    base::random_source m_random;
    base::config_version m_publishedVersion = 0;
    base::config_version m_undecodableVersion = 0;
    base::config_version m_requestedVersion = 0;
    base::time_point m_requestedAt;
};

} // namespace hawthornpick::control
