#pragma once

#include "config/settings.h"
#include "config/snapshot.h"
#include "control/controller.h"
#include "control/distributor.h"
#include "control/operatorclient.h"
#include "lease/currencyclient.h"
#include "lease/leaseholder.h"
#include "lease/witness.h"

#include <map>
#include <memory>
#include <string_view>
#include <vector>

namespace hawthornpick::peer {
class control_runtime;
}

namespace hawthornpick::control {

//! What a node needs to know to take part in configuration and leases.
struct control_node_options
{
    base::node_id self;
    base::region_id region;
    base::incarnation incarnation = 0;
    std::vector<base::node_id> controllers;
    witness_map witnesses;
    std::uint64_t seed = 0;
    std::size_t compactAfterEntries = 256;
};

//! Takes the lists from the process settings. Thread safety: pure.
auto optionsFrom(const config::settings &settings, base::incarnation incarnation,
                 std::uint64_t seed) -> control_node_options;

//! Wires the decision objects of modules transfer, lease and control of one node. A node listed as
//! a witness has a witness for each region that lists it; a node with a storage has a controller.
//! Thread safety of all members but `isCurrent` and `leases().holds`: control thread.
class control_node
{
public:
    using messages = std::vector<base::outgoing_message>;

    //! Precondition: `cell` outlives the node and holds version 0. Returns an error if the storage
    //! cannot be loaded.
    static auto create(control_node_options options, std::optional<storage> disk,
                       config::snapshot_cell &cell, distributor::peers_function peers,
                       base::time_point now) -> storage_result<std::unique_ptr<control_node>>;

    auto receive(const base::node_id &from, base::channel kind, std::string_view payload,
                 base::time_point now) -> messages;
    auto tick(base::time_point now) -> messages;

    //! Registers with the runtime. Precondition: the runtime has not started; the node outlives it.
    auto registerWith(peer::control_runtime &runtime) -> void;

    //! Operators' requests; see `operator_client`. Call through `peer::control_runtime::post`,
    //! which sends the messages that are returned.
    auto apply(change_request change, change_callback done, base::time_point now) -> messages;
    auto changeResult(const std::string &changeId, change_callback done, base::time_point now)
            -> messages;
    auto status(status_callback done, base::time_point now) -> messages;
    auto replaceController(const base::node_id &oldNode, const base::node_id &newNode,
                           const std::string &changeId, change_callback done, base::time_point now)
            -> messages;

    //! Returns true while the node may serve requests under its configuration.
    //! Thread safety: any thread, lock-free.
    [[nodiscard]] auto isCurrent(base::time_point now) const -> bool
    {
        return m_currency.isCurrent(now);
    }
    [[nodiscard]] auto leases() -> lease::lease_holder & { return m_leases; }
    //! Null on a node without a storage.
    [[nodiscard]] auto ownController() const -> const controller * { return m_controller.get(); }
    [[nodiscard]] auto ownWitness(const base::region_id &region) const -> const lease::witness *;

    control_node(const control_node &) = delete;
    auto operator=(const control_node &) -> control_node & = delete;

private:
    control_node(const control_node_options &options, config::snapshot_cell &cell,
                 distributor::peers_function peers, base::time_point now);

    auto dispatch(const base::node_id &from, base::channel kind, std::string_view payload,
                  base::time_point now) -> messages;
    auto advance(base::time_point now) -> messages;
    auto finish(messages batch, base::time_point now) -> messages;

    base::node_id m_self;
    transfer::content_store m_store;
    transfer::content_exchange m_exchange;
    lease::currency_client m_currency;
    lease::lease_holder m_leases;
    std::map<base::region_id, std::unique_ptr<lease::witness>> m_witnesses;
    std::unique_ptr<controller> m_controller;
    operator_client m_operators;
    distributor m_distributor;
};

} // namespace hawthornpick::control
