#include "app/internal/overloadcontrol.h"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

using namespace hawthornpick;
using app::overload_control;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const base::service_id SERVICE("s");
constexpr std::size_t NODES = 20;
constexpr std::uint32_t SLOTS = 5;
constexpr std::uint32_t QUEUE_PER_SLOT = 4;
constexpr double SERVICE_SECONDS = 0.2;
constexpr std::uint32_t RANKS = 4;

auto loadWithLevel(std::uint32_t lowestRank) -> policy::service_load
{
    policy::service_load load;
    load.lowestRank = lowestRank;
    return load;
}

//! Entry nodes and upstreams in virtual time. Requests of four ranks, equally many of each, go to
//! random upstreams; the entry nodes hear of the load of an upstream 50 to 500 ms after an answer
//! or refusal.
class fleet_replay
{
public:
    explicit fleet_replay(std::uint64_t seed) : m_random(seed)
    {
        for (std::size_t i = 0; i < NODES; ++i) {
            m_entries.push_back(std::make_unique<overload_control>(m_metrics, seed * 100 + i));
            m_queues.push_back(std::make_unique<policy::slot_queue>(policy::queue_order::Cost,
                                                                    QUEUE_PER_SLOT));
            m_queues.back()->setUpstream(base::upstream_id("u"), {SLOTS, SLOTS, false, false},
                                         m_now);
        }
    }

    //! Counts of one half second.
    struct sample
    {
        int sent = 0;
        int refusedAtEntry = 0;
        double busySeconds = 0.0;

        [[nodiscard]] auto utilisation() const -> double
        {
            return busySeconds / 0.5 / (NODES * SLOTS);
        }
    };

    //! `load` is relative to what the slots can serve.
    auto run(double load, milliseconds span) -> std::vector<sample>
    {
        std::vector<sample> samples;
        const double requestsPerMillisecond = load * NODES * SLOTS / SERVICE_SECONDS / 1000.0;
        for (milliseconds passed{0}; passed < span; passed += milliseconds(1)) {
            if (passed % milliseconds(500) == milliseconds(0)) {
                samples.emplace_back();
            }
            m_now += milliseconds(1);
            runEvents();
            double due = requestsPerMillisecond;
            for (; due >= 1.0 || m_random.chance(due); due -= 1.0) {
                send(samples.back());
                if (due < 1.0) {
                    break;
                }
            }
            for (const auto &queue : m_queues) {
                if (passed % milliseconds(50) == milliseconds(0)) {
                    queue->expire(m_now);
                }
                samples.back().busySeconds += queue->load().busySlots / 1000.0;
            }
        }
        return samples;
    }

    //! True if requests wait anywhere.
    [[nodiscard]] auto isBacklogged() const -> bool
    {
        return std::any_of(m_queues.begin(), m_queues.end(),
                           [](const auto &queue) { return queue->load().waiting > 0; });
    }

private:
    auto send(sample &counts) -> void
    {
        const auto entry = m_random.below(NODES);
        const auto target = m_random.below(NODES);
        policy::slot_request request;
        request.attempt = m_random.attemptId();
        request.organisation = base::organisation_id("a");
        request.priority = static_cast<std::uint32_t>(m_random.below(RANKS));
        request.expectedServiceTime = base::fromSeconds(SERVICE_SECONDS);
        request.target = m_now + seconds(1);
        request.deadline = m_now + seconds(2);
        ++counts.sent;
        if (!m_entries[entry]->refusalOf(SERVICE, request.priority, m_now).empty()) {
            ++counts.refusedAtEntry;
            return;
        }
        const auto resume = [this, entry, target](const auto &granted) {
            granted ? start(*granted, entry, target) : report(entry, target);
        };
        const auto answer = m_queues[target]->acquire(request, m_now, resume);
        if (!answer) {
            report(entry, target);
        } else if (*answer) {
            start(**answer, entry, target);
        }
    }

    auto start(const policy::slot_grant &grant, std::size_t entry, std::size_t target) -> void
    {
        const auto end = m_now + base::fromSeconds(SERVICE_SECONDS * (0.5 + m_random.unit()));
        m_events.emplace(end, [this, grant, entry, target] {
            m_queues[target]->release(grant, true, m_now);
            report(entry, target);
        });
    }

    auto report(std::size_t entry, std::size_t target) -> void
    {
        const auto load = m_queues[target]->load();
        const auto delay = milliseconds(50 + m_random.below(450));
        m_events.emplace(m_now + delay, [this, load, entry, target] {
            m_entries[entry]->onLoad(base::node_id(std::to_string(target)), SERVICE, load, m_now);
        });
    }

    auto runEvents() -> void
    {
        while (!m_events.empty() && m_events.begin()->first <= m_now) {
            const auto action = std::move(m_events.begin()->second);
            m_events.erase(m_events.begin());
            action();
        }
    }

    base::random_source m_random;
    base::metrics m_metrics;
    std::vector<std::unique_ptr<overload_control>> m_entries;
    std::vector<std::unique_ptr<policy::slot_queue>> m_queues;
    std::multimap<base::time_point, std::function<void()>> m_events;
    base::time_point m_now{seconds(100)};
};

} // namespace

TEST_GROUP(overload_control)
{
    base::metrics m_metrics;
    overload_control m_control{m_metrics, 5};
    base::time_point m_now{seconds(100)};

    // Share of the requests of rank 1 that are refused if `excluding` of ten upstreams exclude it.
    auto refusedShare(int excluding)->double
    {
        for (int i = 0; i < 10; ++i) {
            const auto level = i < excluding ? 0U : policy::admission_level::ALL_RANKS;
            m_control.onLoad(base::node_id(std::to_string(i)), SERVICE, loadWithLevel(level),
                             m_now);
        }
        int refused = 0;
        for (int i = 0; i < 1000; ++i) {
            refused += m_control.refusalOf(SERVICE, 1, m_now).empty() ? 0 : 1;
        }
        return refused / 1000.0;
    }
};

// Guards against a rank that is refused although other upstreams still admit it.
TEST(overload_control, refusesInProportionToTheUpstreamsThatExcludeTheRank)
{
    DOUBLES_EQUAL(0.0, refusedShare(5), 0.0);
    DOUBLES_EQUAL(0.475, refusedShare(7), 0.06);
    DOUBLES_EQUAL(0.95, refusedShare(9), 0.03);
    DOUBLES_EQUAL(0.95, refusedShare(10), 0.03);
    CHECK(m_control.refusalOf(SERVICE, 0, m_now).empty());
}

// Guards against a rank that stays locked out at a node that hears of no upstream any more.
TEST(overload_control, admitsEverythingWithoutRecentReports)
{
    CHECK(refusedShare(10) > 0.9);
    m_now += milliseconds(1001);
    for (int i = 0; i < 100; ++i) {
        CHECK(m_control.refusalOf(SERVICE, 1, m_now).empty());
    }
}

// Guards against slots that stay free, and against requests that are all admitted or all refused in
// turns, while the load is up to three times what the slots serve and the reports are late; and
// against refusals that go on when the load has ended.
TEST(overload_control, keepsSlotsBusyAndOpensAfterOverload)
{
    for (const double load : {1.5, 2.0, 3.0}) {
        for (std::uint64_t seed = 1; seed <= 3; ++seed) {
            const auto text =
                    "load " + std::to_string(load) + " seed " + std::to_string(seed) + ": ";
            fleet_replay replay(seed);
            auto samples = replay.run(load, milliseconds(15'000));
            samples.erase(samples.begin(), samples.begin() + 6);
            double utilisation = 0.0;
            double lowestRefused = 1.0;
            double highestRefused = 0.0;
            for (const auto &item : samples) {
                utilisation += item.utilisation() / static_cast<double>(samples.size());
                const double refused = static_cast<double>(item.refusedAtEntry) / item.sent;
                lowestRefused = std::min(lowestRefused, refused);
                highestRefused = std::max(highestRefused, refused);
            }
            const auto result = text + "utilisation " + std::to_string(utilisation)
                                + ", refused at entry " + std::to_string(lowestRefused) + " to "
                                + std::to_string(highestRefused);
            CHECK_TEXT(utilisation > 0.9, result.c_str());
            CHECK_TEXT(highestRefused - lowestRefused < 0.5, result.c_str());
            CHECK_TEXT(highestRefused < 0.9, result.c_str());
            while (replay.isBacklogged()) {
                replay.run(0.5, milliseconds(10));
            }
            replay.run(0.5, milliseconds(1000));
            for (const auto &item : replay.run(0.5, milliseconds(2000))) {
                CHECK_EQUAL_TEXT(0, item.refusedAtEntry, text.c_str());
            }
        }
    }
}
