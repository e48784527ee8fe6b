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
    //! Puts the controllers on nodes that are no witnesses; needs 8 nodes in each region.
    bool separateControllers = false;
    testsupport::network_faults faults = {};
    //! Largest deviation of a node's clock rate from 1.
    double clockSkew = 0.02;
    std::size_t compactAfterEntries = 24;
};

//! Messages of one node. Bytes are those of the payloads.
struct node_traffic
{
    std::uint64_t sentMessages = 0;
    std::uint64_t sentBytes = 0;
    std::uint64_t receivedMessages = 0;
    std::uint64_t receivedBytes = 0;
};

//! Two regions of real control nodes in virtual time. Checks the invariants of docs/design.md after
//! each event and keeps what was violated as text.
class control_fleet
{
public:
    control_fleet(std::uint64_t seed, fleet_options options);

    auto run(base::duration span) -> void;
    //! As `run`, but without the checks, whose processor time grows with the fleet.
    auto runUnchecked(base::duration span) -> void { m_network.run(span); }
    auto start(const base::node_id &id) -> void;
    auto crash(const base::node_id &id) -> void;
    //! Crashes the node; its next start finds an empty disk.
    auto wipe(const base::node_id &id) -> void;
    auto isUp(const base::node_id &id) const -> bool { return m_hosts.at(id).node != nullptr; }
    //! Makes all later syncs of the node's disk fail until it is restarted.
    auto failDisk(const base::node_id &id) -> void { m_disks.at(id)->failsSync = true; }
    auto cutRegions() -> void;
    auto isolate(const base::node_id &id) -> void;
    auto endAllFaults() -> void;

    //! Applies a new set under `base` through the node; the answer is checked when it comes.
    auto apply(const base::node_id &via, const std::string &changeId, base::config_version base)
            -> void;
    //! Asks for the result of an earlier change.
    auto ask(const base::node_id &via, const std::string &changeId) -> void;
    auto replace(const base::node_id &via, const base::node_id &oldNode,
                 const base::node_id &newNode, const std::string &changeId) -> void;

    [[nodiscard]] auto answer(const std::string &changeId) const -> std::optional<change_answer>;
    [[nodiscard]] auto newestAccepted() const -> base::config_version;
    [[nodiscard]] auto isInForceEverywhere(base::config_version version) -> bool;
    [[nodiscard]] auto servesAnywhere() -> bool;
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
    [[nodiscard]] auto node(const base::node_id &id) -> control_node & { return *m_hosts[id].node; }
    [[nodiscard]] auto traffic(const base::node_id &id) const -> const node_traffic &
    {
        return m_hosts.at(id).traffic;
    }
    auto network() -> testsupport::virtual_network & { return m_network; }
    auto random() -> base::random_source & { return m_random; }
    //! Sets whose content the measurements choose; empty for the small default set.
    auto setBaseSet(config::config_set set) -> void { m_baseSet = std::move(set); }

private:
    struct host
    {
        std::shared_ptr<config::snapshot_cell> cell;
        std::shared_ptr<control_node> node;
        double clockRate = 1.0;
        base::config_version seen = 0;
        std::uint64_t checkedCommit = 0;
        node_traffic traffic;
    };
    struct accepted_fact
    {
        std::string changeId;
        base::digest256 digest;
    };

    auto local(const host &item) -> base::time_point;
    auto count(host &item, const control_node::messages &sent) -> const control_node::messages &;
    auto attach(const base::node_id &id, host &item) -> void;
    auto check() -> void;
    auto checkNode(const base::node_id &id, host &item) -> void;
    auto checkController(const base::node_id &id, host &item, const controller &own) -> void;
    auto checkHistory(const controller &own) -> void;
    auto checkAnswer(const std::string &changeId, const change_answer &answer) -> void;
    auto violate(const std::string &text) -> void;

    fleet_options m_options;
    testsupport::virtual_network m_network;
    base::random_source m_random;
    std::vector<base::node_id> m_ids;
    std::vector<base::node_id> m_controllers;
    witness_map m_witnesses;
    std::map<base::node_id, base::region_id> m_regions;
    std::map<base::node_id, host> m_hosts;
    std::map<base::node_id, std::shared_ptr<memory_disk>> m_disks;
    base::incarnation m_life = 0;
    config::config_set m_baseSet;

    // What must stay true.
    std::map<base::config_version, accepted_fact> m_accepted;
    std::map<std::string, base::config_version> m_bases;
    std::map<std::string, change_answer> m_answers;
    std::map<std::pair<std::uint64_t, std::uint64_t>, std::string> m_votes;
    std::map<std::uint64_t, base::node_id> m_leaders;
    base::config_version m_inForce = 0;
    std::vector<std::string> m_violations;
};

} // namespace hawthornpick::control
