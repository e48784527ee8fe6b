#include "quorum/tests/quorumfleet.h"

#include <CppUTest/TestHarness.h>

using namespace hawthornpick;
using std::chrono::milliseconds;
using testing::quorum_fleet;

namespace {

//! Fleet of three nodes whose leader is paused after a follower has forwarded a call to it. The
//! follower has been killed and started again since, and takes a call as its first one before the
//! leader goes on.
class restarted_follower
{
public:
    using call_function = std::function<void(quorum_fleet &fleet, int follower)>;

    explicit restarted_follower(std::uint64_t seed) : m_fleet(seed, 3, 3)
    {
        m_fleet.run(milliseconds(4000));
        m_fleet.submitNewChange(m_fleet.leader());
        m_fleet.run(milliseconds(500));
    }

    //! Returns the number of calls that were answered.
    auto play(const call_function &callOfFormerProcess, const call_function &callOfNewProcess)
            -> int
    {
        const int leader = m_fleet.leader();
        const int follower = (leader + 1) % 3;
        m_fleet.network().pause(quorum_fleet::nodeName(leader));
        callOfFormerProcess(m_fleet, follower);
        m_fleet.run(milliseconds(80));
        m_fleet.crash(follower);
        m_fleet.run(milliseconds(50));
        m_fleet.start(follower);
        m_fleet.run(milliseconds(100));
        callOfNewProcess(m_fleet, follower);
        m_fleet.run(milliseconds(200));
        m_fleet.network().resume(quorum_fleet::nodeName(leader));
        m_fleet.run(milliseconds(3000));
        return m_fleet.answeredCallCount();
    }

private:
    quorum_fleet m_fleet;
};

constexpr std::uint64_t SEED_COUNT = 20;

auto callChange(quorum_fleet &fleet, int node) -> void
{
    CHECK(fleet.callChange(node));
}

auto callRead(quorum_fleet &fleet, int node) -> void
{
    CHECK(fleet.callRead(node));
}

auto callOrder(quorum_fleet &fleet, int node) -> void
{
    CHECK(fleet.callOrder(node, "d1", true));
}

const base::node_id SELF("n0");
const base::node_id OTHER("n1");

auto keepDocument(base::config_version /*version*/, const std::string &current,
                  const quorum::config_change & /*change*/)
        -> tl::expected<std::string, std::string>
{
    return current;
}

//! A forwarder with the replica of its node, which follows another node at first, and one call for
//! a change.
struct forwarder_fixture
{
    forwarder_fixture()
    {
        receiveHeartbeat();
        forwarder.submit({.kind = quorum::operator_request_kind::Change,
                          .change = {std::nullopt, 1, quorum::change_format::Whole, "a", "digest"}},
                         now + std::chrono::seconds(10),
                         [this](quorum::group_answer result) { answer = std::move(result); });
        const auto sent = forwarder.advance(replica, now);
        CHECK_EQUAL(1, sent.size());
        const auto content = quorum::decodeMessage(sent.front().payload);
        requestId = std::get<quorum::operator_request>(*content).requestId;
    }

    auto receiveHeartbeat() -> void
    {
        const quorum::append_request heartbeat{replica.term() + 1, {OTHER, 0}, 0, {}, nullptr};
        replica.receive(OTHER, heartbeat, now);
    }

    base::time_point now{std::chrono::hours(1)};
    quorum::replica replica{{SELF, {SELF}, {SELF}}, {}, keepDocument, base::random_source(1), now};
    quorum::request_forwarder forwarder{SELF, base::random_source(2)};
    std::uint64_t requestId = 0;
    std::optional<quorum::group_answer> answer;
};

} // namespace

TEST_GROUP(request_forwarder){};

// Guards against acknowledging a change that was never made: the leader's late answer to a read of
// the former process of a node was taken for the answer to the change.
TEST(request_forwarder, acknowledgesNoChangeForALateAnswerToAFormerRead)
{
    for (std::uint64_t seed = 1; seed <= SEED_COUNT; ++seed) {
        CHECK_EQUAL(1, restarted_follower(seed).play(callRead, callChange));
    }
}

// Guards against the same for the late answer to a change of the former process, whose kind fits.
TEST(request_forwarder, acknowledgesNoChangeForALateAnswerToAFormerChange)
{
    for (std::uint64_t seed = 1; seed <= SEED_COUNT; ++seed) {
        CHECK_EQUAL(1, restarted_follower(seed).play(callChange, callChange));
    }
}

// Guards against the same for an evacuation order and the read that it is based on.
TEST(request_forwarder, acknowledgesNoOrderForALateAnswerToAFormerCall)
{
    for (std::uint64_t seed = 1; seed <= SEED_COUNT; ++seed) {
        CHECK_EQUAL(2, restarted_follower(seed).play(callOrder, callOrder));
        CHECK_EQUAL(2, restarted_follower(seed).play(callRead, callOrder));
        CHECK_EQUAL(2, restarted_follower(seed).play(callChange, callOrder));
    }
}

// Guards against a read that returns a version older than an acknowledged one: the answer to a read
// of the former process of a node comes after a change, and is taken for that to a new read.
TEST(request_forwarder, readsNoOldVersionFromALateAnswerToAFormerRead)
{
    for (std::uint64_t seed = 1; seed <= SEED_COUNT; ++seed) {
        quorum_fleet fleet(seed, 3, 3);
        fleet.run(milliseconds(4000));
        const int leader = fleet.leader();
        const int follower = (leader + 1) % 3;
        CHECK(fleet.callRead(follower));
        fleet.run(milliseconds(60));
        fleet.network().pause(quorum_fleet::nodeName(follower));
        fleet.run(milliseconds(200));
        fleet.crash(follower);
        fleet.start(follower);
        fleet.submitNewChange(leader);
        fleet.run(milliseconds(300));
        CHECK_EQUAL(1, fleet.highestAcceptedVersion());
        CHECK(fleet.callRead(follower));
        fleet.network().resume(quorum_fleet::nodeName(follower));
        fleet.run(milliseconds(3000));
        CHECK(fleet.answeredCallCount() >= 1);
    }
}

// Guards against a change that ends with an answer which only other requests get.
TEST(request_forwarder, ignoresAnswersOfAnotherKind)
{
    forwarder_fixture fixture;
    const std::vector<quorum::group_answer> others{
            quorum::current_document{7, "b"}, quorum::order_accepted{}, quorum::order_outdated{},
            quorum::current_evacuations{}};
    for (const auto &other : others) {
        CHECK(!fixture.forwarder.receive(OTHER, {fixture.requestId, other}, fixture.now));
        CHECK(!fixture.answer);
    }
    CHECK(fixture.forwarder.receive(OTHER, {fixture.requestId, quorum::change_accepted{1}},
                                    fixture.now));
    CHECK(fixture.answer == quorum::group_answer(quorum::change_accepted{1}));
}

// Guards against dropping the answer of the local replica to a request that was forwarded before:
// the refusal of the former leader, which comes late, ended the handling of the request here.
TEST(request_forwarder, lateRefusalOfAFormerLeaderDoesNotEndTheHandlingHere)
{
    forwarder_fixture fixture;
    auto &replica = fixture.replica;
    for (int i = 0; i < 100 && !replica.isReadyLeader(); ++i) {
        fixture.now += milliseconds(50);
        replica.tick(fixture.now);
        while (const auto job = replica.takeStorageJob()) {
            replica.onStatePersisted(job->revision, fixture.now);
        }
    }
    CHECK(replica.isReadyLeader());
    (void)fixture.forwarder.advance(replica, fixture.now);
    CHECK(!fixture.forwarder.receive(
            OTHER, {fixture.requestId, quorum::group_unavailable{"not the leader"}}, fixture.now));
    const auto job = replica.takeStorageJob();
    CHECK(job.has_value());
    replica.onStatePersisted(job->revision, fixture.now);
    for (auto &completed : replica.takeCompletedRequests()) {
        (void)fixture.forwarder.deliver(std::move(completed), fixture.now);
    }
    CHECK(fixture.answer == quorum::group_answer(quorum::change_accepted{1}));
}
