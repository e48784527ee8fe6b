#pragma once

#include "atmostonce/atmostoncemodule.h"
#include "tests/support/virtualnetwork.h"

#include <memory>
#include <string>
#include <vector>

namespace hawthornpick::atmostonce::testing {

using namespace std::chrono_literals;

//! Nodes with the production module on a virtual network; the first `REPLICA_COUNT` of them are the
//! replicas of the only region.
class idempotency_fleet
{
public:
    struct node
    {
        base::node_id id;
        base::incarnation incarnation = 0;
        bool paused = false;
        std::unique_ptr<atmostonce_module> module;
    };

    static constexpr std::size_t REPLICA_COUNT = 5;

    idempotency_fleet(std::uint64_t seed, std::size_t nodeCount, testsupport::network_faults faults)
        : m_network(seed, faults)
    {
        auto &replicas = m_replicas[base::region_id("north")];
        for (std::size_t i = 0; i < nodeCount; ++i) {
            m_nodes.push_back({base::node_id("node" + std::to_string(i)), 0, false, nullptr});
            if (i < REPLICA_COUNT) {
                replicas.push_back(m_nodes.back().id);
            }
        }
        for (auto &created : m_nodes) {
            start(created);
        }
        // At the first start no replica has records to copy, so they serve only after this wait.
        m_network.run(replica_settings{}.coldStartWait + 2s);
    }

    auto network() -> testsupport::virtual_network & { return m_network; }
    auto random() -> base::random_source & { return m_network.random(); }
    auto nodes() -> std::vector<node> & { return m_nodes; }

    auto start(node &target) -> void
    {
        ++target.incarnation;
        auto *self = &target;
        atmostonce_dependencies dependencies{target.id, target.incarnation, m_replicas,
                                             base::random_source(m_network.random().bits()),
                                             [this, self](const auto &task) {
                                                 m_network.send(self->id, task(m_network.now()));
                                             }};
        target.module = std::make_unique<atmostonce_module>(dependencies);
        m_network.attach(
                target.id,
                [this, self](const auto &from, auto kind, auto payload, auto now) {
                    return receive(*self, from, kind, payload, now);
                },
                [self](auto now) { return self->module->tick(now); });
    }

    //! Called for messages on channel Membership, which the tests use to carry requests.
    std::function<void(node &executor, std::string_view payload)> onRequest;

private:
    auto receive(node &self, const base::node_id &from, base::channel kind,
                 std::string_view payload, base::time_point now) -> messages
    {
        if (kind == base::channel::Fence) {
            return self.module->receiveFence(from, payload, now);
        }
        if (kind == base::channel::Idempotency) {
            return self.module->receiveIdempotency(from, payload, now);
        }
        onRequest(self, payload);
        return {};
    }

    testsupport::virtual_network m_network;
    replica_map m_replicas;
    std::vector<node> m_nodes;
};

} // namespace hawthornpick::atmostonce::testing
