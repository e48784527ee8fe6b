#include "lease/witness.h"
#include "lease/currencyclient.h"
#include "lease/timing.h"

#include <CppUTest/TestHarness.h>
#include <memory>

using namespace hawthornpick;
using namespace hawthornpick::lease;

namespace {

const base::node_id LEADER("leader");
const base::time_point START{std::chrono::hours(1)};
const std::vector<base::node_id> WITNESSES{base::node_id("w1"), base::node_id("w2"),
                                           base::node_id("w3"), base::node_id("w4"),
                                           base::node_id("w5")};

struct witness_host
{
    transfer::content_store store;
    transfer::content_exchange exchange{store, base::random_source(1)};
    witness role;

    witness_host(const base::node_id &id, base::incarnation life, base::time_point start = START)
        : role({id, base::region_id("r"), life, WITNESSES, {LEADER}}, exchange, start)
    {}

    auto recoverFromLeader(base::config_version version) -> void
    {
        wire::controller_answer answer;
        answer.region = "r";
        answer.asked_incarnation = 1;
        answer.version = static_cast<std::int64_t>(version);
        answer.digest = base::toBytes(base::digest256{});
        send(LEADER, message_kind::ControllerAnswer, answer, START);
    }

    template <typename Struct>
    auto send(const base::node_id &from, message_kind kind, const Struct &value,
              base::time_point now) -> std::vector<base::outgoing_message>
    {
        const auto message = toMessage(from, base::channel::Currency, kind, value);
        return role.receive(from, message.payload, now);
    }
};

auto announcement(std::int64_t version) -> wire::announce
{
    wire::announce out;
    out.region = "r";
    out.version = version;
    out.digest = base::toBytes(base::digest256{});
    return out;
}

auto checkOf(std::int64_t round, std::int64_t version) -> wire::check
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

// Guards against a restarted witness that answers from its empty memory.
TEST(witness_test, recoveringWitnessAnswersNothing)
{
    witness_host host(WITNESSES[0], 1);
    CHECK(host.send(base::node_id("n"), message_kind::Check, checkOf(1, 5), START).empty());
    CHECK(host.send(LEADER, message_kind::Announce, announcement(5), START).empty());
    CHECK(host.role.isRecovering());
}

// Guards against the report of a drained version while a node may still serve an older one under a
// lease of this witness.
TEST(witness_test, drainedWaitsForNodeOrForTheLeaseTime)
{
    witness_host host(WITNESSES[0], 1);
    host.recoverFromLeader(4);
    const auto later = START + GRANT_HOLD;
    const base::node_id node("n");
    host.send(node, message_kind::Check, checkOf(1, 4), later);
    const auto first = decodeLast<wire::witness_report>(
            host.send(LEADER, message_kind::Announce, announcement(5), later));
    LONGS_EQUAL(5, first.decided);
    LONGS_EQUAL(4, first.drained);

    const auto newer = later + base::milliseconds(100);
    const auto afterCheck = decodeLast<wire::witness_report>(
            host.send(node, message_kind::Check, checkOf(2, 5), newer));
    LONGS_EQUAL(5, afterCheck.drained);
}

// As above for a node that stopped: the witness waits for the end of its lease.
TEST(witness_test, drainedAfterTheLeaseTimeOfASilentNode)
{
    witness_host host(WITNESSES[0], 1);
    host.recoverFromLeader(4);
    const auto later = START + GRANT_HOLD;
    host.send(base::node_id("n"), message_kind::Check, checkOf(1, 4), later);
    host.send(LEADER, message_kind::Announce, announcement(5), later);
    CHECK(host.role.poll(later + GRANT_HOLD - base::milliseconds(1)).empty());
    const auto report = decodeLast<wire::witness_report>(host.role.poll(later + GRANT_HOLD));
    LONGS_EQUAL(5, report.drained);
}

// Guards against leases from before the restart that a restarted witness does not remember.
TEST(witness_test, restartedWitnessIsNotDrainedForOneLeaseTime)
{
    witness_host host(WITNESSES[0], 1);
    host.recoverFromLeader(5);
    const auto report = decodeLast<wire::witness_report>(
            host.send(LEADER, message_kind::Announce, announcement(5), START));
    LONGS_EQUAL(5, report.decided);
    LONGS_EQUAL(0, report.drained);
}

// Guards against an old check that arrives late and hides the record of a newer grant, or that
// makes the witness believe an earlier process of the node.
TEST(witness_test, delayedCheckIsIgnored)
{
    witness_host host(WITNESSES[0], 1);
    host.recoverFromLeader(4);
    const base::node_id node("n");
    CHECK(!host.send(node, message_kind::Check, checkOf(7, 4), START).empty());
    CHECK(host.send(node, message_kind::Check, checkOf(6, 5), START).empty());
}

// Guards against the acknowledgement of a witness's former life being counted although another
// member of the quorum knows that the witness restarted.
TEST(witness_test, answersOfAnEndedLifeAreNotCounted)
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
// acknowledges it, restarts, and recovers from witnesses that hear of it only afterwards.
TEST(witness_test, acknowledgementBeforeARestartIsNotCountedAfterRecovery)
{
    std::map<base::node_id, std::unique_ptr<witness_host>> hosts;
    for (const auto &id : WITNESSES) {
        hosts[id] = std::make_unique<witness_host>(id, 1);
        hosts[id]->recoverFromLeader(4);
    }
    struct answer
    {
        std::int64_t incarnation;
        std::map<std::string, std::int64_t> incarnations;
    };
    std::map<base::node_id, answer> acknowledged;
    const auto announceTo = [&](const base::node_id &id) {
        const auto report = decodeLast<wire::witness_report>(
                hosts[id]->send(LEADER, message_kind::Announce, announcement(5), START));
        LONGS_EQUAL(5, report.decided);
        acknowledged[id] = {report.incarnation, report.incarnations};
    };
    announceTo(WITNESSES[0]);
    hosts[WITNESSES[0]] = std::make_unique<witness_host>(WITNESSES[0], 2);
    auto &restarted = hosts[WITNESSES[0]]->role;
    for (const auto &request : restarted.tick(START)) {
        if (request.to == WITNESSES[1]) {
            continue;
        }
        for (const auto &reply :
             hosts[request.to]->role.receive(WITNESSES[0], request.payload, START)) {
            restarted.receive(request.to, reply.payload, START);
        }
    }
    CHECK(!restarted.isRecovering());
    LONGS_EQUAL(4, restarted.decided().version);
    announceTo(WITNESSES[1]);
    announceTo(WITNESSES[2]);
    LONGS_EQUAL(2, consistentMembers(acknowledged).size());
}

TEST_GROUP(currency_client_test){};

// Guards against a lease that is counted from the answer or that needs fewer than a majority.
TEST(currency_client_test, leaseIsCountedFromBeforeTheFirstCheck)
{
    const base::node_id self("n");
    currency_client client({self, base::region_id("r"), 1, WITNESSES}, base::random_source(3));
    const auto checks = client.tick(START);
    LONGS_EQUAL(3, checks.size());
    CHECK(!client.isCurrent(START));
    wire::check_answer answer;
    answer.round = 1;
    const auto reply = toMessage(self, base::channel::Currency, message_kind::CheckAnswer, answer);
    const auto later = START + base::milliseconds(400);
    client.receive(checks[0].to, reply.payload, later);
    client.receive(checks[0].to, reply.payload, later);
    client.receive(checks[1].to, reply.payload, later);
    CHECK(!client.isCurrent(later));
    client.receive(checks[2].to, reply.payload, later);
    CHECK(client.isCurrent(START + LEASE_TERM - base::milliseconds(1)));
    CHECK(!client.isCurrent(START + LEASE_TERM));
}

// Guards against an answer of a node that is not a witness.
TEST(currency_client_test, answersOfOtherNodesAreIgnored)
{
    currency_client client({base::node_id("n"), base::region_id("r"), 1, WITNESSES},
                           base::random_source(3));
    client.tick(START);
    wire::check_answer answer;
    answer.round = 1;
    const auto reply =
            toMessage(LEADER, base::channel::Currency, message_kind::CheckAnswer, answer);
    for (int i = 0; i < 5; ++i) {
        client.receive(base::node_id("x" + std::to_string(i)), reply.payload, START);
    }
    CHECK(!client.isCurrent(START));
}
