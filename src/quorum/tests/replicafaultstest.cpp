#include "quorum/tests/quorumfleet.h"

#include <CppUTest/TestHarness.h>
#include <cstdio>

using namespace hawthornpick;
using std::chrono::milliseconds;
using testing::quorum_fleet;

namespace {

constexpr int NODES = 6;
constexpr int SEEDS = 3;

//! One random fault or request. At most one disk is lost at a time, and only while the others are
//! up, as the fleet promises for one tolerated loss.
auto step(quorum_fleet &fleet, base::random_source &random, int &wiped) -> void
{
    const int node = static_cast<int>(random.below(NODES));
    const int other = static_cast<int>(random.below(NODES));
    switch (random.below(12)) {
    case 0:
        if (fleet.isUp(node)) {
            fleet.crash(node);
        }
        break;
    case 1:
    case 2:
        for (int i = 0; i < NODES; ++i) {
            if (!fleet.isUp(i)) {
                fleet.start(i);
            }
        }
        break;
    case 3:
        fleet.network().cut(quorum_fleet::name(node), quorum_fleet::name(other));
        break;
    case 4:
        fleet.network().healAll();
        break;
    case 5:
        fleet.network().pause(quorum_fleet::name(node));
        break;
    case 6:
        for (int i = 0; i < NODES; ++i) {
            fleet.network().resume(quorum_fleet::name(i));
        }
        break;
    case 7:
        fleet.setDiskTime(milliseconds(1 + random.below(3) * 400));
        break;
    case 8:
        if (wiped < 0 && fleet.leader() >= 0 && fleet.voters().size() >= 5) {
            wiped = node;
            fleet.wipe(node);
            fleet.start(node);
        }
        break;
    case 9:
        fleet.read(node);
        break;
    default:
        fleet.change(fleet.leader() >= 0 ? fleet.leader() : node);
        break;
    }
}

auto settle(quorum_fleet &fleet) -> void
{
    fleet.network().healAll();
    fleet.setDiskTime(milliseconds(1));
    for (int i = 0; i < NODES; ++i) {
        fleet.network().resume(quorum_fleet::name(i));
        if (!fleet.isUp(i)) {
            fleet.start(i);
        }
    }
    fleet.run(milliseconds(10'000));
}

} // namespace

TEST_GROUP(replica_faults){};

// Guards against losing or doubling an accepted change, going back, and stale confirmed reads,
// under crashes, one-way cuts, pauses, slow disks, lost messages and one lost disk at a time. The
// checks run after each event.
TEST(replica_faults, keepsAcceptedChangesUnderRandomFaults)
{
    for (std::uint64_t seed = 1; seed <= 60; ++seed) {
        quorum_fleet fleet(seed, NODES, SEEDS);
        base::random_source random(seed * 7919);
        fleet.run(milliseconds(3000));
        int wiped = -1;
        for (int i = 0; i < 60; ++i) {
            step(fleet, random, wiped);
            fleet.run(milliseconds(50 + random.below(600)));
            if (i % 20 == 19) {
                settle(fleet);
                wiped = -1;
            }
        }
        settle(fleet);
        const auto text = "seed " + std::to_string(seed);
        CHECK_TEXT(fleet.leader() >= 0, (text + ": no leader after the faults").c_str());
        CHECK_TEXT(fleet.replica(fleet.leader()).committed()->version >= fleet.accepted(),
                   (text + ": an accepted change is lost").c_str());
        CHECK_TEXT(fleet.voters().size() >= 5, (text + ": members are missing").c_str());
    }
}
