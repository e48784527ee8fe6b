#include "policy/coldstartgate.h"

#include "base/random.h"
#include "src/policy/tests/seeds.h"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <vector>

using namespace hawthornpick;
using policy::cold_start_gate;
using policy::cold_state;
using policy::cold_terms;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const base::time_point START{seconds(1000)};
const cold_terms TERMS{4.0, 1.25, seconds(10)};
constexpr std::size_t MAX_STARTS = 5;

//! Sends a request at once if the gate allows it.
auto trySend(cold_start_gate &gate, const cold_terms &terms, base::time_point now) -> bool
{
    const bool isReserved = gate.tryReserve(terms, now);
    if (isReserved) {
        gate.onSent(terms, now);
    }
    return isReserved;
}

//! Returns the largest number of the times, in order, within one second, both ends included.
auto maxInOneSecond(const std::vector<base::time_point> &times) -> std::size_t
{
    std::size_t most = 0;
    for (auto last = times.begin(); last != times.end(); ++last) {
        const auto first = std::lower_bound(times.begin(), last, *last - seconds(1));
        most = std::max(most, static_cast<std::size_t>(last - first) + 1);
    }
    return most;
}

//! Requests of one upstream whose connections take different times.
class request_run
{
public:
    request_run(std::uint64_t seed, cold_start_gate &gate) : m_random(seed), m_gate(gate) {}

    auto offer(const cold_terms &terms, base::time_point now) -> void
    {
        sendDue(terms, now);
        if (m_gate.tryReserve(terms, now)) {
            const auto delay = milliseconds(m_random.chance(0.2) ? m_random.below(400) : 0);
            m_opening.push_back(now + delay);
        }
    }

    [[nodiscard]] auto sent() const -> const std::vector<base::time_point> & { return m_sent; }

private:
    auto sendDue(const cold_terms &terms, base::time_point now) -> void
    {
        std::sort(m_opening.begin(), m_opening.end());
        while (!m_opening.empty() && m_opening.front() <= now) {
            if (m_random.chance(0.1)) {
                m_gate.cancelReservation();
            } else {
                m_gate.onSent(terms, now);
                m_sent.push_back(now);
            }
            m_opening.erase(m_opening.begin());
        }
    }

    base::random_source m_random;
    cold_start_gate &m_gate;
    std::vector<base::time_point> m_opening;
    std::vector<base::time_point> m_sent;
};

} // namespace

TEST_GROUP(cold_start_gate){};

// Guards against an upstream that crashes because the waiting work of all entry nodes reaches it in
// the second in which its failure domain comes back. The upstream says after a while that it stays
// cold for some seconds.
TEST(cold_start_gate, sparesAColdUpstreamFromTheWaveThatReturns)
{
    constexpr int ENTRY_NODES = 40;
    testsupport::forEachSeed(30, [](std::uint64_t seed) {
        base::random_source random(seed);
        cold_start_gate gate(START - seconds(60));
        gate.onAnnouncement(true, base::duration::zero(), START - seconds(60));
        gate.onDoubt(START);
        request_run run(seed, gate);
        const auto answerTime = START + milliseconds(random.below(2000));
        const auto coldTime = seconds(3);
        bool isAnswered = false;
        auto now = START;
        for (int node = 0; now < answerTime + coldTime; ++node) {
            now += std::chrono::microseconds(random.below(2'000'000 / ENTRY_NODES / 10));
            if (!isAnswered && now >= answerTime) {
                isAnswered = true;
                gate.onAnswer(answerTime + coldTime - now, answerTime, now);
            }
            // Announcements that were sent before the evacuation.
            if (node % 100 == 0) {
                gate.onAnnouncement(false, base::duration::zero(), now);
            }
            run.offer(TERMS, now);
        }
        CHECK_TEXT(maxInOneSecond(run.sent()) <= MAX_STARTS,
                   testsupport::seedText(seed, "more than the rate").asCharString());
        const auto wholeSeconds = static_cast<std::size_t>((now - START) / seconds(1));
        CHECK_TEXT(run.sent().size() >= wholeSeconds * (MAX_STARTS - 2),
                   testsupport::seedText(seed, "starts unused").asCharString());
        CHECK(gate.state(TERMS, now) == cold_state::Warm);
        const auto coldCount = run.sent().size();
        for (int i = 0; i < 100; ++i) {
            run.offer(TERMS, now + seconds(1));
        }
        CHECK(run.sent().size() > coldCount + 50);
    });
}

// Guards against an order of events that opens the gate of an upstream that is cold or in doubt, or
// closes that of a warm one.
TEST(cold_start_gate, keepsTheRateWhateverHappens)
{
    testsupport::forEachSeed(30, [](std::uint64_t seed) {
        base::random_source random(seed);
        cold_start_gate gate(START);
        const cold_terms terms{0.3 + random.unit() * 12.0, 1.0 + random.unit(), seconds(5)};
        request_run run(seed, gate);
        std::vector<base::time_point> limitedSends;
        auto limitedSince = START;
        auto now = START;
        std::size_t seen = 0;
        for (int i = 0; i < 20'000; ++i) {
            now += milliseconds(random.below(10));
            const auto event = random.below(400);
            if (event == 0) {
                gate.onDoubt(now);
            } else if (event == 1) {
                gate.onAnswer(milliseconds(random.below(3000)), now - milliseconds(30), now);
            } else if (event < 4) {
                gate.onAnnouncement(random.chance(0.1), milliseconds(random.below(2000)), now);
            } else if (event == 4 && gate.tryReserveQuestion(terms, now)) {
                gate.cancelReservation();
            }
            const bool isWarm = gate.state(terms, now) == cold_state::Warm;
            limitedSince = isWarm ? now : limitedSince;
            run.offer(terms, now);
            CHECK_TEXT(!isWarm || gate.nextStart(terms, now) == now,
                       testsupport::seedText(seed, "warm upstream limited").asCharString());
            // Requests that were reserved before the upstream became cold are sent within 400 ms.
            const bool hasSent = seen < run.sent().size();
            for (; seen < run.sent().size(); ++seen) {
                if (now - limitedSince > milliseconds(500)) {
                    limitedSends.push_back(now);
                } else {
                    limitedSends.clear();
                }
            }
            if (isWarm) {
                limitedSends.clear();
            }
            const auto maxStarts =
                    std::max<std::size_t>(1, static_cast<std::size_t>(terms.startRate()));
            CHECK_TEXT(!hasSent || maxInOneSecond(limitedSends) <= maxStarts,
                       testsupport::seedText(seed, "more than the rate").asCharString());
            if (limitedSends.size() > 50) {
                limitedSends.erase(limitedSends.begin(), limitedSends.begin() + 20);
            }
        }
    });
}

// Guards against limits for services that have none, and against a rate of nothing that is taken
// for no limit.
TEST(cold_start_gate, limitsOnlyServicesWithARate)
{
    cold_start_gate gate(START);
    gate.onAnnouncement(true, seconds(10), START);
    for (int i = 0; i < 1000; ++i) {
        CHECK(trySend(gate, {}, START));
    }
    CHECK(gate.state({}, START) == cold_state::Warm);
    CHECK(!gate.tryReserve({4.0, 0.0, seconds(10)}, START));
    CHECK(gate.nextStart({4.0, 0.0, seconds(10)}, START) == base::time_point::max());
}

// Guards against a delayed announcement, sent before the upstream restarted or its failure domain
// was evacuated, that makes it count as warm.
TEST(cold_start_gate, delayedAnnouncementsEndNoDoubt)
{
    cold_start_gate gate(START);
    CHECK(gate.state(TERMS, START) == cold_state::InDoubt);
    gate.onAnnouncement(true, base::duration::zero(), START);
    CHECK(gate.state(TERMS, START) == cold_state::Warm);
    gate.onDoubt(START);
    gate.onAnnouncement(false, base::duration::zero(), START + seconds(1));
    CHECK(gate.state(TERMS, START + seconds(1)) == cold_state::InDoubt);
    gate.onAnswer(seconds(4), START + seconds(1), START + seconds(2));
    gate.onAnnouncement(false, base::duration::zero(), START + seconds(4));
    CHECK(gate.state(TERMS, START + seconds(5)) == cold_state::Cold);
    CHECK(gate.state(TERMS, START + seconds(6)) == cold_state::Warm);

    // An answer to a question that was asked before the sign of a restart.
    gate.onDoubt(START + seconds(7));
    gate.onAnswer(base::duration::zero(), START + milliseconds(6900), START + seconds(7));
    CHECK(gate.state(TERMS, START + seconds(7)) == cold_state::InDoubt);
    const auto trusted = START + seconds(7) + cold_start_gate::MAX_ANNOUNCEMENT_DELAY;
    gate.onAnnouncement(false, base::duration::zero(), trusted);
    CHECK(gate.state(TERMS, trusted) == cold_state::Warm);

    // Without any news, the cold time passes.
    gate.onDoubt(trusted);
    CHECK(gate.state(TERMS, trusted + TERMS.coldTime - milliseconds(1)) == cold_state::InDoubt);
    CHECK(gate.state(TERMS, trusted + TERMS.coldTime) == cold_state::Warm);
    CHECK(gate.state({4.0, 1.25, {}}, trusted + seconds(3600)) == cold_state::InDoubt);
}

// Guards against a new process of an upstream that counts as warm because the former one was.
TEST(cold_start_gate, newIncarnationsAreColdUntilTheySayOtherwise)
{
    cold_start_gate gate(START);
    gate.onAnnouncement(true, base::duration::zero(), START);
    gate.onAnnouncement(true, std::nullopt, START);
    CHECK(gate.state(TERMS, START) == cold_state::InDoubt);
    gate.onAnnouncement(true, seconds(8), START);
    CHECK(gate.state(TERMS, START + seconds(7)) == cold_state::Cold);
    CHECK(gate.state(TERMS, START + seconds(8)) == cold_state::Warm);
}

// Guards against a health question that is never asked because requests take all starts.
TEST(cold_start_gate, questionTakesPrecedenceOverRequests)
{
    cold_start_gate gate(START);
    std::vector<base::time_point> sent;
    bool isAsked = false;
    for (auto now = START; now < START + seconds(3) && !isAsked; now += milliseconds(5)) {
        if (trySend(gate, TERMS, now)) {
            sent.push_back(now);
        }
        if (now > START + milliseconds(300) && gate.tryReserveQuestion(TERMS, now)) {
            gate.onSent(TERMS, now);
            sent.push_back(now);
            isAsked = true;
        }
    }
    CHECK(isAsked);
    CHECK(maxInOneSecond(sent) <= MAX_STARTS);

    // A question that is expected is asked as soon as it can be, whatever came before it.
    cold_start_gate expecting(START);
    expecting.expectQuestion(START);
    for (int i = 0; i < 20; ++i) {
        trySend(expecting, TERMS, START);
    }
    CHECK(expecting.tryReserveQuestion(TERMS, START));
    CHECK(!expecting.tryReserve(TERMS, START));
}
