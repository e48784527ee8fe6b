#include "platform/internal/wirenames.h"
#include "platform/tests/messages.h"
#include "tests/mesh/meshcaller.h"

#include <CppUTest/TestHarness.h>
#include <iostream>
#include <thread>
#include <unistd.h>

using namespace hawthornpick;
using meshtest::mesh_caller;
using processtest::http_client;
using testsupport::mesh_fleet;

namespace {

namespace messages = platform::messages;

constexpr testsupport::fleet_size FLEET_SIZE{5, 6};
//! Time after an acknowledgement within which nodes in touch serve an added route.
constexpr base::milliseconds APPLY_TIME{2500};
//! Time after its start in which a node may be out of touch.
constexpr base::milliseconds START_TIME{3000};
constexpr base::milliseconds CHANGE_LIMIT{20'000};
constexpr base::milliseconds POLL_INTERVAL{100};
constexpr base::milliseconds CLOCK_STEP{-60'000};

auto answerAtOnce(webapi::request incoming) -> boost::asio::awaitable<webapi::response>
{
    static const auto names = platform::wireNames();
    webapi::response answer{200, "text/plain", "done"};
    answer.headers[names.requestId] = testsupport::headerValue(incoming, names.requestId);
    co_return answer;
}

//! Mesh to whose configuration routes are added.
class changing_fleet
{
public:
    changing_fleet()
        : m_fleet(HAWTHORNPICK_BINARY,
                  std::filesystem::temp_directory_path()
                          / ("hawthornpick-clock-" + std::to_string(getpid())),
                  FLEET_SIZE, [](int /*node*/, webapi::request incoming) {
                      return answerAtOnce(std::move(incoming));
                  })
    {
        CHECK_TEXT(mesh_caller(m_fleet).waitUntilServed(), "the fleet does not serve");
    }

    //! Kills a node and starts it with its wall clock stepped.
    auto restartWithSteppedClock(int node) -> void
    {
        m_fleet.kill(node);
        m_fleet.start(node, CLOCK_STEP);
    }

    //! Replaces the configuration by one with another route; true once it is acknowledged.
    auto addRoute() -> bool
    {
        constexpr unsigned NARROW_RATE = 1000;
        const auto end = base::clock::now() + CHANGE_LIMIT;
        for (int attempt = 0; base::clock::now() < end; ++attempt) {
            http_client client(m_fleet.controlAddress(attempt % m_fleet.cores()));
            const auto answer = client.send("PUT", std::string(messages::CONFIGURATION_PATH),
                                            messages::changeHeaders(m_version),
                                            messages::configuration(m_version + 1, NARROW_RATE));
            if (answer && answer->status == 200) {
                ++m_version;
                return true;
            }
            std::this_thread::sleep_for(POLL_INTERVAL);
        }
        return false;
    }

    //! Number of nodes that don't serve the route that was added last.
    auto countNodesWithoutRoute() -> int
    {
        int count = 0;
        mesh_caller caller(m_fleet);
        const auto path = "/v" + std::to_string(m_version) + "/1";
        for (int edge = 0; edge < FLEET_SIZE.edges; ++edge) {
            const auto answer = caller.sendTo(edge, "GET", path);
            const bool isServed = answer && answer->status == 200;
            if (!isServed) {
                std::cout << "edge " << edge << " answers " << (answer ? answer->status : 0)
                          << " for " << path << "\n";
            }
            count += isServed ? 0 : 1;
        }
        return count;
    }

    //! Number of core nodes that can't tell the current configuration.
    auto countCoresWithoutVersion() -> int
    {
        int count = 0;
        for (int core = 0; core < m_fleet.cores(); ++core) {
            http_client client(m_fleet.controlAddress(core));
            const auto answer =
                    client.send("GET", std::string(messages::CONFIGURATION_PATH), {}, {});
            const bool isCurrent = answer && answer->status == 200
                                   && messages::versionOf(answer->body) == m_version;
            count += isCurrent ? 0 : 1;
        }
        return count;
    }

private:
    mesh_fleet m_fleet;
    std::uint64_t m_version = 1;
};

} // namespace

TEST_GROUP(clock_step){};

// Guards against a node that no longer learns of configurations after a restart, because its host's
// clock was set back and other nodes take its messages for those of its former process.
TEST(clock_step, nodeServesAddedRoutesAfterARestartWithItsClockSetBack)
{
    changing_fleet fleet;
    for (int edge = 0; edge < 3; ++edge) {
        fleet.restartWithSteppedClock(FLEET_SIZE.cores + edge);
    }
    std::this_thread::sleep_for(START_TIME);
    for (int change = 0; change < 4; ++change) {
        CHECK(fleet.addRoute());
        std::this_thread::sleep_for(APPLY_TIME);
        const int missing = fleet.countNodesWithoutRoute();
        CHECK_EQUAL(0, missing);
    }
}

// Guards against the same for core nodes, which then neither vote nor tell the configuration.
TEST(clock_step, coreNodesAreMembersAfterARestartWithTheirClocksSetBack)
{
    changing_fleet fleet;
    for (int core = 0; core < FLEET_SIZE.cores; ++core) {
        fleet.restartWithSteppedClock(core);
        std::this_thread::sleep_for(START_TIME);
        CHECK(fleet.addRoute());
        std::this_thread::sleep_for(APPLY_TIME);
        const int missing = fleet.countNodesWithoutRoute();
        CHECK_EQUAL(0, missing);
        const int outdated = fleet.countCoresWithoutVersion();
        CHECK_EQUAL(0, outdated);
    }
}
