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
            auto tracker = std::make_unique<crash_tracker>(base::service_id("cocina"), ids[i], i,
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
        trackers[node]->onUpstreamCrash(running, network.now());
        for (const auto fingerprint : running) {
            trackers[node]->onAttemptEnd(fingerprint, false, network.now());
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
    CHECK(fleet.trackers[0]->tryStart(CRASHING_REQUEST, fleet.network.now()));
    fleet.crash(0, {CRASHING_REQUEST});
    fleet.network.run(200ms);
    for (const auto &tracker : fleet.trackers) {
        CHECK(tracker->verdict(CRASHING_REQUEST, fleet.network.now()) == crash_verdict::RunAlone);
    }
    const auto owner = fleet.owner(CRASHING_REQUEST);
    CHECK(fleet.trackers[owner]->tryStart(CRASHING_REQUEST, fleet.network.now()));
    fleet.crash(owner, {CRASHING_REQUEST, 7});
    fleet.network.run(200ms);
    for (const auto &tracker : fleet.trackers) {
        CHECK(tracker->verdict(CRASHING_REQUEST, fleet.network.now()) == crash_verdict::Refuse);
        CHECK(!tracker->tryStart(CRASHING_REQUEST, fleet.network.now()));
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
        started += tracker->tryStart(CRASHING_REQUEST, fleet.network.now()) ? 1 : 0;
        started += tracker->tryStart(CRASHING_REQUEST, fleet.network.now()) ? 1 : 0;
    }
    CHECK_EQUAL(1, started);
}

// Guards against requests that stay suspect although they only ran beside the cause of a crash.
TEST(crash_tracker, clearsSuspectThatSucceeds)
{
    fleet.crash(0, {CRASHING_REQUEST, 7});
    fleet.network.run(200ms);
    const auto owner = fleet.owner(7);
    CHECK(fleet.trackers[owner]->tryStart(7, fleet.network.now()));
    fleet.trackers[owner]->onAttemptEnd(7, true, fleet.network.now());
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
        fleet.trackers[0]->onUpstreamCrash({i}, fleet.network.now());
    }
    CHECK_EQUAL(crash_tracker::MAX_ENTRIES, fleet.trackers[0]->size());
}

// Guards against equal fingerprints for different organisations, routes or requests: one would get
// the other refused.
TEST(crash_tracker, fingerprintDependsOnOrganisationRouteAndRequest)
{
    const base::organisation_id organisation("a");
    const base::route_id route("r");
    const auto value = crashFingerprint(organisation, route, "x");
    CHECK(value == crashFingerprint(organisation, route, "x"));
    CHECK(value != crashFingerprint(base::organisation_id("b"), route, "x"));
    CHECK(value != crashFingerprint(organisation, base::route_id("s"), "x"));
    CHECK(value != crashFingerprint(organisation, route, "y"));
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
                    fleet.trackers[run.first]->onAttemptEnd(CRASHING_REQUEST, false, now);
                }
                return ended;
            });
            const auto node = static_cast<std::size_t>(random.below(NODES));
            if (!runningUntil.contains(node)
                && fleet.trackers[node]->tryStart(CRASHING_REQUEST, now)) {
                runningUntil[node] = now + std::chrono::milliseconds(random.below(900));
            }
            CHECK_TEXT(runningUntil.size() <= 1,
                       testsupport::seedText(seed, "two concurrent attempts of a suspect")
                               .asCharString());
        }
    });
}
