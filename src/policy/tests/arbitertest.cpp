#include "policy/arbiter.h"

#include "policy/ejectionclient.h"
#include "src/policy/tests/seeds.h"
#include "tests/support/virtualnetwork.h"

#include <CppUTest/TestHarness.h>
#include <memory>
#include <set>
#include <string>

using namespace hawthornpick;
using namespace hawthornpick::policy;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t NODES = 8;
constexpr std::uint32_t SLOTS = 5;
constexpr double FLOOR = 0.6;
//! 40 announced slots with a floor of 24 allow three upstreams out of service.
constexpr int MAX_EJECTED = 3;

const arbiter_scope SCOPE{base::service_id("cocina"), base::region_id("norte")};

//! Clients and arbiters of one service on eight nodes; the test controls the lease and the view.
class ejection_fleet
{
public:
    explicit ejection_fleet(std::uint64_t seed) : network(seed, {}), m_seed(seed)
    {
        for (std::size_t i = 0; i < NODES; ++i) {
            membership::node_entry node;
            node.id = id(i);
            node.region = SCOPE.region;
            node.upstreams = {{upstream(i), SCOPE.service, SLOTS, membership::upstream_state::Ready,
                               false, 1, 1}};
            nodes.push_back(node);
        }
        publish();
        clients.resize(NODES);
        arbiters.resize(NODES);
        for (std::size_t i = 0; i < NODES; ++i) {
            start(i);
        }
    }

    static auto id(std::size_t index) -> base::node_id
    {
        return base::node_id("n" + std::to_string(index));
    }
    static auto upstream(std::size_t index) -> base::upstream_id
    {
        return base::upstream_id("n" + std::to_string(index) + "/u");
    }

    auto publish() -> void { view = std::make_shared<membership::view>(++m_version, nodes); }

    //! Starts or restarts the process of a node.
    auto start(std::size_t index) -> void
    {
        const auto self = id(index);
        clients[index] = std::make_unique<ejection_client>(
                SCOPE.region, ++m_incarnation, ejection_times{},
                [this](const auto &scope) { return arbiterCandidates(*view, scope); });
        clients[index]->setUpstream(upstream(index), SCOPE.service, SLOTS);
        arbiters[index] = std::make_unique<arbiter>(
                [this, self](const auto &, auto now) {
                    return leaseHolder == self && now >= leaseHeldFrom;
                },
                [this] { return view; },
                [](const auto &) {
                    return arbiter_service_settings{FLOOR, 0ms};
                });
        arbiters[index]->setScopes({SCOPE});
        network.attach(
                self,
                [this, index](const auto &from, auto, auto payload, auto now) {
                    auto messages = arbiters[index]->receive(from, payload, now);
                    auto clientMessages = clients[index]->receive(from, payload, now);
                    messages.insert(messages.end(), clientMessages.begin(), clientMessages.end());
                    return messages;
                },
                [this, index](auto now) {
                    clients[index]->onVerdict(upstream(index), unhealthy.contains(index),
                                              static_cast<double>(index), now);
                    auto messages = arbiters[index]->tick(now);
                    auto clientMessages = clients[index]->tick(now);
                    messages.insert(messages.end(), clientMessages.begin(), clientMessages.end());
                    return messages;
                });
    }

    auto grantLease(std::size_t index, base::duration delay) -> void
    {
        leaseHolder = id(index);
        leaseHeldFrom = network.now() + delay;
    }

    //! Crashes a node and marks it as dead in the view.
    auto kill(std::size_t index) -> void
    {
        network.crash(id(index));
        m_dead.insert(index);
        nodes[index].state = membership::node_state::Dead;
        publish();
    }

    auto ejectedCount() -> int
    {
        int count = 0;
        for (std::size_t i = 0; i < NODES; ++i) {
            count += !m_dead.contains(i) && isEjected(i) ? 1 : 0;
        }
        return count;
    }

    auto isEjected(std::size_t index) -> bool
    {
        return clients[index]->isEjected(upstream(index), network.now());
    }

    auto run(base::duration span) -> void
    {
        network.run(span, [this] {
            CHECK_TEXT(ejectedCount() <= MAX_EJECTED,
                       testsupport::seedText(m_seed, "slots in service below the floor")
                               .asCharString());
        });
    }

    testsupport::virtual_network network;
    std::vector<membership::node_entry> nodes;
    membership::view_pointer view;
    std::vector<std::unique_ptr<ejection_client>> clients;
    std::vector<std::unique_ptr<arbiter>> arbiters;
    std::set<std::size_t> unhealthy;
    base::node_id leaseHolder;
    base::time_point leaseHeldFrom;

private:
    std::uint64_t m_seed;
    std::uint64_t m_version = 0;
    base::incarnation m_incarnation = 0;
    std::set<std::size_t> m_dead;
};

//! Applies one random fault or change to the fleet.
auto applyRandomFault(ejection_fleet &fleet, std::set<std::size_t> &paused) -> void
{
    auto &random = fleet.network.random();
    const auto index = static_cast<std::size_t>(random.below(NODES));
    const auto otherIndex = static_cast<std::size_t>(random.below(NODES));
    switch (random.below(8)) {
    case 0:
        fleet.grantLease(index, std::chrono::milliseconds(random.below(3000)));
        break;
    case 1:
        fleet.network.cut(fleet.id(index), fleet.id(otherIndex));
        break;
    case 2:
        fleet.network.healAll();
        break;
    case 3:
        fleet.start(index);
        break;
    case 4:
        fleet.network.pause(fleet.id(index));
        paused.insert(index);
        break;
    case 5:
        for (const auto item : paused) {
            fleet.network.resume(fleet.id(item));
        }
        paused.clear();
        break;
    case 6:
        fleet.nodes[index].upstreams.front().ejected = fleet.isEjected(index);
        fleet.publish();
        break;
    default:
        fleet.unhealthy.contains(index) ? static_cast<void>(fleet.unhealthy.erase(index))
                                        : static_cast<void>(fleet.unhealthy.insert(index));
    }
}

} // namespace

TEST_GROUP(arbiter){};

// Guards against an unhealthy upstream that stays in service although the floor allows its
// ejection.
TEST(arbiter, ejectsAndRenewsPermit)
{
    ejection_fleet fleet(1);
    fleet.grantLease(2, 0ms);
    fleet.run(4s);
    fleet.unhealthy = {0};
    fleet.run(500ms);
    CHECK(fleet.isEjected(0));
    fleet.run(4s);
    CHECK(fleet.isEjected(0));
}

// Guards against ejections below the floor when most upstreams are reported as unhealthy.
TEST(arbiter, ejectsNoMoreThanFloorAllows)
{
    ejection_fleet fleet(1);
    fleet.grantLease(0, 0ms);
    fleet.run(4s);
    fleet.unhealthy = {0, 1, 2, 3, 4, 5, 6, 7};
    fleet.run(3s);
    CHECK_EQUAL(MAX_EJECTED, fleet.ejectedCount());
}

// Guards against an arbiter that grants permits before it knows those of its predecessor.
TEST(arbiter, newArbiterLearnsPermitsBeforeGranting)
{
    ejection_fleet fleet(1);
    fleet.grantLease(0, 0ms);
    fleet.run(4s);
    fleet.unhealthy = {1, 2};
    fleet.run(500ms);
    CHECK_EQUAL(2, fleet.ejectedCount());
    fleet.grantLease(5, 500ms);
    fleet.unhealthy = {1, 2, 3};
    fleet.run(3s);
    CHECK_EQUAL(2, fleet.ejectedCount());
    CHECK_EQUAL(2U, fleet.arbiters[5]->permitCount(SCOPE));
    fleet.run(1500ms);
    CHECK_EQUAL(3, fleet.ejectedCount());
}

// Guards against upstreams that stay ejected while hosts fail: the upstream with the least evidence
// returns first.
TEST(arbiter, returnsLeastUnhealthyWhenHostsFail)
{
    ejection_fleet fleet(1);
    fleet.grantLease(7, 0ms);
    fleet.run(4s);
    fleet.unhealthy = {0, 1, 2};
    fleet.run(1s);
    CHECK_EQUAL(3, fleet.ejectedCount());
    fleet.kill(5);
    fleet.run(200ms);
    CHECK(!fleet.isEjected(0));
    CHECK(fleet.isEjected(1) && fleet.isEjected(2));
    fleet.kill(6);
    fleet.run(200ms);
    CHECK(!fleet.isEjected(1));
}

// Guards against permits of dead upstreams that prevent the ejection of others.
TEST(arbiter, releasesPermitOfDeadUpstream)
{
    ejection_fleet fleet(1);
    fleet.grantLease(7, 0ms);
    fleet.run(4s);
    fleet.unhealthy = {0};
    fleet.run(500ms);
    CHECK_EQUAL(1U, fleet.arbiters[7]->permitCount(SCOPE));
    fleet.unhealthy.clear();
    fleet.clients[0]->removeUpstream(fleet.upstream(0), fleet.network.now());
    fleet.run(200ms);
    CHECK_EQUAL(0U, fleet.arbiters[7]->permitCount(SCOPE));
}

// Guards against draining upstreams that count as healthy slots.
TEST(arbiter, drainingUpstreamsDoNotCountAsHealthy)
{
    ejection_fleet fleet(1);
    fleet.grantLease(7, 0ms);
    for (const std::size_t i : {3, 4}) {
        fleet.nodes[i].upstreams.front().state = membership::upstream_state::Draining;
    }
    fleet.publish();
    fleet.run(4s);
    fleet.unhealthy = {0, 1, 2};
    fleet.run(2s);
    CHECK_EQUAL(1, fleet.ejectedCount());
}

// Guards against an ejection that never ends, that lasts without an arbiter, or that is not longer
// when repeated.
TEST(arbiter, returnsThroughProbationAndSlowStart)
{
    ejection_fleet fleet(1);
    fleet.grantLease(7, 0ms);
    fleet.run(4s);
    auto &client = *fleet.clients[0];
    const auto upstream = fleet.upstream(0);
    fleet.unhealthy = {0};
    fleet.run(500ms);
    fleet.unhealthy.clear();
    fleet.run(5s);
    CHECK(client.phaseOf(upstream, fleet.network.now()) == ejection_phase::Probation);
    CHECK(client.admissionOf(upstream, fleet.network.now()).probation);
    for (int i = 0; i < 5; ++i) {
        client.onResult(upstream, true, fleet.network.now());
    }
    CHECK(client.phaseOf(upstream, fleet.network.now()) == ejection_phase::SlowStart);
    CHECK_EQUAL(1U, client.admissionOf(upstream, fleet.network.now()).usableSlots);
    fleet.run(5s);
    CHECK_EQUAL(SLOTS, client.admissionOf(upstream, fleet.network.now()).usableSlots);
    CHECK(client.isFlapping(upstream, fleet.network.now()));
    fleet.unhealthy = {0};
    fleet.run(500ms);
    fleet.unhealthy.clear();
    fleet.run(6s);
    CHECK(client.phaseOf(upstream, fleet.network.now()) == ejection_phase::Ejected);
    fleet.leaseHolder = {};
    fleet.run(4s);
    CHECK(!fleet.isEjected(0));
}

// Guards against fewer slots in service than the floor under message loss, duplication, reordering,
// one-way partitions, restarts, pauses and changes of the arbiter. Checked after each event.
TEST(arbiter, keepsFloorUnderRandomFaults)
{
    testsupport::forEachSeed(60, [](std::uint64_t seed) {
        ejection_fleet fleet(seed);
        fleet.network.setFaults({0.1, 0.1, 200us, 400ms});
        fleet.grantLease(0, 0ms);
        std::set<std::size_t> paused;
        for (int step = 0; step < 60; ++step) {
            applyRandomFault(fleet, paused);
            fleet.run(std::chrono::milliseconds(fleet.network.random().below(1500)));
        }
    });
}
