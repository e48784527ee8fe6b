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

//! Checks admissions <= rate * t + burst for every window: a leaky bucket that drains with the rate
//! and holds the burst overflows exactly if some window has more.
class window_check
{
public:
    //! `rate` and `burst` hold from `now` on. An earlier, larger burst counts until it has drained
    //! and the grants issued under it have ended: a set is reported as in force 2 s later only.
    auto setTerms(double rate, double burst, base::time_point now) -> void
    {
        drain(now);
        if (burst < m_burst) {
            m_oldBurst = std::max(m_oldBurst, m_burst);
            m_oldUntil = now + GRANT_HOLD;
        }
        m_rate = rate;
        m_burst = burst;
    }

    auto admit(base::time_point now) -> void
    {
        drain(now);
        m_level += 1.0;
        m_excess = std::max(m_excess, m_level - std::max(m_burst, m_oldBurst));
    }

    //! Tokens over rate and burst so far; 0 or less if there were none.
    [[nodiscard]] auto excess() const -> double { return m_excess; }

private:
    auto drain(base::time_point now) -> void
    {
        m_level = std::max(0.0, m_level - m_rate * base::toSeconds(now - m_at));
        m_oldBurst = m_level <= 0.0 && now >= m_oldUntil ? 0.0 : m_oldBurst;
        m_at = now;
    }

    double m_rate = 0.0;
    double m_burst = 0.0;
    double m_oldBurst = 0.0;
    base::time_point m_oldUntil{};
    double m_level = 0.0;
    double m_excess = -1.0;
    base::time_point m_at{1h};
};

//! Stand-in for module lease: one holder at a time, which knows its own end; a new holder starts
//! after the end of the one before and has a higher epoch.
class lease_table
{
public:
    auto wish(const std::string &name, const base::node_id &node, bool wanted, base::time_point now)
            -> void
    {
        auto &lease = m_leases[name];
        if (!wanted) {
            if (lease.holder == node) {
                lease.until = std::min(lease.until, now);
            }
            return;
        }
        if (lease.holder == node && now < lease.until) {
            lease.until = now + TERM;
        } else if (now >= lease.until) {
            lease = {node, lease.epoch + 1, now + TERM};
        }
    }

    auto epoch(const std::string &name, const base::node_id &node, base::time_point now) const
            -> std::optional<std::uint64_t>
    {
        const auto found = m_leases.find(name);
        if (found == m_leases.end() || found->second.holder != node || now >= found->second.until) {
            return std::nullopt;
        }
        return found->second.epoch;
    }

private:
    static constexpr base::duration TERM = 2s;
    struct entry
    {
        base::node_id holder;
        std::uint64_t epoch = 0;
        base::time_point until{};
    };
    std::map<std::string, entry> m_leases;
};

//! Nodes of several regions with the real limits module, each with its own clock rate.
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
        const auto slowest = skewClocks ? 1.0 - 0.0476 * m_network.random().unit() : 1.0;
        for (std::size_t r = 0; r < regions; ++r) {
            m_regions.emplace_back("region" + std::to_string(r));
        }
        for (std::size_t i = 0; i < regions * nodesPerRegion; ++i) {
            node item;
            item.id = base::node_id("node" + std::to_string(i));
            item.region = m_regions[i % regions];
            item.clockRate = skewClocks ? slowest * (1.0 + 0.05 * m_network.random().unit()) : 1.0;
            item.clockOffset = m_network.random().below(100000) * 1ms;
            m_nodes.push_back(std::move(item));
        }
        updateView();
        for (auto &item : m_nodes) {
            item.configuration = m_configuration;
            start(item);
        }
    }

    auto network() -> testsupport::virtual_network & { return m_network; }
    auto random() -> base::random_source & { return m_network.random(); }
    auto nodes() -> std::vector<node> & { return m_nodes; }
    auto regions() -> const std::vector<base::region_id> & { return m_regions; }

    //! Accepts a set; nodes get it by `deliverConfiguration`.
    auto accept(config::config_set set) -> void
    {
        std::sort(set.organisations.begin(), set.organisations.end());
        m_configuration =
                std::make_shared<config::snapshot>(m_configuration->version() + 1, std::move(set));
    }
    auto deliverConfiguration(node &item) -> void { item.configuration = m_configuration; }
    auto deliverConfigurationToAll() -> void
    {
        for (auto &item : m_nodes) {
            deliverConfiguration(item);
        }
    }

    auto clockOf(const node &item) const -> base::time_point
    {
        const auto since = m_network.now().time_since_epoch();
        return base::time_point{} + item.clockOffset
               + base::duration(static_cast<std::int64_t>(static_cast<double>(since.count())
                                                          * item.clockRate));
    }

    auto start(node &item) -> void
    {
        item.down = false;
        auto *self = &item;
        allocator_dependencies deps{item.id,
                                    item.region,
                                    m_regions,
                                    [self] { return self->view; },
                                    [self] { return self->configuration; },
                                    [this, self](const std::string &name, base::time_point) {
                                        return m_leases.epoch(name, self->id, m_network.now());
                                    },
                                    [this, self](const std::string &name, bool wanted) {
                                        m_leases.wish(name, self->id, wanted, m_network.now());
                                    },
                                    base::random_source(m_network.random().bits())};
        item.module = std::make_unique<limits_module>(
                deps, m_network.random().bits(),
                [this, self](const auto &task) { m_network.send(self->id, task(clockOf(*self))); });
        m_network.attach(
                item.id,
                [this, self](const auto &from, auto, auto payload, auto) {
                    return self->module->receive(from, payload, clockOf(*self));
                },
                [this, self](auto) { return self->module->tick(clockOf(*self)); });
    }

    auto crash(node &item) -> void
    {
        item.down = true;
        m_network.crash(item.id);
    }

    //! Gives all nodes a view in which exactly the nodes that run are alive.
    auto updateView() -> void
    {
        std::vector<membership::node_entry> entries;
        for (const auto &item : m_nodes) {
            membership::node_entry entry;
            entry.id = item.id;
            entry.region = item.region;
            entry.state = item.down ? membership::node_state::Dead : membership::node_state::Alive;
            entries.push_back(std::move(entry));
        }
        const auto view = std::make_shared<membership::view>(++m_viewVersion, std::move(entries));
        for (auto &item : m_nodes) {
            item.view = view;
        }
    }

    auto cutRegions(const base::region_id &from, const base::region_id &to) -> void
    {
        for (const auto &left : m_nodes) {
            for (const auto &right : m_nodes) {
                if (left.region == from && right.region == to) {
                    m_network.cut(left.id, right.id);
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
