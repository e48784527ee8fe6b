#include "platform/internal/wirenames.h"
#include "tests/mesh/meshcaller.h"

#include <CppUTest/TestHarness.h>
#include <array>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <mutex>
#include <thread>
#include <unistd.h>

using namespace hawthornpick;
using meshtest::mesh_caller;
using testsupport::mesh_fleet;

namespace {

constexpr testsupport::fleet_size FLEET_SIZE{3, 4};
constexpr int NODE_COUNT = FLEET_SIZE.cores + FLEET_SIZE.edges;
//! The nodes with even numbers.
const std::string REGION("r0");
//! Nearly the target latency: those requests are hedged.
constexpr base::milliseconds LONG_WORK_TIME{900};
constexpr base::milliseconds SHORT_WORK_TIME{10};
constexpr int LONG_WORK_INTERVAL = 10;
constexpr int REQUEST_COUNT = 160;
constexpr int REFUSED_REQUEST_COUNT = 40;
//! A refusal takes no longer than this; waiting for an upstream would take the deadline.
constexpr base::milliseconds MAX_REFUSAL_TIME{500};
//! Time after an acknowledged departure in which requests may still arrive.
constexpr base::milliseconds DRAIN_TIME{2500};

auto isInRegion(int node) -> bool
{
    return node % 2 == 0;
}

//! Mesh in two regions with a route that is bound to one of them; counts its requests by node.
class residency_fleet
{
public:
    residency_fleet()
        : m_fleet(HAWTHORNPICK_BINARY,
                  std::filesystem::temp_directory_path()
                          / ("hawthornpick-residency-" + std::to_string(getpid())),
                  FLEET_SIZE, [this](int node, webapi::request incoming) {
                      return handle(node, std::move(incoming));
                  })
    {
        CHECK_TEXT(m_caller.waitUntilServed(), "the fleet does not serve");
        CHECK_TEXT(m_caller.submitBoundRoute(REGION), "the route is not known");
    }

    auto nodes() -> mesh_fleet & { return m_fleet; }
    auto caller() -> mesh_caller & { return m_caller; }

    auto runCount(bool inRegion) -> int
    {
        const std::lock_guard lock(m_mutex);
        int sum = 0;
        for (int node = 0; node < NODE_COUNT; ++node) {
            sum += isInRegion(node) == inRegion ? m_runCounts.at(static_cast<std::size_t>(node))
                                                : 0;
        }
        return sum;
    }

private:
    auto handle(int node, webapi::request incoming) -> boost::asio::awaitable<webapi::response>
    {
        static const auto names = platform::wireNames();
        int count = 0;
        if (incoming.path.starts_with("/bound/")) {
            const std::lock_guard lock(m_mutex);
            count = ++m_runCounts.at(static_cast<std::size_t>(node));
        }
        const bool isLong = count % LONG_WORK_INTERVAL == 1;
        boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor,
                                        isLong ? LONG_WORK_TIME : SHORT_WORK_TIME);
        co_await timer.async_wait(boost::asio::use_awaitable);
        webapi::response answer{200, "text/plain", "done"};
        answer.headers[names.requestId] = testsupport::headerValue(incoming, names.requestId);
        co_return answer;
    }

    std::mutex m_mutex;
    std::array<int, NODE_COUNT> m_runCounts{};
    mesh_fleet m_fleet;
    mesh_caller m_caller{m_fleet};
};

} // namespace

TEST_GROUP(mesh_residency){};

// Guards against a request of a bound route that another region executes, as a first attempt, a
// hedge or a trial, and against one that waits, or runs elsewhere, if its region has no upstream.
TEST(mesh_residency, boundRequestsRunInTheirRegionOrNowhere)
{
    residency_fleet fleet;
    const std::string body(2000, 'b');
    for (int i = 0; i < REQUEST_COUNT; ++i) {
        const auto answer = fleet.caller().sendToAny(i % 2 == 0 ? "GET" : "POST", "/bound/1",
                                                     i % 2 == 0 ? "" : body);
        CHECK(answer.has_value());
        CHECK_EQUAL(200U, answer->status);
    }
    CHECK(fleet.runCount(true) >= REQUEST_COUNT);
    CHECK_EQUAL(0, fleet.runCount(false));

    for (int node = FLEET_SIZE.cores; node < NODE_COUNT; ++node) {
        if (isInRegion(node)) {
            fleet.nodes().setHeartbeats(node, false);
            CHECK_EQUAL(200U, fleet.nodes().withdrawUpstream(node));
        }
    }
    std::this_thread::sleep_for(DRAIN_TIME);
    const int before = fleet.runCount(true);
    for (int i = 0; i < REFUSED_REQUEST_COUNT; ++i) {
        const auto start = base::clock::now();
        const auto answer = fleet.caller().sendToAny("POST", "/bound/1", body);
        CHECK(answer.has_value());
        CHECK_EQUAL(503U, answer->status);
        CHECK(answer->body.find("no_allowed_region") != std::string::npos
              || answer->reason == "no_allowed_region");
        CHECK(base::clock::now() - start < MAX_REFUSAL_TIME);
        CHECK_EQUAL(200U, fleet.caller().sendToAny("GET", "/r/1")->status);
    }
    CHECK_EQUAL(before, fleet.runCount(true));
    CHECK_EQUAL(0, fleet.runCount(false));
}
