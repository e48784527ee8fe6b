#include "tests/support/meshfleet.h"

#include "platform/tests/messages.h"
#include "webapi/client.h"

#include <algorithm>
#include <boost/asio/dispatch.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <csignal>
#include <fstream>
#include <future>
#include <unistd.h>

namespace hawthornpick::testsupport {

namespace {

namespace messages = platform::messages;

constexpr std::uint16_t PEER_PORT = 7700;
constexpr std::uint16_t PEER_LISTEN_PORT = 7701;
constexpr std::uint16_t CONTROL_PORT = 7702;
constexpr std::uint16_t CALLER_PORT = 7703;
constexpr std::uint16_t UPSTREAM_PORT = 7704;
constexpr std::chrono::milliseconds HEARTBEAT_INTERVAL{500};
constexpr int FIRST_HOST = 10;
//! Time within which the platform expects the answer to a heartbeat.
constexpr std::chrono::milliseconds ACKNOWLEDGEMENT_TIMEOUT{1000};

} // namespace

auto headerValue(const webapi::request &incoming, std::string_view name) -> std::string
{
    std::string lowerCaseName(name);
    std::transform(lowerCaseName.begin(), lowerCaseName.end(), lowerCaseName.begin(),
                   [](unsigned char item) { return static_cast<char>(std::tolower(item)); });
    const auto position = incoming.headers.find(lowerCaseName);
    return position == incoming.headers.end() ? std::string() : position->second;
}

mesh_fleet::mesh_fleet(std::string binary, std::filesystem::path folder, fleet_size size,
                       upstream_handler handler)
    : m_binary(std::move(binary)), m_folder(std::move(folder)), m_size(size),
      m_handler(std::move(handler)), m_network("127." + std::to_string(20 + getpid() % 80) + "."
                                               + std::to_string(getpid() / 80 % 200)),
      m_upstreams(static_cast<std::size_t>(size.edges)),
      m_processes(static_cast<std::size_t>(size.cores + size.edges)),
      m_hasStarted(m_processes.size(), false)
{
    std::filesystem::remove_all(m_folder);
    std::filesystem::create_directories(m_folder);
    std::vector<faultproxy::proxied_link> links;
    for (int node = 0; node < this->size(); ++node) {
        links.push_back({nameOf(node), {ip(node), PEER_PORT}, {ip(node), PEER_LISTEN_PORT}});
    }
    m_proxy = std::make_unique<faultproxy::proxy>(m_context, links);
    for (int node = m_size.cores; node < this->size(); ++node) {
        startUpstream(node);
    }
    for (auto *context : {&m_context, &m_upstreamContext}) {
        m_threads.emplace_back([context] {
            const auto guard = boost::asio::make_work_guard(*context);
            context->run();
        });
    }
    for (int node = 0; node < this->size(); ++node) {
        writeSettings(node);
        start(node);
    }
    m_threads.emplace_back([this](const std::stop_token &stop) {
        while (!stop.stop_requested()) {
            registerUpstreams();
            std::this_thread::sleep_for(HEARTBEAT_INTERVAL);
        }
    });
}

mesh_fleet::~mesh_fleet()
{
    m_threads.back().request_stop();
    m_threads.pop_back();
    m_processes.clear();
    m_context.stop();
    m_upstreamContext.stop();
    m_threads.clear();
}

auto mesh_fleet::ip(int node) const -> std::string
{
    return m_network + "." + std::to_string(FIRST_HOST + node);
}

auto mesh_fleet::nameOf(int node) const -> std::string
{
    return (node < m_size.cores ? "core-" : "edge-") + std::to_string(node);
}

auto mesh_fleet::callerAddress(int node) const -> membership::endpoint
{
    return {ip(node), CALLER_PORT};
}

auto mesh_fleet::controlAddress(int node) const -> membership::endpoint
{
    return {ip(node), CONTROL_PORT};
}

auto mesh_fleet::writeSettings(int node) -> void
{
    const auto listen = [&](const std::string &key, std::uint16_t port) {
        return key + " = " + ip(node) + ":" + std::to_string(port) + "\n";
    };
    const bool isCore = node < m_size.cores;
    std::ofstream file(m_folder / (nameOf(node) + ".ini"));
    file << "[node]\nname = " << nameOf(node) << "\nregion = r" << node % 2
         << "\nfailure_domain = d" << node % 4 << "\naddress = " << ip(node)
         << "\npeer_port = " << PEER_PORT << "\n"
         << (isCore ? "data_folder = " + (m_folder / ("data-" + nameOf(node))).string() + "\n" : "")
         << "[listen]\n"
         << listen("control", CONTROL_PORT) << listen("peers", PEER_LISTEN_PORT)
         << (isCore ? "" : listen("callers", CALLER_PORT)) << "[upstream]\n"
         << (isCore ? "" : "service = work\n" + listen("address", UPSTREAM_PORT))
         << "heartbeat = 500ms\n[fleet]\nsecret = secret of the soak fleet\nfirst_start = "
         << (m_hasStarted.at(static_cast<std::size_t>(node)) ? "false" : "true") << "\n";
    for (int seed = 0; seed < std::min(3, m_size.cores); ++seed) {
        file << "seed = " << ip(seed) << ":" << CONTROL_PORT << "\n";
    }
}

auto mesh_fleet::start(int node, std::vector<std::string> variables) -> void
{
    const auto index = static_cast<std::size_t>(node);
    writeSettings(node);
    m_hasStarted.at(index) = true;
    const auto settings = "--settings=" + (m_folder / (nameOf(node) + ".ini")).string();
    m_processes.at(index).emplace(m_binary, std::vector<std::string>{"mesh", settings},
                                  m_folder / (nameOf(node) + ".log"), std::move(variables));
}

auto mesh_fleet::signal(int node, int number) -> void
{
    if (auto &process = m_processes.at(static_cast<std::size_t>(node))) {
        process->signal(number);
    }
}

auto mesh_fleet::isRunning(int node) -> bool
{
    auto &process = m_processes.at(static_cast<std::size_t>(node));
    return process && process->isRunning();
}

auto mesh_fleet::peakMemoryKb(int node) -> long
{
    const auto &process = m_processes.at(static_cast<std::size_t>(node));
    return process ? process->peakMemoryKb() : 0;
}

auto mesh_fleet::kill(int node) -> void
{
    m_processes.at(static_cast<std::size_t>(node)).reset();
}

auto mesh_fleet::setFaults(std::vector<faultproxy::rule> rules) -> void
{
    std::promise<void> done;
    boost::asio::post(m_context, [&] {
        m_proxy->setRules(std::move(rules));
        done.set_value();
    });
    done.get_future().wait();
}

auto mesh_fleet::cut(int from, int to) const -> std::vector<faultproxy::rule>
{
    return fault(from, to, faultproxy::fault_kind::Cut, 0);
}

auto mesh_fleet::delay(int from, int to, base::milliseconds time) const
        -> std::vector<faultproxy::rule>
{
    return fault(from, to, faultproxy::fault_kind::Delay, static_cast<std::uint64_t>(time.count()));
}

auto mesh_fleet::fault(int from, int to, faultproxy::fault_kind kind, std::uint64_t value) const
        -> std::vector<faultproxy::rule>
{
    using enum faultproxy::direction;
    return {{nameOf(to), ip(from), ToTarget, kind, value},
            {nameOf(from), ip(to), FromTarget, kind, value}};
}

auto mesh_fleet::upstreamBeside(int node) -> stand_in_upstream &
{
    return m_upstreams.at(static_cast<std::size_t>(node - m_size.cores));
}

auto mesh_fleet::upstreamPath(int node) -> std::string
{
    return "/instances/" + nameOf(node) + "-"
           + std::to_string(upstreamBeside(node).startTime.load());
}

auto mesh_fleet::setHeartbeats(int node, bool areSent) -> void
{
    upstreamBeside(node).sendsHeartbeats = areSent;
}

auto mesh_fleet::setColdTime(int node, base::milliseconds coldRemaining) -> void
{
    upstreamBeside(node).coldMs = coldRemaining.count();
}

auto mesh_fleet::sendHeartbeat(int node, const std::string &state, std::uint64_t sequenceNo)
        -> unsigned
{
    const auto body = messages::heartbeat("work", {ip(node), UPSTREAM_PORT},
                                          upstreamBeside(node).startTime, sequenceNo, state);
    const auto answer =
            webapi::call(controlAddress(node), {"PUT", upstreamPath(node), {}, {}, body},
                         ACKNOWLEDGEMENT_TIMEOUT);
    return answer ? answer->status : 0;
}

auto mesh_fleet::announce(int node, const std::string &name, const std::string &service,
                          const membership::endpoint &address, unsigned slots,
                          std::uint64_t sequenceNo) -> unsigned
{
    const auto body = messages::heartbeat(service, address, 1, sequenceNo, "ready", slots);
    const auto answer =
            webapi::call(controlAddress(node), {"PUT", "/instances/" + name, {}, {}, body},
                         ACKNOWLEDGEMENT_TIMEOUT);
    return answer ? answer->status : 0;
}

auto mesh_fleet::withdrawUpstream(int node) -> unsigned
{
    const auto answer =
            webapi::call(controlAddress(node), {"DELETE", upstreamPath(node), {}, {}, {}},
                         ACKNOWLEDGEMENT_TIMEOUT);
    return answer ? answer->status : 0;
}

auto mesh_fleet::startUpstream(int node) -> void
{
    auto &upstream = upstreamBeside(node);
    upstream.server = std::make_unique<webapi::server>(
            m_upstreamContext, membership::endpoint{ip(node), UPSTREAM_PORT},
            webapi::server_limits{}, [this, node](webapi::request incoming) {
                return m_handler(node, std::move(incoming));
            });
    upstream.startTime = base::wallClockMilliseconds();
}

auto mesh_fleet::crashUpstream(int node, base::milliseconds downTime) -> void
{
    boost::asio::dispatch(m_upstreamContext, [this, node, downTime] {
        auto &upstream = upstreamBeside(node);
        if (upstream.startTime.exchange(0) == 0) {
            return;
        }
        upstream.server.reset();
        auto timer = std::make_shared<boost::asio::steady_timer>(m_upstreamContext, downTime);
        timer->async_wait([this, node, timer](const auto & /*failure*/) { startUpstream(node); });
    });
}

auto mesh_fleet::registerUpstreams() -> void
{
    static std::uint64_t number = 0;
    ++number;
    for (int node = m_size.cores; node < size(); ++node) {
        const auto startTime = upstreamBeside(node).startTime.load();
        if (startTime == 0 || !upstreamBeside(node).sendsHeartbeats) {
            continue;
        }
        const auto body =
                messages::heartbeat("work", {ip(node), UPSTREAM_PORT}, startTime, number, "ready",
                                    8, base::milliseconds(upstreamBeside(node).coldMs));
        (void)webapi::call(controlAddress(node), {"PUT", upstreamPath(node), {}, {}, body},
                           base::milliseconds(200));
    }
}

} // namespace hawthornpick::testsupport
