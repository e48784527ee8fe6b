#include "policy/healthbelief.h"

#include "base/random.h"

#include <CppUTest/TestHarness.h>
#include <cmath>
#include <vector>

using namespace hawthornpick;
using policy::health_belief;
using policy::health_evidence;
using std::chrono::milliseconds;

namespace {

const base::route_id ROUTE("r");
constexpr milliseconds TARGET{800};

//! An upstream that alternates between answering and hanging on 75% of its requests, with requests
//! at random times and log-normal work, as on the platform's calm days.
class hanging_upstream
{
public:
    hanging_upstream(std::uint64_t seed, double requestsPerSecond)
        : m_random(seed), m_rate(requestsPerSecond), m_belief({}, m_latencies)
    {}

    //! Runs for a while in one state and returns the mean health over the last part.
    auto run(milliseconds span, bool isHanging, milliseconds last) -> double
    {
        const auto end = m_now + span;
        double sum = 0.0;
        int samples = 0;
        for (; m_now < end; m_now += milliseconds(10)) {
            finish();
            if (m_random.chance(m_rate / 100.0)) {
                startRequest(isHanging);
            }
            if (m_now + last >= end) {
                sum += m_belief.health(m_now);
                ++samples;
            }
        }
        return sum / samples;
    }

    //! Time until the health falls below one half after the upstream starts to hang.
    auto timeToDoubt() -> milliseconds
    {
        const auto start = m_now;
        while (m_now < start + milliseconds(5000) && m_belief.health(m_now) >= 0.5) {
            run(milliseconds(10), true, milliseconds(10));
        }
        return std::chrono::duration_cast<milliseconds>(m_now - start);
    }

private:
    struct open_request
    {
        base::attempt_id attempt;
        base::time_point endsAt;
        bool isHung = false;
    };

    auto startRequest(bool isHanging) -> void
    {
        const auto attempt = m_random.attemptId();
        const bool isHung = isHanging && m_random.chance(0.75);
        const double normal = std::sqrt(-2.0 * std::log(1.0 - m_random.unit()))
                              * std::cos(6.28318 * m_random.unit());
        const double work = 0.24 * std::exp(0.5 * normal);
        const auto time = milliseconds(static_cast<int>(1000.0 * (isHung ? 1.2 : work)));
        m_open.push_back({attempt, m_now + time, isHung});
        m_belief.onStart(attempt, ROUTE, TARGET, m_now);
    }

    auto finish() -> void
    {
        for (auto item = m_open.begin(); item != m_open.end();) {
            if (item->endsAt > m_now) {
                ++item;
                continue;
            }
            if (!item->isHung) {
                m_latencies.record(ROUTE, milliseconds(240));
            }
            m_belief.onEnd(item->attempt,
                           item->isHung ? health_evidence::ServerError : health_evidence::Answered,
                           m_now);
            item = m_open.erase(item);
        }
    }

    base::random_source m_random;
    double m_rate;
    policy::latency_model m_latencies;
    health_belief m_belief;
    std::vector<open_request> m_open;
    base::time_point m_now{std::chrono::seconds(100)};
};

} // namespace

TEST_GROUP(health_belief){};

// Guards against finding a hanging upstream late: the target is one second after the usual p99 of
// the service, which is 0.77 s for this work.
TEST(health_belief, doubtsAHangingUpstreamWithinItsTarget)
{
    int late = 0;
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        hanging_upstream upstream(seed, 8.0);
        upstream.run(milliseconds(8000), false, milliseconds(1000));
        late += upstream.timeToDoubt() > milliseconds(1770) ? 1 : 0;
    }
    CHECK_TEXT(late <= 2, std::to_string(late).c_str());
}

// Guards against avoiding sound upstreams: their mean health stays above 0.85.
TEST(health_belief, trustsASoundUpstream)
{
    for (std::uint64_t seed = 1; seed <= 50; ++seed) {
        hanging_upstream upstream(seed, 8.0);
        CHECK(upstream.run(milliseconds(20'000), false, milliseconds(15'000)) > 0.85);
    }
}

// Guards against avoiding an upstream for good that answers again.
TEST(health_belief, trustsAnUpstreamThatAnswersAgain)
{
    for (std::uint64_t seed = 1; seed <= 50; ++seed) {
        hanging_upstream upstream(seed, 4.0);
        upstream.run(milliseconds(6000), false, milliseconds(1000));
        CHECK(upstream.run(milliseconds(6000), true, milliseconds(2000)) < 0.6);
        CHECK(upstream.run(milliseconds(6000), false, milliseconds(1000)) > 0.75);
    }
}

// Guards against taking refusals of an upstream for hanging: they show nothing about the requests
// that it runs.
TEST(health_belief, ignoresRefusals)
{
    policy::latency_model latencies;
    health_belief belief({}, latencies);
    base::random_source random(3);
    base::time_point now{std::chrono::seconds(100)};
    const auto before = belief.health(now);
    for (int i = 0; i < 20; ++i) {
        const auto attempt = random.attemptId();
        belief.onStart(attempt, ROUTE, TARGET, now);
        belief.onEnd(attempt, health_evidence::Refused, now);
    }
    DOUBLES_EQUAL(before, belief.health(now), 0.02);
}
