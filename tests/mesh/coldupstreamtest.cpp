#include "platform/internal/wirenames.h"
#include "platform/tests/messages.h"
#include "tests/mesh/meshcaller.h"

#include <CppUTest/TestHarness.h>
#include <atomic>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <unistd.h>

using namespace hawthornpick;
using meshtest::mesh_caller;
using testsupport::mesh_fleet;

namespace {

constexpr testsupport::fleet_size FLEET_SIZE{3, 4};
constexpr base::milliseconds WORK_TIME{5};
constexpr double COLD_RATE = 2.0;
//! Time in which the nodes learn of a new configuration or heartbeat.
constexpr base::milliseconds SETTLE_TIME{3000};
constexpr base::milliseconds OBSERVATION_TIME{6000};

struct request_counts
{
    int sent = 0;
    int answered = 0;
    int refused = 0;
    //! Requests that reached the observed upstream.
    int observed = 0;
};

//! Mesh whose callers use all nodes, with the upstream of one node observed.
class cold_fleet
{
public:
    cold_fleet()
        : m_fleet(HAWTHORNPICK_BINARY,
                  std::filesystem::temp_directory_path()
                          / ("hawthornpick-cold-" + std::to_string(getpid())),
                  FLEET_SIZE, [this](int node, webapi::request incoming) {
                      return handle(node, std::move(incoming));
                  })
    {
        CHECK_TEXT(m_caller.waitUntilServed(), "the fleet does not serve");
        CHECK(m_caller.submitPatch(platform::messages::coldServicePatch(2, COLD_RATE)));
    }

    auto setColdTime(base::milliseconds coldTime) -> void
    {
        m_fleet.setColdTime(m_fleet.cores(), coldTime);
    }

    //! Leaves the observed upstream as the only one.
    auto withdrawOthers() -> void
    {
        for (int node = m_fleet.cores() + 1; node < m_fleet.size(); ++node) {
            m_fleet.setHeartbeats(node, false);
            LONGS_EQUAL(200, m_fleet.withdrawUpstream(node));
        }
    }

    //! Sends requests to all nodes for `span`.
    auto sendRequests(base::milliseconds span) -> request_counts
    {
        const int before = m_arrivals;
        request_counts counts;
        const auto end = base::clock::now() + span;
        for (int i = 0; base::clock::now() < end; ++i) {
            const auto answer = m_caller.sendTo(i % FLEET_SIZE.edges, "GET", "/r/1");
            ++counts.sent;
            counts.answered += answer && answer->status == 200 ? 1 : 0;
            counts.refused += answer && answer->status == 503 ? 1 : 0;
        }
        counts.observed = m_arrivals - before;
        return counts;
    }

private:
    auto handle(int node, webapi::request incoming) -> boost::asio::awaitable<webapi::response>
    {
        static const auto names = platform::wireNames();
        if (node == FLEET_SIZE.cores) {
            ++m_arrivals;
        }
        boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor, WORK_TIME);
        co_await timer.async_wait(boost::asio::use_awaitable);
        webapi::response answer{200, "text/plain", "done"};
        answer.headers[names.requestId] = testsupport::headerValue(incoming, names.requestId);
        co_return answer;
    }

    std::atomic<int> m_arrivals{0};
    mesh_fleet m_fleet;
    mesh_caller m_caller{m_fleet};
};

} // namespace

TEST_GROUP(cold_upstream){};

// Guards against a cold upstream that gets the requests of all entry nodes, against requests that
// fail although warm upstreams are free, and against one that stays limited once it is warm.
TEST(cold_upstream, isSparedUntilItIsWarm)
{
    constexpr auto MAX_OBSERVED =
            static_cast<int>(COLD_RATE * (OBSERVATION_TIME.count() / 1000.0 + 1.0));
    cold_fleet fleet;
    fleet.setColdTime(base::milliseconds(60'000));
    fleet.sendRequests(SETTLE_TIME);
    const auto withOthers = fleet.sendRequests(OBSERVATION_TIME);
    CHECK(withOthers.observed <= MAX_OBSERVED);
    LONGS_EQUAL(withOthers.sent, withOthers.answered);

    fleet.withdrawOthers();
    fleet.sendRequests(SETTLE_TIME);
    const auto alone = fleet.sendRequests(OBSERVATION_TIME);
    CHECK(alone.observed <= MAX_OBSERVED);
    CHECK(alone.observed > 0);
    LONGS_EQUAL(alone.observed, alone.answered);
    LONGS_EQUAL(alone.sent, alone.answered + alone.refused);

    fleet.setColdTime(base::milliseconds(0));
    fleet.sendRequests(SETTLE_TIME);
    const auto warm = fleet.sendRequests(OBSERVATION_TIME);
    CHECK(warm.observed > MAX_OBSERVED);
    LONGS_EQUAL(warm.sent, warm.answered);
}
