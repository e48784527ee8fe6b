#pragma once

#include "quorum/replica.h"
#include "quorum/requestforwarder.h"
#include "tests/support/virtualnetwork.h"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace hawthornpick::testing {

//! Quorum group in virtual time, with simulated disks that survive a crash. Checks the invariants
//! of the group after each event.
class quorum_fleet
{
public:
    //! Creates `nodeCount` nodes named `n0`, `n1` and so on. The first `initialMemberCount` of them
    //! form the group at its first start. The same seed gives the same run.
    quorum_fleet(std::uint64_t seed, int nodeCount, int initialMemberCount);

    static auto nodeName(int index) -> base::node_id;

    //! Runs for `duration` and checks the invariants after each event.
    auto run(base::milliseconds duration) -> void;

    //! Starts a node with the state on its disk. A node with an empty disk joins the existing group
    //! and never forms a new one.
    auto start(int index) -> void;
    //! Stops a node; the writes in flight are lost.
    auto crash(int index) -> void;
    //! Stops a node and erases its disk.
    auto crashAndWipeDisk(int index) -> void;
    auto isUp(int index) const -> bool { return m_replicas.contains(nodeName(index)); }
    auto network() -> testsupport::virtual_network & { return m_network; }

    //! Sets the duration of disk writes on nodes without a latency of their own.
    auto setWriteLatency(base::milliseconds latency) -> void { m_writeLatency = latency; }
    //! Sets the duration of disk writes on one node.
    auto setNodeWriteLatency(int index, base::milliseconds latency) -> void
    {
        m_nodeWriteLatencies[nodeName(index)] = latency;
    }

    //! Submits a change with a new version on a node; false if the node is down.
    auto submitNewChange(int index) -> bool;
    //! Submits the change with this index in `changes()` again; false if the node is down.
    auto resubmitChange(int index, std::size_t changeIndex) -> bool;
    //! Starts a read on a node; false if the node is down. The answer must not be older than the
    //! newest change accepted so far.
    auto startRead(int index) -> bool;

    //! Starts or ends the evacuation of a domain as a node does that an operator called: the order
    //! is based on the list that the leader confirms. False if the node is down.
    auto startOrder(int index, const std::string &domain, bool starts) -> bool;
    //! Sends the orders whose lists have been read. Called some time after `startOrder`, or not at
    //! all, so that an order is overtaken by others.
    auto sendUnsentOrders() -> void;
    //! Submits an order with a new identity on a node that is up.
    auto submitOrder(int index, quorum::evacuation_order order) -> void;
    //! Submits a copy of an order, counted from 0; false if the node is down.
    auto resendOrder(int index, std::size_t order) -> bool;
    [[nodiscard]] auto orderCount() const -> std::size_t { return m_orders.size(); }
    //! Checks that a value contains each accepted order or its result.
    auto checkAcceptedOrders(const quorum::group_value &value) const -> void;
    [[nodiscard]] auto acceptedOrderCount() const -> std::size_t { return m_acceptedOrders.size(); }

    //! Requests at a node as an operator's call does: a node that isn't the leader forwards them.
    //! An acknowledged change or order must be committed, and a refused change must never be. False
    //! if the node is down.
    auto callChange(int index) -> bool;
    auto callRead(int index) -> bool;
    auto callOrder(int index, const std::string &domain, bool starts) -> bool;
    //! Answers to these calls other than `group_unavailable`.
    [[nodiscard]] auto answeredCallCount() const -> int { return m_answeredCallCount; }

    //! Index of the ready leader with the highest term; -1 if there is none.
    [[nodiscard]] auto leader() -> int;
    [[nodiscard]] auto highestAcceptedVersion() const -> base::config_version
    {
        return m_highestAcceptedVersion;
    }
    [[nodiscard]] auto acceptedCount() const -> int { return m_acceptedCount; }
    [[nodiscard]] auto replica(int index) -> quorum::replica &
    {
        return *m_replicas.at(nodeName(index));
    }
    //! Changes with a new version submitted so far.
    [[nodiscard]] auto changes() const -> const std::vector<quorum::config_change> &
    {
        return m_submittedChanges;
    }
    //! Voters in the newest value of the leader; empty if there is no leader.
    [[nodiscard]] auto voters() -> std::vector<quorum::member>;

private:
    struct pending_write
    {
        quorum::storage_job job;
        base::time_point completesAt;
    };
    struct pending_read
    {
        base::config_version minimumVersion = 0;
    };

    auto attach(int index, bool isFirstStart) -> void;
    auto deliverResults(const base::node_id &node) -> void;
    auto finishWrites() -> void;
    auto checkInvariants() -> void;
    auto submit(int index, const quorum::config_change &change) -> bool;
    auto onOrderAnswer(const base::node_id &node, const quorum::completed_request &completed)
            -> void;
    auto onOrderResult(std::size_t order, const quorum::group_answer &answer) -> void;
    auto sendOrder(const base::node_id &node, std::size_t order) -> void;
    auto call(const base::node_id &node, quorum::operator_request request,
              quorum::request_forwarder::answer_function onAnswer) -> void;
    auto onChangeAnswer(const quorum::config_change &change, const quorum::group_answer &answer)
            -> void;
    auto makeNewChange() -> quorum::config_change;
    // True if a disk has a value for which the predicate holds.
    template <typename Predicate>
    [[nodiscard]] auto isOnAnyDisk(const Predicate &predicate) const -> bool;
    auto checkOrders(const base::node_id &node, const quorum::group_value &value) -> void;

    testsupport::virtual_network m_network;
    base::random_source m_callRandom;
    int m_nodeCount;
    std::vector<base::node_id> m_initialMembers;
    std::map<base::node_id, quorum::durable_state> m_disks;
    std::map<base::node_id, std::unique_ptr<quorum::replica>> m_replicas;
    std::map<base::node_id, std::unique_ptr<quorum::request_forwarder>> m_forwarders;
    std::map<base::node_id, pending_write> m_pendingWrites;
    std::map<std::pair<base::node_id, std::uint64_t>, pending_read> m_pendingReads;
    std::map<std::pair<base::node_id, std::uint64_t>, base::config_version> m_submittedVersions;
    std::map<base::config_version, std::string> m_contentByVersion;
    std::map<base::node_id, base::config_version> m_lastSeenVersions;
    std::vector<quorum::config_change> m_submittedChanges;
    //! Orders whose read of the evacuations is in flight.
    std::map<std::pair<base::node_id, std::uint64_t>, quorum::evacuation_order> m_startedOrders;
    //! Requests of orders in flight, as indices in `m_orders`.
    std::map<std::pair<base::node_id, std::uint64_t>, std::size_t> m_orderRequests;
    std::vector<quorum::evacuation_order> m_orders;
    std::vector<std::pair<base::node_id, std::size_t>> m_unsentOrders;
    std::set<std::size_t> m_acceptedOrders;
    //! Ids of the orders that were committed on any node.
    std::map<std::uint64_t, std::uint64_t> m_orderByRevision;
    std::map<base::node_id, std::uint64_t> m_lastSeenRevisions;
    std::uint64_t m_highestAcceptedRevision = 0;
    base::milliseconds m_writeLatency{1};
    std::map<base::node_id, base::milliseconds> m_nodeWriteLatencies;
    base::config_version m_highestAcceptedVersion = 0;
    base::config_version m_lastSubmittedVersion = 0;
    int m_acceptedCount = 0;
    std::set<std::string> m_refusedDigests;
    int m_answeredCallCount = 0;
};

} // namespace hawthornpick::testing
