#include "policy/fairqueue.h"

#include "base/random.h"
#include "src/policy/tests/seeds.h"

#include <CppUTest/TestHarness.h>
#include <atomic>
#include <set>
#include <string>
#include <thread>

using namespace hawthornpick;
using namespace hawthornpick::policy;
using namespace std::chrono_literals;

namespace {

const base::upstream_id UPSTREAM("node/a");

auto requestOf(std::uint64_t number, const std::string &organisation, base::time_point deadline,
               std::uint32_t weight = 1) -> slot_request
{
    return {{1, number}, base::organisation_id(organisation), weight, deadline, true};
}

} // namespace

TEST_GROUP(fair_queue)
{
    fair_queue queue{2};
    base::time_point now{1h};
    std::vector<base::result<slot_grant>> resumed;
    std::uint64_t nextAttempt = 0;

    void setup() override
    {
        queue.setUpstream(UPSTREAM, {1, 1}, now);
    }

    auto acquire(const std::string &organisation, base::duration remaining = 10s,
                 std::uint32_t weight = 1)
            ->base::result<std::optional<slot_grant>>
    {
        return queue.acquire(requestOf(++nextAttempt, organisation, now + remaining, weight), now,
                             [this](base::result<slot_grant> value) { resumed.push_back(value); });
    }

    //! Runs one request so that the queue has a mean service time.
    auto recordServiceTime(base::duration service)->void
    {
        const auto grant = acquire("teacher").value().value();
        now += service;
        queue.release(grant, true, now);
    }
};

// Guards against an unbounded queue, and against a wait that is certain to end in a refusal.
TEST(fair_queue, refusesRequestWhenFull)
{
    CHECK(acquire("a").value().has_value());
    CHECK(!acquire("a").value().has_value());
    CHECK(!acquire("a").value().has_value());
    CHECK(acquire("a").error().kind == base::error_kind::QueueFull);
    CHECK_EQUAL(2U, queue.load().waiting);
}

// Guards against slots that serve requests whose callers have given up: at twice the capacity these
// would take the place of requests that can still succeed.
TEST(fair_queue, refusesRequestThatCannotMeetItsDeadline)
{
    recordServiceTime(100ms);
    CHECK(acquire("a", 0ms).error().kind == base::error_kind::DeadlineBeforeStart);
    CHECK(acquire("a").value().has_value());
    CHECK(acquire("a", 150ms).error().kind == base::error_kind::DeadlineBeforeStart);
    CHECK(!acquire("a", 300ms).value().has_value());
    now += 250ms;
    queue.expire(now);
    CHECK_EQUAL(1U, resumed.size());
    CHECK(resumed.front().error().kind == base::error_kind::DeadlineBeforeStart);
}

// Guards against one organisation at several times its rate that gets the requests of the others
// refused.
TEST(fair_queue, fullQueueEvictsRequestOfOrganisationWithMostWaiting)
{
    CHECK(acquire("large").value().has_value());
    CHECK(!acquire("large").value().has_value());
    CHECK(!acquire("large").value().has_value());
    CHECK(!acquire("small").value().has_value());
    CHECK_EQUAL(1U, resumed.size());
    CHECK(resumed.front().error().kind == base::error_kind::QueueFull);
    CHECK(acquire("large").error().kind == base::error_kind::QueueFull);
}

// Guards against weights that are ignored or that starve the organisation with the smaller weight.
TEST(fair_queue, servesOrganisationsByWeight)
{
    fair_queue weightedQueue(100);
    weightedQueue.setUpstream(UPSTREAM, {1, 1}, now);
    std::map<std::string, int> started;
    std::optional<slot_grant> running =
            weightedQueue.acquire(requestOf(1, "heavy", now + 1h), now, {}).value().value();
    for (std::uint64_t i = 0; i < 40; ++i) {
        for (const auto &[name, weight] : {std::pair("heavy", 3U), std::pair("light", 1U)}) {
            const auto resume = [&started, &running, organisation = std::string(name)](auto value) {
                ++started[organisation];
                running = value.value();
            };
            (void)weightedQueue.acquire(requestOf(100 + i * 2 + weight, name, now + 1h, weight),
                                        now, resume);
        }
    }
    for (int i = 0; i < 40; ++i) {
        weightedQueue.release(*running, true, now);
    }
    CHECK_EQUAL(30, started["heavy"]);
    CHECK_EQUAL(10, started["light"]);
}

// Guards against the request of a disconnected caller that takes a slot later.
TEST(fair_queue, cancelledRequestNeverStarts)
{
    const auto first = acquire("a").value().value();
    CHECK(!acquire("a").value().has_value());
    CHECK(queue.cancel({1, nextAttempt}));
    CHECK(!queue.cancel({1, nextAttempt}));
    queue.release(first, true, now);
    CHECK(resumed.empty());
    CHECK(queue.idle());
}

// Guards against a graceful shutdown that aborts requests or admits new ones.
TEST(fair_queue, drainFinishesWaitingRequests)
{
    const auto first = acquire("a").value().value();
    CHECK(!acquire("b").value().has_value());
    queue.drain();
    CHECK(acquire("c").error().kind == base::error_kind::UpstreamDraining);
    queue.release(first, true, now);
    CHECK(resumed.front().has_value());
    queue.release(resumed.front().value(), true, now);
    CHECK(queue.idle());
}

// Guards against requests that wait on although their place is evacuated, and against a queue that
// counts them as waiting afterwards.
TEST(fair_queue, refusesAllWaitingRequests)
{
    const auto first = acquire("a").value().value();
    CHECK(!acquire("a").value().has_value());
    CHECK(!acquire("b").value().has_value());
    queue.refuseWaiting(base::error_kind::UpstreamEvacuated);
    LONGS_EQUAL(2, resumed.size());
    for (const auto &value : resumed) {
        CHECK(value.error().kind == base::error_kind::UpstreamEvacuated);
    }
    LONGS_EQUAL(0, queue.load().waiting);
    queue.release(first, true, now);
    CHECK(queue.idle());
    CHECK(acquire("a").value().has_value());
}

// Guards against requests that wait for an upstream which accepts no more requests.
TEST(fair_queue, refusesWaitingRequestsWithoutUsableUpstream)
{
    const auto first = acquire("a").value().value();
    CHECK(!acquire("a").value().has_value());
    queue.setUpstream(UPSTREAM, {1, 0}, now);
    CHECK(resumed.at(0).error().kind == base::error_kind::UpstreamEjected);
    CHECK(acquire("a").error().kind == base::error_kind::UpstreamEjected);
    queue.setUpstream(UPSTREAM, {1, 1, false, true}, now);
    CHECK(acquire("a").error().kind == base::error_kind::UpstreamDraining);
    queue.removeUpstream(UPSTREAM, now);
    CHECK(acquire("a").error().kind == base::error_kind::NoUpstream);
    queue.release(first, true, now);
    CHECK(queue.idle());
}

// Guards against requests that are not idempotent, or more than a small share of the idempotent
// ones, at an upstream on probation.
TEST(fair_queue, probationLimitsIdempotentRequests)
{
    queue.setUpstream(UPSTREAM, {1, 1, true}, now);
    auto request = requestOf(50, "a", now + 1s);
    request.idempotent = false;
    CHECK(queue.acquire(request, now, {}).error().kind == base::error_kind::UpstreamEjected);
    const auto probe = acquire("a").value().value();
    CHECK(acquire("a").error().kind == base::error_kind::QueueFull);
    queue.release(probe, true, now);
    CHECK(acquire("a").error().kind == base::error_kind::QueueFull);
    now += PROBE_INTERVAL;
    CHECK(acquire("a").value().has_value());
}

namespace {

//! Random operations on one queue; checks the bounds and that each request ends exactly once.
class random_queue_test
{
public:
    explicit random_queue_test(std::uint64_t seed) : m_seed(seed), m_random(seed)
    {
        m_queue.setUpstream(base::upstream_id("a"), {3, 3}, m_now);
        m_queue.setUpstream(base::upstream_id("b"), {2, 2}, m_now);
    }

    auto run(int steps) -> void
    {
        for (int i = 0; i < steps; ++i) {
            m_now += std::chrono::microseconds(m_random.below(20000));
            step(m_random.below(10));
            check();
        }
        finish();
    }

private:
    auto step(std::uint64_t choice) -> void
    {
        if (choice < 5) {
            enterOne();
        } else if (choice < 8) {
            releaseOne();
        } else if (choice == 8) {
            m_queue.expire(m_now);
            cancelOne();
        } else {
            changeUpstream();
        }
    }

    auto enterOne() -> void
    {
        const auto number = ++m_lastNumber;
        auto request = requestOf(number, "o" + std::to_string(m_random.below(4)),
                                 m_now + std::chrono::milliseconds(m_random.below(400)),
                                 static_cast<std::uint32_t>(m_random.below(4)));
        request.idempotent = m_random.chance(0.7);
        m_waiting.insert(number);
        const auto result = m_queue.acquire(request, m_now, [this, number](auto value) {
            CHECK_TEXT(m_waiting.contains(number), seedText("resumed twice").asCharString());
            onEntered(number, value);
        });
        if (!result) {
            m_waiting.erase(number);
        } else if (*result) {
            onEntered(number, **result);
        }
    }

    auto onEntered(std::uint64_t number, const base::result<slot_grant> &value) -> void
    {
        m_waiting.erase(number);
        if (value) {
            m_running.push_back(*value);
        }
    }

    auto releaseOne() -> void
    {
        if (m_running.empty()) {
            return;
        }
        const auto index = m_random.below(m_running.size());
        const auto grant = m_running.at(index);
        m_running.erase(m_running.begin() + static_cast<std::ptrdiff_t>(index));
        m_queue.release(grant, m_random.chance(0.9), m_now);
    }

    auto cancelOne() -> void
    {
        const auto number = 1 + m_random.below(m_lastNumber + 1);
        CHECK_TEXT(m_queue.cancel({1, number}) == m_waiting.contains(number),
                   seedText("wrong result of cancel").asCharString());
        m_waiting.erase(number);
    }

    auto changeUpstream() -> void
    {
        const base::upstream_id id(m_random.chance(0.5) ? "a" : "b");
        if (m_random.chance(0.2)) {
            m_queue.removeUpstream(id, m_now);
            return;
        }
        const auto usable = static_cast<std::uint32_t>(m_random.below(4));
        m_queue.setUpstream(id, {3, usable, m_random.chance(0.2), m_random.chance(0.1)}, m_now);
    }

    auto check() -> void
    {
        const auto load = m_queue.load();
        CHECK_TEXT(load.waiting == m_waiting.size(), seedText("waiting count").asCharString());
        CHECK_TEXT(load.waiting <= 6U * 4U, seedText("queue bound").asCharString());
        std::map<base::upstream_id, int> busy;
        for (const auto &grant : m_running) {
            CHECK_TEXT(++busy[grant.upstream] <= 3, seedText("slot bound").asCharString());
        }
    }

    auto finish() -> void
    {
        m_queue.setUpstream(base::upstream_id("a"), {3, 3}, m_now);
        while (!m_running.empty()) {
            releaseOne();
        }
        m_now += 1s;
        m_queue.expire(m_now);
        CHECK_TEXT(m_waiting.empty() && m_queue.idle(), seedText("request lost").asCharString());
    }

    auto seedText(const char *what) const -> SimpleString
    {
        return testsupport::seedText(m_seed, what);
    }

    std::uint64_t m_seed;
    base::random_source m_random;
    fair_queue m_queue{4};
    base::time_point m_now{1h};
    std::uint64_t m_lastNumber = 0;
    std::set<std::uint64_t> m_waiting;
    std::vector<slot_grant> m_running;
};

//! Two organisations always have requests waiting; checks that the difference between the numbers
//! of their grants stays bounded.
auto checkFairness(std::uint64_t seed) -> void
{
    base::random_source random(seed);
    fair_queue queue(8);
    base::time_point now{1h};
    queue.setUpstream(UPSTREAM, {4, 4}, now);
    std::vector<slot_grant> running;
    std::map<std::string, int> started;
    std::uint64_t number = 0;
    for (int step = 0; step < 2000; ++step) {
        for (const auto &[name, requestsPerStep] : {std::pair("flood", 5), std::pair("small", 1)}) {
            for (int i = 0; i < requestsPerStep; ++i) {
                const std::string organisation(name);
                const auto start = [&, organisation](const base::result<slot_grant> &value) {
                    if (value) {
                        ++started[organisation];
                        running.push_back(*value);
                    }
                };
                const auto result =
                        queue.acquire(requestOf(++number, organisation, now + 1h), now, start);
                if (result && *result) {
                    start(**result);
                }
            }
        }
        const auto index = random.below(running.size());
        const auto grant = running.at(index);
        running.erase(running.begin() + static_cast<std::ptrdiff_t>(index));
        queue.release(grant, true, now);
    }
    const int difference = std::abs(started["flood"] - started["small"]);
    CHECK_TEXT(difference <= 6,
               testsupport::seedText(seed, "unequal number of grants").asCharString());
}

} // namespace

// Guards against requests that are never resumed or resumed twice, and against exceeded bounds.
TEST(fair_queue, randomOperationsKeepInvariants)
{
    testsupport::forEachSeed(200, [](std::uint64_t seed) { random_queue_test(seed).run(400); });
}

// Guards against an organisation that floods the queue and gets more than its share of the slots.
TEST(fair_queue, floodGetsNoMoreThanItsShare)
{
    testsupport::forEachSeed(20, checkFairness);
}

// Guards against lost requests when I/O threads acquire, release and cancel concurrently.
TEST(fair_queue, concurrentUseLosesNoRequest)
{
    fair_queue sharedQueue(50);
    sharedQueue.setUpstream(UPSTREAM, {4, 4}, now);
    std::atomic<int> ended{0};
    std::function<void(const slot_grant &)> finish = [&](const slot_grant &grant) {
        ++ended;
        sharedQueue.release(grant, true, now);
    };
    const auto runThread = [&](std::uint64_t thread) {
        for (std::uint64_t i = 0; i < 2000; ++i) {
            const auto request = requestOf(thread * 10000 + i, std::to_string(thread), now + 1h);
            const auto result = sharedQueue.acquire(request, now, [&](const auto &value) {
                value ? finish(*value) : static_cast<void>(++ended);
            });
            if (!result || (!*result && i % 3 == 0 && sharedQueue.cancel(request.attempt))) {
                ++ended;
            } else if (*result) {
                finish(**result);
            }
        }
    };
    std::vector<std::thread> threads;
    for (std::uint64_t thread = 0; thread < 4; ++thread) {
        threads.emplace_back(runThread, thread);
    }
    for (auto &thread : threads) {
        thread.join();
    }
    CHECK_EQUAL(8000, ended.load());
    CHECK(sharedQueue.idle());
}
