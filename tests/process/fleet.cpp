#include "tests/process/fleet.h"

#include "operators/apitypes.h"
#include "webapi/client.h"
#include "webapi/json.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/json.hpp>
#include <csignal>
#include <fstream>
#include <future>
#include <unistd.h>

// Last, because it redefines `new`.
#include <CppUTest/TestHarness.h>

namespace hawthornpick::processtest {

namespace {

constexpr const char *OPERATOR_KEY = "process-test-operator-key";
constexpr std::uint16_t CALLER_PORT = 8080;
constexpr std::uint16_t PEER_PORT = 7000;
constexpr std::uint16_t ANNOUNCE_PORT = 7001;
constexpr std::uint16_t OPERATOR_PORT = 7002;
constexpr std::uint16_t PLATFORM_PORT = 7003;
constexpr std::uint16_t PROXY_PORT = 7100;
constexpr base::milliseconds CALL_TIMEOUT{20000};
constexpr base::milliseconds POLL_INTERVAL{50};
constexpr std::chrono::seconds WAIT_LIMIT{60};

// Separate loopback networks let several runs on one machine use the same ports.
auto networkOfThisProcess() -> std::string
{
    const auto id = static_cast<unsigned>(getpid());
    return "127." + std::to_string(110 + id % 100) + "." + std::to_string(id / 100 % 100);
}

auto isController(const node_place &place) -> bool
{
    return place.region == 1 ? place.position >= 2 : place.position == 3;
}

} // namespace

auto waitUntil(const char *what, const std::function<bool()> &condition) -> void
{
    const auto end = base::clock::now() + WAIT_LIMIT;
    while (!condition()) {
        if (base::clock::now() > end) {
            FAIL(what);
        }
        std::this_thread::sleep_for(POLL_INTERVAL);
    }
}

auto jsonNumber(const std::string &body, const std::string &name) -> std::optional<std::uint64_t>
{
    const auto object = webapi::parseObject(body);
    return object ? webapi::numberMember(*object, name) : std::nullopt;
}

auto jsonText(const std::string &body, const std::string &name) -> std::string
{
    const auto object = webapi::parseObject(body);
    return object ? webapi::textMember(*object, name).value_or("") : "";
}

fleet::fleet()
    : m_network(networkOfThisProcess()),
      m_folder(std::filesystem::temp_directory_path()
               / ("hawthornpick-test-" + std::to_string(getpid())))
{
    std::filesystem::remove_all(m_folder);
    std::filesystem::create_directories(m_folder);
    std::vector<faultproxy::proxied_link> links;
    for (int region = 1; region <= 2; ++region) {
        for (int position = 1; position <= 3; ++position) {
            const auto name = std::string(region == 1 ? "a" : "b") + std::to_string(position);
            m_nodes.push_back({name, region, position});
            links.push_back({name, {ip(name), PROXY_PORT}, {ip(name), PEER_PORT}});
        }
    }
    m_proxy = std::make_unique<faultproxy::proxy>(m_context, links);
    m_proxyThread = std::thread([this] { m_context.run(); });
    for (const auto &place : m_nodes) {
        writeSettings(place);
        start(place.name);
    }
    waitUntil("a leader is confirmed", [this] { return !leader("a1").empty(); });
}

fleet::~fleet()
{
    for (const auto &place : m_nodes) {
        kill(place.name);
    }
    m_context.stop();
    m_proxyThread.join();
    std::filesystem::remove_all(m_folder);
}

auto fleet::placeOf(const std::string &node) const -> const node_place &
{
    return *std::find_if(m_nodes.begin(), m_nodes.end(),
                         [&node](const node_place &place) { return place.name == node; });
}

auto fleet::ip(const std::string &node) const -> std::string
{
    const auto &place = placeOf(node);
    return m_network + "." + std::to_string(place.region * 10 + place.position);
}

auto fleet::callerAddress(const std::string &node) const -> membership::endpoint
{
    return {ip(node), CALLER_PORT};
}

auto fleet::announceAddress(const std::string &node) const -> membership::endpoint
{
    return {ip(node), ANNOUNCE_PORT};
}

auto fleet::writeSettings(const node_place &place) -> void
{
    const auto named = [this](const std::string &key, const std::string &node) {
        return key + " = " + node + "@" + ip(node) + ":" + std::to_string(PROXY_PORT) + "\n";
    };
    const auto listen = [&](const std::string &key, std::uint16_t port) {
        return key + " = " + ip(place.name) + ":" + std::to_string(port) + "\n";
    };
    std::ofstream file(m_folder / (place.name + ".ini"));
    file << "[node]\nname = " << place.name << "\nhost = host-" << place.name
         << "\nregion = " << (place.region == 1 ? "a" : "b")
         << "\nfailure_domain = " << (place.region == 1 ? "a" : "b") << place.position % 2
         << "\nio_threads = 1\n"
         << (isController(place)
                     ? "data_folder = " + (m_folder / ("data-" + place.name)).string() + "\n"
                     : "")
         << "[listen]\n"
         << listen("callers", CALLER_PORT) << listen("peers", PEER_PORT)
         << listen("advertised_peers", PROXY_PORT) << listen("announce", ANNOUNCE_PORT)
         << listen("operators", OPERATOR_PORT) << listen("platform", PLATFORM_PORT)
         << "[fleet]\nsecret = process-test-fleet-secret\noperator_key = " << OPERATOR_KEY << "\n"
         << named("seed", "a1") << named("seed", "b1") << named("controller", "a2")
         << named("controller", "a3") << named("controller", "b3") << "[witnesses a]\n"
         << named("witness", "a1") << named("witness", "a2") << named("witness", "b1")
         << "[witnesses b]\n"
         << named("witness", "b1") << named("witness", "b2") << named("witness", "a1");
}

auto fleet::start(const std::string &node) -> void
{
    const auto settings = "--settings=" + (m_folder / (node + ".ini")).string();
    m_processes.erase(node);
    m_processes.try_emplace(node, HAWTHORNPICK_BINARY, std::vector<std::string>{"serve", settings},
                            m_folder / (node + ".log"));
}

auto fleet::signal(const std::string &node, int number) -> void
{
    m_processes.at(node).signal(number);
}

auto fleet::wait(const std::string &node) -> std::optional<int>
{
    const auto status = m_processes.at(node).wait();
    m_processes.erase(node);
    return status;
}

auto fleet::kill(const std::string &node) -> void
{
    if (m_processes.contains(node)) {
        signal(node, SIGKILL);
        wait(node);
    }
}

auto fleet::wipe(const std::string &node) -> void
{
    std::filesystem::remove_all(m_folder / ("data-" + node));
}

auto fleet::setFaults(std::vector<faultproxy::rule> rules) -> void
{
    std::promise<void> done;
    boost::asio::post(m_context, [&] {
        m_proxy->setRules(std::move(rules));
        done.set_value();
    });
    done.get_future().wait();
}

auto fleet::cutRules(const std::vector<std::string> &from, const std::vector<std::string> &to) const
        -> std::vector<faultproxy::rule>
{
    // Traffic from X to Y is what X sends on its connections to Y and what X answers on
    // connections that Y opened.
    std::vector<faultproxy::rule> rules;
    for (const auto &sender : from) {
        for (const auto &receiver : to) {
            rules.push_back({receiver, ip(sender), faultproxy::direction::ToTarget,
                             faultproxy::fault_kind::Cut, 0});
            rules.push_back({sender, ip(receiver), faultproxy::direction::FromTarget,
                             faultproxy::fault_kind::Cut, 0});
        }
    }
    return rules;
}

auto fleet::get(const std::string &node, const std::string &path) -> std::optional<operator_answer>
{
    const auto answer = webapi::call({ip(node), OPERATOR_PORT}, {"GET", path, {}, OPERATOR_KEY, {}},
                                     CALL_TIMEOUT);
    if (!answer) {
        return std::nullopt;
    }
    return operator_answer{answer->status, answer->body};
}

auto fleet::apply(const std::string &node, const std::string &changeId, std::uint64_t baseVersion,
                  const std::string &declaration) -> std::optional<operator_answer>
{
    const operators::change_submission submission{
            changeId, baseVersion, {{"set.ini", declaration}}};
    const auto answer = webapi::call(
            {ip(node), OPERATOR_PORT},
            {"POST", "/v1/changes", {}, OPERATOR_KEY, operators::toJson(submission)}, CALL_TIMEOUT);
    if (!answer) {
        return std::nullopt;
    }
    return operator_answer{answer->status, answer->body};
}

auto fleet::evacuate(const std::string &node, const std::string &changeId,
                     const std::string &failureDomain, bool starts)
        -> std::optional<operator_answer>
{
    const operators::evacuation_submission submission{
            changeId, base::failure_domain_id(failureDomain), starts};
    const auto answer = webapi::call(
            {ip(node), OPERATOR_PORT},
            {"POST", "/v1/evacuations", {}, OPERATOR_KEY, operators::toJson(submission)},
            CALL_TIMEOUT);
    if (!answer) {
        return std::nullopt;
    }
    return operator_answer{answer->status, answer->body};
}

auto fleet::change(const std::string &node, const std::string &changeId)
        -> std::optional<operator_answer>
{
    return get(node, "/v1/changes/" + changeId);
}

auto fleet::versionOf(const std::string &node) -> std::optional<std::uint64_t>
{
    const auto answer = get(node, "/v1/node");
    return answer ? jsonNumber(answer->body, "version") : std::nullopt;
}

auto fleet::leader(const std::string &node) -> std::string
{
    const auto answer = get(node, "/v1/status");
    return answer ? jsonText(answer->body, "leader") : "";
}

auto fleet::ejectedUpstreams(const std::string &node) -> std::optional<std::size_t>
{
    const auto answer = get(node, "/v1/upstreams");
    const auto object = answer ? webapi::parseObject(answer->body) : std::nullopt;
    if (!object) {
        return std::nullopt;
    }
    const auto &items = object->at("upstreams").as_array();
    return std::count_if(items.begin(), items.end(), [](const boost::json::value &item) {
        return item.at("ejected").as_bool();
    });
}

auto fleet::isReady(const std::string &node) -> bool
{
    const auto answer =
            webapi::call({ip(node), PLATFORM_PORT}, {"GET", "/readyz", {}, {}, {}}, CALL_TIMEOUT);
    return answer && answer->status == 200;
}

auto fleet::applyAndWait(const std::string &declaration) -> void
{
    const auto base = versionOf("a1").value_or(0);
    const auto answer = apply("a1", "change-" + std::to_string(base), base, declaration);
    CHECK(answer.has_value());
    STRCMP_EQUAL("in_force", jsonText(answer->body, "state").c_str());
    for (const auto &place : m_nodes) {
        waitUntil("all nodes are ready", [&] { return isReady(place.name); });
    }
}

} // namespace hawthornpick::processtest
