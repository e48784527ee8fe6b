#include "policy/returntime.h"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <string>
#include <vector>

using namespace hawthornpick;
using policy::return_time;
using policy::service_backlog;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const base::service_id SERVICE("s");
const base::time_point NOW{seconds(100)};
//! 50 waiting requests at a service that ends 100 a second.
constexpr service_backlog BACKLOG{50, 0, 100.0};

} // namespace

TEST_GROUP(return_time)
{
    return_time m_times{5};
};

// Guards against 500 callers, refused within a moment, that return together.
TEST(return_time, spreadsReturnsAtTheRateAtWhichRoomAppears)
{
    std::vector<int> returnsPerSecond(8);
    for (int i = 0; i < 500; ++i) {
        const auto delay = m_times.next(SERVICE, 1, BACKLOG, seconds(60), 1, NOW);
        CHECK(delay.has_value());
        CHECK(*delay > milliseconds(500));
        ++returnsPerSecond.at(static_cast<std::size_t>((*delay - milliseconds(500)) / seconds(1)));
    }
    for (std::size_t second = 0; second < 5; ++second) {
        CHECK_TEXT(std::abs(returnsPerSecond.at(second) - 100) <= 2,
                   std::to_string(returnsPerSecond.at(second)).c_str());
    }
}

// Guards against urgent callers that return after cheap ones which were refused before them.
TEST(return_time, letsUrgentCallersReturnFirst)
{
    for (int i = 0; i < 200; ++i) {
        m_times.next(SERVICE, 5, BACKLOG, seconds(60), 1, NOW);
    }
    CHECK(*m_times.next(SERVICE, 0, BACKLOG, seconds(60), 1, NOW) < milliseconds(520));
    CHECK(*m_times.next(SERVICE, 5, BACKLOG, seconds(60), 1, NOW) > milliseconds(2500));
}

// Guards against a caller that is sent away until it can't be served any more.
TEST(return_time, staysWithinAThirdOfTheTimeLeft)
{
    std::vector<base::duration> delays;
    for (int i = 0; i < 500; ++i) {
        delays.push_back(*m_times.next(SERVICE, 1, BACKLOG, seconds(3), 1, NOW));
    }
    std::sort(delays.begin(), delays.end());
    CHECK(delays.front() >= milliseconds(500));
    CHECK(delays.back() <= seconds(1));
    CHECK(delays.at(400) - delays.at(100) > milliseconds(200));
}

// Guards against a delay at a service that has room, or of which nothing is known.
TEST(return_time, plansNothingWithoutBacklog)
{
    CHECK(!m_times.next(SERVICE, 1, {0, 3, 100.0}, seconds(60), 1, NOW));
    CHECK(!m_times.next(SERVICE, 1, {2, 3, 100.0}, seconds(60), 1, NOW));
    CHECK(!m_times.next(SERVICE, 1, {}, seconds(60), 1, NOW));
}
