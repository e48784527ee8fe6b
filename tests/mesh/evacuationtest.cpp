#include "platform/internal/wirenames.h"
#include "tests/mesh/meshcaller.h"
#include "webapi/client.h"

#include <CppUTest/TestHarness.h>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <filesystem>
#include <fstream>
#include <map>
#include <mutex>
#include <thread>
#include <unistd.h>

using namespace hawthornpick;
using meshtest::mesh_caller;
using testsupport::mesh_fleet;

namespace {

//! Four edge nodes, each in a failure domain of its own.
constexpr testsupport::fleet_size FLEET_SIZE{3, 4};
constexpr base::milliseconds WORK_TIME{20};
//! Time after an acknowledgement in which the order reaches all nodes.
constexpr base::milliseconds SPREAD_TIME{2000};
constexpr base::milliseconds OBSERVATION_TIME{3000};
constexpr base::milliseconds CONDITION_LIMIT{60'000};
constexpr base::milliseconds POLL_INTERVAL{50};
constexpr base::milliseconds ORDER_TIMEOUT{1500};

//! Mesh with an operator who evacuates the failure domain of its last node.
class evacuation_fleet
{
public:
    evacuation_fleet()
        : m_folder(std::filesystem::temp_directory_path()
                   / ("hawthornpick-evacuation-" + std::to_string(getpid()))),
          m_fleet(HAWTHORNPICK_BINARY, m_folder, FLEET_SIZE,
                  [this](int node, webapi::request incoming) {
                      return handle(node, std::move(incoming));
                  })
    {
        CHECK_TEXT(mesh_caller(m_fleet).waitUntilServed(), "the fleet does not serve");
    }

    [[nodiscard]] auto evacuatedNode() const -> int { return m_fleet.size() - 1; }
    [[nodiscard]] static auto domainOf(int node) -> std::string
    {
        return "d" + std::to_string(node % 4);
    }

    //! Sends an order to a node; returns the status of the answer, or 0 if there is none.
    [[nodiscard]] auto order(int node, const std::string &method, const std::string &domain) const
            -> unsigned
    {
        const auto answer =
                webapi::call(m_fleet.controlAddress(node),
                             {method, "/evacuation/" + domain, {}, {}, {}}, ORDER_TIMEOUT);
        return answer ? answer->status : 0;
    }
    [[nodiscard]] auto orderUntilAcknowledged(int node, const std::string &method,
                                              const std::string &domain) const -> bool
    {
        return waitFor([&] { return order(node, method, domain) == 200; });
    }

    //! Sends requests to all nodes for `span`; returns how many reached the upstream of the
    //! evacuated node. Counts the requests without an answer of 200 in `failed`.
    auto sendRequestsAndCount(base::milliseconds span, int *failed = nullptr) -> int
    {
        const int before = runCount();
        mesh_caller caller(m_fleet);
        const auto end = base::clock::now() + span;
        while (base::clock::now() < end) {
            const auto answer = caller.sendToAny("GET", "/r/1");
            if (failed != nullptr && (!answer || answer->status != 200)) {
                ++*failed;
            }
        }
        return runCount() - before;
    }

    //! Waits until the last line of each node's log that tells of evacuations since the last
    //! restart contains `domains`.
    auto waitUntilAllKnow(const std::string &domains) -> bool
    {
        return waitFor([&] {
            for (int node = 0; node < m_fleet.size(); ++node) {
                if (lastEvacuationLine(node).find("\"domains\":\"" + domains)
                    == std::string::npos) {
                    return false;
                }
            }
            return true;
        });
    }

    //! Kills all processes, then starts them again.
    auto restartAll() -> void
    {
        for (int node = 0; node < m_fleet.size(); ++node) {
            m_fleet.kill(node);
        }
        for (int node = 0; node < m_fleet.size(); ++node) {
            m_logStarts[node] = std::filesystem::file_size(logOf(node));
            m_fleet.start(node);
        }
    }

    template <typename Condition>
    static auto waitFor(Condition condition) -> bool
    {
        const auto end = base::clock::now() + CONDITION_LIMIT;
        while (base::clock::now() < end) {
            if (condition()) {
                return true;
            }
            std::this_thread::sleep_for(POLL_INTERVAL);
        }
        return false;
    }

private:
    [[nodiscard]] auto logOf(int node) const -> std::filesystem::path
    {
        const auto kind = node < m_fleet.cores() ? "core-" : "edge-";
        return m_folder / (kind + std::to_string(node) + ".log");
    }

    auto lastEvacuationLine(int node) -> std::string
    {
        std::ifstream file(logOf(node));
        file.seekg(static_cast<std::streamoff>(m_logStarts[node]));
        std::string last;
        for (std::string line; std::getline(file, line);) {
            last = line.find("evacuations in force") == std::string::npos ? last : line;
        }
        return last;
    }

    auto handle(int node, webapi::request incoming) -> boost::asio::awaitable<webapi::response>
    {
        static const auto names = platform::wireNames();
        if (node == evacuatedNode()) {
            const std::lock_guard lock(m_mutex);
            ++m_runCount;
        }
        boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor, WORK_TIME);
        co_await timer.async_wait(boost::asio::use_awaitable);
        webapi::response answer{200, "text/plain", "done"};
        answer.headers[names.requestId] = testsupport::headerValue(incoming, names.requestId);
        co_return answer;
    }

    auto runCount() -> int
    {
        const std::lock_guard lock(m_mutex);
        return m_runCount;
    }

    std::mutex m_mutex;
    int m_runCount = 0;
    std::filesystem::path m_folder;
    std::map<int, std::uintmax_t> m_logStarts;
    mesh_fleet m_fleet;
};

} // namespace

TEST_GROUP(evacuation){};

// Guards against an acknowledged order that some node doesn't learn of, and one that is lost when
// all processes end at once.
TEST(evacuation, orderReachesAllNodesAndHoldsAfterARestartOfTheWholeFleet)
{
    evacuation_fleet fleet;
    const auto domain = evacuation_fleet::domainOf(fleet.evacuatedNode());
    CHECK(fleet.orderUntilAcknowledged(0, "POST", domain));
    CHECK(fleet.waitUntilAllKnow(domain + "@"));
    fleet.restartAll();
    CHECK(fleet.waitUntilAllKnow(domain + "@"));
    CHECK(fleet.orderUntilAcknowledged(1, "DELETE", domain));
    CHECK(fleet.waitUntilAllKnow("\""));
}

// Guards against requests that reach an evacuated domain after the acknowledgement, or after a
// restart of all processes, and against a domain that stays out of use after the end.
TEST(evacuation, requestsLeaveTheDomainUntilItIsTakenBack)
{
    evacuation_fleet fleet;
    const auto domain = evacuation_fleet::domainOf(fleet.evacuatedNode());
    CHECK(evacuation_fleet::waitFor(
            [&] { return fleet.sendRequestsAndCount(base::milliseconds(200)) > 0; }));
    CHECK(fleet.orderUntilAcknowledged(0, "POST", domain));
    (void)fleet.sendRequestsAndCount(SPREAD_TIME);
    int failed = 0;
    const int countWhileEvacuated = fleet.sendRequestsAndCount(OBSERVATION_TIME, &failed);
    CHECK_EQUAL(0, countWhileEvacuated);
    CHECK_EQUAL(0, failed);
    fleet.restartAll();
    const int countAfterRestart = fleet.sendRequestsAndCount(CONDITION_LIMIT / 5);
    CHECK_EQUAL(0, countAfterRestart);
    CHECK(fleet.orderUntilAcknowledged(1, "DELETE", domain));
    CHECK(evacuation_fleet::waitFor(
            [&] { return fleet.sendRequestsAndCount(base::milliseconds(200)) > 0; }));
}

// Guards against orders that are acknowledged without an effect or that stop a service, and against
// repeats that are refused.
TEST(evacuation, refusesUnknownAndLastDomains)
{
    evacuation_fleet fleet;
    // Orders are checked against the directory of the node that gets them, which learns of
    // upstreams that have just started with the next reports.
    std::this_thread::sleep_for(SPREAD_TIME);
    const auto first = evacuation_fleet::domainOf(3);
    CHECK(fleet.orderUntilAcknowledged(0, "POST", first));
    CHECK(fleet.orderUntilAcknowledged(0, "POST", evacuation_fleet::domainOf(4)));
    CHECK(fleet.orderUntilAcknowledged(1, "POST", evacuation_fleet::domainOf(5)));
    CHECK(evacuation_fleet::waitFor(
            [&] { return fleet.order(2, "POST", evacuation_fleet::domainOf(6)) == 409; }));
    CHECK(evacuation_fleet::waitFor([&] { return fleet.order(2, "POST", "nowhere") == 404; }));
    CHECK_EQUAL(503, fleet.order(6, "POST", first));
    CHECK_EQUAL(405, fleet.order(0, "GET", first));
    CHECK(fleet.orderUntilAcknowledged(2, "POST", first));
    CHECK(fleet.orderUntilAcknowledged(2, "DELETE", first));
    CHECK(fleet.orderUntilAcknowledged(0, "DELETE", first));
    CHECK(fleet.orderUntilAcknowledged(0, "POST", evacuation_fleet::domainOf(6)));
}
