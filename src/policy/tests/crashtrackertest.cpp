#include "policy/crashtracker.h"

#include "src/policy/tests/seeds.h"
#include "tests/support/virtualnetwork.h"

#include <CppUTest/TestHarness.h>
#include <memory>
#include <string>

using namespace hawthornpick;
using namespace hawthornpick::policy;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t NODES = 6;
constexpr base::duration MAX_ATTEMPT_DURATION = 1s;
constexpr crash_fingerprint CRASHING_REQUEST = 42;

//! Attempt `number` of a request.
auto attemptOf(crash_fingerprint fingerprint, std::uint64_t number = 0) -> crash_attempt
{
    return {{fingerprint, number}, fingerprint};
}

//! Crash trackers of one service on six nodes.
class crash_fleet
{
public:
    explicit crash_fleet(std::uint64_t seed) : network(seed, {})
    {
        for (std::size_t i = 0; i < NODES; ++i) {
            ids.emplace_back("n" + std::to_string(i));
        }
        for (std::size_t i = 0; i < NODES; ++i) {
            auto tracker = std::make_unique<crash_tracker>(base::service_id("cocina"), ids[i],
                                                           MAX_ATTEMPT_DURATION);
            tracker->setNodes(ids, network.now());
            network.attach(
                    ids[i],
                    [raw = tracker.get()](const auto &from, auto, auto payload, auto now) {
                        return raw->receive(from, payload, now);
                    },
                    [raw = tracker.get()](auto now) { return raw->tick(now); });
            trackers.push_back(std::move(tracker));
        }
        network.run(4s);
    }

    auto crash(std::size_t node, const std::vector<crash_fingerprint> &running) -> void
    {
        std::vector<crash_attempt> attempts;
        for (const auto fingerprint : running) {
            attempts.push_back(attemptOf(fingerprint));
        }
        trackers[node]->onUpstreamCrash(attempts, network.now());
        for (const auto &attempt : attempts) {
            trackers[node]->onAttemptEnd(attempt.id, false, network.now());
        }
    }

    auto owner(crash_fingerprint fingerprint) -> std::size_t
    {
        const auto id = trackers.front()->suspectOwner(fingerprint).value();
        return static_cast<std::size_t>(std::find(ids.begin(), ids.end(), id) - ids.begin());
    }

    testsupport::virtual_network network;
    std::vector<base::node_id> ids;
    std::vector<std::unique_ptr<crash_tracker>> trackers;
};

} // namespace

TEST_GROUP(crash_tracker)
{
    crash_fleet fleet{1};
};

// Guards against a request that its caller repeats and that crashes one upstream after another.
TEST(crash_tracker, refusesRequestOnAllNodesForTenMinutesAfterSecondCrash)
{
    CHECK(fleet.trackers[0]->tryStart(attemptOf(CRASHING_REQUEST), fleet.network.now()));
    fleet.crash(0, {CRASHING_REQUEST});
    fleet.network.run(200ms);
    for (const auto &tracker : fleet.trackers) {
        CHECK(tracker->verdict(CRASHING_REQUEST, fleet.network.now()) == crash_verdict::RunAlone);
    }
    const auto owner = fleet.owner(CRASHING_REQUEST);
    CHECK(fleet.trackers[owner]->tryStart(attemptOf(CRASHING_REQUEST), fleet.network.now()));
    fleet.crash(owner, {CRASHING_REQUEST, 7});
    fleet.network.run(200ms);
    for (const auto &tracker : fleet.trackers) {
        CHECK(tracker->verdict(CRASHING_REQUEST, fleet.network.now()) == crash_verdict::Refuse);
        CHECK(!tracker->tryStart(attemptOf(CRASHING_REQUEST), fleet.network.now()));
        CHECK(tracker->verdict(7, fleet.network.now()) == crash_verdict::Run);
    }
    const auto later = fleet.network.now() + CRASH_RECORD_LIFETIME;
    CHECK(fleet.trackers[1]->verdict(CRASHING_REQUEST, later) == crash_verdict::Run);
}

// Guards against a suspect that crashes a second upstream while its first attempt is still running.
TEST(crash_tracker, suspectRunsOnlyOnItsOwner)
{
    fleet.crash(0, {CRASHING_REQUEST});
    fleet.network.run(200ms);
    int started = 0;
    for (const auto &tracker : fleet.trackers) {
        started += tracker->tryStart(attemptOf(CRASHING_REQUEST, 1), fleet.network.now()) ? 1 : 0;
        started += tracker->tryStart(attemptOf(CRASHING_REQUEST, 2), fleet.network.now()) ? 1 : 0;
    }
    CHECK_EQUAL(1, started);
}

// Guards against requests that stay suspect although they only ran beside the cause of a crash.
TEST(crash_tracker, clearsSuspectThatSucceeds)
{
    fleet.crash(0, {CRASHING_REQUEST, 7});
    fleet.network.run(200ms);
    const auto owner = fleet.owner(7);
    CHECK(fleet.trackers[owner]->tryStart(attemptOf(7), fleet.network.now()));
    fleet.trackers[owner]->onAttemptEnd(attemptOf(7).id, true, fleet.network.now());
    fleet.network.run(400ms);
    for (const auto &tracker : fleet.trackers) {
        CHECK(tracker->verdict(7, fleet.network.now()) == crash_verdict::Run);
        CHECK(tracker->verdict(CRASHING_REQUEST, fleet.network.now()) == crash_verdict::RunAlone);
    }
}

// Guards against a duplicated report that counts as a second crash.
TEST(crash_tracker, duplicatedReportsCountOnce)
{
    fleet.network.setFaults({0.0, 1.0, 200us, 300ms});
    fleet.crash(0, {CRASHING_REQUEST});
    fleet.network.run(2s);
    CHECK(fleet.trackers[3]->verdict(CRASHING_REQUEST, fleet.network.now())
          == crash_verdict::RunAlone);
}

// Guards against memory that grows with the number of distinct requests.
TEST(crash_tracker, numberOfEntriesIsBounded)
{
    for (crash_fingerprint i = 1; i <= 3 * crash_tracker::MAX_ENTRIES; ++i) {
        fleet.trackers[0]->onUpstreamCrash({attemptOf(i)}, fleet.network.now());
    }
    CHECK_EQUAL(crash_tracker::MAX_ENTRIES, fleet.trackers[0]->size());
}

// Guards against equal fingerprints for different organisations or requests: one would get the
// other refused. The digest covers the other parts of a request, see
// fingerprintIsThatOfTheRequestAndNotOfItsRoute.
TEST(crash_tracker, fingerprintDependsOnOrganisationAndRequest)
{
    const base::organisation_id organisation("a");
    const auto value = crashFingerprint(organisation, "x");
    CHECK(value == crashFingerprint(organisation, "x"));
    CHECK(value != crashFingerprint(base::organisation_id("b"), "x"));
    CHECK(value != crashFingerprint(organisation, "y"));
}

// Guards against two concurrent attempts of a suspect under message loss, duplication, reordering
// and nodes that leave and return. Nodes learn of a change at different times, within 2 s.
TEST(crash_tracker, atMostOneAttemptOfSuspectUnderRandomFaults)
{
    testsupport::forEachSeed(100, [](std::uint64_t seed) {
        crash_fleet fleet(seed);
        auto &random = fleet.network.random();
        fleet.crash(0, {CRASHING_REQUEST});
        fleet.network.run(1s);
        fleet.network.setFaults({0.2, 0.2, 200us, 400ms});
        std::map<std::size_t, base::time_point> runningUntil;
        std::vector<std::tuple<base::time_point, std::size_t, std::vector<base::node_id>>> changes;
        for (int step = 0; step < 300; ++step) {
            fleet.network.run(std::chrono::milliseconds(random.below(100)));
            const auto now = fleet.network.now();
            std::erase_if(changes, [&](const auto &change) {
                const auto &[at, node, nodes] = change;
                if (at <= now) {
                    fleet.trackers[node]->setNodes(nodes, now);
                }
                return at <= now;
            });
            if (changes.empty() && random.chance(0.05)) {
                auto nodes = fleet.ids;
                std::erase_if(nodes, [&](const auto &) { return random.chance(0.2); });
                for (std::size_t i = 0; i < NODES; ++i) {
                    changes.emplace_back(now + std::chrono::milliseconds(random.below(2000)), i,
                                         nodes);
                }
            }
            std::erase_if(runningUntil, [&](const auto &run) {
                const bool ended = now >= run.second;
                if (ended) {
                    fleet.trackers[run.first]->onAttemptEnd(attemptOf(CRASHING_REQUEST).id, false,
                                                            now);
                }
                return ended;
            });
            const auto node = static_cast<std::size_t>(random.below(NODES));
            if (!runningUntil.contains(node)
                && fleet.trackers[node]->tryStart(attemptOf(CRASHING_REQUEST), now)) {
                runningUntil[node] = now + std::chrono::milliseconds(random.below(900));
            }
            CHECK_TEXT(runningUntil.size() <= 1,
                       testsupport::seedText(seed, "two concurrent attempts of a suspect")
                               .asCharString());
        }
    });
}

namespace {

constexpr std::size_t DIRECTORY_NODES = 20;
//! Time after the third crash in which every node learns of it, and the attempts allowed later.
constexpr base::duration LEARNING_TIME = 3s;
constexpr std::size_t MAX_LATE_CRASHES = 3;

//! Crash trackers of nodes that read each other's published records, each after 0.1 to 1 s; some
//! reads fail.
class directory_crash_fleet
{
public:
    explicit directory_crash_fleet(std::uint64_t seed, double lossRatio = 0.1)
        : random(seed), m_lossRatio(lossRatio), m_nextReads(DIRECTORY_NODES * DIRECTORY_NODES)
    {
        for (std::size_t i = 0; i < DIRECTORY_NODES; ++i) {
            trackers.emplace_back();
            restart(i);
        }
    }

    //! Replaces a tracker by one that knows nothing.
    auto restart(std::size_t node) -> void
    {
        trackers[node] = std::make_unique<crash_tracker>(base::service_id(),
                                                         base::node_id("n" + std::to_string(node)),
                                                         0s, DIRECTORY_CRASH_POLICY);
    }

    auto run(base::duration span) -> void
    {
        for (const auto end = now + span; now < end; now += 10ms) {
            for (std::size_t pair = 0; pair < m_nextReads.size(); ++pair) {
                if (m_nextReads[pair] > now) {
                    continue;
                }
                m_nextReads[pair] = now + std::chrono::milliseconds(100 + random.below(900));
                if (!random.chance(m_lossRatio)) {
                    trackers[pair / DIRECTORY_NODES]->merge(
                            trackers[pair % DIRECTORY_NODES]->publishedRecords(now), now);
                }
            }
        }
    }

    auto start(std::size_t node, crash_fingerprint fingerprint) -> std::optional<crash_attempt>
    {
        const auto attempt = attemptOf(fingerprint, ++m_attemptCount);
        return trackers[node]->tryStart(attempt, now) ? std::optional(attempt) : std::nullopt;
    }

    auto end(std::size_t node, const crash_attempt &attempt, bool succeeded) -> void
    {
        trackers[node]->onAttemptEnd(attempt.id, succeeded, now);
    }

    //! Ends an upstream of the node while the attempts run on it.
    auto crash(std::size_t node, const std::vector<crash_attempt> &running) -> void
    {
        trackers[node]->onUpstreamCrash(running, now);
        for (const auto &attempt : running) {
            end(node, attempt, false);
        }
    }

    //! Runs a request once on each of the first `count` nodes, one after the other.
    auto crashInTurn(std::size_t count, crash_fingerprint fingerprint) -> void
    {
        for (std::size_t node = 0; node < count; ++node) {
            if (const auto attempt = start(node, fingerprint)) {
                crash(node, {*attempt});
            }
            run(2s);
        }
    }

    auto countVerdicts(crash_fingerprint fingerprint, crash_verdict verdict) -> std::size_t
    {
        return static_cast<std::size_t>(
                std::count_if(trackers.begin(), trackers.end(), [&](const auto &item) {
                    return item->verdict(fingerprint, now) == verdict;
                }));
    }

    base::random_source random;
    base::time_point now{};
    std::vector<std::unique_ptr<crash_tracker>> trackers;

private:
    double m_lossRatio;
    std::uint64_t m_attemptCount = 0;
    std::vector<base::time_point> m_nextReads;
};

} // namespace

TEST_GROUP(directory_crash_tracker){};

// Guards against the refusal of a request that runs everywhere when a failure domain is lost: its
// attempts on all upstreams are lost together.
TEST(directory_crash_tracker, attemptsLostTogetherCountOnce)
{
    directory_crash_fleet fleet(1);
    std::vector<crash_attempt> attempts;
    for (std::size_t node = 0; node < DIRECTORY_NODES; ++node) {
        attempts.push_back(fleet.start(node, CRASHING_REQUEST).value());
    }
    for (std::size_t node = 0; node < DIRECTORY_NODES / 2; ++node) {
        fleet.crash(node, {attempts[node]});
        fleet.run(100ms);
    }
    fleet.run(3s);
    CHECK_EQUAL(DIRECTORY_NODES, fleet.countVerdicts(CRASHING_REQUEST, crash_verdict::RunAlone));
    for (std::size_t node = DIRECTORY_NODES / 2; node < DIRECTORY_NODES; ++node) {
        fleet.end(node, attempts[node], true);
    }
    const auto next = fleet.start(0, CRASHING_REQUEST).value();
    fleet.end(0, next, true);
    fleet.run(3s);
    CHECK_EQUAL(DIRECTORY_NODES, fleet.countVerdicts(CRASHING_REQUEST, crash_verdict::Run));
}

// Guards against a request that stays refused after a new version of the upstream has mended it.
TEST(directory_crash_tracker, refusedRequestReturnsWithItsFirstSuccess)
{
    directory_crash_fleet fleet(2);
    fleet.crashInTurn(3, CRASHING_REQUEST);
    CHECK_EQUAL(DIRECTORY_NODES, fleet.countVerdicts(CRASHING_REQUEST, crash_verdict::Refuse));
    CHECK(fleet.trackers[9]->remainingRefusalTime(CRASHING_REQUEST, fleet.now) > 100s);
    fleet.now += 150s;
    const auto trial = fleet.start(4, CRASHING_REQUEST);
    CHECK(trial.has_value());
    fleet.end(4, *trial, true);
    fleet.run(3s);
    CHECK_EQUAL(DIRECTORY_NODES, fleet.countVerdicts(CRASHING_REQUEST, crash_verdict::Run));
}

// Guards against a request that crashes an upstream at each end of a short refusal.
TEST(directory_crash_tracker, refusalGetsLongerWithEachFurtherCrash)
{
    directory_crash_fleet fleet(3);
    fleet.crashInTurn(3, CRASHING_REQUEST);
    fleet.now += 150s;
    const auto trial = fleet.start(4, CRASHING_REQUEST);
    fleet.crash(4, {*trial});
    fleet.run(3s);
    fleet.now += 150s;
    CHECK_EQUAL(DIRECTORY_NODES, fleet.countVerdicts(CRASHING_REQUEST, crash_verdict::Refuse));
}

// Guards against records that grow with the number of requests lost in a spell of crashes, and
// against a refused request that is forgotten in one.
TEST(directory_crash_tracker, publishesFewRecordsInASpellOfCrashes)
{
    directory_crash_fleet fleet(4);
    fleet.crashInTurn(3, CRASHING_REQUEST);
    for (crash_fingerprint request = 100; request < 300; ++request) {
        fleet.crash(2, {*fleet.start(2, request)});
    }
    const auto records = fleet.trackers[2]->publishedRecords(fleet.now);
    CHECK_EQUAL(crash_tracker::MAX_PUBLISHED, records.size());
    CHECK(records.front().fingerprint == CRASHING_REQUEST);
    fleet.now += CRASH_RECORD_LIFETIME;
    fleet.trackers[2]->tick(fleet.now);
    CHECK(fleet.trackers[2]->publishedRecords(fleet.now).empty());
}

// Guards against late or lost reports and restarts of nodes that let a request crash further
// upstreams, and against the refusal of requests that only ran beside it: one that is sent often,
// and ones that are sent a few times.
TEST(directory_crash_tracker, refusesTheCauseAndNoOtherRequestUnderRandomFaults)
{
    constexpr crash_fingerprint FREQUENT_REQUEST = 7;
    constexpr crash_fingerprint FIRST_RARE_REQUEST = 1000;
    testsupport::forEachSeed(30, [&](std::uint64_t seed) {
        directory_crash_fleet fleet(seed, 0.3);
        auto &random = fleet.random;
        std::vector<base::time_point> crashes;
        std::size_t lateCrashes = 0;
        const auto interval = std::chrono::milliseconds(50 + random.below(4000));
        auto nextRepeat = fleet.now;
        std::vector<base::time_point> downUntil(DIRECTORY_NODES);
        for (int step = 0; step < 400; ++step) {
            fleet.run(50ms);
            if (random.chance(0.02)) {
                fleet.restart(random.below(DIRECTORY_NODES));
            }
            for (int i = 0; i < 5; ++i) {
                const auto node = random.below(DIRECTORY_NODES);
                const auto request =
                        i < 4 ? FREQUENT_REQUEST : FIRST_RARE_REQUEST + random.below(50);
                if (downUntil[node] > fleet.now) {
                    continue;
                }
                const auto other = fleet.start(node, request);
                CHECK_TEXT(
                        other.has_value(),
                        testsupport::seedText(seed, "another request is refused").asCharString());
                fleet.end(node, *other, true);
            }
            const auto node = random.below(DIRECTORY_NODES);
            if (downUntil[node] > fleet.now) {
                continue;
            }
            std::vector<crash_attempt> running;
            for (const auto request : {FREQUENT_REQUEST, FIRST_RARE_REQUEST + random.below(50)}) {
                const auto other = fleet.start(node, request);
                CHECK_TEXT(
                        other.has_value(),
                        testsupport::seedText(seed, "another request is refused").asCharString());
                running.push_back(*other);
            }
            // Some upstreams crash without a cause among the requests.
            bool hasCrashed = random.chance(0.05);
            if (fleet.now >= nextRepeat) {
                nextRepeat = fleet.now + interval;
                if (const auto cause = fleet.start(node, CRASHING_REQUEST)) {
                    running.push_back(*cause);
                    crashes.push_back(fleet.now);
                    hasCrashed = true;
                }
            }
            if (hasCrashed) {
                fleet.crash(node, running);
                downUntil[node] = fleet.now + 2s;
            } else {
                for (const auto &attempt : running) {
                    fleet.end(node, attempt, true);
                }
            }
            const bool isLate = crashes.size() > 3 && crashes.back() == fleet.now
                                && fleet.now > crashes[2] + LEARNING_TIME;
            lateCrashes += isLate ? 1 : 0;
            CHECK_TEXT(lateCrashes <= MAX_LATE_CRASHES,
                       testsupport::seedText(seed, "the request still reaches upstreams")
                               .asCharString());
        }
    });
}
