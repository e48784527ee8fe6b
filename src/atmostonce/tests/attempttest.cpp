#include "atmostonce/attemptregistry.h"
#include "atmostonce/fence.h"
#include "tests/support/virtualnetwork.h"

#include <CppUTest/TestHarness.h>
#include <cstdlib>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <thread>

using namespace hawthornpick;
using namespace hawthornpick::atmostonce;
using namespace std::chrono_literals;

namespace {

auto seedCountFromEnvironment(std::uint64_t fallback) -> std::uint64_t
{
    const auto *text = std::getenv("HAWTHORNPICK_SEEDS");
    return text == nullptr ? fallback : std::strtoull(text, nullptr, 10);
}

const base::node_id ENTRY{"entry"};
const base::node_id EXECUTOR{"executor"};

// Simulates one entry node and one executing node that restarts. Start messages are sent over the
// virtual network, as requests are, so that they race with fence requests.
class attempt_simulation
{
public:
    explicit attempt_simulation(std::uint64_t seed)
        : m_network(seed, {0.2, 0.2, 200us, 300ms}),
          m_fenceClient([this](const auto &task) { m_network.send(ENTRY, task(m_network.now())); })
    {
        restartExecutor();
        m_network.attach(
                ENTRY,
                [this](const auto &from, auto, auto payload, auto now) {
                    return m_fenceClient.receive(from, payload, now);
                },
                [this](auto now) { return m_fenceClient.tick(now); });
    }

    auto run() -> void
    {
        for (int i = 0; i < 60; ++i) {
            startAndFenceAttempt();
            m_network.run(m_network.random().below(200) * 1ms, [this] { checkInvariants(); });
        }
        m_network.run(5s, [this] { checkInvariants(); });
        CHECK_EQUAL(m_fenceRequestCount, m_fenceAnswerCount);
    }

private:
    auto restartExecutor() -> void
    {
        m_registry = std::make_unique<attempt_registry>(++m_incarnation);
        m_fenceServer = std::make_unique<fence_server>(*m_registry);
        m_network.attach(
                EXECUTOR,
                [this](const auto &from, auto kind, auto payload, auto) {
                    return kind == base::channel::Fence ? m_fenceServer->receive(from, payload)
                                                        : startAttempt(payload);
                },
                [this](auto now) {
                    m_registry->tick(now);
                    return messages{};
                });
    }

    auto startAttempt(std::string_view payload) -> messages
    {
        const auto number = std::strtoull(std::string(payload).c_str(), nullptr, 10);
        if (m_attemptIncarnations.at(number) != m_incarnation) {
            return {};
        }
        if (m_registry->start({number, 7}) == start_result::Started) {
            ++m_startCounts[number];
        }
        return {};
    }

    auto startAndFenceAttempt() -> void
    {
        auto &random = m_network.random();
        if (random.chance(0.05)) {
            restartExecutor();
        }
        if (random.chance(0.1)) {
            m_network.cut(EXECUTOR, ENTRY);
        } else {
            m_network.healAll();
        }
        const auto number = ++m_lastAttemptNumber;
        m_attemptIncarnations[number] = m_incarnation;
        m_network.send(ENTRY, {{EXECUTOR, base::channel::Membership, std::to_string(number)}});
        if (random.chance(0.7)) {
            ++m_fenceRequestCount;
            m_fenceClient.ask({{number, 7}, EXECUTOR, m_incarnation}, 2s,
                              [this, number](fence_answer answer) {
                                  ++m_fenceAnswerCount;
                                  if (answer == fence_answer::NotStarted) {
                                      m_fencedAttempts.insert(number);
                                  }
                              });
        }
    }

    auto checkInvariants() -> void
    {
        for (const auto &[number, count] : m_startCounts) {
            CHECK_EQUAL(1, count);
            CHECK_FALSE(m_fencedAttempts.contains(number));
        }
    }

    testsupport::virtual_network m_network;
    fence_client m_fenceClient;
    base::incarnation m_incarnation = 0;
    std::unique_ptr<attempt_registry> m_registry;
    std::unique_ptr<fence_server> m_fenceServer;
    std::uint64_t m_lastAttemptNumber = 0;
    std::map<std::uint64_t, base::incarnation> m_attemptIncarnations;
    std::map<std::uint64_t, int> m_startCounts;
    std::set<std::uint64_t> m_fencedAttempts;
    int m_fenceRequestCount = 0;
    int m_fenceAnswerCount = 0;
};

} // namespace

TEST_GROUP(attempt_test){};

// Guards against a second start of an attempt and against a start after the answer `NotStarted`.
TEST(attempt_test, fenceAnswersHoldUnderRandomFaults)
{
    for (std::uint64_t seed = 1; seed <= seedCountFromEnvironment(20); ++seed) {
        UT_PRINT(("seed " + std::to_string(seed)).c_str());
        attempt_simulation(seed).run();
    }
}

// Guards against a fence that expires while the process is paused and the fenced request waits in
// a socket buffer.
TEST(attempt_test, pauseDoesNotShortenTheRetention)
{
    attempt_registry registry(1);
    base::time_point now{1h};
    registry.tick(now);
    CHECK(registry.fence({1, 1}, 1) == fence_answer::NotStarted);
    now += 11min;
    registry.tick(now);
    CHECK(registry.start({1, 1}) == start_result::Fenced);
    for (int i = 0; i < 601; ++i) {
        registry.tick(now += 1s);
    }
    CHECK_EQUAL(0U, registry.size());
}

// Guards against the removal of retained ids when the registry is full.
TEST(attempt_test, fullRegistryRefusesNewIdsAndKeepsKnownIds)
{
    attempt_registry registry(1, 16);
    std::set<std::uint64_t> started;
    for (std::uint64_t i = 0; i < 200; ++i) {
        if (registry.start({i, 0}) == start_result::Started) {
            started.insert(i);
        }
    }
    CHECK_EQUAL(16U, started.size());
    for (std::uint64_t i = 0; i < 200; ++i) {
        const auto expected = started.contains(i) ? fence_answer::Started : fence_answer::Unknown;
        CHECK(registry.fence({i, 0}, 1) == expected);
    }
}

// Guards against the answer `NotStarted` for an attempt that another incarnation may have started.
TEST(attempt_test, fenceForOtherIncarnationAnswersUnknown)
{
    attempt_registry registry(2);
    CHECK(registry.fence({1, 1}, 1) == fence_answer::Unknown);
    CHECK(registry.fence({1, 1}, 3) == fence_answer::Unknown);
    CHECK_EQUAL(0U, registry.size());
}

// Guards against two threads that both get `Started` for the same attempt.
TEST(attempt_test, concurrentStartsOfOneIdSucceedOnce)
{
    attempt_registry registry(1);
    std::atomic<int> startedCount{0};
    std::vector<std::thread> threads;
    for (int t = 0; t < 4; ++t) {
        threads.emplace_back([&registry, &startedCount] {
            for (std::uint64_t i = 0; i < 1000; ++i) {
                startedCount += registry.start({i, i}) == start_result::Started ? 1 : 0;
            }
        });
    }
    for (auto &thread : threads) {
        thread.join();
    }
    CHECK_EQUAL(1000, startedCount.load());
}
