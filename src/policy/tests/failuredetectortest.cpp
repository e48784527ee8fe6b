#include "policy/failuredetector.h"

#include "base/random.h"
#include "src/policy/tests/seeds.h"
#include "tests/support/virtualnetwork.h"

#include <CppUTest/TestHarness.h>
#include <functional>
#include <memory>
#include <string>

using namespace hawthornpick;
using namespace hawthornpick::policy;
using namespace std::chrono_literals;

namespace {

constexpr int NODES = 8;

//! Behaviour of the simulated upstream of a node.
struct upstream_behaviour
{
    double failureRate = 0.001;
    double latencyFactor = 1.0;
    bool isHung = false;
    std::string failingOrganisation;
};

//! Detectors of one service on eight nodes with 20 requests per second each, in virtual time.
class detector_fleet
{
public:
    explicit detector_fleet(std::uint64_t seed) : network(seed, {}), m_random(seed + 1000)
    {
        std::vector<base::node_id> ids;
        for (int i = 0; i < NODES; ++i) {
            ids.emplace_back("n" + std::to_string(i));
        }
        for (int i = 0; i < NODES; ++i) {
            auto detector = std::make_unique<failure_detector>(
                    detector_parameters{}, base::service_id("cocina"), ids[i], seed * 100 + i);
            detector->setUpstream(upstream(i), false);
            detector->setPeers(ids);
            network.attach(
                    ids[i],
                    [raw = detector.get()](const auto &from, auto, auto payload, auto now) {
                        return raw->receive(from, payload, now);
                    },
                    [raw = detector.get()](auto now) { return raw->tick(now); });
            detectors.push_back(std::move(detector));
        }
        m_nextArrival = network.now();
    }

    //! Runs until `span` has passed or an upstream is found unhealthy; returns its index, or -1 if
    //! there is none.
    auto run(base::duration span) -> int
    {
        const auto end = network.now() + span;
        while (network.now() < end) {
            network.run(1ms);
            finishDue();
            startDue();
            for (int i = 0; i < NODES; ++i) {
                if (detectors[i]->health(upstream(i), network.now()).unhealthy) {
                    return i;
                }
            }
        }
        return -1;
    }

    static auto upstream(int index) -> base::upstream_id
    {
        return base::upstream_id("n" + std::to_string(index) + "/u");
    }

    testsupport::virtual_network network;
    std::vector<std::unique_ptr<failure_detector>> detectors;
    std::vector<upstream_behaviour> upstreams{NODES};
    //! Fingerprint of a request that fails on every upstream, and its share of the requests.
    std::uint64_t poisonedFingerprint = 0;
    double poisonShare = 0.0;

private:
    struct running_request
    {
        int node;
        base::attempt_id attempt;
        attempt_outcome outcome;
    };

    auto startDue() -> void
    {
        while (m_nextArrival <= network.now()) {
            m_nextArrival += std::chrono::microseconds(1000000 / (20 * NODES));
            startOne(static_cast<int>(m_random.below(NODES)));
        }
    }

    auto startOne(int node) -> void
    {
        const auto &behaviour = upstreams.at(static_cast<std::size_t>(node));
        const bool isPoisoned = m_random.chance(poisonShare);
        const auto organisation =
                "o" + std::to_string(std::min<std::uint64_t>(m_random.below(8), m_random.below(8)));
        const attempt_start start{upstream(node), m_random.attemptId(),
                                  base::organisation_id(organisation),
                                  isPoisoned ? poisonedFingerprint : m_random.bits()};
        detectors[node]->onAttemptStart(start, network.now());
        if (behaviour.isHung) {
            return;
        }
        const bool fails = isPoisoned || organisation == behaviour.failingOrganisation
                           || m_random.chance(behaviour.failureRate);
        std::lognormal_distribution<double> latency(std::log(0.03 * behaviour.latencyFactor), 0.5);
        std::mt19937_64 engine(m_random.bits());
        const auto span = base::fromSeconds(latency(engine));
        m_running.emplace(
                network.now() + span,
                running_request{node, start.attempt,
                                fails ? attempt_outcome::Failed : attempt_outcome::Succeeded});
    }

    auto finishDue() -> void
    {
        while (!m_running.empty() && m_running.begin()->first <= network.now()) {
            const auto item = m_running.begin()->second;
            detectors[item.node]->onAttemptEnd(upstream(item.node), item.attempt, item.outcome,
                                               m_running.begin()->first);
            m_running.erase(m_running.begin());
        }
    }

    base::random_source m_random;
    base::time_point m_nextArrival;
    std::multimap<base::time_point, running_request> m_running;
};

constexpr base::duration WARM_UP = 5s;

} // namespace

TEST_GROUP(failure_detector){
        //! Applies `change` after the warm-up; expects the verdict on upstream `expected` within
        //! `within`, or no verdict if it is -1.
        static auto expectVerdict(std::uint64_t seed, base::duration within, int expected,
                                  const std::function<void(detector_fleet &)> &change)
                ->void{detector_fleet fleet(seed);
CHECK_TEXT(fleet.run(WARM_UP) == -1,
           testsupport::seedText(seed, "unhealthy verdict before the change").asCharString());
change(fleet);
const int unhealthyIndex = fleet.run(within);
CHECK_EQUAL_TEXT(expected, unhealthyIndex, testsupport::seedText(seed, "verdict").asCharString());
}
}
;

// Guards against missing an upstream that passes health checks and fails half of its requests.
TEST(failure_detector, detectsUpstreamThatFailsHalfOfItsRequests)
{
    testsupport::forEachSeed(20, [](std::uint64_t seed) {
        expectVerdict(seed, 2s, 3, [](auto &fleet) { fleet.upstreams[3].failureRate = 0.5; });
    });
}

// Guards against missing a slow upstream that never returns an error.
TEST(failure_detector, detectsSlowUpstream)
{
    testsupport::forEachSeed(10, [](std::uint64_t seed) {
        expectVerdict(seed, 5s, 2, [](auto &fleet) { fleet.upstreams[2].latencyFactor = 5.0; });
    });
}

// Guards against late detection of an upstream that accepts requests and never responds: the limit
// is 1 s after the usual p99, which is 0.1 s here.
TEST(failure_detector, detectsHungUpstream)
{
    testsupport::forEachSeed(10, [](std::uint64_t seed) {
        expectVerdict(seed, 1100ms, 5, [](auto &fleet) { fleet.upstreams[5].isHung = true; });
    });
}

// Guards against a verdict caused by the failures of one organisation.
TEST(failure_detector, noVerdictForOneFailingOrganisation)
{
    testsupport::forEachSeed(10, [](std::uint64_t seed) {
        expectVerdict(seed, 10s, -1, [](auto &fleet) {
            for (auto &behaviour : fleet.upstreams) {
                behaviour.failingOrganisation = "o0";
            }
        });
    });
}

// Guards against a verdict caused by one failing request that its caller repeats.
TEST(failure_detector, noVerdictForOneRepeatedRequest)
{
    testsupport::forEachSeed(10, [](std::uint64_t seed) {
        expectVerdict(seed, 10s, -1, [](auto &fleet) {
            fleet.poisonedFingerprint = 77;
            fleet.poisonShare = 0.3;
        });
    });
}

// Guards against verdicts when a dependency of the whole service fails, slows down or hangs.
TEST(failure_detector, noVerdictForDegradedService)
{
    testsupport::forEachSeed(10, [](std::uint64_t seed) {
        expectVerdict(seed, 10s, -1, [](auto &fleet) {
            for (auto &behaviour : fleet.upstreams) {
                behaviour.failureRate = 0.4;
            }
        });
        expectVerdict(seed, 10s, -1, [](auto &fleet) {
            for (auto &behaviour : fleet.upstreams) {
                behaviour.latencyFactor = 4.0;
            }
        });
        expectVerdict(seed, 5s, -1, [](auto &fleet) {
            for (auto &behaviour : fleet.upstreams) {
                behaviour.isHung = true;
            }
        });
    });
}

// Guards against missing a failing upstream because one organisation fails everywhere and messages
// are lost.
TEST(failure_detector, detectsFailingUpstreamDespiteFailingOrganisationAndMessageLoss)
{
    testsupport::forEachSeed(10, [](std::uint64_t seed) {
        expectVerdict(seed, 4s, 1, [](auto &fleet) {
            fleet.network.setFaults({0.2, 0.1, 200us, 20ms});
            for (auto &behaviour : fleet.upstreams) {
                behaviour.failingOrganisation = "o7";
            }
            fleet.upstreams[1].failureRate = 0.6;
        });
    });
}

// Guards against a verdict without a comparison: the node may be the one that is cut off.
TEST(failure_detector, noVerdictWithoutPeers)
{
    expectVerdict(1, 5s, -1, [](auto &fleet) {
        for (int i = 0; i < NODES; ++i) {
            fleet.network.cut(base::node_id("n" + std::to_string(i)), base::node_id("n3"));
        }
        fleet.upstreams[3].failureRate = 0.6;
    });
}

// Guards against evidence from attempts that are no longer known, and against a crash caused by a
// damaged message.
TEST(failure_detector, ignoresUnknownAttemptsAndDamagedMessages)
{
    detector_fleet fleet(1);
    auto &detector = *fleet.detectors[0];
    for (int i = 0; i < 20; ++i) {
        detector.onAttemptEnd(detector_fleet::upstream(0), {1, 1}, attempt_outcome::Failed,
                              fleet.network.now());
    }
    CHECK_EQUAL(0.0, detector.health(detector_fleet::upstream(0), fleet.network.now()).evidence);
    CHECK(detector.receive(base::node_id("n1"), "damaged", fleet.network.now()).empty());
}
