#include "src/control/tests/controlfleet.h"

#include <CppUTest/TestHarness.h>

using namespace hawthornpick;
using namespace hawthornpick::control;

namespace {

const base::node_id A1("a1");
const base::node_id B1("b1");

} // namespace

TEST_GROUP(acceptance_test)
{
    std::unique_ptr<control_fleet> fleet;

    void setup() override
    {
        fleet = std::make_unique<control_fleet>(
                42, fleet_options{.nodesPerRegion = 8, .separateControllers = true});
        fleet->run(base::milliseconds(6000));
    }

    void teardown() override
    {
        for (const auto &text : fleet->violations()) {
            FAIL(text.c_str());
        }
        fleet.reset();
    }

    auto runFor(int milliseconds)->void
    {
        fleet->run(base::milliseconds(milliseconds));
    }

    auto applyAndWait(const std::string &change)->void
    {
        fleet->apply(A1, change, fleet->newestAccepted());
        runFor(3000);
        CHECK(isInForce(change));
    }

    auto isInForce(const std::string &change)->bool
    {
        const auto answer = fleet->answer(change);
        return answer && std::holds_alternative<in_force>(*answer);
    }

    auto rejection(const std::string &change)->rejected
    {
        const auto answer = fleet->answer(change);
        CHECK(answer.has_value());
        CHECK(std::holds_alternative<rejected>(*answer));
        return std::get<rejected>(*answer);
    }

    auto crashControllers()->void
    {
        for (const auto &id : fleet->controllerIds()) {
            fleet->crash(id);
        }
    }
};

TEST(acceptance_test, acceptedChangeIsServedByAllNodes)
{
    applyAndWait("first");
    CHECK(fleet->isInForceEverywhere(1));
}

// Guards against two winners under one base version, and against a loser that is not told who won.
TEST(acceptance_test, raceHasOneWinnerAndTheLoserGetsItsDigest)
{
    fleet->apply(A1, "one", 0);
    fleet->apply(B1, "two", 0);
    runFor(4000);
    CHECK(isInForce("one") != isInForce("two"));
    const std::string winner = isInForce("one") ? "one" : "two";
    const auto loser = rejection(winner == "one" ? "two" : "one");
    CHECK(loser.reason == reject_reason::BaseVersionOutdated);
    LONGS_EQUAL(1, loser.winner.version);
    CHECK(loser.winner.digest == base::sha256(fleet->contentOf(winner)));
}

// Guards against a resend that is applied twice or gets another answer, also after the log with
// the first result was truncated and through another controller.
TEST(acceptance_test, resendGetsTheFirstResultAfterSnapshotAndNewLeader)
{
    applyAndWait("first");
    for (int i = 0; i < 12; ++i) {
        applyAndWait("later-" + std::to_string(i));
    }
    fleet->crash(fleet->leader());
    runFor(4000);
    const auto before = fleet->newestAccepted();
    fleet->apply(B1, "first", 0);
    runFor(2000);
    CHECK(isInForce("first"));
    LONGS_EQUAL(before, fleet->newestAccepted());
}

// Guards against "in force" while a region keeps an older version, and against a version that is
// lost after it was decided.
TEST(acceptance_test, cutOffRegionKeepsServingAndNothingIsInForce)
{
    applyAndWait("first");
    fleet->cutRegions();
    fleet->apply(A1, "second", 1);
    runFor(4000);
    CHECK(!isInForce("second"));
    LONGS_EQUAL(1, fleet->servedVersion(B1).value_or(0));
    LONGS_EQUAL(1, fleet->servedVersion(A1).value_or(0));
    runFor(8000);
    // Two of three controllers are in region a, so the change is decided to be aborted there.
    CHECK(rejection("second").reason == reject_reason::WitnessesUnreachable);
    fleet->endAllFaults();
    runFor(3000);
    applyAndWait("third");
}

// Guards against an isolated node that serves a revoked key.
TEST(acceptance_test, isolatedNodeStopsServingBeforeInForceIsReported)
{
    applyAndWait("first");
    const base::node_id isolated("a8");
    fleet->isolate(isolated);
    fleet->apply(A1, "second", 1);
    while (!isInForce("second")) {
        runFor(10);
    }
    CHECK(!fleet->servedVersion(isolated).has_value());
    fleet->endAllFaults();
    runFor(2000);
    LONGS_EQUAL(2, fleet->servedVersion(isolated).value_or(0));
}

// Guards against an older version that is served after all witnesses restarted one by one while
// no controller could tell them the newest one.
TEST(acceptance_test, witnessesRestartOneByOneWithControllersAway)
{
    applyAndWait("first");
    applyAndWait("second");
    crashControllers();
    for (const auto &[region, witnesses] : fleet->witnesses()) {
        for (const auto &id : witnesses) {
            if (fleet->isUp(id)) {
                fleet->crash(id);
                runFor(500);
                fleet->start(id);
                runFor(3000);
            }
        }
    }
    LONGS_EQUAL(2, fleet->servedVersion(A1).value_or(0));
    LONGS_EQUAL(2, fleet->servedVersion(B1).value_or(0));
}

// As above with two witnesses that missed the newest version: a restarted witness must not recover
// from these alone. The seeds vary whose answer comes first.
TEST(acceptance_test, restartedWitnessDoesNotRecoverFromThoseThatMissedAVersion)
{
    for (std::uint64_t seed = 1; seed <= 8; ++seed) {
        fleet = std::make_unique<control_fleet>(
                seed, fleet_options{.nodesPerRegion = 8, .separateControllers = true});
        runFor(6000);
        applyAndWait("first");
        fleet->isolate(base::node_id("b3"));
        fleet->isolate(base::node_id("b4"));
        fleet->apply(A1, "second", 1);
        runFor(5000);
        CHECK(isInForce("second"));
        crashControllers();
        fleet->network().healAll();
        for (const char *name : {"b1", "b2"}) {
            fleet->crash(base::node_id(name));
            runFor(200);
            fleet->start(base::node_id(name));
            runFor(3000);
        }
        LONGS_EQUAL(2, fleet->servedVersion(B1).value_or(0));
        CHECK(fleet->violations().empty());
    }
}

// Guards against nodes that need a controller to serve: with none, running nodes go on and a
// restarted one gets the newest version from its peers.
TEST(acceptance_test, nodesServeAndRestartWithoutControllers)
{
    applyAndWait("first");
    crashControllers();
    runFor(10000);
    fleet->crash(B1);
    fleet->start(B1);
    runFor(3000);
    LONGS_EQUAL(1, fleet->servedVersion(B1).value_or(0));
    fleet->apply(A1, "second", 1);
    runFor(13000);
    CHECK(!fleet->answer("second").has_value());
}

// Guards against data that is lost when another controller fails as soon as a replaced one votes.
TEST(acceptance_test, secondControllerLostRightAfterARepairLosesNothing)
{
    applyAndWait("first");
    const auto ids = fleet->controllerIds();
    fleet->wipe(ids[0]);
    applyAndWait("second");
    fleet->start(ids[0]);
    runFor(2000);
    fleet->replace(B1, ids[0], ids[0], "repair");
    while (!isInForce("repair")) {
        runFor(10);
    }
    fleet->wipe(ids[1]);
    runFor(6000);
    LONGS_EQUAL(2, fleet->newestAccepted());
    applyAndWait("third");
    LONGS_EQUAL(3, fleet->newestAccepted());
}

// Guards against a repair that cannot be repeated after the entry that added the learner was lost
// with its leader: the learner has a log then and is still no member (random seed 1254).
TEST(acceptance_test, replicaThatHearsNoLeaderContactsTheControllers)
{
    fleet = std::make_unique<control_fleet>(
            7, fleet_options{.nodesPerRegion = 8, .controllers = 5, .separateControllers = true});
    runFor(6000);
    applyAndWait("first");
    const auto ids = fleet->controllerIds();
    const auto leader = fleet->leader();
    const auto learner = ids[0] == leader ? ids[1] : ids[0];
    fleet->wipe(learner);
    fleet->start(learner);
    runFor(2000);
    // The leader reaches only the learner, so its entry is not committed and another one leads.
    fleet->isolate(leader);
    fleet->network().heal(leader, learner);
    fleet->network().heal(learner, leader);
    fleet->replace(leader, learner, learner, "repair");
    runFor(1500);
    CHECK(fleet->node(learner).ownController()->log().role() == replica_role::Follower);
    runFor(6000);
    CHECK(fleet->hasLeader());
    fleet->network().healAll();
    runFor(3000);
    for (int i = 0; i < 20 && !isInForce("repair"); ++i) {
        fleet->replace(B1, learner, learner, "repair");
        runFor(1000);
    }
    CHECK(isInForce("repair"));
}

// Guards against a wiped controller that votes as if it still had its log.
TEST(acceptance_test, wipedControllerDoesNotVoteBeforeItIsReplaced)
{
    applyAndWait("first");
    const auto ids = fleet->controllerIds();
    fleet->wipe(ids[0]);
    fleet->start(ids[0]);
    fleet->crash(ids[1]);
    runFor(6000);
    CHECK(!fleet->hasLeader());
}

// Guards against "accepted" or a vote from a controller whose disk failed.
TEST(acceptance_test, controllersWithFailedDisksAcceptNothing)
{
    applyAndWait("first");
    const auto ids = fleet->controllerIds();
    fleet->failDisk(ids[0]);
    fleet->failDisk(ids[1]);
    fleet->apply(A1, "second", 1);
    runFor(13000);
    CHECK(!fleet->answer("second").has_value());
    LONGS_EQUAL(1, fleet->newestAccepted());
    fleet->endAllFaults();
    runFor(5000);
    applyAndWait("third");
}

// Guards against a set that no node could decode.
TEST(acceptance_test, contentThatIsNotASetIsRejected)
{
    change_answer answer = unknown_yet{};
    const std::string content = "not a set";
    auto &node = fleet->node(A1);
    fleet->network().send(A1, node.apply(
                                      {"bad", 0, base::sha256(content), content},
                                      [&answer](const auto &item) { answer = item; },
                                      fleet->network().now()));
    runFor(3000);
    CHECK(std::holds_alternative<rejected>(answer));
    CHECK(std::get<rejected>(answer).reason == reject_reason::ContentInvalid);
}
