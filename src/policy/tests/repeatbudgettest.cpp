#include "policy/repeatbudget.h"

#include "base/random.h"
#include "policy/callratio.h"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <deque>
#include <vector>

using namespace hawthornpick;
using std::chrono::milliseconds;

namespace {

const base::service_id SERVICE("s");

constexpr milliseconds WINDOW{10'000};

auto removeUntil(std::deque<base::time_point> &times, base::time_point until) -> void
{
    while (!times.empty() && times.front() <= until) {
        times.pop_front();
    }
}

auto countBetween(const std::deque<base::time_point> &times, base::time_point after,
                  base::time_point until) -> double
{
    const auto first = std::upper_bound(times.begin(), times.end(), after);
    const auto last = std::upper_bound(times.begin(), times.end(), until);
    return static_cast<double>(last - first);
}

} // namespace

TEST_GROUP(repeat_budget){};

// Guards against repeats above the fleet's limit in some window although each node stays within its
// portion. 25 nodes get bursts of requests and send as many repeats as the budget allows. The limit
// is based on the requests of the window, of the one before or of the one half a window before.
TEST(repeat_budget, keepsFleetWithinLimitInEachWindow)
{
    constexpr int NODES = 25;
    constexpr double SHARE = 0.2;
    constexpr double SLACK = 60.0;
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        base::random_source random(seed);
        std::vector<policy::repeat_budget> budgets(
                NODES, policy::repeat_budget({SHARE, SLACK / NODES, milliseconds(10'000)}));
        std::deque<base::time_point> requestTimes;
        std::deque<base::time_point> repeatTimes;
        base::time_point now{std::chrono::seconds(100)};
        for (int i = 0; i < 20'000; ++i) {
            now += milliseconds(random.below(i % 4000 < 500 ? 2 : 12));
            auto &budget = budgets.at(random.below(NODES));
            budget.onRequest(SERVICE, now);
            requestTimes.push_back(now);
            if (budget.tryRepeat(SERVICE, now)) {
                repeatTimes.push_back(now);
            }
            removeUntil(requestTimes, now - WINDOW * 2);
            removeUntil(repeatTimes, now - WINDOW);
            const auto maxRequests =
                    std::max({countBetween(requestTimes, now - WINDOW, now),
                              countBetween(requestTimes, now - WINDOW * 2, now - WINDOW),
                              countBetween(requestTimes, now - WINDOW * 3 / 2, now - WINDOW / 2)});
            CHECK(static_cast<double>(repeatTimes.size()) <= SHARE * maxRequests + SLACK);
        }
    }
}

// Guards against calls of repeated requests that exceed the limit of the called service. Load
// pattern: reads that fail often and make calls to a service whose own requests are repeated too.
TEST(repeat_budget, countsTheCallsOfRepeatedRequests)
{
    const base::service_id called("called");
    constexpr double SHARE = 0.2;
    constexpr double SLACK = 10.0;
    constexpr double CALLS_PER_RUN = 1.4;
    policy::repeat_budget budget({SHARE, SLACK, WINDOW});
    base::time_point now{std::chrono::seconds(100)};
    int calledRequests = 0;
    double calledRepeats = 0.0;
    int repeats = 0;
    for (int i = 0; i < 500; ++i) {
        now += milliseconds(15);
        budget.onRequest(SERVICE, now);
        if (budget.tryRepeat(SERVICE, now, {{called, CALLS_PER_RUN}})) {
            ++repeats;
            calledRepeats += CALLS_PER_RUN;
        }
        if (i % 2 == 0) {
            ++calledRequests;
            budget.onRequest(called, now);
            calledRepeats += budget.tryRepeat(called, now) ? 1.0 : 0.0;
        }
        CHECK(calledRepeats <= SHARE * calledRequests + SLACK + 1e-9);
    }
    CHECK(repeats > 0);
}

TEST_GROUP(call_ratio){};

// Guards against a ratio of calls that mixes up services or keeps values of long ago.
TEST(call_ratio, followsTheCallsOfTheOwnUpstream)
{
    const base::service_id called("called");
    policy::call_ratio ratio;
    base::time_point now{std::chrono::seconds(100)};
    for (int i = 0; i < 200; ++i) {
        now += milliseconds(100);
        ratio.onRun(now);
        ratio.onCall(called, now);
        if (i % 2 == 0) {
            ratio.onCall(called, now);
        }
    }
    DOUBLES_EQUAL(1.5, ratio.callsPerRun(now).at(called), 0.05);
    now += milliseconds(60'000);
    CHECK(ratio.callsPerRun(now).empty());
}
