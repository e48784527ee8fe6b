#pragma once

#include "control/controlnode.h"
#include "tests/support/virtualnetwork.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace hawthornpick::control {

struct fleet_options
{
    int nodesPerRegion = 6;
    int controllers = 3;
    //! Places the controllers on nodes that are not witnesses; needs 8 nodes in each region.
    bool separateControllers = false;
    testsupport::network_faults faults = {};
    //! Maximum deviation of a node's clock rate from 1.
    double clockSkew = 0.02;
    std::size_t compactAfterEntries = 24;
};

//! Messages that one node sent and received. Byte counts are those of the payloads.
struct node_traffic
{
    std::uint64_t sentMessages = 0;
    std::uint64_t sentBytes = 0;
    std::uint64_t receivedMessages = 0;
    std::uint64_t receivedBytes = 0;
};

//! Fleet of real control nodes in two regions, in virtual time on a virtual network. Checks the
//! invariants of docs/design.md after each event and collects the violations as text.
class control_fleet
{
public:
    control_fleet(std::uint64_t seed, fleet_options options);

    auto run(base::duration span) -> void;
    //! As `run`, but without the checks, whose CPU time grows with the size of the fleet.
    auto runUnchecked(base::duration span) -> void { m_network.run(span); }
    auto start(const base::node_id &id) -> void;
    auto crash(const base::node_id &id) -> void;
    //! Crashes the node and empties its disk.
    auto wipeDisk(const base::node_id &id) -> void;
    auto isUp(const base::node_id &id) const -> bool { return m_nodes.at(id).node != nullptr; }
    //! Makes the syncs of the node's disk fail until the node is restarted.
    auto failDisk(const base::node_id &id) -> void { m_disks.at(id)->failsSync = true; }
    auto disconnectRegions() -> void;
    auto isolate(const base::node_id &id) -> void;
    auto endAllFaults() -> void;

    //! Requests a change of base version `base` through a node; its answer is checked when it
    //! arrives.
    auto apply(const base::node_id &entryNode, const std::string &changeId,
               base::config_version base) -> void;
    //! Requests the result of an earlier change through a node.
    auto requestResult(const base::node_id &entryNode, const std::string &changeId) -> void;
    auto replaceController(const base::node_id &entryNode, const base::node_id &oldNode,
                           const base::node_id &newNode, const std::string &changeId) -> void;

    [[nodiscard]] auto answer(const std::string &changeId) const -> std::optional<change_answer>;
    [[nodiscard]] auto newestAccepted() const -> base::config_version;
    [[nodiscard]] auto isInForceEverywhere(base::config_version version) -> bool;
    [[nodiscard]] auto isAnyNodeServing() -> bool;
    [[nodiscard]] auto hasLeader() const -> bool;
    [[nodiscard]] auto leader() const -> base::node_id;
    [[nodiscard]] auto servedVersion(const base::node_id &id)
            -> std::optional<base::config_version>;
    [[nodiscard]] auto contentOf(const std::string &changeId) const -> std::string;
    [[nodiscard]] auto nodeIds() const -> const std::vector<base::node_id> & { return m_ids; }
    [[nodiscard]] auto controllerIds() const -> const std::vector<base::node_id> &
    {
        return m_controllers;
    }
    [[nodiscard]] auto witnesses() const -> const witness_map & { return m_witnesses; }
    [[nodiscard]] auto violations() const -> const std::vector<std::string> &
    {
        return m_violations;
    }
    [[nodiscard]] auto disk(const base::node_id &id) -> memory_disk & { return *m_disks.at(id); }
    [[nodiscard]] auto node(const base::node_id &id) -> control_node & { return *m_nodes[id].node; }
    [[nodiscard]] auto traffic(const base::node_id &id) const -> const node_traffic &
    {
        return m_nodes.at(id).traffic;
    }
    auto network() -> testsupport::virtual_network & { return m_network; }
    auto random() -> base::random_source & { return m_random; }
    //! Sets the configuration that every change is added to; without a call it is empty.
    auto setBaseSet(config::config_set set) -> void { m_baseSet = std::move(set); }

private:
    // A node and what the checks observed of it since its last start.
    struct node_state
    {
        std::shared_ptr<config::snapshot_cell> cell;
        std::shared_ptr<control_node> node;
        double clockRate = 1.0;
        base::config_version publishedVersion = 0;
        std::uint64_t checkedCommitIndex = 0;
        node_traffic traffic;
    };
    // Change that was accepted as a version.
    struct accepted_record
    {
        std::string changeId;
        base::digest256 digest;
    };

    auto localTime(const node_state &state) -> base::time_point;
    auto countSent(node_state &state, const control_node::messages &sent)
            -> const control_node::messages &;
    auto attach(const base::node_id &id, node_state &state) -> void;
    auto checkInvariants() -> void;
    auto checkNode(const base::node_id &id, node_state &state) -> void;
    auto checkController(const base::node_id &id, node_state &state,
                         const controller &ownController) -> void;
    auto checkHistory(const controller &ownController) -> void;
    auto recordAnswer(const std::string &changeId, const change_answer &answer) -> void;
    auto recordViolation(const std::string &text) -> void;

    fleet_options m_options;
    testsupport::virtual_network m_network;
    base::random_source m_random;
    std::vector<base::node_id> m_ids;
    std::vector<base::node_id> m_controllers;
    witness_map m_witnesses;
    std::map<base::node_id, base::region_id> m_regions;
    std::map<base::node_id, node_state> m_nodes;
    std::map<base::node_id, std::shared_ptr<memory_disk>> m_disks;
    base::incarnation m_incarnation = 0;
    config::config_set m_baseSet;

    // Observations that the invariants are checked against.
    std::map<base::config_version, accepted_record> m_acceptedVersions;
    std::map<std::string, base::config_version> m_baseVersions;
    std::map<std::string, change_answer> m_answers;
    std::map<std::pair<std::uint64_t, std::uint64_t>, std::string> m_votesByDiskAndTerm;
    std::map<std::uint64_t, base::node_id> m_leadersByTerm;
    base::config_version m_newestInForce = 0;
    std::vector<std::string> m_violations;
};

} // namespace hawthornpick::control
