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
//! 40 announced slots with a floor of 24 leave room for three upstreams out of service.
constexpr int MOST_OUT = 3;

const arbiter_scope SCOPE{base::service_id("cocina"), base::region_id("norte")};

//! Clients and arbiters of one service on eight nodes; the lease and the view come from the test.
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

    //! Starts or restarts the node's process.
    auto start(std::size_t index) -> void
    {
        const auto self = id(index);
        clients[index] = std::make_unique<ejection_client>(
                SCOPE.region, ++m_incarnation, ejection_times{},
                [this](const auto &scope) { return arbiterCandidates(*view, scope); });
        clients[index]->setUpstream(upstream(index), SCOPE.service, SLOTS);
        arbiters[index] = std::make_unique<arbiter>(
                [this, self](const auto &, auto now) { return holder == self && now >= holdsFrom; },
                [this] { return view; },
                [](const auto &) {
                    return arbiter_service{FLOOR, 0ms};
                });
        arbiters[index]->setScopes({SCOPE});
        network.attach(
                self,
                [this, index](const auto &from, auto, auto payload, auto now) {
                    auto out = arbiters[index]->receive(from, payload, now);
                    auto more = clients[index]->receive(from, payload, now);
                    out.insert(out.end(), more.begin(), more.end());
                    return out;
                },
                [this, index](auto now) {
                    clients[index]->report(upstream(index), unhealthy.contains(index),
                                           static_cast<double>(index), now);
                    auto out = arbiters[index]->tick(now);
                    auto more = clients[index]->tick(now);
                    out.insert(out.end(), more.begin(), more.end());
                    return out;
                });
    }

    auto giveLease(std::size_t index, base::duration gap) -> void
    {
        holder = id(index);
        holdsFrom = network.now() + gap;
    }

    //! Crashes a node; the view shows it as dead.
    auto kill(std::size_t index) -> void
    {
        network.crash(id(index));
        m_dead.insert(index);
        nodes[index].state = membership::node_state::Dead;
        publish();
    }

    auto out() -> int
    {
        int count = 0;
        for (std::size_t i = 0; i < NODES; ++i) {
            count += !m_dead.contains(i) && isOut(i) ? 1 : 0;
        }
        return count;
    }

    auto isOut(std::size_t index) -> bool
    {
        return clients[index]->isEjected(upstream(index), network.now());
    }

    auto run(base::duration span) -> void
    {
        network.run(span, [this] {
            CHECK_TEXT(out() <= MOST_OUT,
                       testsupport::seedText(m_seed, "below the floor").asCharString());
        });
    }

    testsupport::virtual_network network;
    std::vector<membership::node_entry> nodes;
    membership::view_pointer view;
    std::vector<std::unique_ptr<ejection_client>> clients;
    std::vector<std::unique_ptr<arbiter>> arbiters;
    std::set<std::size_t> unhealthy;
    base::node_id holder;
    base::time_point holdsFrom;

private:
    std::uint64_t m_seed;
    std::uint64_t m_version = 0;
    base::incarnation m_incarnation = 0;
    std::set<std::size_t> m_dead;
};

//! One random disturbance of the fleet.
auto disturb(ejection_fleet &fleet, std::set<std::size_t> &paused) -> void
{
    auto &random = fleet.network.random();
    const auto index = static_cast<std::size_t>(random.below(NODES));
    const auto other = static_cast<std::size_t>(random.below(NODES));
    switch (random.below(8)) {
    case 0:
        fleet.giveLease(index, std::chrono::milliseconds(random.below(3000)));
        break;
    case 1:
        fleet.network.cut(fleet.id(index), fleet.id(other));
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
        fleet.nodes[index].upstreams.front().ejected = fleet.isOut(index);
        fleet.publish();
        break;
    default:
        fleet.unhealthy.contains(index) ? static_cast<void>(fleet.unhealthy.erase(index))
                                        : static_cast<void>(fleet.unhealthy.insert(index));
    }
}

} // namespace

TEST_GROUP(arbiter){};

// Guards against unhealthy upstreams that stay in service although there is room.
TEST(arbiter, ejectsAndHoldsWithRenewals)
{
    ejection_fleet fleet(1);
    fleet.giveLease(2, 0ms);
    fleet.run(4s);
    fleet.unhealthy = {0};
    fleet.run(500ms);
    CHECK(fleet.isOut(0));
    fleet.run(4s);
    CHECK(fleet.isOut(0));
}

// Guards against ejection below the floor when most upstreams look unhealthy.
TEST(arbiter, keepsTheFloor)
{
    ejection_fleet fleet(1);
    fleet.giveLease(0, 0ms);
    fleet.run(4s);
    fleet.unhealthy = {0, 1, 2, 3, 4, 5, 6, 7};
    fleet.run(3s);
    CHECK_EQUAL(MOST_OUT, fleet.out());
}

// Guards against an arbiter that grants before it knows the permits of its predecessor.
TEST(arbiter, takeoverKeepsPermitsAndWaits)
{
    ejection_fleet fleet(1);
    fleet.giveLease(0, 0ms);
    fleet.run(4s);
    fleet.unhealthy = {1, 2};
    fleet.run(500ms);
    CHECK_EQUAL(2, fleet.out());
    fleet.giveLease(5, 500ms);
    fleet.unhealthy = {1, 2, 3};
    fleet.run(3s);
    CHECK_EQUAL(2, fleet.out());
    CHECK_EQUAL(2U, fleet.arbiters[5]->permitCount(SCOPE));
    fleet.run(1500ms);
    CHECK_EQUAL(3, fleet.out());
}

// Guards against upstreams that stay ejected while hosts fail: the least unhealthy returns first.
TEST(arbiter, returnsTheLeastUnhealthyWhenHostsFail)
{
    ejection_fleet fleet(1);
    fleet.giveLease(7, 0ms);
    fleet.run(4s);
    fleet.unhealthy = {0, 1, 2};
    fleet.run(1s);
    CHECK_EQUAL(3, fleet.out());
    fleet.kill(5);
    fleet.run(200ms);
    CHECK(!fleet.isOut(0));
    CHECK(fleet.isOut(1) && fleet.isOut(2));
    fleet.kill(6);
    fleet.run(200ms);
    CHECK(!fleet.isOut(1));
}

// Guards against permits of dead upstreams that use up the room for others.
TEST(arbiter, deadUpstreamReleasesItsPermit)
{
    ejection_fleet fleet(1);
    fleet.giveLease(7, 0ms);
    fleet.run(4s);
    fleet.unhealthy = {0};
    fleet.run(500ms);
    CHECK_EQUAL(1U, fleet.arbiters[7]->permitCount(SCOPE));
    fleet.unhealthy.clear();
    fleet.clients[0]->upstreamGone(fleet.upstream(0), fleet.network.now());
    fleet.run(200ms);
    CHECK_EQUAL(0U, fleet.arbiters[7]->permitCount(SCOPE));
}

// Guards against draining upstreams that count as healthy capacity.
TEST(arbiter, drainingUpstreamsAreNotHealthy)
{
    ejection_fleet fleet(1);
    fleet.giveLease(7, 0ms);
    for (const std::size_t i : {3, 4}) {
        fleet.nodes[i].upstreams.front().state = membership::upstream_state::Draining;
    }
    fleet.publish();
    fleet.run(4s);
    fleet.unhealthy = {0, 1, 2};
    fleet.run(2s);
    CHECK_EQUAL(1, fleet.out());
}

// Guards against permanent ejection, against ejection without an arbiter, and against an ejection
// that does not last longer at its repetition.
TEST(arbiter, upstreamReturnsThroughProbationAndSlowStart)
{
    ejection_fleet fleet(1);
    fleet.giveLease(7, 0ms);
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
    fleet.holder = {};
    fleet.run(4s);
    CHECK(!fleet.isOut(0));
}

// Guards against a floor broken by loss, duplication, reordering, one-way cuts, restarts, pauses or
// changes of the arbiter. Checked after each event.
TEST(arbiter, floorHoldsUnderRandomFaults)
{
    testsupport::forEachSeed(60, [](std::uint64_t seed) {
        ejection_fleet fleet(seed);
        fleet.network.setFaults({0.1, 0.1, 200us, 400ms});
        fleet.giveLease(0, 0ms);
        std::set<std::size_t> paused;
        for (int step = 0; step < 60; ++step) {
            disturb(fleet, paused);
            fleet.run(std::chrono::milliseconds(fleet.network.random().below(1500)));
        }
    });
}
