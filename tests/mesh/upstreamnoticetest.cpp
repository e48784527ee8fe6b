#include "platform/internal/wirenames.h"
#include "tests/mesh/meshcaller.h"

#include <algorithm>
#include <atomic>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <future>
#include <mutex>
#include <unistd.h>

// Defines `new` as a macro, which the headers of the standard library don't allow.
#include <CppUTest/TestHarness.h>

using namespace hawthornpick;
using meshtest::mesh_caller;
using testsupport::mesh_fleet;

namespace {

constexpr testsupport::fleet_size FLEET_SIZE{3, 4};
constexpr base::milliseconds WORK_TIME{60};
//! Work time with which several requests start before the first one is answered.
constexpr base::milliseconds LONG_WORK_TIME{400};
//! Time between the requests of a caller.
constexpr base::milliseconds PAUSE{50};
//! Callers that send one request after the other.
constexpr int CALLER_COUNT = 12;
//! Time after which a limit that an upstream names must hold.
constexpr base::milliseconds LIMIT_SETTLE_TIME{3000};
constexpr base::milliseconds LIMIT_WINDOW{4000};
//! Time after which a departure that an upstream names must hold.
constexpr base::milliseconds DRAIN_TIME{2500};
constexpr base::milliseconds RESTART_INTERVAL{1500};
constexpr base::milliseconds OBSERVATION_TIME{6000};
//! Node whose upstream is observed.
constexpr int OBSERVED = FLEET_SIZE.cores;

// Most requests that an upstream with a limit may get in a window.
auto mostInWindow(double limit) -> std::size_t
{
    return static_cast<std::size_t>(1.5 * limit * base::toSeconds(LIMIT_WINDOW) + 5.0);
}

struct request_counts
{
    int sent = 0;
    int answered = 0;
    int refused = 0;
    //! Refusals without a time to come back.
    int withoutReturn = 0;
};

//! Mesh whose callers use all nodes and whose upstreams say in their answers what the test sets.
class noticing_fleet
{
public:
    explicit noticing_fleet(const std::string &name)
        : m_fleet(HAWTHORNPICK_BINARY,
                  std::filesystem::temp_directory_path()
                          / ("hawthornpick-" + name + "-" + std::to_string(getpid())),
                  FLEET_SIZE, [this](int node, webapi::request incoming) {
                      return handle(node, std::move(incoming));
                  })
    {
        CHECK_TEXT(mesh_caller(m_fleet).waitUntilServed(), "the fleet does not serve");
        for (int caller = 0; caller < CALLER_COUNT; ++caller) {
            m_callers.push_back(
                    std::make_unique<mesh_caller>(m_fleet, "c" + std::to_string(caller)));
        }
    }

    auto processes() -> mesh_fleet & { return m_fleet; }

    //! Sets the limit that the upstream beside a node names; none if it is empty.
    auto setLimit(int node, const std::string &limit) -> void
    {
        const std::lock_guard lock(m_mutex);
        m_notices.at(indexOf(node)).limit = limit;
    }

    auto setLeaving(int node, bool isLeaving) -> void
    {
        const std::lock_guard lock(m_mutex);
        m_notices.at(indexOf(node)).isLeaving = isLeaving;
    }

    auto setWorkTime(base::milliseconds time) -> void { m_workTime = time; }

    //! Leaves the observed upstream as the only one.
    auto withdrawOthers() -> void
    {
        for (int node = OBSERVED + 1; node < m_fleet.size(); ++node) {
            m_fleet.setHeartbeats(node, false);
            LONGS_EQUAL(200, m_fleet.withdrawUpstream(node));
        }
    }

    //! Sends requests for `span` to the nodes from `firstEdge` on, counted from 0.
    auto sendRequests(base::milliseconds span, int firstEdge = 0) -> request_counts
    {
        const auto end = base::clock::now() + span;
        std::vector<std::future<request_counts>> results;
        for (const auto &caller : m_callers) {
            results.push_back(std::async(std::launch::async,
                                         [&] { return sendUntil(*caller, end, firstEdge); }));
        }
        request_counts sum;
        for (auto &result : results) {
            const auto counts = result.get();
            sum.sent += counts.sent;
            sum.answered += counts.answered;
            sum.refused += counts.refused;
            sum.withoutReturn += counts.withoutReturn;
        }
        return sum;
    }

    //! Returns the number of requests that reached the upstream beside a node since `start`.
    auto countSince(int node, base::time_point start) -> std::size_t
    {
        const std::lock_guard lock(m_mutex);
        const auto &arrivals = m_arrivals.at(indexOf(node));
        return static_cast<std::size_t>(std::count_if(
                arrivals.begin(), arrivals.end(), [start](auto item) { return item >= start; }));
    }

    //! Returns the most requests that reached the upstream beside a node in one window since
    //! `start`.
    auto mostSince(int node, base::time_point start) -> std::size_t
    {
        const std::lock_guard lock(m_mutex);
        const auto &arrivals = m_arrivals.at(indexOf(node));
        std::size_t most = 0;
        for (auto first = arrivals.begin(); first != arrivals.end(); ++first) {
            const auto last = std::lower_bound(first, arrivals.end(), *first + LIMIT_WINDOW);
            most = *first < start ? most : std::max(most, std::size_t(last - first));
        }
        return most;
    }

private:
    struct notice
    {
        std::string limit;
        bool isLeaving = false;
    };

    static auto sendUntil(mesh_caller &caller, base::time_point end, int firstEdge)
            -> request_counts
    {
        request_counts counts;
        for (int i = 0; base::clock::now() < end; ++i) {
            const int edge = firstEdge + i % (FLEET_SIZE.edges - firstEdge);
            const auto answer = caller.sendTo(edge, "GET", "/r/1");
            const bool isRefused = answer && answer->status == 503;
            ++counts.sent;
            counts.answered += answer && answer->status == 200 ? 1 : 0;
            counts.refused += isRefused ? 1 : 0;
            counts.withoutReturn += isRefused && !answer->headers.contains("retry-after") ? 1 : 0;
            std::this_thread::sleep_for(PAUSE);
        }
        return counts;
    }

    static auto indexOf(int node) -> std::size_t
    {
        return static_cast<std::size_t>(node - FLEET_SIZE.cores);
    }

    auto handle(int node, webapi::request incoming) -> boost::asio::awaitable<webapi::response>
    {
        static const auto names = platform::wireNames();
        webapi::response answer{200, "text/plain", "done"};
        answer.headers[names.requestId] = testsupport::headerValue(incoming, names.requestId);
        {
            const std::lock_guard lock(m_mutex);
            m_arrivals.at(indexOf(node)).push_back(base::clock::now());
            const auto &said = m_notices.at(indexOf(node));
            if (!said.limit.empty()) {
                answer.headers[names.requestLimit] = said.limit;
            }
            if (said.isLeaving) {
                answer.headers[names.leaving] = "1";
            }
        }
        boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor,
                                        m_workTime.load());
        co_await timer.async_wait(boost::asio::use_awaitable);
        co_return answer;
    }

    std::mutex m_mutex;
    std::vector<notice> m_notices{FLEET_SIZE.edges};
    std::vector<std::vector<base::time_point>> m_arrivals{FLEET_SIZE.edges};
    std::atomic<base::milliseconds> m_workTime{WORK_TIME};
    mesh_fleet m_fleet;
    std::vector<std::unique_ptr<mesh_caller>> m_callers;
};

} // namespace

TEST_GROUP(upstream_limit){};

// Guards against an upstream that gets its even share of the requests whatever limit it names,
// against requests refused while other upstreams have room, and against a limit that lasts longer
// than it is named.
TEST(upstream_limit, holdsOverAllEntryNodesWhileItIsNamed)
{
    noticing_fleet fleet("limit");
    for (const std::string limit : {"2.7", "1"}) {
        fleet.setLimit(OBSERVED, limit);
        fleet.sendRequests(LIMIT_SETTLE_TIME);
        const auto start = base::clock::now();
        const auto counts = fleet.sendRequests(OBSERVATION_TIME);
        CHECK(fleet.mostSince(OBSERVED, start) <= mostInWindow(std::stod(limit)));
        CHECK(fleet.countSince(OBSERVED, start) >= 2);
        LONGS_EQUAL(counts.sent, counts.answered);
    }
    fleet.setLimit(OBSERVED, "");
    fleet.sendRequests(LIMIT_SETTLE_TIME);
    fleet.withdrawOthers();
    fleet.sendRequests(LIMIT_SETTLE_TIME);
    const auto start = base::clock::now();
    const auto counts = fleet.sendRequests(OBSERVATION_TIME);
    CHECK(fleet.mostSince(OBSERVED, start) > mostInWindow(2.7));
    LONGS_EQUAL(counts.sent, counts.answered);
}

// Guards against a node that restarts beside a limited upstream and knows of no limit, although the
// nodes where requests begin have been told.
TEST(upstream_limit, holdsOverRestartsOfTheNodeBesideTheUpstream)
{
    noticing_fleet fleet("limit-restart");
    fleet.withdrawOthers();
    fleet.setWorkTime(LONG_WORK_TIME);
    fleet.setLimit(OBSERVED, "1");
    fleet.sendRequests(LIMIT_SETTLE_TIME, 1);
    const auto start = base::clock::now();
    for (int i = 0; i < 4; ++i) {
        fleet.processes().kill(OBSERVED);
        fleet.processes().start(OBSERVED);
        fleet.sendRequests(RESTART_INTERVAL, 1);
    }
    fleet.sendRequests(OBSERVATION_TIME, 1);
    CHECK(fleet.mostSince(OBSERVED, start) <= mostInWindow(1.0));
    CHECK(fleet.countSince(OBSERVED, start) >= 2);
}

// Guards against upstreams that all name a limit and get more all the same, and against callers
// that are not told when to come back.
TEST(upstream_limit, isServedAndTheRestRefusedWhereAllUpstreamsNameOne)
{
    noticing_fleet fleet("limit-all");
    for (int node = FLEET_SIZE.cores; node < fleet.processes().size(); ++node) {
        fleet.setLimit(node, "2");
    }
    fleet.sendRequests(LIMIT_SETTLE_TIME);
    const auto start = base::clock::now();
    const auto counts = fleet.sendRequests(OBSERVATION_TIME);
    for (int node = FLEET_SIZE.cores; node < fleet.processes().size(); ++node) {
        CHECK(fleet.mostSince(node, start) <= mostInWindow(2.0));
    }
    CHECK(counts.answered >= base::toSeconds(OBSERVATION_TIME) * 2.0 * FLEET_SIZE.edges / 2.0);
    LONGS_EQUAL(counts.sent, counts.answered + counts.refused);
    LONGS_EQUAL(0, counts.withoutReturn);
}

TEST_GROUP(upstream_leaving){};

// Guards against an upstream that says in its answers that it leaves and goes on getting requests,
// also after a restart of the node beside it, and against a departure that binds a later start.
TEST(upstream_leaving, getsNoRequestsAlthoughItsHeartbeatsSayReady)
{
    noticing_fleet fleet("leaving");
    fleet.setLeaving(OBSERVED, true);
    fleet.sendRequests(DRAIN_TIME);
    auto start = base::clock::now();
    const auto counts = fleet.sendRequests(OBSERVATION_TIME);
    LONGS_EQUAL(0, fleet.countSince(OBSERVED, start));
    LONGS_EQUAL(counts.sent, counts.answered);

    start = base::clock::now();
    fleet.processes().kill(OBSERVED);
    fleet.processes().start(OBSERVED);
    fleet.sendRequests(OBSERVATION_TIME, 1);
    LONGS_EQUAL(0, fleet.countSince(OBSERVED, start));

    fleet.setLeaving(OBSERVED, false);
    fleet.processes().crashUpstream(OBSERVED, base::milliseconds(200));
    fleet.sendRequests(OBSERVATION_TIME);
    CHECK(fleet.countSince(OBSERVED, start) > 0);
}

// Guards against a departure that is lost with the process that heard it: neither it nor a hub
// has told the others, but the node where the requests begin knows.
TEST(upstream_leaving, isRememberedByTheNodeThatPassedTheAnswerOn)
{
    noticing_fleet fleet("leaving-cut");
    fleet.withdrawOthers();
    std::vector<faultproxy::rule> cuts;
    for (int core = 0; core < FLEET_SIZE.cores; ++core) {
        for (const auto &rule : fleet.processes().cut(OBSERVED, core)) {
            cuts.push_back(rule);
        }
    }
    fleet.processes().setFaults(cuts);
    fleet.setLeaving(OBSERVED, true);
    fleet.sendRequests(base::milliseconds(300), 1);
    const auto start = base::clock::now();
    fleet.processes().kill(OBSERVED);
    fleet.processes().setFaults({});
    fleet.processes().start(OBSERVED);
    fleet.sendRequests(OBSERVATION_TIME, 1);
    LONGS_EQUAL(0, fleet.countSince(OBSERVED, start));
}
