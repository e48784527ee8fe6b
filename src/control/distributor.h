#pragma once

#include "config/snapshot.h"
#include "lease/currencyclient.h"
#include "transfer/contentexchange.h"

#include <functional>
#include <vector>

namespace hawthornpick::control {

//! Decision object of every node: fetches the newest decided version that the currency client heard
//! of from any peer that has it and publishes it. Versions only increase. It needs no controller.
//! Thread safety of all members: control thread; readers use the snapshot cell.
class distributor
{
public:
    using messages = std::vector<base::outgoing_message>;
    //! Returns the nodes that are alive, without the own one.
    using peers_function = std::function<std::vector<base::node_id>()>;

    //! Random peers asked in addition to the witness that named the version.
    static constexpr std::size_t RANDOM_SOURCES = 2;

    //! Precondition: all references outlive the distributor.
    distributor(config::snapshot_cell &cell, lease::currency_client &currency,
                transfer::content_exchange &exchange, peers_function peers,
                base::random_source random);

    //! Fetches or publishes what is missing. Call after each message and at each tick.
    auto poll(base::time_point now) -> messages;

private:
    auto publish(const lease::version_id &version, const transfer::content_pointer &content)
            -> void;
    auto sources() -> std::vector<base::node_id>;

    config::snapshot_cell &m_cell;
    lease::currency_client &m_currency;
    transfer::content_exchange &m_exchange;
    peers_function m_peers;
    base::random_source m_random;
    base::config_version m_published = 0;
    base::config_version m_refused = 0;
    base::config_version m_wanted = 0;
    base::time_point m_wantedAt;
};

} // namespace hawthornpick::control
