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

auto seedFrom(const char *variable, std::uint64_t fallback) -> std::uint64_t
{
    const auto *text = std::getenv(variable);
    return text == nullptr ? fallback : std::strtoull(text, nullptr, 10);
}

auto keyOf(const std::string &text) -> record_key
{
    return {base::organisation_id("acme"), text};
}

// Requests with a few keys through random entry nodes, run by random executing nodes, with all
// faults; replicas restart one at a time.
class idempotency_run
{
public:
    explicit idempotency_run(std::uint64_t seed) : m_fleet(seed, 8, {0.0, 0.0, 200us, 2ms})
    {
        m_fleet.onRequest = [this](auto &node, auto payload) {
            execute(node, payload);
        };
        m_fleet.network().setFaults({0.05, 0.05, 200us, 150ms});
    }

    auto run() -> void
    {
        for (int i = 0; i < 250; ++i) {
            m_fleet.network().run(m_fleet.random().below(250) * 1ms, [this] { check(); });
            if (m_fleet.random().chance(0.4)) {
                fault();
            }
            // New keys with competing claims, so that restarts fall into open ballots.
            for (std::uint64_t n = m_fleet.random().below(4); n > 0; --n) {
                claim(m_fleet.nodes()[m_fleet.random().below(8)], std::to_string(i / 4));
            }
        }
        heal();
        m_fleet.network().run(15s, [this] { check(); });
        CHECK(!m_runs.empty());
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
        const auto &executing = m_fleet.nodes()[random.below(8)];
        const auto id = random.attemptId();
        claim_request request;
        request.key = keyOf(key);
        request.place = {id, executing.id, executing.incarnation};
        m_attempts[id] = {key, executing.id, executing.incarnation, 0, &entry, entry.incarnation};
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
        const auto &item = m_attempts[id];
        const auto text = std::to_string(id.high) + " " + std::to_string(id.low);
        m_fleet.network().send(item.entry->id, {{item.node, base::channel::Membership, text}});
    }

    auto execute(idempotency_fleet::node &node, std::string_view payload) -> void
    {
        const std::string text(payload);
        const auto space = text.find(' ');
        const base::attempt_id id{std::stoull(text.substr(0, space)),
                                  std::stoull(text.substr(space))};
        const auto &item = m_attempts.at(id);
        const bool started = item.incarnation == node.incarnation
                             && node.module->attempts().start(id) == start_result::Started;
        if (!started) {
            return;
        }
        ++m_runs[item.key];
        m_started.insert(id);
        if (item.entry->incarnation == item.entryIncarnation && m_fleet.random().chance(0.8)) {
            item.entry->module->records().complete(keyOf(item.key), item.claim, 200,
                                                   std::string(3000, 'a'), [](bool) {});
        }
    }

    auto fault() -> void
    {
        auto &random = m_fleet.random();
        auto &node = m_fleet.nodes()[random.below(8)];
        switch (random.below(6)) {
        case 0:
        case 1:
            if (!anyRecovering()) {
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
            heal();
        }
    }

    auto anyRecovering() -> bool
    {
        for (const auto &node : m_fleet.nodes()) {
            if (node.module->recovering()) {
                return true;
            }
        }
        return false;
    }

    auto heal() -> void
    {
        m_fleet.network().healAll();
        for (auto &node : m_fleet.nodes()) {
            node.paused = false;
            m_fleet.network().resume(node.id);
        }
    }

    auto check() -> void
    {
        for (const auto &[key, runs] : m_runs) {
            CHECK_EQUAL(1, runs);
        }
        for (const auto &id : m_started) {
            CHECK(std::holds_alternative<claim_held>(m_results.at(id)));
        }
    }

    idempotency_fleet m_fleet;
    std::map<base::attempt_id, attempt> m_attempts;
    std::map<base::attempt_id, claim_result> m_results;
    std::set<base::attempt_id> m_started;
    std::map<std::string, int> m_runs;
};

// A fleet without faults, and one claim at a time.
class quiet_run
{
public:
    quiet_run() : fleet(3, 7, {0.0, 0.0, 200us, 2ms}) {}

    auto claim(std::size_t entry, const std::string &key, const attempt_place &place,
               const std::string &body = "body") -> claim_result
    {
        claim_request request{keyOf(key), base::sha256(body), place, base::milliseconds(3600000)};
        claim_result got = claim_unknown{};
        fleet.nodes()[entry].module->records().claim(request,
                                                     [&got](auto result) { got = result; });
        fleet.network().run(3s);
        return got;
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

// Guards against a second run of a key, and against "not run" for a request that runs.
TEST(idempotency_test, randomFaultsNeverRunAKeyTwice)
{
    const auto first = seedFrom("HAWTHORNPICK_FIRST_SEED", 1);
    const auto count = seedFrom("HAWTHORNPICK_SEEDS", 8);
    for (std::uint64_t seed = first; seed < first + count; ++seed) {
        UT_PRINT(("seed " + std::to_string(seed)).c_str());
        idempotency_run(seed).run();
    }
}

// Guards against lost outcomes: a repeat through another node gets the stored answer.
TEST(idempotency_test, repeatGetsTheStoredAnswer)
{
    quiet_run run;
    const auto held = run.claim(5, "k", run.place(6));
    CHECK(std::holds_alternative<claim_held>(held));
    CHECK(std::holds_alternative<claim_in_progress>(run.claim(6, "k", run.place(6))));
    CHECK(std::holds_alternative<claim_mismatch>(run.claim(6, "k", run.place(6), "other")));
    const std::string answer(16000, 'x');
    bool stored = false;
    run.fleet.nodes()[5].module->records().complete(keyOf("k"), std::get<claim_held>(held).claim,
                                                    201, answer, [&](bool done) { stored = done; });
    run.fleet.network().run(1s);
    CHECK(stored);
    const auto repeat = run.claim(6, "k", run.place(6));
    CHECK(std::holds_alternative<claim_completed>(repeat));
    CHECK(std::get<claim_completed>(repeat) == (claim_completed{201, answer}));
}

// Guards against a key that stays blocked after its first entry node died before it sent the
// request, and against a takeover of an attempt that was started.
TEST(idempotency_test, deadEntryNodeIsReplacedOnlyIfItsAttemptWasNotStarted)
{
    quiet_run run;
    const auto lost = run.place(6);
    const auto started = run.place(6);
    CHECK(std::holds_alternative<claim_held>(run.claim(5, "lost", lost)));
    CHECK(std::holds_alternative<claim_held>(run.claim(5, "ran", started)));
    CHECK(run.fleet.nodes()[6].module->attempts().start(started.attempt) == start_result::Started);
    run.fleet.network().crash(run.fleet.nodes()[5].id);
    run.fleet.network().run(idempotency_client::FENCE_AFTER);
    CHECK(std::holds_alternative<claim_held>(run.claim(4, "lost", run.place(3))));
    CHECK(run.fleet.nodes()[6].module->attempts().start(lost.attempt) == start_result::Fenced);
    CHECK(std::holds_alternative<claim_in_progress>(run.claim(4, "ran", run.place(3))));
    run.fleet.network().run(idempotency_client::IN_PROGRESS_LIMIT);
    CHECK(std::holds_alternative<claim_unknown>(run.claim(4, "ran", run.place(3))));
}

// Guards against records that are lost while replicas restart one after the other.
TEST(idempotency_test, recordsSurviveRestartsOfAllReplicasOneByOne)
{
    quiet_run run;
    CHECK(std::holds_alternative<claim_held>(run.claim(5, "k", run.place(6))));
    for (std::size_t i = 0; i < idempotency_fleet::REPLICAS; ++i) {
        run.fleet.start(run.fleet.nodes()[i]);
        CHECK(run.fleet.nodes()[i].module->recovering());
        run.fleet.network().run(1s);
        CHECK_FALSE(run.fleet.nodes()[i].module->recovering());
    }
    CHECK(std::holds_alternative<claim_in_progress>(run.claim(6, "k", run.place(6))));
}

// Guards against a claim without a majority, and against a key that stays blocked by it.
TEST(idempotency_test, claimWithoutAMajorityIsUnavailableAndReleased)
{
    quiet_run run;
    for (std::size_t i = 0; i < 3; ++i) {
        run.fleet.network().cut(run.fleet.nodes()[5].id, run.fleet.nodes()[i].id);
    }
    CHECK(std::holds_alternative<claim_unavailable>(run.claim(5, "k", run.place(6))));
    run.fleet.network().healAll();
    run.fleet.network().run(1s);
    CHECK(std::holds_alternative<claim_held>(run.claim(6, "k", run.place(6))));
}

// Guards against use of a key after its release, renewal by a claim that lost the key, and reuse
// before the record ends.
TEST(idempotency_test, releaseAndExpiryFreeAKey)
{
    quiet_run run;
    const auto held = run.claim(5, "k", run.place(6));
    const auto claim = std::get<claim_held>(held).claim;
    auto &records = run.fleet.nodes()[5].module->records();
    int done = 0;
    records.renew(keyOf("k"), claim, run.place(4), [&](bool ok) { done += ok ? 1 : 0; });
    run.fleet.network().run(1s);
    records.release(keyOf("k"), claim, [&](bool ok) { done += ok ? 1 : 0; });
    run.fleet.network().run(1s);
    records.renew(keyOf("k"), claim, run.place(4), [&](bool ok) { done += ok ? 100 : 0; });
    run.fleet.network().run(2s);
    CHECK_EQUAL(2, done);
    CHECK(std::holds_alternative<claim_held>(run.claim(6, "k", run.place(6))));
    run.fleet.network().run(std::chrono::minutes(59));
    CHECK_FALSE(std::holds_alternative<claim_held>(run.claim(6, "k", run.place(6))));
    run.fleet.network().run(std::chrono::minutes(2));
    CHECK(std::holds_alternative<claim_held>(run.claim(6, "k", run.place(6))));
}

// Guards against a fence that is asked after the executing node forgot the attempt, which ran.
TEST(idempotency_test, oldClaimIsNeverTakenOver)
{
    quiet_run run;
    const auto started = run.place(6);
    CHECK(std::holds_alternative<claim_held>(run.claim(5, "k", started)));
    CHECK(run.fleet.nodes()[6].module->attempts().start(started.attempt) == start_result::Started);
    run.fleet.network().run(attempt_registry::MEMORY + 1min);
    CHECK_EQUAL(0U, run.fleet.nodes()[6].module->attempts().size());
    CHECK(std::holds_alternative<claim_unknown>(run.claim(4, "k", run.place(3))));
}

// Guards against records dropped at the memory bound.
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
    fence_client fences(post);
    const replica_map map{{settings.region, settings.replicas}};
    idempotency_client client(map, fences, base::random_source(1), post);
    for (const auto *key : {"first", "second", "first"}) {
        claim_request request{keyOf(key), {}, {}, base::milliseconds(1000)};
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

// Guards against a vote that its replica has forgotten: node a votes and restarts, and the vote of
// node b, which comes after b served a's copy, shows that.
TEST(idempotency_test, voteOfAnEarlierIncarnationDoesNotCount)
{
    const std::vector<base::node_id> nodes{base::node_id("a"), base::node_id("b"),
                                           base::node_id("c"), base::node_id("d"),
                                           base::node_id("e")};
    const base::time_point now{1h};
    std::optional<operation_end> ended;
    record_operation operation(
            "k", "r", nodes, [](const auto &) { return std::optional(wire::record{}); },
            [&ended](operation_end end, const auto &) { ended = end; }, now + 1s, 7,
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
    // The new incarnation of a did not promise this ballot to the client.
    send(message_kind::Accepted, 0, 2);
    CHECK_FALSE(ended.has_value());
    send(message_kind::Promise, 3, 2);
    send(message_kind::Accepted, 3, 2);
    CHECK(ended == operation_end::Stored);
}
