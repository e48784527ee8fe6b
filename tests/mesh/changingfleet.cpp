#include "tests/mesh/changingfleet.h"

#include "platform/internal/wirenames.h"
#include "platform/tests/messages.h"
#include "tests/mesh/meshcaller.h"

#include <CppUTest/TestHarness.h>
#include <iostream>
#include <numeric>
#include <thread>
#include <unistd.h>

namespace hawthornpick::meshtest {

namespace {

namespace messages = platform::messages;
using processtest::http_client;

constexpr base::milliseconds POLL_INTERVAL{100};
constexpr int CHECKED_CHANGES = 4;
constexpr base::milliseconds CHANGE_LIMIT{20'000};

auto answerAtOnce(webapi::request incoming) -> boost::asio::awaitable<webapi::response>
{
    static const auto names = platform::wireNames();
    webapi::response answer{200, "text/plain", "done"};
    answer.headers[names.requestId] = testsupport::headerValue(incoming, names.requestId);
    co_return answer;
}

} // namespace

changing_fleet::changing_fleet(const std::string &name, testsupport::fleet_size size)
    : m_size(size), m_fleet(HAWTHORNPICK_BINARY,
                            std::filesystem::temp_directory_path()
                                    / ("hawthornpick-" + name + "-" + std::to_string(getpid())),
                            size, [](int /*node*/, webapi::request incoming) {
                                return answerAtOnce(std::move(incoming));
                            })
{
    CHECK_TEXT(mesh_caller(m_fleet).waitUntilServed(), "the fleet does not serve");
}

auto changing_fleet::addRoute(base::milliseconds limit) -> bool
{
    std::vector<int> cores(static_cast<std::size_t>(m_fleet.cores()));
    std::iota(cores.begin(), cores.end(), 0);
    return addRouteAt(cores, limit);
}

auto changing_fleet::addRouteAt(const std::vector<int> &cores, base::milliseconds limit) -> bool
{
    constexpr unsigned NARROW_RATE = 1000;
    const auto end = base::clock::now() + limit;
    for (std::size_t attempt = 0; base::clock::now() < end; ++attempt) {
        http_client client(m_fleet.controlAddress(cores.at(attempt % cores.size())));
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

auto changing_fleet::checkAddedRoutesAreServed() -> void
{
    for (int change = 0; change < CHECKED_CHANGES; ++change) {
        CHECK(addRoute(CHANGE_LIMIT));
        std::this_thread::sleep_for(APPLY_TIME);
        const int missing = countNodesWithoutRoute();
        CHECK_EQUAL(0, missing);
    }
}

auto changing_fleet::countNodesWithoutRoute() -> int
{
    int count = 0;
    for (int edge = 0; edge < m_size.edges; ++edge) {
        const auto status = statusOf(edge, newestPath());
        if (status != 200) {
            std::cout << "edge " << edge << " answers " << status << " for " << newestPath()
                      << "\n";
        }
        count += status == 200 ? 0 : 1;
    }
    return count;
}

auto changing_fleet::statusOf(int edge, const std::string &path) -> unsigned
{
    const auto answer = mesh_caller(m_fleet).sendTo(edge, "GET", path);
    return answer ? answer->status : 0;
}

auto changing_fleet::newestPath() const -> std::string
{
    return "/v" + std::to_string(m_version) + "/1";
}

auto changing_fleet::countCoresWithoutVersion() -> int
{
    int count = 0;
    for (int core = 0; core < m_fleet.cores(); ++core) {
        http_client client(m_fleet.controlAddress(core));
        const auto answer = client.send("GET", std::string(messages::CONFIGURATION_PATH), {}, {});
        const bool isCurrent =
                answer && answer->status == 200 && messages::versionOf(answer->body) == m_version;
        count += isCurrent ? 0 : 1;
    }
    return count;
}

} // namespace hawthornpick::meshtest
