#include "tests/mesh/meshcaller.h"

#include "platform/tests/messages.h"

#include <thread>

namespace hawthornpick::meshtest {

namespace {

namespace messages = platform::messages;

constexpr base::milliseconds START_LIMIT{30'000};
constexpr base::milliseconds POLL_INTERVAL{100};
constexpr unsigned NARROW_RATE = 1000;

} // namespace

auto mesh_caller::waitUntilServed() -> bool
{
    const auto end = base::clock::now() + START_LIMIT;
    bool isAccepted = false;
    int servedCount = 0;
    while (servedCount < edgeCount() && base::clock::now() < end) {
        isAccepted = isAccepted || submitConfiguration();
        const auto answer = isAccepted ? sendTo(servedCount, "GET", "/r/1") : std::nullopt;
        if (answer && answer->status == 200) {
            ++servedCount;
        } else {
            std::this_thread::sleep_for(POLL_INTERVAL);
        }
    }
    return servedCount == edgeCount();
}

auto mesh_caller::submitConfiguration() -> bool
{
    processtest::http_client client(m_fleet.controlAddress(0));
    const auto answer =
            client.send("PUT", std::string(messages::CONFIGURATION_PATH),
                        messages::changeHeaders(0), messages::configuration(1, NARROW_RATE));
    return answer && answer->status == 200;
}

auto mesh_caller::submitPatch(const std::string &patch) -> bool
{
    processtest::http_client client(m_fleet.controlAddress(0));
    const auto answer = client.send("PATCH", std::string(messages::CONFIGURATION_PATH),
                                    messages::changeHeaders(1), patch);
    return answer && answer->status == 200;
}

auto mesh_caller::submitSlowRoute() -> bool
{
    return submitRoute(messages::slowServicePatch(2), "/slow/1");
}

auto mesh_caller::submitBoundRoute(const std::string &region) -> bool
{
    return submitRoute(messages::boundRoutePatch(2, region), "/bound/1");
}

auto mesh_caller::submitRoute(const std::string &patch, const std::string &path) -> bool
{
    if (!submitPatch(patch)) {
        return false;
    }
    const auto end = base::clock::now() + START_LIMIT;
    for (int edge = 0; edge < edgeCount() && base::clock::now() < end;) {
        const auto known = sendTo(edge, "GET", path);
        edge += known && known->status != 404 ? 1 : 0;
    }
    return true;
}

auto mesh_caller::sendTo(int edge, const std::string &method, const std::string &target,
                         const std::string &body) -> std::optional<processtest::http_answer>
{
    const auto id = m_name + "-" + std::to_string(++m_requestCount);
    processtest::http_client client(m_fleet.callerAddress(m_fleet.cores() + edge));
    return client.send(method, target, messages::requestHeaders(id, "wide", DEADLINE_MS), body);
}

auto mesh_caller::sendToAny(const std::string &method, const std::string &target,
                            const std::string &body) -> std::optional<processtest::http_answer>
{
    const auto edge = m_random.below(static_cast<std::uint64_t>(edgeCount()));
    return sendTo(static_cast<int>(edge), method, target, body);
}

} // namespace hawthornpick::meshtest
