#include "policy/healthestimator.h"

#include "base/random.h"

#include <CppUTest/TestHarness.h>
#include <cmath>
#include <vector>

using namespace hawthornpick;
using policy::health_estimator;
using policy::health_evidence;
using std::chrono::milliseconds;

namespace {

const base::route_id ROUTE("r");
constexpr milliseconds TARGET{800};

//! An upstream that alternates between answering and hanging on 75% of its requests. Requests
//! arrive at random times with log-normal service times, as on the platform's calm days.
class hanging_upstream
{
public:
    hanging_upstream(std::uint64_t seed, double requestsPerSecond)
        : m_random(seed), m_rate(requestsPerSecond), m_estimator({}, m_latencies)
    {}

    //! Runs for `span` in one state and returns the mean health over the last part.
    auto run(milliseconds span, bool isHanging, milliseconds sampledSpan) -> double
    {
        const auto end = m_now + span;
        double sum = 0.0;
        int samples = 0;
        for (; m_now < end; m_now += milliseconds(10)) {
            endDueRequests();
            if (m_random.chance(m_rate / 100.0)) {
                startRequest(isHanging);
            }
            if (m_now + sampledSpan >= end) {
                sum += m_estimator.health(m_now);
                ++samples;
            }
        }
        return sum / samples;
    }

    //! Returns the time until the health falls below one half after the upstream starts to hang.
    auto timeToLowHealth() -> milliseconds
    {
        const auto start = m_now;
        while (m_now < start + milliseconds(5000) && m_estimator.health(m_now) >= 0.5) {
            run(milliseconds(10), true, milliseconds(10));
        }
        return std::chrono::duration_cast<milliseconds>(m_now - start);
    }

private:
    struct running_request
    {
        base::attempt_id attempt;
        base::time_point endsAt;
        bool isHung = false;
    };

    auto startRequest(bool isHanging) -> void
    {
        const auto attempt = m_random.attemptId();
        const bool isHung = isHanging && m_random.chance(0.75);
        const double standardNormal = std::sqrt(-2.0 * std::log(1.0 - m_random.unit()))
                                      * std::cos(6.28318 * m_random.unit());
        const double serviceSeconds = 0.24 * std::exp(0.5 * standardNormal);
        const auto duration =
                milliseconds(static_cast<int>(1000.0 * (isHung ? 1.2 : serviceSeconds)));
        m_running.push_back({attempt, m_now + duration, isHung});
        m_estimator.onStart(attempt, ROUTE, TARGET, m_now);
    }

    auto endDueRequests() -> void
    {
        for (auto item = m_running.begin(); item != m_running.end();) {
            if (item->endsAt > m_now) {
                ++item;
                continue;
            }
            if (!item->isHung) {
                m_latencies.record(ROUTE, milliseconds(240));
            }
            m_estimator.onEnd(
                    item->attempt,
                    item->isHung ? health_evidence::ServerError : health_evidence::Answered, m_now);
            item = m_running.erase(item);
        }
    }

    base::random_source m_random;
    double m_rate;
    policy::latency_model m_latencies;
    health_estimator m_estimator;
    std::vector<running_request> m_running;
    base::time_point m_now{std::chrono::seconds(100)};
};

} // namespace

TEST_GROUP(health_estimator){};

// Guards against late detection of a hanging upstream. The limit is one second after the usual p99
// of the service, which is 0.77 s for these service times.
TEST(health_estimator, detectsHangingUpstreamInTime)
{
    int lateDetections = 0;
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        hanging_upstream upstream(seed, 8.0);
        upstream.run(milliseconds(8000), false, milliseconds(1000));
        lateDetections += upstream.timeToLowHealth() > milliseconds(1770) ? 1 : 0;
    }
    CHECK_TEXT(lateDetections <= 2, std::to_string(lateDetections).c_str());
}

// Guards against avoiding healthy upstreams: their mean health stays above 0.85.
TEST(health_estimator, keepsHealthOfHealthyUpstreamHigh)
{
    for (std::uint64_t seed = 1; seed <= 50; ++seed) {
        hanging_upstream upstream(seed, 8.0);
        CHECK(upstream.run(milliseconds(20'000), false, milliseconds(15'000)) > 0.85);
    }
}

// Guards against avoiding an upstream after it answers again.
TEST(health_estimator, healthRisesWhenUpstreamAnswersAgain)
{
    for (std::uint64_t seed = 1; seed <= 50; ++seed) {
        hanging_upstream upstream(seed, 4.0);
        upstream.run(milliseconds(6000), false, milliseconds(1000));
        CHECK(upstream.run(milliseconds(6000), true, milliseconds(2000)) < 0.6);
        CHECK(upstream.run(milliseconds(6000), false, milliseconds(1000)) > 0.75);
    }
}

// Guards against refusals of an upstream that are taken for hanging: they are no evidence about the
// requests that it runs.
TEST(health_estimator, ignoresRefusals)
{
    policy::latency_model latencies;
    health_estimator estimator({}, latencies);
    base::random_source random(3);
    base::time_point now{std::chrono::seconds(100)};
    const auto initialHealth = estimator.health(now);
    for (int i = 0; i < 20; ++i) {
        const auto attempt = random.attemptId();
        estimator.onStart(attempt, ROUTE, TARGET, now);
        estimator.onEnd(attempt, health_evidence::Refused, now);
    }
    DOUBLES_EQUAL(initialHealth, estimator.health(now), 0.02);
}
