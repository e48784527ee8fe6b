#include "lease/witness.h"
#include "lease/currencyclient.h"
#include "lease/timing.h"

#include <CppUTest/TestHarness.h>
#include <memory>

using namespace hawthornpick;
using namespace hawthornpick::lease;

namespace {

const base::node_id LEADER("leader");
const base::time_point START_TIME{std::chrono::hours(1)};
const std::vector<base::node_id> WITNESSES{base::node_id("w1"), base::node_id("w2"),
                                           base::node_id("w3"), base::node_id("w4"),
                                           base::node_id("w5")};

struct witness_fixture
{
    transfer::content_store store;
    transfer::content_exchange exchange{store, base::random_source(1)};
    witness instance;

    witness_fixture(const base::node_id &id, base::incarnation incarnation,
                    base::time_point startedAt = START_TIME)
        : instance({id, base::region_id("r"), incarnation, WITNESSES, {LEADER}}, exchange,
                   startedAt)
    {}

    auto recoverFromLeader(base::config_version version) -> void
    {
        wire::controller_answer answer;
        answer.region = "r";
        answer.asked_incarnation = 1;
        answer.version = static_cast<std::int64_t>(version);
        answer.digest = base::toBytes(base::digest256{});
        send(LEADER, message_kind::ControllerAnswer, answer, START_TIME);
    }

    template <typename Struct>
    auto send(const base::node_id &from, message_kind kind, const Struct &value,
              base::time_point now) -> std::vector<base::outgoing_message>
    {
        const auto message = toMessage(from, base::channel::Currency, kind, value);
        return instance.receive(from, message.payload, now);
    }
};

auto makeAnnounce(std::int64_t version) -> wire::announce
{
    wire::announce out;
    out.region = "r";
    out.version = version;
    out.digest = base::toBytes(base::digest256{});
    return out;
}

auto makeCheck(std::int64_t round, std::int64_t version) -> wire::check
{
    wire::check out;
    out.region = "r";
    out.incarnation = 1;
    out.round = round;
    out.version = version;
    return out;
}

template <typename Struct>
auto decodeLast(const std::vector<base::outgoing_message> &messages) -> Struct
{
    CHECK(!messages.empty());
    return *base::decodeThrift<Struct>(std::string_view(messages.back().payload).substr(1));
}

} // namespace

TEST_GROUP(witness_test){};

// Guards against a restarted witness that answers checks or announcements before it has recovered
// its state.
TEST(witness_test, recoveringWitnessAnswersNothing)
{
    witness_fixture fixture(WITNESSES[0], 1);
    CHECK(fixture.send(base::node_id("n"), message_kind::Check, makeCheck(1, 5), START_TIME)
                  .empty());
    CHECK(fixture.send(LEADER, message_kind::Announce, makeAnnounce(5), START_TIME).empty());
    CHECK(fixture.instance.isRecovering());
}

// Guards against a version reported as drained while a node may still use an older one under a
// lease of this witness: the node last checked with the older version.
TEST(witness_test, versionIsDrainedWhenTheNodeChecksWithTheNewVersion)
{
    witness_fixture fixture(WITNESSES[0], 1);
    fixture.recoverFromLeader(4);
    const auto afterGrantDuration = START_TIME + GRANT_DURATION;
    const base::node_id node("n");
    fixture.send(node, message_kind::Check, makeCheck(1, 4), afterGrantDuration);
    const auto initialReport = decodeLast<wire::witness_report>(
            fixture.send(LEADER, message_kind::Announce, makeAnnounce(5), afterGrantDuration));
    LONGS_EQUAL(5, initialReport.decided);
    LONGS_EQUAL(4, initialReport.drained);

    const auto afterUpgrade = afterGrantDuration + base::milliseconds(100);
    const auto reportAfterCheck = decodeLast<wire::witness_report>(
            fixture.send(node, message_kind::Check, makeCheck(2, 5), afterUpgrade));
    LONGS_EQUAL(5, reportAfterCheck.drained);
}

// Guards against the same failure for a node that stopped sending checks: the witness waits until
// the lease of the node has expired.
TEST(witness_test, versionIsDrainedWhenTheLeaseOfASilentNodeExpires)
{
    witness_fixture fixture(WITNESSES[0], 1);
    fixture.recoverFromLeader(4);
    const auto afterGrantDuration = START_TIME + GRANT_DURATION;
    fixture.send(base::node_id("n"), message_kind::Check, makeCheck(1, 4), afterGrantDuration);
    fixture.send(LEADER, message_kind::Announce, makeAnnounce(5), afterGrantDuration);
    CHECK(fixture.instance.poll(afterGrantDuration + GRANT_DURATION - base::milliseconds(1))
                  .empty());
    const auto report = decodeLast<wire::witness_report>(
            fixture.instance.poll(afterGrantDuration + GRANT_DURATION));
    LONGS_EQUAL(5, report.drained);
}

// Guards against a restarted witness that reports a version as drained although leases that it
// granted before the restart, and no longer knows, may still be in use.
TEST(witness_test, restartedWitnessReportsNothingDrainedWithinGrantDuration)
{
    witness_fixture fixture(WITNESSES[0], 1);
    fixture.recoverFromLeader(5);
    const auto report = decodeLast<wire::witness_report>(
            fixture.send(LEADER, message_kind::Announce, makeAnnounce(5), START_TIME));
    LONGS_EQUAL(5, report.decided);
    LONGS_EQUAL(0, report.drained);
}

// Guards against a delayed check, of the same or of an earlier incarnation of the node, that
// replaces the record of a newer check.
TEST(witness_test, delayedCheckIsIgnored)
{
    witness_fixture fixture(WITNESSES[0], 1);
    fixture.recoverFromLeader(4);
    const base::node_id node("n");
    CHECK(!fixture.send(node, message_kind::Check, makeCheck(7, 4), START_TIME).empty());
    CHECK(fixture.send(node, message_kind::Check, makeCheck(6, 5), START_TIME).empty());
}

// Guards against counting the acknowledgement of an earlier incarnation of a witness although
// another member of the quorum knows that the witness has restarted.
TEST(witness_test, answersOfAnEarlierIncarnationAreNotCounted)
{
    struct answer
    {
        std::int64_t incarnation;
        std::map<std::string, std::int64_t> incarnations;
    };
    const std::map<base::node_id, answer> answers{
            {WITNESSES[0], {1, {{"w1", 1}}}},
            {WITNESSES[1], {1, {{"w2", 1}, {"w1", 2}}}},
            {WITNESSES[2], {1, {{"w3", 1}}}},
    };
    const auto members = consistentMembers(answers);
    LONGS_EQUAL(2, members.size());
    CHECK(members[0] == WITNESSES[1]);
}

// Guards against a version that counts as announced although only a minority knows it: a witness
// acknowledges it, restarts, and recovers from witnesses that learn of it only afterwards.
TEST(witness_test, acknowledgementBeforeARestartIsNotCountedAfterRecovery)
{
    std::map<base::node_id, std::unique_ptr<witness_fixture>> witnesses;
    for (const auto &id : WITNESSES) {
        witnesses[id] = std::make_unique<witness_fixture>(id, 1);
        witnesses[id]->recoverFromLeader(4);
    }
    struct answer
    {
        std::int64_t incarnation;
        std::map<std::string, std::int64_t> incarnations;
    };
    std::map<base::node_id, answer> acknowledgements;
    const auto announceTo = [&](const base::node_id &id) {
        const auto report = decodeLast<wire::witness_report>(
                witnesses[id]->send(LEADER, message_kind::Announce, makeAnnounce(5), START_TIME));
        LONGS_EQUAL(5, report.decided);
        acknowledgements[id] = {report.incarnation, report.incarnations};
    };
    announceTo(WITNESSES[0]);
    witnesses[WITNESSES[0]] = std::make_unique<witness_fixture>(WITNESSES[0], 2);
    auto &restarted = witnesses[WITNESSES[0]]->instance;
    for (const auto &request : restarted.tick(START_TIME)) {
        if (request.to == WITNESSES[1]) {
            continue;
        }
        for (const auto &reply :
             witnesses[request.to]->instance.receive(WITNESSES[0], request.payload, START_TIME)) {
            restarted.receive(request.to, reply.payload, START_TIME);
        }
    }
    CHECK(!restarted.isRecovering());
    LONGS_EQUAL(4, restarted.decided().version);
    announceTo(WITNESSES[1]);
    announceTo(WITNESSES[2]);
    LONGS_EQUAL(2, consistentMembers(acknowledgements).size());
}

TEST_GROUP(currency_client_test){};

// Guards against a lease that counts from the arrival of the answers, or that fewer witnesses than
// a majority grant because a repeated answer is counted twice.
TEST(currency_client_test, leaseCountsFromTheTimeAtWhichTheChecksAreSent)
{
    const base::node_id self("n");
    currency_client client({self, base::region_id("r"), 1, WITNESSES}, base::random_source(3));
    const auto checks = client.tick(START_TIME);
    LONGS_EQUAL(3, checks.size());
    CHECK(!client.isCurrent(START_TIME));
    wire::check_answer answer;
    answer.round = decodeLast<wire::check>(checks).round;
    const auto reply = toMessage(self, base::channel::Currency, message_kind::CheckAnswer, answer);
    const auto answersReceivedAt = START_TIME + base::milliseconds(400);
    client.receive(checks[0].to, reply.payload, answersReceivedAt);
    client.receive(checks[0].to, reply.payload, answersReceivedAt);
    client.receive(checks[1].to, reply.payload, answersReceivedAt);
    CHECK(!client.isCurrent(answersReceivedAt));
    client.receive(checks[2].to, reply.payload, answersReceivedAt);
    CHECK(client.isCurrent(START_TIME + LEASE_DURATION - base::milliseconds(1)));
    CHECK(!client.isCurrent(START_TIME + LEASE_DURATION));
}

// Guards against a lease granted by nodes that are not witnesses.
TEST(currency_client_test, answersOfNonWitnessesAreIgnored)
{
    currency_client client({base::node_id("n"), base::region_id("r"), 1, WITNESSES},
                           base::random_source(3));
    wire::check_answer answer;
    answer.round = decodeLast<wire::check>(client.tick(START_TIME)).round;
    const auto reply =
            toMessage(LEADER, base::channel::Currency, message_kind::CheckAnswer, answer);
    for (int i = 0; i < 5; ++i) {
        client.receive(base::node_id("x" + std::to_string(i)), reply.payload, START_TIME);
    }
    CHECK(!client.isCurrent(START_TIME));
}

// Guards against a lease that outlasts its grants: answers to the first checks of the former
// process of a node come late, and are counted as if the first checks of the new one had been
// answered.
TEST(currency_client_test, answersToAFormerProcessAreNotCounted)
{
    const base::node_id self("n");
    currency_client former({self, base::region_id("r"), 1, WITNESSES}, base::random_source(3));
    currency_client restarted({self, base::region_id("r"), 2, WITNESSES}, base::random_source(4));
    const auto formerChecks = former.tick(START_TIME);
    const auto restartedAt = START_TIME + base::milliseconds(400);
    restarted.tick(restartedAt);
    for (const auto &check : formerChecks) {
        witness_fixture witness(check.to, 1);
        witness.recoverFromLeader(0);
        for (const auto &reply : witness.instance.receive(self, check.payload, START_TIME)) {
            restarted.receive(check.to, reply.payload, restartedAt);
        }
    }
    CHECK(!restarted.isCurrent(restartedAt));
}
