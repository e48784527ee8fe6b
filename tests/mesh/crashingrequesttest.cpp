#include "platform/internal/wirenames.h"
#include "tests/mesh/meshcaller.h"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <iostream>
#include <mutex>
#include <unistd.h>

using namespace hawthornpick;
using meshtest::mesh_caller;
using testsupport::mesh_fleet;

namespace {

constexpr testsupport::fleet_size FLEET_SIZE{3, 8};
constexpr base::milliseconds RESTART_TIME{2000};
constexpr base::milliseconds WORK_TIME{30};
//! Time after the third upstream that a request has ended in which every node learns of it.
constexpr base::milliseconds LEARNING_TIME{3000};
//! Upstreams that the request may still reach after that.
constexpr int MAX_LATE_ENDS = 3;
const std::string CRASHING_PATH_END = "crash";

//! Mesh whose upstreams end as soon as they run a request whose path ends in "crash".
class crashing_fleet
{
public:
    crashing_fleet()
        : m_fleet(HAWTHORNPICK_BINARY,
                  std::filesystem::temp_directory_path()
                          / ("hawthornpick-mesh-" + std::to_string(getpid())),
                  FLEET_SIZE,
                  [this](int node, webapi::request incoming) {
                      return handle(node, std::move(incoming));
                  }),
          m_caller(m_fleet)
    {}

    auto caller() -> mesh_caller & { return m_caller; }

    [[nodiscard]] auto endCount() const -> std::size_t
    {
        const std::lock_guard lock(m_mutex);
        return m_ends.size();
    }

    //! Number of upstreams that ended later than `LEARNING_TIME` after the third one.
    [[nodiscard]] auto lateEndCount() const -> int
    {
        const std::lock_guard lock(m_mutex);
        if (m_ends.size() < 3) {
            return 0;
        }
        const auto limit = m_ends.at(2) + LEARNING_TIME;
        return static_cast<int>(
                std::count_if(m_ends.begin(), m_ends.end(),
                              [limit](base::time_point end) { return end > limit; }));
    }

private:
    auto handle(int node, webapi::request incoming) -> boost::asio::awaitable<webapi::response>
    {
        static const auto names = platform::wireNames();
        boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor, WORK_TIME);
        co_await timer.async_wait(boost::asio::use_awaitable);
        if (incoming.path.ends_with(CRASHING_PATH_END)) {
            const std::lock_guard lock(m_mutex);
            m_ends.push_back(base::clock::now());
            m_fleet.crashUpstream(node, RESTART_TIME);
        }
        webapi::response answer{200, "text/plain", "done"};
        answer.headers[names.requestId] = testsupport::headerValue(incoming, names.requestId);
        co_return answer;
    }

    mutable std::mutex m_mutex;
    std::vector<base::time_point> m_ends;
    mesh_fleet m_fleet;
    mesh_caller m_caller;
};

struct repeat_counts
{
    int othersServed = 0;
    int othersSent = 0;
    //! Repeats that were refused as not run because of the upstreams that they ended.
    int refused = 0;
};

//! Sends the same request again and again to random nodes, and others beside it.
auto repeatCrashingRequest(crashing_fleet &fleet, const std::string &method,
                           const std::string &target, const std::string &body, int count,
                           base::milliseconds pause) -> repeat_counts
{
    repeat_counts counts;
    for (int i = 0; i < count; ++i) {
        const auto answer = fleet.caller().sendToAny(method, target, body);
        CHECK(answer.has_value());
        if (answer && answer->reason == "crash_suspected") {
            CHECK_EQUAL(503, answer->status);
            STRCMP_EQUAL("not_run", answer->outcome.c_str());
            ++counts.refused;
        }
        for (const auto end = base::clock::now() + pause; base::clock::now() < end;) {
            const auto other = fleet.caller().sendToAny("GET", "/r/" + std::to_string(i % 5));
            ++counts.othersSent;
            counts.othersServed += other && other->status == 200 ? 1 : 0;
            std::this_thread::sleep_for(base::milliseconds(20));
        }
    }
    std::cout << "ended: " << fleet.endCount() << ", late: " << fleet.lateEndCount()
              << ", repeats refused: " << counts.refused
              << ", others served: " << counts.othersServed << " of " << counts.othersSent << "\n";
    return counts;
}

} // namespace

TEST_GROUP(mesh){};

// Guards against a request that ends one upstream after the other as often as its caller repeats
// it.
TEST(mesh, requestThatEndsUpstreamsIsRefusedByAllNodes)
{
    crashing_fleet fleet;
    CHECK(fleet.caller().waitUntilServed());
    const auto counts =
            repeatCrashingRequest(fleet, "GET", "/r/crash", {}, 30, base::milliseconds(400));
    CHECK(fleet.endCount() >= 3);
    CHECK(fleet.lateEndCount() <= MAX_LATE_ENDS);
    CHECK(counts.refused > 0);
    CHECK(counts.othersServed >= counts.othersSent * 95 / 100);
}

// Guards against the same with a request that may not be repeated, whose body is part of its
// identity.
TEST(mesh, writeThatEndsUpstreamsIsRefusedByAllNodes)
{
    crashing_fleet fleet;
    CHECK(fleet.caller().waitUntilServed());
    const auto counts = repeatCrashingRequest(fleet, "POST", "/w/crash", "order 7", 30,
                                              base::milliseconds(400));
    CHECK(fleet.endCount() >= 3);
    CHECK(fleet.lateEndCount() <= MAX_LATE_ENDS);
    CHECK(counts.refused > 0);
    CHECK(counts.othersServed >= counts.othersSent * 95 / 100);
}
