#pragma once

#include "app/internal/controltraffic.h"
#include "app/internal/departurestore.h"
#include "app/meshadapter.h"
#include "base/random.h"
#include "config/meshsettings.h"
#include "config/snapshot.h"
#include "fleet/deputy.h"
#include "fleet/hub.h"
#include "fleet/reporter.h"
#include "peer/runtime.h"
#include "quorum/quorumnode.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>

namespace hawthornpick::app {

//! Functions by which the control side of a mesh node reaches the request path. All are called on
//! the node's thread.
struct mesh_control_callbacks
{
    std::function<void(config::snapshot_pointer snapshot)> onConfiguration;
    std::function<void(membership::view_pointer view)> onView;
    //! Receives the evacuations in force after each change, before a configuration that was
    //! committed later.
    std::function<void(const base::evacuation_list &evacuations)> onEvacuations;
    //! `coverage` is the share of the nodes with caller requests whose demand is in the totals.
    std::function<void(const base::usage_map &totals, double coverage)> onTotals;
    //! As `onTotals`, for the organisations near their limit, between the other calls.
    std::function<void(const base::usage_map &totals, double coverage)> onTotalsNearLimit;
    //! Returns the usage of each organisation at this node.
    std::function<base::usage_map()> currentUsages;
    //! Returns the usage that changed since the last call of this function or of `currentUsages`.
    std::function<base::usage_map()> changedUsages;
    //! Receives the evidence of requests that crash upstreams from another node.
    std::function<void(const std::vector<base::crash_record> &records)> onCrashRecords;
    //! Receives the upstreams that former processes of this node published.
    std::function<void(const std::vector<membership::upstream_entry> &upstreams)> onFormerUpstreams;
    //! Called once, when all that the fleet knows of former processes has been received.
    std::function<void()> onDirectoryComplete;
    //! Returns true if the usage of an organisation is near its limit or exceeds it.
    fleet::hub::near_limit_function isNearLimit;
};

//! Node directory and configuration of one mesh node. Each node reports its record to a hub; a node
//! with a data folder is a hub itself and a member of the quorum group that replicates the
//! configuration. Thread safety of all members: the node's thread.
class mesh_control
{
public:
    mesh_control(boost::asio::io_context &context, const config::mesh_settings &settings,
                 const mesh_adapter &adapter, const peer::link_identity &identity,
                 base::metrics &metrics, mesh_control_callbacks callbacks);

    auto start() -> void { m_runtime.start(); }
    auto runtime() -> peer::control_runtime & { return m_runtime; }

    //! Publishes the upstreams that are registered at this host.
    auto setUpstreams(std::vector<membership::upstream_entry> upstreams) -> void;
    //! Waits until the published upstreams are stored by other nodes, so that a successor of this
    //! process learns of them, and until the upstreams of former processes are known. Returns false
    //! if this takes longer than `DEPARTURE_TIMEOUT`.
    auto awaitUpstreamsStored() -> boost::asio::awaitable<bool>;
    //! Publishes the evidence of requests that crash the upstreams of this host. No effect if it is
    //! unchanged.
    auto setCrashRecords(std::vector<base::crash_record> records) -> void;
    //! Replaces the seed nodes, given by their IP addresses.
    auto setSeeds(const std::vector<std::string> &seeds) -> void;

    //! Returns the last proof that the configuration in force was the newest one.
    [[nodiscard]] auto confirmation() const -> const fleet::version_confirmation &
    {
        return m_reporter.confirmation();
    }

    //! Returns true if a hub has confirmed recently that the configuration in force is the newest
    //! one, so that what it denies is denied for certain.
    [[nodiscard]] auto isConfigurationCurrent(base::time_point now) const -> bool;

    //! Announces to the fleet that this node stops.
    auto leave() -> void;

    //! Proposes a change of the configuration to the quorum group and waits for the result.
    //! Precondition: `storesConfiguration()`.
    auto submitChange(quorum::config_change configChange)
            -> boost::asio::awaitable<quorum::group_answer>;

    //! Reads the committed configuration document. Precondition: `storesConfiguration()`.
    auto readConfiguration() -> boost::asio::awaitable<quorum::group_answer>;

    //! Checks an order to start or end an evacuation, proposes it to the quorum group and waits for
    //! the result. Precondition: `storesConfiguration()`.
    auto orderEvacuation(base::failure_domain_id failureDomain, bool starts)
            -> boost::asio::awaitable<evacuation_answer>;

    //! Returns true if the node has a data folder and so is a member of the quorum group.
    [[nodiscard]] auto storesConfiguration() const -> bool { return m_quorum.has_value(); }

private:
    using messages = peer::control_runtime::messages;

    auto seedNodes(const std::vector<std::string> &seeds) const -> std::vector<base::node_id>;
    auto nodeRecord(const config::mesh_settings &settings) const -> fleet::node_record;
    auto reporterCallbacks() -> fleet::reporter_callbacks;
    auto startQuorum(const config::mesh_settings &settings) -> void;
    auto editDocument(base::config_version version, const std::string &compressedDocument,
                      const quorum::config_change &configChange) const
            -> tl::expected<std::string, std::string>;
    auto receiveDirectoryMessage(const base::node_id &from, std::string_view payload,
                                 base::time_point now) -> messages;
    auto tick(base::time_point now) -> messages;
    // Runs an operation of the deputy and logs if it became active or inactive. A deputy takes the
    // place of the hubs while none of them is reachable.
    auto runDeputy(const std::function<messages()> &action) -> messages;
    auto onLateAnswer(const base::node_id &from, base::duration answerTime) -> void;
    auto onCommitted(const quorum::value_pointer &value) -> void;
    auto wakeStorageWaits() -> void;
    auto writeDepartures() -> void;
    auto applyDocument(const fleet::config_document &document) -> void;
    auto applyEvacuations(const base::evacuation_list &evacuations) -> void;
    auto countSent(const base::outgoing_message &message) -> void;

    boost::asio::io_context &m_context;
    std::uint16_t m_peerPort;
    base::node_id m_ownNode;
    std::function<tl::expected<std::string, std::string>(const std::string &,
                                                         const quorum::config_change &)>
            m_applyChange;
    std::function<tl::expected<config::config_set, std::string>(const std::string &)>
            m_parseDocument;
    mesh_control_callbacks m_callbacks;
    peer::control_runtime m_runtime;
    control_traffic m_traffic;
    prometheus::Counter &m_lateAnswers;
    base::time_point m_nextLateAnswerLogAt;
    prometheus::Gauge &m_evacuatedDomains;
    std::vector<base::evacuation> m_loggedEvacuations;
    std::map<base::failure_domain_id, base::region_id> m_failureDomains;
    membership::view_pointer m_view = std::make_shared<const membership::view>();
    base::random_source m_random{base::systemSeed()};
    std::uint64_t m_bootId;
    fleet::reporter m_reporter;
    fleet::deputy m_deputy;
    std::optional<fleet::hub> m_hub;
    std::optional<quorum::quorum_node> m_quorum;
    bool m_knowsFormerUpstreams = false;
    base::config_version m_appliedVersion = 0;
    //! Version and evacuations of the last committed value that the hub has pushed.
    base::config_version m_publishedVersion = 0;
    std::uint64_t m_publishedRevision = 0;
    //! Timers of the calls of `awaitUpstreamsStored`; cancelled when a hub has stored the record.
    std::set<boost::asio::steady_timer *> m_storageWaits;
    // The last member, so that its thread ends before the other members are destroyed.
    std::optional<departure_store> m_departureStore;
};

} // namespace hawthornpick::app
