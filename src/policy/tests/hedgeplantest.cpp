#include "policy/hedgeplan.h"

#include "base/random.h"
#include "src/policy/tests/seeds.h"

#include <CppUTest/TestHarness.h>

using namespace hawthornpick;
using policy::hedge_plan;
using std::chrono::milliseconds;

namespace {

const base::time_point ARRIVAL{std::chrono::seconds(100)};
constexpr milliseconds TARGET{1000};
constexpr milliseconds DEADLINE{4000};
constexpr milliseconds USUAL_DELAY{500};
constexpr milliseconds EXPECTED_LATENCY{200};

} // namespace

TEST_GROUP(hedge_plan)
{
    hedge_plan m_plan{USUAL_DELAY, EXPECTED_LATENCY};

    auto delayAt(milliseconds age) const->std::optional<base::duration>
    {
        const auto now = ARRIVAL + age;
        return m_plan.nextDelay(now, ARRIVAL + TARGET, ARRIVAL + DEADLINE);
    }
};

// Guards against a hedge that is planned for after the last time at which it could meet the target.
TEST(hedge_plan, plansAttemptsInTimeForTheTargetOrElseTheDeadline)
{
    CHECK(delayAt(milliseconds(0)) == base::duration(USUAL_DELAY));
    CHECK(delayAt(milliseconds(400)) == base::duration(milliseconds(400)));
    CHECK(delayAt(milliseconds(900)) == base::duration(USUAL_DELAY));
    CHECK(delayAt(milliseconds(3500)) == base::duration(milliseconds(300)));
    CHECK(!delayAt(milliseconds(3700)));
    CHECK(!delayAt(milliseconds(5000)));
}

// A third of the upstreams hang. Guards against requests that wait on two hung upstreams until the
// deadline, and against more attempts than that needs.
TEST(hedge_plan, leavesHungUpstreamsUntilOneAnswers)
{
    constexpr int REQUESTS = 2000;
    testsupport::forEachSeed(5, [this](std::uint64_t seed) {
        base::random_source random(seed);
        int unanswered = 0;
        int attempts = 0;
        for (int i = 0; i < REQUESTS; ++i) {
            milliseconds age{0};
            bool isAnswered = false;
            for (bool isPlanned = true; isPlanned && !isAnswered;) {
                ++attempts;
                isAnswered = random.chance(2.0 / 3.0) && age + EXPECTED_LATENCY <= DEADLINE;
                const auto delay = delayAt(age);
                isPlanned = delay.has_value();
                age += std::chrono::duration_cast<milliseconds>(delay.value_or(base::duration{}));
            }
            unanswered += isAnswered ? 0 : 1;
        }
        const auto text = testsupport::seedText(seed, "hung requests or attempts");
        CHECK_TEXT(unanswered <= REQUESTS / 100, text.asCharString());
        CHECK_TEXT(attempts <= REQUESTS * 8 / 5, text.asCharString());
    });
}
