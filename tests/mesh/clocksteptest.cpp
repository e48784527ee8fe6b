#include "tests/mesh/changingfleet.h"

#include <CppUTest/TestHarness.h>
#include <thread>

using namespace hawthornpick;
using meshtest::changing_fleet;

namespace {

constexpr testsupport::fleet_size FLEET_SIZE{5, 6};
constexpr base::milliseconds CHANGE_LIMIT{20'000};

//! Kills a node and starts it with its wall clock set back by a minute.
auto restartWithClockSetBack(changing_fleet &fleet, int node) -> void
{
    fleet.nodes().kill(node);
    fleet.nodes().start(node, {"LD_PRELOAD=" HAWTHORNPICK_STEPPED_CLOCK,
                               "HAWTHORNPICK_TEST_CLOCK_STEP_MS=-60000"});
}

} // namespace

TEST_GROUP(clock_step){};

// Guards against a node that no longer learns of configurations after a restart, because its host's
// clock was set back and other nodes take its messages for those of its former process.
TEST(clock_step, nodeServesAddedRoutesAfterARestartWithItsClockSetBack)
{
    changing_fleet fleet("clock", FLEET_SIZE);
    for (int edge = 0; edge < 3; ++edge) {
        restartWithClockSetBack(fleet, FLEET_SIZE.cores + edge);
    }
    std::this_thread::sleep_for(changing_fleet::START_TIME);
    fleet.checkAddedRoutesAreServed();
}

// Guards against the same for core nodes, which then neither vote nor tell the configuration.
TEST(clock_step, coreNodesAreMembersAfterARestartWithTheirClocksSetBack)
{
    changing_fleet fleet("clock", FLEET_SIZE);
    for (int core = 0; core < FLEET_SIZE.cores; ++core) {
        restartWithClockSetBack(fleet, core);
        std::this_thread::sleep_for(changing_fleet::START_TIME);
        CHECK(fleet.addRoute(CHANGE_LIMIT));
        std::this_thread::sleep_for(changing_fleet::APPLY_TIME);
        const int missing = fleet.countNodesWithoutRoute();
        CHECK_EQUAL(0, missing);
        const int outdated = fleet.countCoresWithoutVersion();
        CHECK_EQUAL(0, outdated);
    }
}
