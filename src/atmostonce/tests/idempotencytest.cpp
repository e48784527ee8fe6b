#include "atmostonce/internal/recordoperation.h"
#include "atmostonce/tests/idempotencyfleet.h"
#include "base/thriftcodec.h"

#include <CppUTest/TestHarness.h>
#include <cstdlib>
#include <map>
#include <set>

using namespace hawthornpick;
using namespace hawthornpick::atmostonce;
using namespace hawthornpick::atmostonce::testing;

namespace {

auto seedFromEnvironment(const char *variable, std::uint64_t fallback) -> std::uint64_t
{
    const auto *text = std::getenv(variable);
    return text == nullptr ? fallback : std::strtoull(text, nullptr, 10);
}

auto makeRecordKey(const std::string &text) -> record_key
{
    return {base::organisation_id("acme"), text};
}

// Simulates requests with a few keys through random entry nodes to random executing nodes, under
// message loss, duplication, partitions, pauses and restarts; replicas restart one at a time.
class random_fault_simulation
{
public:
    explicit random_fault_simulation(std::uint64_t seed) : m_fleet(seed, 8, {0.0, 0.0, 200us, 2ms})
    {
        m_fleet.onRequest = [this](auto &node, auto payload) {
            execute(node, payload);
        };
        m_fleet.network().setFaults({0.05, 0.05, 200us, 150ms});
    }

    auto run() -> void
    {
        for (int i = 0; i < 250; ++i) {
            m_fleet.network().run(m_fleet.random().below(250) * 1ms, [this] { checkInvariants(); });
            if (m_fleet.random().chance(0.4)) {
                injectFault();
            }
            // Each key gets competing claims, so that restarts coincide with ballots in progress.
            for (std::uint64_t n = m_fleet.random().below(4); n > 0; --n) {
                claim(m_fleet.nodes()[m_fleet.random().below(8)], std::to_string(i / 4));
            }
        }
        clearFaults();
        m_fleet.network().run(15s, [this] { checkInvariants(); });
        CHECK(!m_executionCounts.empty());
    }

private:
    struct attempt
    {
        std::string key;
        base::node_id node;
        base::incarnation incarnation = 0;
        std::uint64_t claim = 0;
        idempotency_fleet::node *entry = nullptr;
        base::incarnation entryIncarnation = 0;
    };

    auto claim(idempotency_fleet::node &entry, const std::string &key) -> void
    {
        if (entry.paused) {
            return;
        }
        auto &random = m_fleet.random();
        const auto &executor = m_fleet.nodes()[random.below(8)];
        const auto id = random.attemptId();
        claim_request request;
        request.key = makeRecordKey(key);
        request.place = {id, executor.id, executor.incarnation};
        m_attempts[id] = {key, executor.id, executor.incarnation, 0, &entry, entry.incarnation};
        entry.module->records().claim(request, [this, id](claim_result result) {
            m_results[id] = result;
            if (auto *held = std::get_if<claim_held>(&result); held != nullptr) {
                m_attempts[id].claim = held->claim;
                dispatch(id);
            }
        });
    }

    auto dispatch(const base::attempt_id &id) -> void
    {
        const auto &attempt = m_attempts[id];
        const auto text = std::to_string(id.high) + " " + std::to_string(id.low);
        m_fleet.network().send(attempt.entry->id,
                               {{attempt.node, base::channel::Membership, text}});
    }

    auto execute(idempotency_fleet::node &node, std::string_view payload) -> void
    {
        const std::string text(payload);
        const auto space = text.find(' ');
        const base::attempt_id id{std::stoull(text.substr(0, space)),
                                  std::stoull(text.substr(space))};
        const auto &attempt = m_attempts.at(id);
        const bool started = attempt.incarnation == node.incarnation
                             && node.module->attempts().start(id) == start_result::Started;
        if (!started) {
            return;
        }
        ++m_executionCounts[attempt.key];
        m_startedAttempts.insert(id);
        if (attempt.entry->incarnation == attempt.entryIncarnation
            && m_fleet.random().chance(0.8)) {
            attempt.entry->module->records().complete(makeRecordKey(attempt.key), attempt.claim,
                                                      200, std::string(3000, 'a'), [](bool) {});
        }
    }

    auto injectFault() -> void
    {
        auto &random = m_fleet.random();
        auto &node = m_fleet.nodes()[random.below(8)];
        switch (random.below(6)) {
        case 0:
        case 1:
            if (!isAnyRecovering()) {
                m_fleet.start(node);
            }
            break;
        case 2:
            node.paused = true;
            m_fleet.network().pause(node.id);
            break;
        case 3:
            m_fleet.network().cut(node.id, m_fleet.nodes()[random.below(8)].id);
            break;
        case 4:
            for (const auto &other : m_fleet.nodes()) {
                m_fleet.network().cut(other.id, node.id);
            }
            break;
        default:
            clearFaults();
        }
    }

    auto isAnyRecovering() -> bool
    {
        for (const auto &node : m_fleet.nodes()) {
            if (node.module->recovering()) {
                return true;
            }
        }
        return false;
    }

    auto clearFaults() -> void
    {
        m_fleet.network().healAll();
        for (auto &node : m_fleet.nodes()) {
            node.paused = false;
            m_fleet.network().resume(node.id);
        }
    }

    auto checkInvariants() -> void
    {
        for (const auto &[key, executions] : m_executionCounts) {
            CHECK_EQUAL(1, executions);
        }
        for (const auto &id : m_startedAttempts) {
            CHECK(std::holds_alternative<claim_held>(m_results.at(id)));
        }
    }

    idempotency_fleet m_fleet;
    std::map<base::attempt_id, attempt> m_attempts;
    std::map<base::attempt_id, claim_result> m_results;
    std::set<base::attempt_id> m_startedAttempts;
    std::map<std::string, int> m_executionCounts;
};

// A fleet without random faults that handles one claim at a time.
class fault_free_fixture
{
public:
    fault_free_fixture() : fleet(3, 7, {0.0, 0.0, 200us, 2ms}) {}

    auto claim(std::size_t entry, const std::string &key, const attempt_place &place,
               const std::string &body = "body") -> claim_result
    {
        claim_request request{makeRecordKey(key), base::sha256(body), place,
                              base::milliseconds(3600000)};
        claim_result observed = claim_unknown{};
        fleet.nodes()[entry].module->records().claim(
                request, [&observed](auto result) { observed = result; });
        fleet.network().run(3s);
        return observed;
    }

    auto place(std::size_t node) -> attempt_place
    {
        return {fleet.random().attemptId(), fleet.nodes()[node].id,
                fleet.nodes()[node].incarnation};
    }

    idempotency_fleet fleet;
};

} // namespace

TEST_GROUP(idempotency_test){};

// Guards against a second execution for a key, and against an execution whose claim was not held.
TEST(idempotency_test, keyIsExecutedAtMostOnceUnderRandomFaults)
{
    const auto first = seedFromEnvironment("HAWTHORNPICK_FIRST_SEED", 1);
    const auto count = seedFromEnvironment("HAWTHORNPICK_SEEDS", 8);
    for (std::uint64_t seed = first; seed < first + count; ++seed) {
        UT_PRINT(("seed " + std::to_string(seed)).c_str());
        random_fault_simulation(seed).run();
    }
}

// Guards against lost outcomes: a repeated request through another node gets the stored answer.
TEST(idempotency_test, repeatGetsTheStoredAnswer)
{
    fault_free_fixture fixture;
    const auto held = fixture.claim(5, "k", fixture.place(6));
    CHECK(std::holds_alternative<claim_held>(held));
    CHECK(std::holds_alternative<claim_in_progress>(fixture.claim(6, "k", fixture.place(6))));
    CHECK(std::holds_alternative<claim_mismatch>(fixture.claim(6, "k", fixture.place(6), "other")));
    const std::string answer(16000, 'x');
    bool stored = false;
    fixture.fleet.nodes()[5].module->records().complete(makeRecordKey("k"),
                                                        std::get<claim_held>(held).claim, 201,
                                                        answer, [&](bool done) { stored = done; });
    fixture.fleet.network().run(1s);
    CHECK(stored);
    const auto repeat = fixture.claim(6, "k", fixture.place(6));
    CHECK(std::holds_alternative<claim_completed>(repeat));
    CHECK(std::get<claim_completed>(repeat) == (claim_completed{201, answer}));
}

// Guards against a key that stays blocked because its entry node crashed before it sent the
// request, and against a takeover of a claim whose attempt was started.
TEST(idempotency_test, claimOfCrashedNodeIsTakenOverOnlyIfNotStarted)
{
    fault_free_fixture fixture;
    const auto lost = fixture.place(6);
    const auto started = fixture.place(6);
    CHECK(std::holds_alternative<claim_held>(fixture.claim(5, "lost", lost)));
    CHECK(std::holds_alternative<claim_held>(fixture.claim(5, "ran", started)));
    CHECK(fixture.fleet.nodes()[6].module->attempts().start(started.attempt)
          == start_result::Started);
    fixture.fleet.network().crash(fixture.fleet.nodes()[5].id);
    fixture.fleet.network().run(idempotency_client::MIN_FENCE_AGE);
    CHECK(std::holds_alternative<claim_held>(fixture.claim(4, "lost", fixture.place(3))));
    CHECK(fixture.fleet.nodes()[6].module->attempts().start(lost.attempt) == start_result::Fenced);
    CHECK(std::holds_alternative<claim_in_progress>(fixture.claim(4, "ran", fixture.place(3))));
    fixture.fleet.network().run(idempotency_client::MAX_IN_PROGRESS_AGE);
    CHECK(std::holds_alternative<claim_unknown>(fixture.claim(4, "ran", fixture.place(3))));
}

// Guards against the loss of records while the replicas restart one after the other.
TEST(idempotency_test, recordsSurviveRestartsOfAllReplicasOneByOne)
{
    fault_free_fixture fixture;
    CHECK(std::holds_alternative<claim_held>(fixture.claim(5, "k", fixture.place(6))));
    for (std::size_t i = 0; i < idempotency_fleet::REPLICA_COUNT; ++i) {
        fixture.fleet.start(fixture.fleet.nodes()[i]);
        CHECK(fixture.fleet.nodes()[i].module->recovering());
        fixture.fleet.network().run(1s);
        CHECK_FALSE(fixture.fleet.nodes()[i].module->recovering());
    }
    CHECK(std::holds_alternative<claim_in_progress>(fixture.claim(6, "k", fixture.place(6))));
}

// Guards against a claim that is held without a majority, and against a key that a failed claim
// leaves blocked.
TEST(idempotency_test, claimWithoutAMajorityIsUnavailableAndReleased)
{
    fault_free_fixture fixture;
    for (std::size_t i = 0; i < 3; ++i) {
        fixture.fleet.network().cut(fixture.fleet.nodes()[5].id, fixture.fleet.nodes()[i].id);
    }
    CHECK(std::holds_alternative<claim_unavailable>(fixture.claim(5, "k", fixture.place(6))));
    fixture.fleet.network().healAll();
    fixture.fleet.network().run(1s);
    CHECK(std::holds_alternative<claim_held>(fixture.claim(6, "k", fixture.place(6))));
}

// Guards against a key that stays blocked after its release, renewal by a claim that was released,
// and reuse of a key before its record expires.
TEST(idempotency_test, releaseAndExpiryFreeAKey)
{
    fault_free_fixture fixture;
    const auto held = fixture.claim(5, "k", fixture.place(6));
    const auto claim = std::get<claim_held>(held).claim;
    auto &records = fixture.fleet.nodes()[5].module->records();
    int successSum = 0;
    records.renew(makeRecordKey("k"), claim, fixture.place(4),
                  [&](bool ok) { successSum += ok ? 1 : 0; });
    fixture.fleet.network().run(1s);
    records.release(makeRecordKey("k"), claim, [&](bool ok) { successSum += ok ? 1 : 0; });
    fixture.fleet.network().run(1s);
    records.renew(makeRecordKey("k"), claim, fixture.place(4),
                  [&](bool ok) { successSum += ok ? 100 : 0; });
    fixture.fleet.network().run(2s);
    CHECK_EQUAL(2, successSum);
    CHECK(std::holds_alternative<claim_held>(fixture.claim(6, "k", fixture.place(6))));
    fixture.fleet.network().run(std::chrono::minutes(59));
    CHECK_FALSE(std::holds_alternative<claim_held>(fixture.claim(6, "k", fixture.place(6))));
    fixture.fleet.network().run(std::chrono::minutes(2));
    CHECK(std::holds_alternative<claim_held>(fixture.claim(6, "k", fixture.place(6))));
}

// Guards against a takeover after the executing node dropped the id of an attempt that it had
// started: it would then answer a fence request with `NotStarted`.
TEST(idempotency_test, claimOlderThanRetentionIsNotTakenOver)
{
    fault_free_fixture fixture;
    const auto started = fixture.place(6);
    CHECK(std::holds_alternative<claim_held>(fixture.claim(5, "k", started)));
    CHECK(fixture.fleet.nodes()[6].module->attempts().start(started.attempt)
          == start_result::Started);
    fixture.fleet.network().run(attempt_registry::RETENTION + 1min);
    CHECK_EQUAL(0U, fixture.fleet.nodes()[6].module->attempts().size());
    CHECK(std::holds_alternative<claim_unknown>(fixture.claim(4, "k", fixture.place(3))));
}

// Guards against the removal of records when a replica is full.
TEST(idempotency_test, fullReplicasRefuseNewKeysAndKeepRecords)
{
    replica_settings settings{base::node_id("a"), base::region_id("r"), 1, {}, 1, 1000, 10s};
    settings.replicas = {settings.node};
    idempotency_replica replica(settings);
    CHECK_FALSE(replica.recovering());
    std::vector<claim_result> results;
    const base::time_point now{1h};
    messages posted;
    const auto post = [&](const auto &task) {
        posted = task(now);
    };
    fence_client fenceClient(post);
    const replica_map map{{settings.region, settings.replicas}};
    idempotency_client client(map, fenceClient, base::random_source(1), post);
    for (const auto *key : {"first", "second", "first"}) {
        claim_request request{makeRecordKey(key), {}, {}, base::milliseconds(1000)};
        client.claim(request, [&](const auto &result) { results.push_back(result); });
        while (!posted.empty()) {
            const auto answer = replica.receive(base::node_id("e"), posted[0].payload, now);
            posted = client.receive(settings.node, answer.at(0).payload, now);
        }
    }
    CHECK(std::holds_alternative<claim_held>(results.at(0)));
    CHECK(std::holds_alternative<claim_unavailable>(results.at(1)));
    CHECK(std::holds_alternative<claim_in_progress>(results.at(2)));
    CHECK_EQUAL(1U, replica.size());
}

// Guards against counting a vote that its replica lost in a restart: node a votes and restarts, and
// the later vote of node b carries the new incarnation of a.
TEST(idempotency_test, voteOfAnEarlierIncarnationIsNotCounted)
{
    const std::vector<base::node_id> nodes{base::node_id("a"), base::node_id("b"),
                                           base::node_id("c"), base::node_id("d"),
                                           base::node_id("e")};
    const base::time_point now{1h};
    std::optional<operation_outcome> ended;
    record_operation operation(
            "k", "r", nodes, [](const auto &) { return std::optional(wire::record{}); },
            [&ended](operation_outcome outcome, const auto &) { ended = outcome; }, now + 1s, 7,
            base::random_source(1));
    const auto started = operation.start(now);
    auto reply = base::decodeThrift<wire::idempotency_message>(started.at(0).payload).value();
    const auto send = [&](message_kind kind, std::size_t from, std::int64_t incarnationOfA) {
        reply.kind = static_cast<std::int8_t>(kind);
        reply.__set_incarnations({{"a", incarnationOfA}, {"b", 1}, {"c", 1}, {"d", 1}, {"e", 1}});
        operation.receive(nodes[from], reply, now);
    };
    for (std::size_t i = 0; i < 3; ++i) {
        send(message_kind::Promise, i, 1);
    }
    send(message_kind::Accepted, 0, 1);
    send(message_kind::Accepted, 1, 2);
    send(message_kind::Accepted, 2, 1);
    CHECK_FALSE(ended.has_value());
    // The new incarnation of a has not promised this ballot.
    send(message_kind::Accepted, 0, 2);
    CHECK_FALSE(ended.has_value());
    send(message_kind::Promise, 3, 2);
    send(message_kind::Accepted, 3, 2);
    CHECK(ended == operation_outcome::Stored);
}
