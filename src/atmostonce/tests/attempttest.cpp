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

auto seedCount(std::uint64_t fallback) -> std::uint64_t
{
    const auto *text = std::getenv("HAWTHORNPICK_SEEDS");
    return text == nullptr ? fallback : std::strtoull(text, nullptr, 10);
}

const base::node_id ENTRY{"entry"};
const base::node_id EXECUTOR{"executor"};

// One entry node and one executing node that restarts. Start messages travel over the network as
// requests do, so that they race with fences.
class attempt_run
{
public:
    explicit attempt_run(std::uint64_t seed)
        : m_network(seed, {0.2, 0.2, 200us, 300ms}),
          m_fences([this](const auto &task) { m_network.send(ENTRY, task(m_network.now())); })
    {
        restart();
        m_network.attach(
                ENTRY,
                [this](const auto &from, auto, auto payload, auto now) {
                    return m_fences.receive(from, payload, now);
                },
                [this](auto now) { return m_fences.tick(now); });
    }

    auto run() -> void
    {
        for (int i = 0; i < 60; ++i) {
            step();
            m_network.run(m_network.random().below(200) * 1ms, [this] { check(); });
        }
        m_network.run(5s, [this] { check(); });
        CHECK_EQUAL(m_asked, m_answered);
    }

private:
    auto restart() -> void
    {
        m_registry = std::make_unique<attempt_registry>(++m_incarnation);
        m_server = std::make_unique<fence_server>(*m_registry);
        m_network.attach(
                EXECUTOR,
                [this](const auto &from, auto kind, auto payload, auto) {
                    return kind == base::channel::Fence ? m_server->receive(from, payload)
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
        if (m_incarnations.at(number) != m_incarnation) {
            return {};
        }
        if (m_registry->start({number, 7}) == start_result::Started) {
            ++m_starts[number];
        }
        return {};
    }

    auto step() -> void
    {
        auto &random = m_network.random();
        if (random.chance(0.05)) {
            restart();
        }
        if (random.chance(0.1)) {
            m_network.cut(EXECUTOR, ENTRY);
        } else {
            m_network.healAll();
        }
        const auto number = ++m_lastAttempt;
        m_incarnations[number] = m_incarnation;
        m_network.send(ENTRY, {{EXECUTOR, base::channel::Membership, std::to_string(number)}});
        if (random.chance(0.7)) {
            ++m_asked;
            m_fences.ask({{number, 7}, EXECUTOR, m_incarnation}, 2s,
                         [this, number](fence_answer answer) {
                             ++m_answered;
                             if (answer == fence_answer::NotStarted) {
                                 m_notStarted.insert(number);
                             }
                         });
        }
    }

    auto check() -> void
    {
        for (const auto &[number, count] : m_starts) {
            CHECK_EQUAL(1, count);
            CHECK_FALSE(m_notStarted.contains(number));
        }
    }

    testsupport::virtual_network m_network;
    fence_client m_fences;
    base::incarnation m_incarnation = 0;
    std::unique_ptr<attempt_registry> m_registry;
    std::unique_ptr<fence_server> m_server;
    std::uint64_t m_lastAttempt = 0;
    std::map<std::uint64_t, base::incarnation> m_incarnations;
    std::map<std::uint64_t, int> m_starts;
    std::set<std::uint64_t> m_notStarted;
    int m_asked = 0;
    int m_answered = 0;
};

} // namespace

TEST_GROUP(attempt_test){};

// Guards against a second start of an attempt and against a start after "not started".
TEST(attempt_test, randomFaultsNeverBreakAnAnswer)
{
    for (std::uint64_t seed = 1; seed <= seedCount(20); ++seed) {
        UT_PRINT(("seed " + std::to_string(seed)).c_str());
        attempt_run(seed).run();
    }
}

// Guards against a fence that is forgotten while the process was paused and its request waits.
TEST(attempt_test, pauseDoesNotShortenTheMemory)
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

// Guards against early forgetting at the memory bound.
TEST(attempt_test, fullRegistryRefusesAndKeepsWhatItKnows)
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

// Guards against "not started" about an attempt that an earlier incarnation may have started.
TEST(attempt_test, otherIncarnationIsUnknown)
{
    attempt_registry registry(2);
    CHECK(registry.fence({1, 1}, 1) == fence_answer::Unknown);
    CHECK(registry.fence({1, 1}, 3) == fence_answer::Unknown);
    CHECK_EQUAL(0U, registry.size());
}

// Guards against two threads that both start the same attempt.
TEST(attempt_test, concurrentStartsOfOneIdGiveOneWinner)
{
    attempt_registry registry(1);
    std::atomic<int> winners{0};
    std::vector<std::thread> threads;
    for (int t = 0; t < 4; ++t) {
        threads.emplace_back([&registry, &winners] {
            for (std::uint64_t i = 0; i < 1000; ++i) {
                winners += registry.start({i, i}) == start_result::Started ? 1 : 0;
            }
        });
    }
    for (auto &thread : threads) {
        thread.join();
    }
    CHECK_EQUAL(1000, winners.load());
}
