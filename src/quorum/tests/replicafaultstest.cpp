#include "quorum/tests/quorumfleet.h"

#include <CppUTest/TestHarness.h>
#include <cstdio>

using namespace hawthornpick;
using std::chrono::milliseconds;
using testing::quorum_fleet;

namespace {

constexpr int NODE_COUNT = 6;
constexpr int INITIAL_MEMBER_COUNT = 3;

//! Applies one random fault, repair or request. Erases at most one disk between two calls of
//! `repairAndRun`, and only while there is a leader with at least five voters, because the group
//! tolerates the loss of one disk at a time.
auto applyRandomEvent(quorum_fleet &fleet, base::random_source &random, int &wipedNode) -> void
{
    const int node = static_cast<int>(random.below(NODE_COUNT));
    const int other = static_cast<int>(random.below(NODE_COUNT));
    switch (random.below(16)) {
    case 0:
        if (fleet.isUp(node)) {
            fleet.crash(node);
        }
        break;
    case 1:
    case 2:
        for (int i = 0; i < NODE_COUNT; ++i) {
            if (!fleet.isUp(i)) {
                fleet.start(i);
            }
        }
        break;
    case 3:
        fleet.network().cut(quorum_fleet::nodeName(node), quorum_fleet::nodeName(other));
        break;
    case 4:
        fleet.network().healAll();
        break;
    case 5:
        fleet.network().pause(quorum_fleet::nodeName(node));
        break;
    case 6:
        for (int i = 0; i < NODE_COUNT; ++i) {
            fleet.network().resume(quorum_fleet::nodeName(i));
        }
        break;
    case 7:
        fleet.setWriteLatency(milliseconds(1 + random.below(3) * 400));
        break;
    case 8:
        if (wipedNode < 0 && fleet.leader() >= 0 && fleet.voters().size() >= 5) {
            wipedNode = node;
            fleet.crashAndWipeDisk(node);
            fleet.start(node);
        }
        break;
    case 9:
        fleet.startRead(node);
        break;
    case 10:
    case 11: {
        const int target = fleet.leader() >= 0 ? fleet.leader() : node;
        fleet.startOrder(target, "d" + std::to_string(random.below(3)), random.below(3) > 0);
        break;
    }
    case 12:
        fleet.sendUnsentOrders();
        break;
    case 13:
        if (fleet.orderCount() > 0) {
            fleet.resendOrder(fleet.leader() >= 0 ? fleet.leader() : node,
                              random.below(fleet.orderCount()));
        }
        break;
    default:
        fleet.submitNewChange(fleet.leader() >= 0 ? fleet.leader() : node);
        break;
    }
}

//! Has an operator call a random node, or kills a node and starts it at once.
auto applyRandomCall(quorum_fleet &fleet, base::random_source &random) -> void
{
    const int node = static_cast<int>(random.below(NODE_COUNT));
    switch (random.below(5)) {
    case 0:
        if (fleet.isUp(node)) {
            fleet.crash(node);
            fleet.start(node);
        }
        break;
    case 1:
        fleet.callRead(node);
        break;
    case 2:
        fleet.callOrder(node, "d" + std::to_string(random.below(3)), random.below(3) > 0);
        break;
    default:
        fleet.callChange(node);
        break;
    }
}

//! Heals the network cuts, resumes and starts all nodes, makes the disks fast again and runs for 10
//! s, in which the group has to recover.
auto repairAndRun(quorum_fleet &fleet) -> void
{
    fleet.network().healAll();
    fleet.setWriteLatency(milliseconds(1));
    for (int i = 0; i < NODE_COUNT; ++i) {
        fleet.network().resume(quorum_fleet::nodeName(i));
        if (!fleet.isUp(i)) {
            fleet.start(i);
        }
    }
    fleet.run(milliseconds(10'000));
}

} // namespace

TEST_GROUP(replica_faults){};

// Guards against losing an accepted change or evacuation order, an order that is undone by a copy
// of an older one, two contents of one version, a committed version that decreases on a running
// node, and stale confirmed reads. Faults are crashes, one-way network cuts, pauses, slow disks,
// lost and duplicated messages, and one lost disk at a time. The checks run after each event.
TEST(replica_faults, keepsAcceptedChangesUnderRandomFaults)
{
    std::size_t acceptedOrderCount = 0;
    for (std::uint64_t seed = 1; seed <= 60; ++seed) {
        quorum_fleet fleet(seed, NODE_COUNT, INITIAL_MEMBER_COUNT);
        base::random_source random(seed * 7919);
        fleet.run(milliseconds(3000));
        int wipedNode = -1;
        for (int i = 0; i < 60; ++i) {
            applyRandomEvent(fleet, random, wipedNode);
            fleet.run(milliseconds(50 + random.below(600)));
            if (i % 20 == 19) {
                repairAndRun(fleet);
                wipedNode = -1;
            }
        }
        repairAndRun(fleet);
        fleet.sendUnsentOrders();
        fleet.run(milliseconds(1000));
        const auto prefix = "seed " + std::to_string(seed);
        CHECK_TEXT(fleet.leader() >= 0,
                   (prefix + ": no leader after the faults were repaired").c_str());
        CHECK_TEXT(fleet.replica(fleet.leader()).committed()->version
                           >= fleet.highestAcceptedVersion(),
                   (prefix + ": an accepted change was lost").c_str());
        fleet.checkAcceptedOrders(*fleet.replica(fleet.leader()).committed());
        acceptedOrderCount += fleet.acceptedOrderCount();
        CHECK_TEXT(fleet.voters().size() >= 5,
                   (prefix + ": fewer than five voters after the faults were repaired").c_str());
    }
    CHECK(acceptedOrderCount > 60);
}

// Guards against acknowledging what a call at any node asked for although it was never made,
// against making what was refused, and against stale answers to reads, under the faults of the test
// above and nodes that are killed while calls are on their way.
TEST(replica_faults, keepsPromisesToCallersOfAnyNodeUnderRandomFaults)
{
    int answeredCallCount = 0;
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
        quorum_fleet fleet(seed, NODE_COUNT, INITIAL_MEMBER_COUNT);
        base::random_source random(seed * 6007);
        fleet.run(milliseconds(3000));
        int wipedNode = -1;
        for (int i = 0; i < 60; ++i) {
            applyRandomEvent(fleet, random, wipedNode);
            for (int calls = 0; calls < 4; ++calls) {
                fleet.run(milliseconds(20 + random.below(100)));
                applyRandomCall(fleet, random);
            }
            if (i % 20 == 19) {
                repairAndRun(fleet);
                wipedNode = -1;
            }
        }
        repairAndRun(fleet);
        CHECK(fleet.leader() >= 0);
        CHECK(fleet.replica(fleet.leader()).committed()->version >= fleet.highestAcceptedVersion());
        fleet.checkAcceptedOrders(*fleet.replica(fleet.leader()).committed());
        answeredCallCount += fleet.answeredCallCount();
    }
    CHECK(answeredCallCount > 40 * 60);
}
