#include "tests/mesh/changingfleet.h"
#include "webapi/client.h"

#include <CppUTest/TestHarness.h>
#include <csignal>
#include <thread>

using namespace hawthornpick;
using meshtest::changing_fleet;

namespace {

constexpr testsupport::fleet_size FLEET_SIZE{5, 6};
constexpr int LATE_EDGE = 0;
constexpr base::milliseconds CHANGE_LIMIT{20'000};
//! Time without hubs after which a node reports to a deputy.
constexpr base::milliseconds CUT_TIME{3000};
//! Each way; in both directions together longer than a probe waits.
constexpr base::milliseconds DELAY{100};
//! Number of core nodes that are restarted; at most one of them leads.
constexpr int RESTARTED_CORES = 3;
constexpr base::milliseconds READ_TIMEOUT{500};
//! Time within which a core node forwards a read.
constexpr base::milliseconds FORWARD_TIME{80};
//! Time for the start of a core node and its first call; with `FORWARD_TIME` shorter than that
//! after which another leader is elected.
constexpr base::milliseconds RESTART_TIME{400};

enum class disturbance {
    None,
    Delay,
    Cut,
};

//! Disturbs the traffic between the late node and the core nodes in both directions.
auto disturb(changing_fleet &fleet, disturbance kind) -> void
{
    auto &nodes = fleet.nodes();
    const int edge = FLEET_SIZE.cores + LATE_EDGE;
    std::vector<faultproxy::rule> rules;
    const auto add = [&](int from, int to) {
        const auto added =
                kind == disturbance::Cut ? nodes.cut(from, to) : nodes.delay(from, to, DELAY);
        rules.insert(rules.end(), added.begin(), added.end());
    };
    for (int core = 0; kind != disturbance::None && core < FLEET_SIZE.cores; ++core) {
        add(edge, core);
        add(core, edge);
    }
    nodes.setFaults(rules);
}

} // namespace

TEST_GROUP(late_answers){};

// Guards against a node that keeps an old version for good after a cut, because the hubs' answers
// come later than it waits for them.
TEST(late_answers, nodeServesAddedRoutesAfterACutAlthoughHubsAnswerLate)
{
    changing_fleet fleet("late", FLEET_SIZE);
    disturb(fleet, disturbance::Cut);
    std::this_thread::sleep_for(CUT_TIME);
    disturb(fleet, disturbance::Delay);
    std::this_thread::sleep_for(changing_fleet::START_TIME);
    fleet.checkAddedRoutesAreServed();
}

// Guards against a node that says that a route doesn't exist, although it can't know.
TEST(late_answers, nodeOutOfTouchDoesNotDenyRoutesThatWereAdded)
{
    changing_fleet fleet("late", FLEET_SIZE);
    CHECK(fleet.addRoute(CHANGE_LIMIT));
    std::this_thread::sleep_for(changing_fleet::APPLY_TIME);
    const auto knownPath = fleet.newestPath();
    disturb(fleet, disturbance::Cut);
    CHECK(fleet.addRoute(CHANGE_LIMIT));
    std::this_thread::sleep_for(changing_fleet::APPLY_TIME);
    const auto addedStatus = fleet.statusOf(LATE_EDGE, fleet.newestPath());
    CHECK_EQUAL(503U, addedStatus);
    const auto knownStatus = fleet.statusOf(LATE_EDGE, knownPath);
    CHECK_EQUAL(200U, knownStatus);
    disturb(fleet, disturbance::None);
    std::this_thread::sleep_for(changing_fleet::START_TIME);
    const int missing = fleet.countNodesWithoutRoute();
    CHECK_EQUAL(0, missing);
    const auto unknownStatus = fleet.statusOf(LATE_EDGE, "/never-existed/1");
    CHECK_EQUAL(404U, unknownStatus);
}

// Guards against acknowledging a change that is never made: a core node was killed while the leader
// stood still, and the new process took the late answer to a read of the former one for the answer
// to the change.
TEST(late_answers, restartedCoreAcknowledgesOnlyChangesThatAreMade)
{
    changing_fleet fleet("forwarded", FLEET_SIZE);
    for (int core = 0; core < RESTARTED_CORES; ++core) {
        // The read is the first call of the former process, as the change is that of the new one.
        fleet.nodes().kill(core);
        fleet.nodes().start(core);
        std::this_thread::sleep_for(changing_fleet::START_TIME);
        const auto signalOthers = [&fleet, core](int number) {
            for (int other = 0; other < FLEET_SIZE.cores; ++other) {
                if (other != core) {
                    fleet.nodes().signal(other, number);
                }
            }
        };
        signalOthers(SIGSTOP);
        std::jthread read([&fleet, core] {
            (void)webapi::call(fleet.nodes().controlAddress(core),
                               {"GET", "/configuration", {}, {}, {}}, READ_TIMEOUT);
        });
        std::this_thread::sleep_for(FORWARD_TIME);
        fleet.nodes().kill(core);
        fleet.nodes().start(core);
        bool isAcknowledged = false;
        std::jthread change([&] { isAcknowledged = fleet.addRouteAt({core}, CHANGE_LIMIT); });
        std::this_thread::sleep_for(RESTART_TIME);
        signalOthers(SIGCONT);
        read.join();
        change.join();
        CHECK(isAcknowledged);
        std::this_thread::sleep_for(changing_fleet::APPLY_TIME);
        const int outdated = fleet.countCoresWithoutVersion();
        CHECK_EQUAL(0, outdated);
    }
}
