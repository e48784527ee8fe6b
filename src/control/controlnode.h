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

//! Settings that a node needs to take part in configuration distribution and leases.
struct control_node_options
{
    base::node_id self;
    base::region_id region;
    base::incarnation incarnation = 0;
    std::vector<base::node_id> controllers;
    witness_map witnesses;
    //! Seed of the random sources of the node.
    std::uint64_t seed = 0;
    //! See `replica_options::compactAfterEntries`.
    std::size_t compactAfterEntries = 256;
};

//! Builds the options from the process settings. Thread safety: pure.
auto optionsFrom(const config::settings &settings, base::incarnation incarnation,
                 std::uint64_t seed) -> control_node_options;

//! Connects the objects of modules transfer, lease and control of one node and delivers the
//! messages between them. A node has a witness for each region that lists it as one, and a
//! controller if it has a storage. Thread safety of all members but `isCurrent` and
//! `leases().holds`: control thread.
class control_node
{
public:
    using messages = std::vector<base::outgoing_message>;

    //! Precondition: `snapshotCell` outlives the node and holds version 0. Returns an error if
    //! `logStorage` cannot be loaded.
    static auto create(control_node_options options, std::optional<storage> logStorage,
                       config::snapshot_cell &snapshotCell, distributor::peers_function peers,
                       base::time_point now) -> storage_result<std::unique_ptr<control_node>>;

    //! Handles a message of one of the channels `Currency`, `Lease`, `Consensus` and
    //! `Distribution`; ignores other channels.
    auto receive(const base::node_id &from, base::channel channel, std::string_view payload,
                 base::time_point now) -> messages;
    auto tick(base::time_point now) -> messages;

    //! Registers the message handlers and the tick handler. Precondition: the runtime has not
    //! started; the node outlives it.
    auto registerWith(peer::control_runtime &runtime) -> void;

    //! Handle operators' requests; see `operator_client`. Call these through
    //! `peer::control_runtime::post`, which sends the returned messages.
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
        return m_currencyClient.isCurrent(now);
    }
    [[nodiscard]] auto leases() -> lease::lease_holder & { return m_leaseHolder; }
    //! Returns null on a node without a storage.
    [[nodiscard]] auto ownController() const -> const controller * { return m_controller.get(); }
    //! Returns null if this node is not a witness of `region`.
    [[nodiscard]] auto ownWitness(const base::region_id &region) const -> const lease::witness *;

    control_node(const control_node &) = delete;
    auto operator=(const control_node &) -> control_node & = delete;

private:
    control_node(const control_node_options &options, config::snapshot_cell &snapshotCell,
                 distributor::peers_function peers, base::time_point now);

    auto dispatch(const base::node_id &from, base::channel channel, std::string_view payload,
                  base::time_point now) -> messages;
    auto advance(base::time_point now) -> messages;
    auto deliverLocalMessages(messages batch, base::time_point now) -> messages;

    base::node_id m_self;
    transfer::content_store m_contentStore;
    transfer::content_exchange m_exchange;
    lease::currency_client m_currencyClient;
    lease::lease_holder m_leaseHolder;
    std::map<base::region_id, std::unique_ptr<lease::witness>> m_witnesses;
    std::unique_ptr<controller> m_controller;
    operator_client m_operatorClient;
    distributor m_distributor;
};

} // namespace hawthornpick::control
