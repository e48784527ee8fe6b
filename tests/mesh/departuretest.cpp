#include "platform/internal/wirenames.h"
#include "tests/mesh/meshcaller.h"

#include <CppUTest/TestHarness.h>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <csignal>
#include <iostream>
#include <mutex>
#include <thread>
#include <unistd.h>

using namespace hawthornpick;
using meshtest::mesh_caller;
using testsupport::mesh_fleet;

namespace {

constexpr testsupport::fleet_size FLEET_SIZE{3, 4};
constexpr base::milliseconds WORK_TIME{20};
//! Time after an acknowledged departure in which requests may still arrive.
constexpr base::milliseconds DRAIN_TIME{2500};
//! Time after its start in which a node may be out of touch.
constexpr base::milliseconds START_TIME{3000};
constexpr base::milliseconds OBSERVATION_TIME{4000};
constexpr base::milliseconds CONDITION_LIMIT{60'000};
constexpr base::milliseconds POLL_INTERVAL{50};
//! Higher than any sequence of the regular heartbeats.
constexpr std::uint64_t LATE_SEQUENCE = 1'000'000;

//! Mesh with callers at all nodes but the one whose upstream leaves.
class departure_fleet
{
public:
    departure_fleet()
        : m_fleet(HAWTHORNPICK_BINARY,
                  std::filesystem::temp_directory_path()
                          / ("hawthornpick-departure-" + std::to_string(getpid())),
                  FLEET_SIZE, [this](int node, webapi::request incoming) {
                      return handle(node, std::move(incoming));
                  })
    {
        CHECK_TEXT(mesh_caller(m_fleet).waitUntilServed(), "the fleet does not serve");
    }

    auto nodes() -> mesh_fleet & { return m_fleet; }
    //! The node whose upstream leaves.
    [[nodiscard]] auto leaver() const -> int { return m_fleet.cores(); }

    //! Waits until the upstream of the leaver has run a request of another node.
    auto waitUntilUsed() -> bool
    {
        return waitFor([this] { return sendRequestsAndCount(base::milliseconds(200)) > 0; });
    }

    //! Sends requests to the other nodes for `span`; returns how many reached the leaver's
    //! upstream.
    auto sendRequestsAndCount(base::milliseconds span) -> int
    {
        const int before = runCount();
        mesh_caller caller(m_fleet);
        const auto end = base::clock::now() + span;
        for (int i = 0; base::clock::now() < end; ++i) {
            const int edge = 1 + i % (FLEET_SIZE.edges - 1);
            (void)caller.sendTo(edge, i % 2 == 0 ? "GET" : "POST", i % 2 == 0 ? "/r/1" : "/w/1");
        }
        return runCount() - before;
    }

    //! Checks that no request reaches the leaver's upstream during `OBSERVATION_TIME`.
    auto checkLeaverIsUnused() -> void
    {
        const int count = sendRequestsAndCount(OBSERVATION_TIME);
        CHECK_EQUAL(0, count);
    }

    template <typename Condition>
    auto waitFor(Condition condition) -> bool
    {
        const auto end = base::clock::now() + CONDITION_LIMIT;
        while (base::clock::now() < end) {
            if (condition()) {
                return true;
            }
            std::this_thread::sleep_for(POLL_INTERVAL);
        }
        return false;
    }

    //! Kills a node and starts it again.
    auto restart(int node) -> void
    {
        m_fleet.kill(node);
        m_fleet.start(node);
    }

    //! Delivers a heartbeat that the upstream sent before it left.
    auto deliverLateHeartbeat(std::uint64_t sequenceNo = 1) -> bool
    {
        return waitFor([&] { return m_fleet.sendHeartbeat(leaver(), "ready", sequenceNo) == 200; });
    }

    //! Cuts or joins the traffic between a node and the core nodes.
    auto setCutFromCore(int node, bool isCut) -> void
    {
        std::vector<faultproxy::rule> rules;
        for (int core = 0; isCut && core < m_fleet.cores(); ++core) {
            for (const auto &added : {m_fleet.cut(node, core), m_fleet.cut(core, node)}) {
                rules.insert(rules.end(), added.begin(), added.end());
            }
        }
        m_fleet.setFaults(rules);
    }

private:
    auto handle(int node, webapi::request incoming) -> boost::asio::awaitable<webapi::response>
    {
        static const auto names = platform::wireNames();
        if (node == leaver()) {
            const std::lock_guard lock(m_mutex);
            ++m_runCount;
        }
        boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor, WORK_TIME);
        co_await timer.async_wait(boost::asio::use_awaitable);
        webapi::response answer{200, "text/plain", "done"};
        answer.headers[names.requestId] = testsupport::headerValue(incoming, names.requestId);
        co_return answer;
    }

    auto runCount() -> int
    {
        const std::lock_guard lock(m_mutex);
        return m_runCount;
    }

    std::mutex m_mutex;
    int m_runCount = 0;
    mesh_fleet m_fleet;
};

} // namespace

TEST_GROUP(departure){};

// Guards against a node that forgets at its restart that its upstream has withdrawn, and uses it
// again after a late heartbeat.
TEST(departure, withdrawalHoldsAfterARestartOfItsNode)
{
    departure_fleet fleet;
    CHECK(fleet.waitUntilUsed());
    fleet.nodes().setHeartbeats(fleet.leaver(), false);
    CHECK(fleet.waitFor([&] { return fleet.nodes().withdrawUpstream(fleet.leaver()) == 200; }));
    fleet.restart(fleet.leaver());
    CHECK(fleet.deliverLateHeartbeat());
    std::this_thread::sleep_for(std::max(DRAIN_TIME, START_TIME));
    fleet.checkLeaverIsUnused();
}

// Guards against the same for an upstream that drains.
TEST(departure, drainHoldsAfterARestartOfItsNode)
{
    departure_fleet fleet;
    CHECK(fleet.waitUntilUsed());
    fleet.nodes().setHeartbeats(fleet.leaver(), false);
    CHECK(fleet.waitFor([&] {
        return fleet.nodes().sendHeartbeat(fleet.leaver(), "draining", LATE_SEQUENCE) == 200;
    }));
    fleet.restart(fleet.leaver());
    CHECK(fleet.deliverLateHeartbeat());
    std::this_thread::sleep_for(std::max(DRAIN_TIME, START_TIME));
    fleet.checkLeaverIsUnused();
}

// Guards against a departure that is lost with its node and one core node right after the
// acknowledgement, and against one that is lost when all core nodes restart.
TEST(departure, withdrawalHoldsAfterRestartsOfCoreNodes)
{
    departure_fleet fleet;
    CHECK(fleet.waitUntilUsed());
    auto &nodes = fleet.nodes();
    nodes.setHeartbeats(fleet.leaver(), false);
    CHECK(fleet.waitFor([&] { return nodes.withdrawUpstream(fleet.leaver()) == 200; }));
    nodes.kill(fleet.leaver());
    fleet.restart(0);
    nodes.start(fleet.leaver());
    CHECK(fleet.deliverLateHeartbeat());
    std::this_thread::sleep_for(std::max(DRAIN_TIME, START_TIME));
    fleet.checkLeaverIsUnused();
    nodes.kill(fleet.leaver());
    for (int core = 0; core < nodes.cores(); ++core) {
        fleet.restart(core);
    }
    nodes.start(fleet.leaver());
    CHECK(fleet.deliverLateHeartbeat());
    std::this_thread::sleep_for(START_TIME);
    fleet.checkLeaverIsUnused();
}

// Guards against a departure that nobody knows of after all processes have ended at once.
TEST(departure, withdrawalHoldsAfterARestartOfTheWholeFleet)
{
    departure_fleet fleet;
    CHECK(fleet.waitUntilUsed());
    auto &nodes = fleet.nodes();
    nodes.setHeartbeats(fleet.leaver(), false);
    CHECK(fleet.waitFor([&] { return nodes.withdrawUpstream(fleet.leaver()) == 200; }));
    for (int node = 0; node < nodes.size(); ++node) {
        nodes.kill(node);
    }
    for (int node = 0; node < nodes.size(); ++node) {
        nodes.start(node);
    }
    CHECK(fleet.deliverLateHeartbeat());
    std::this_thread::sleep_for(std::max(DRAIN_TIME, START_TIME));
    CHECK(mesh_caller(nodes).sendTo(1, "GET", "/r/1").has_value());
    fleet.checkLeaverIsUnused();
}

// Guards against a node that restarts while it is cut off from the core and uses an upstream of
// which it doesn't know whether it has left.
TEST(departure, withdrawalHoldsAfterARestartDuringACut)
{
    departure_fleet fleet;
    CHECK(fleet.waitUntilUsed());
    auto &nodes = fleet.nodes();
    nodes.setHeartbeats(fleet.leaver(), false);
    CHECK(fleet.waitFor([&] { return nodes.withdrawUpstream(fleet.leaver()) == 200; }));
    nodes.kill(fleet.leaver());
    fleet.setCutFromCore(fleet.leaver(), true);
    nodes.start(fleet.leaver());
    CHECK(fleet.deliverLateHeartbeat());
    std::this_thread::sleep_for(DRAIN_TIME);
    fleet.checkLeaverIsUnused();
    fleet.setCutFromCore(fleet.leaver(), false);
    fleet.checkLeaverIsUnused();
}

// Guards against an acknowledgement that only the acknowledging process knows of.
TEST(departure, withdrawalIsNotAcknowledgedDuringACut)
{
    departure_fleet fleet;
    CHECK(fleet.waitUntilUsed());
    auto &nodes = fleet.nodes();
    nodes.setHeartbeats(fleet.leaver(), false);
    fleet.setCutFromCore(fleet.leaver(), true);
    const auto status = nodes.withdrawUpstream(fleet.leaver());
    CHECK_EQUAL(503U, status);
    fleet.setCutFromCore(fleet.leaver(), false);
    CHECK(fleet.waitFor([&] { return nodes.withdrawUpstream(fleet.leaver()) == 200; }));
}

// Guards against a withdrawal that arrives right after a restart, before the first heartbeat, and
// is acknowledged and forgotten.
TEST(departure, withdrawalOfAnUpstreamUnknownToANewProcessHolds)
{
    departure_fleet fleet;
    CHECK(fleet.waitUntilUsed());
    auto &nodes = fleet.nodes();
    nodes.setHeartbeats(fleet.leaver(), false);
    fleet.restart(fleet.leaver());
    CHECK(fleet.waitFor([&] { return nodes.withdrawUpstream(fleet.leaver()) == 200; }));
    CHECK(fleet.deliverLateHeartbeat());
    fleet.restart(fleet.leaver());
    CHECK(fleet.deliverLateHeartbeat());
    std::this_thread::sleep_for(std::max(DRAIN_TIME, START_TIME));
    fleet.checkLeaverIsUnused();
}

// Guards against an upstream that stays out of use after the restart of its node, or whose
// successor does.
TEST(departure, otherUpstreamsAreUsedAfterARestartOfTheirNode)
{
    departure_fleet fleet;
    CHECK(fleet.waitUntilUsed());
    fleet.restart(fleet.leaver());
    CHECK(fleet.waitUntilUsed());
    fleet.nodes().setHeartbeats(fleet.leaver(), false);
    CHECK(fleet.waitFor([&] { return fleet.nodes().withdrawUpstream(fleet.leaver()) == 200; }));
    fleet.nodes().crashUpstream(fleet.leaver(), base::milliseconds(100));
    fleet.restart(fleet.leaver());
    fleet.nodes().setHeartbeats(fleet.leaver(), true);
    CHECK(fleet.waitUntilUsed());
}
