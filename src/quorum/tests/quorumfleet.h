#pragma once

#include "quorum/replica.h"
#include "tests/support/virtualnetwork.h"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace hawthornpick::testing {

//! Replicas in virtual time with disks that keep what was written, and a check of the promises of
//! the group after each event.
class quorum_fleet
{
public:
    //! Creates nodes `n0`... of which the first `seeds` form the group at its first start.
    quorum_fleet(std::uint64_t seed, int nodes, int seeds);

    static auto name(int index) -> base::node_id;

    //! Runs and checks the promises after each event.
    auto run(base::milliseconds span) -> void;

    //! Starts a node on its disk; an empty disk never forms a group after the first start.
    auto start(int index) -> void;
    //! Stops a node; writes that are not on its disk are lost.
    auto crash(int index) -> void;
    //! Stops a node and loses its disk.
    auto wipe(int index) -> void;
    auto isUp(int index) const -> bool { return m_replicas.contains(name(index)); }
    auto network() -> testsupport::virtual_network & { return m_network; }

    //! Time that a write takes.
    auto setDiskTime(base::milliseconds time) -> void { m_diskTime = time; }
    //! Time that a write of one node takes.
    auto setDiskTimeOf(int index, base::milliseconds time) -> void
    {
        m_diskTimes[name(index)] = time;
    }

    //! Sends a change with a new version to a node; false if the node is down.
    auto change(int index) -> bool;
    //! Sends the same change again.
    auto repeat(int index, std::size_t which) -> bool;
    //! Starts a confirmed read at a node; its answer is checked.
    auto read(int index) -> bool;

    [[nodiscard]] auto leader() -> int;
    [[nodiscard]] auto accepted() const -> base::config_version { return m_accepted; }
    [[nodiscard]] auto acceptedCount() const -> int { return m_acceptedCount; }
    [[nodiscard]] auto replica(int index) -> quorum::replica &
    {
        return *m_replicas.at(name(index));
    }
    //! Changes sent so far.
    [[nodiscard]] auto changes() const -> const std::vector<quorum::config_change> &
    {
        return m_changes;
    }
    [[nodiscard]] auto voters() -> std::vector<quorum::member>;

private:
    struct pending_write
    {
        quorum::storage_job job;
        base::time_point doneAt;
    };
    struct pending_read
    {
        base::config_version atLeast = 0;
    };

    auto attach(int index, bool isFirstStart) -> void;
    auto flush(const base::node_id &node) -> void;
    auto finishWrites() -> void;
    auto check() -> void;
    auto submit(int index, const quorum::config_change &wanted) -> bool;

    testsupport::virtual_network m_network;
    int m_nodes;
    std::vector<base::node_id> m_contacts;
    std::map<base::node_id, quorum::durable_state> m_disks;
    std::map<base::node_id, std::unique_ptr<quorum::replica>> m_replicas;
    std::map<base::node_id, pending_write> m_writes;
    std::map<std::pair<base::node_id, std::uint64_t>, pending_read> m_reads;
    std::map<std::pair<base::node_id, std::uint64_t>, base::config_version> m_submitted;
    std::map<base::config_version, std::string> m_contents;
    std::map<base::node_id, base::config_version> m_seen;
    std::vector<quorum::config_change> m_changes;
    base::milliseconds m_diskTime{1};
    std::map<base::node_id, base::milliseconds> m_diskTimes;
    base::config_version m_accepted = 0;
    base::config_version m_lastVersion = 0;
    int m_acceptedCount = 0;
};

} // namespace hawthornpick::testing
