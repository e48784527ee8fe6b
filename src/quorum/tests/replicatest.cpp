#include "quorum/tests/quorumfleet.h"

#include <CppUTest/TestHarness.h>
#include <algorithm>

using namespace hawthornpick;
using std::chrono::milliseconds;
using testing::quorum_fleet;

namespace {

auto hasVoter(const std::vector<quorum::member> &voters, int index) -> bool
{
    return std::any_of(voters.begin(), voters.end(), [index](const quorum::member &item) {
        return item.node == quorum_fleet::nodeName(index);
    });
}

} // namespace

TEST_GROUP(replica){};

// Guards against a first start in which the initial members form no group, or do not admit the
// other nodes as voters.
TEST(replica, formsGroupFromInitialMembersAndAdmitsOtherNodes)
{
    quorum_fleet fleet(1, 5, 3);
    fleet.run(milliseconds(4000));
    CHECK(fleet.leader() >= 0);
    CHECK_EQUAL(5, fleet.voters().size());
}

// Guards against refusing a change that was already accepted, when its sender lost the answer and
// repeats it after a later change.
TEST(replica, acceptsRepeatedChangeAfterLaterChange)
{
    quorum_fleet fleet(2, 5, 3);
    fleet.run(milliseconds(4000));
    fleet.submitNewChange(fleet.leader());
    fleet.run(milliseconds(300));
    fleet.submitNewChange(fleet.leader());
    fleet.run(milliseconds(300));
    CHECK_EQUAL(2, fleet.acceptedCount());
    fleet.resubmitChange(fleet.leader(), 0);
    fleet.run(milliseconds(300));
    CHECK_EQUAL(3, fleet.acceptedCount());
    CHECK_EQUAL(2, fleet.replica(fleet.leader()).committed()->version);
}

// Guards against accepting two changes with the same base version.
TEST(replica, acceptsOnlyOneOfTwoChangesOnSameBaseVersion)
{
    quorum_fleet fleet(3, 3, 3);
    fleet.run(milliseconds(4000));
    auto &leader = fleet.replica(fleet.leader());
    const auto now = fleet.network().now();
    quorum::config_change first{0, 5, quorum::change_format::Whole, "a", "first"};
    quorum::config_change second{0, 5, quorum::change_format::Whole, "b", "second"};
    const auto firstRequestId = leader.submit(first, now);
    const auto secondRequestId = leader.submit(second, now);
    fleet.run(milliseconds(500));
    CHECK(firstRequestId != secondRequestId);
    CHECK_EQUAL(1, fleet.acceptedCount());
    STRCMP_EQUAL("a", fleet.replica(fleet.leader()).committed()->content.c_str());
}

// Guards against a permanently lost node that keeps its place in the group and so lowers the number
// of further failures that the group tolerates. A node at another address replaces it within 4 s;
// the group then tolerates the crash of two more members.
TEST(replica, replacesLostMemberByNewNode)
{
    quorum_fleet fleet(4, 6, 3);
    fleet.crash(5);
    fleet.run(milliseconds(4000));
    CHECK_EQUAL(5, fleet.voters().size());
    fleet.crashAndWipeDisk(4);
    fleet.start(5);
    fleet.run(milliseconds(4000));
    CHECK_EQUAL(5, fleet.voters().size());
    CHECK(hasVoter(fleet.voters(), 5));
    CHECK(!hasVoter(fleet.voters(), 4));
    fleet.crash(0);
    fleet.crash(1);
    fleet.run(milliseconds(4000));
    CHECK(fleet.leader() >= 0);
}

// Guards against removing silent voters from a group of odd size, which would lower the number of
// tolerated failures.
TEST(replica, keepsSilentVotersOfOddSizedGroup)
{
    quorum_fleet fleet(5, 5, 3);
    fleet.run(milliseconds(4000));
    fleet.crash(4);
    fleet.crash(3);
    fleet.run(milliseconds(8000));
    CHECK_EQUAL(5, fleet.voters().size());
}

// Guards against a node that votes under its old identity after its disk was lost, and so denies
// values that it acknowledged. It gets a new disk identity, and the old member is removed.
TEST(replica, replacesMemberWhoseDiskWasLost)
{
    quorum_fleet fleet(6, 5, 3);
    fleet.run(milliseconds(4000));
    fleet.submitNewChange(fleet.leader());
    fleet.run(milliseconds(500));
    const int lostNode = fleet.leader() == 2 ? 1 : 2;
    fleet.crashAndWipeDisk(lostNode);
    fleet.start(lostNode);
    fleet.run(milliseconds(6000));
    CHECK_EQUAL(5, fleet.voters().size());
    CHECK(fleet.replica(lostNode).self().diskId != 0);
    CHECK_EQUAL(1, fleet.replica(lostNode).committed()->version);
}

// Guards against a leader that stops committing or loses its majority because its own disk hangs:
// the other voters form a majority on disk without it.
TEST(replica, commitsWhileDiskOfLeaderHangs)
{
    quorum_fleet fleet(7, 5, 3);
    fleet.run(milliseconds(4000));
    const int leader = fleet.leader();
    fleet.setNodeWriteLatency(leader, milliseconds(3000));
    fleet.submitNewChange(leader);
    fleet.run(milliseconds(500));
    CHECK_EQUAL(1, fleet.highestAcceptedVersion());
    CHECK(fleet.replica(leader).isFresh(fleet.network().now(), milliseconds(1000)));
}

// Guards against members that wait a full election timeout for a leader after all of them crashed.
// On average over the seeds, a new leader is ready within `MIN_ELECTION_TIMEOUT` after the restart.
TEST(replica, electsLeaderWithinOneElectionTimeoutAfterAllMembersCrash)
{
    double totalSeconds = 0.0;
    constexpr int SEED_COUNT = 20;
    for (std::uint64_t seed = 1; seed <= SEED_COUNT; ++seed) {
        quorum_fleet fleet(seed, 5, 3);
        fleet.run(milliseconds(4000));
        for (int i = 0; i < 5; ++i) {
            fleet.crash(i);
        }
        fleet.run(milliseconds(1000));
        for (int i = 0; i < 5; ++i) {
            fleet.start(i);
        }
        const auto restartedAt = fleet.network().now();
        while (fleet.leader() < 0 && fleet.network().now() - restartedAt < milliseconds(4000)) {
            fleet.run(milliseconds(10));
        }
        totalSeconds += base::toSeconds(fleet.network().now() - restartedAt);
    }
    DOUBLES_EQUAL(0.0, totalSeconds / SEED_COUNT,
                  base::toSeconds(quorum::replica::MIN_ELECTION_TIMEOUT));
}

// Guards against a group that elects no leader or loses a committed value when all members crash at
// the same time and keep their disks.
TEST(replica, keepsCommittedValueAfterAllMembersCrash)
{
    quorum_fleet fleet(8, 5, 3);
    fleet.run(milliseconds(4000));
    fleet.submitNewChange(fleet.leader());
    fleet.run(milliseconds(300));
    for (int i = 0; i < 5; ++i) {
        fleet.crash(i);
    }
    fleet.run(milliseconds(1000));
    for (int i = 0; i < 5; ++i) {
        fleet.start(i);
    }
    fleet.run(milliseconds(4000));
    CHECK(fleet.leader() >= 0);
    CHECK_EQUAL(1, fleet.replica(fleet.leader()).committed()->version);
}

// Guards against an order that is lost when all members crash, against a late copy of it that
// undoes the next order, and against an order that changes the configuration's version.
TEST(replica, keepsNewestEvacuationOrderAfterAllMembersCrash)
{
    quorum_fleet fleet(9, 5, 3);
    fleet.run(milliseconds(4000));
    const base::failure_domain_id domain("d");
    const quorum::evacuation_order start{0, 0, domain, true, 17};
    fleet.submitOrder(fleet.leader(), start);
    fleet.submitNewChange(fleet.leader());
    fleet.run(milliseconds(500));
    const auto committed = fleet.replica(fleet.leader()).committed();
    CHECK(committed->evacuations == (base::evacuation_list{1, {{domain, 17}}}));
    CHECK_EQUAL(1, committed->version);
    fleet.submitOrder(fleet.leader(), {0, 1, domain, false, 18});
    fleet.run(milliseconds(500));
    for (int i = 0; i < 5; ++i) {
        fleet.crash(i);
    }
    for (int i = 0; i < 5; ++i) {
        fleet.start(i);
    }
    fleet.run(milliseconds(4000));
    fleet.resendOrder(fleet.leader(), 0);
    fleet.submitOrder(fleet.leader(), start);
    fleet.run(milliseconds(500));
    CHECK_EQUAL(2, fleet.acceptedOrderCount());
    CHECK(fleet.replica(fleet.leader()).committed()->evacuations == (base::evacuation_list{2, {}}));
    CHECK_EQUAL(1, fleet.replica(fleet.leader()).committed()->version);
}

// Guards against a value of an older program that can't be read, and one that loses its orders on
// disk.
TEST(replica, storesEvacuationsWithTheValue)
{
    quorum::group_value value;
    value.version = 3;
    CHECK(*quorum::decodeValue(quorum::encodeValue(value)) == value);
    value.evacuations = {2, {{base::failure_domain_id("a"), 5}, {base::failure_domain_id("b"), 6}}};
    value.evacuationOrders = {~0ULL, 7};
    CHECK(*quorum::decodeValue(quorum::encodeValue(value)) == value);
}
