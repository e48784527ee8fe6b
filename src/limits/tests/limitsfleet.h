#pragma once

#include "limits/grantterms.h"
#include "limits/limitsmodule.h"
#include "tests/support/virtualnetwork.h"

#include <algorithm>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace hawthornpick::limits::testing {

using namespace std::chrono_literals;

//! Checks that every window of t seconds has at most rate * t + burst admissions. A leaky bucket
//! that drains with the rate and holds the burst overflows exactly if some window has more.
class window_check
{
public:
    //! Applies `rate` and `burst` from `now` on. An earlier, larger burst is allowed until the
    //! bucket has drained and the grants issued under it have expired: a configuration is reported
    //! as in force only 2 s later.
    auto setLimit(double rate, double burst, base::time_point now) -> void
    {
        drain(now);
        if (burst < m_burst) {
            m_previousBurst = std::max(m_previousBurst, m_burst);
            m_previousBurstUntil = now + GRANT_HOLD_TIME;
        }
        m_rate = rate;
        m_burst = burst;
    }

    auto admit(base::time_point now) -> void
    {
        drain(now);
        m_level += 1.0;
        m_excess = std::max(m_excess, m_level - std::max(m_burst, m_previousBurst));
    }

    //! Returns the largest number of tokens over rate and burst so far; 0 or less if there were
    //! none.
    [[nodiscard]] auto excess() const -> double { return m_excess; }

private:
    auto drain(base::time_point now) -> void
    {
        m_level = std::max(0.0, m_level - m_rate * base::toSeconds(now - m_drainedAt));
        m_previousBurst = m_level <= 0.0 && now >= m_previousBurstUntil ? 0.0 : m_previousBurst;
        m_drainedAt = now;
    }

    double m_rate = 0.0;
    double m_burst = 0.0;
    double m_previousBurst = 0.0;
    base::time_point m_previousBurstUntil{};
    double m_level = 0.0;
    double m_excess = -1.0;
    base::time_point m_drainedAt{1h};
};

//! Replaces the module lease: a lease has one holder at a time, which knows its expiry. A new
//! holder starts after that expiry and has a higher epoch.
class lease_table
{
public:
    auto setWanted(const std::string &name, const base::node_id &node, bool wanted,
                   base::time_point now) -> void
    {
        auto &lease = m_leases[name];
        if (!wanted) {
            if (lease.holder == node) {
                lease.expiresAt = std::min(lease.expiresAt, now);
            }
            return;
        }
        if (lease.holder == node && now < lease.expiresAt) {
            lease.expiresAt = now + LEASE_DURATION;
        } else if (now >= lease.expiresAt) {
            lease = {node, lease.epoch + 1, now + LEASE_DURATION};
        }
    }

    auto epoch(const std::string &name, const base::node_id &node, base::time_point now) const
            -> std::optional<std::uint64_t>
    {
        const auto found = m_leases.find(name);
        if (found == m_leases.end() || found->second.holder != node
            || now >= found->second.expiresAt) {
            return std::nullopt;
        }
        return found->second.epoch;
    }

private:
    static constexpr base::duration LEASE_DURATION = 2s;
    struct entry
    {
        base::node_id holder;
        std::uint64_t epoch = 0;
        base::time_point expiresAt{};
    };
    std::map<std::string, entry> m_leases;
};

//! Nodes of several regions that run the limits module on a virtual network, each with its own
//! clock rate and offset.
class limits_fleet
{
public:
    struct node
    {
        base::node_id id;
        base::region_id region;
        double clockRate = 1.0;
        base::duration clockOffset{0};
        bool down = false;
        bool paused = false;
        membership::view_pointer view;
        config::snapshot_pointer configuration;
        std::unique_ptr<limits_module> module;
    };

    limits_fleet(std::uint64_t seed, std::size_t regions, std::size_t nodesPerRegion,
                 testsupport::network_faults faults, bool skewClocks)
        : m_network(seed, faults), m_configuration(std::make_shared<config::snapshot>())
    {
        const auto slowestClockRate = skewClocks ? 1.0 - 0.0476 * m_network.random().unit() : 1.0;
        for (std::size_t r = 0; r < regions; ++r) {
            m_regions.emplace_back("region" + std::to_string(r));
        }
        for (std::size_t i = 0; i < regions * nodesPerRegion; ++i) {
            node member;
            member.id = base::node_id("node" + std::to_string(i));
            member.region = m_regions[i % regions];
            member.clockRate =
                    skewClocks ? slowestClockRate * (1.0 + 0.05 * m_network.random().unit()) : 1.0;
            member.clockOffset = m_network.random().below(100000) * 1ms;
            m_nodes.push_back(std::move(member));
        }
        updateView();
        for (auto &member : m_nodes) {
            member.configuration = m_configuration;
            start(member);
        }
    }

    auto network() -> testsupport::virtual_network & { return m_network; }
    auto random() -> base::random_source & { return m_network.random(); }
    auto nodes() -> std::vector<node> & { return m_nodes; }
    auto regions() -> const std::vector<base::region_id> & { return m_regions; }

    //! Makes `set` the next configuration. Nodes receive it by `deliverConfiguration`.
    auto accept(config::config_set set) -> void
    {
        std::sort(set.organisations.begin(), set.organisations.end());
        m_configuration =
                std::make_shared<config::snapshot>(m_configuration->version() + 1, std::move(set));
    }
    auto deliverConfiguration(node &member) -> void { member.configuration = m_configuration; }
    auto deliverConfigurationToAll() -> void
    {
        for (auto &member : m_nodes) {
            deliverConfiguration(member);
        }
    }

    auto clockOf(const node &member) const -> base::time_point
    {
        const auto elapsed = m_network.now().time_since_epoch();
        return base::time_point{} + member.clockOffset
               + base::duration(static_cast<std::int64_t>(static_cast<double>(elapsed.count())
                                                          * member.clockRate));
    }

    auto start(node &member) -> void
    {
        member.down = false;
        auto *nodePointer = &member;
        allocator_dependencies dependencies{
                member.id,
                member.region,
                m_regions,
                [nodePointer] { return nodePointer->view; },
                [nodePointer] { return nodePointer->configuration; },
                [this, nodePointer](const std::string &name, base::time_point) {
                    return m_leases.epoch(name, nodePointer->id, m_network.now());
                },
                [this, nodePointer](const std::string &name, bool wanted) {
                    m_leases.setWanted(name, nodePointer->id, wanted, m_network.now());
                },
                base::random_source(m_network.random().bits())};
        member.module = std::make_unique<limits_module>(
                dependencies, m_network.random().bits(), [this, nodePointer](const auto &task) {
                    m_network.send(nodePointer->id, task(clockOf(*nodePointer)));
                });
        m_network.attach(
                member.id,
                [this, nodePointer](const auto &from, auto, auto payload, auto) {
                    return nodePointer->module->receive(from, payload, clockOf(*nodePointer));
                },
                [this, nodePointer](auto) {
                    return nodePointer->module->tick(clockOf(*nodePointer));
                });
    }

    auto crash(node &member) -> void
    {
        member.down = true;
        m_network.crash(member.id);
    }

    //! Gives all nodes a view in which exactly the running nodes are alive.
    auto updateView() -> void
    {
        std::vector<membership::node_entry> entries;
        for (const auto &member : m_nodes) {
            membership::node_entry entry;
            entry.id = member.id;
            entry.region = member.region;
            entry.state =
                    member.down ? membership::node_state::Dead : membership::node_state::Alive;
            entries.push_back(std::move(entry));
        }
        const auto view = std::make_shared<membership::view>(++m_viewVersion, std::move(entries));
        for (auto &member : m_nodes) {
            member.view = view;
        }
    }

    //! Drops all messages from nodes of `from` to nodes of `to`.
    auto cutRegions(const base::region_id &from, const base::region_id &to) -> void
    {
        for (const auto &sender : m_nodes) {
            for (const auto &receiver : m_nodes) {
                if (sender.region == from && receiver.region == to) {
                    m_network.cut(sender.id, receiver.id);
                }
            }
        }
    }

private:
    testsupport::virtual_network m_network;
    std::vector<base::region_id> m_regions;
    lease_table m_leases;
    config::snapshot_pointer m_configuration;
    std::uint64_t m_viewVersion = 0;
    std::vector<node> m_nodes;
};

} // namespace hawthornpick::limits::testing
