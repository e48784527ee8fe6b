#include "tests/process/upstream.h"

#include "webapi/client.h"
#include "webapi/json.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>

namespace hawthornpick::processtest {

namespace {

constexpr std::chrono::milliseconds ANNOUNCE_INTERVAL{200};

} // namespace

stand_in_upstream::stand_in_upstream(membership::endpoint announceAddress, std::string name,
                                     std::string service, const std::string &ip)
    : m_announceAddress(std::move(announceAddress)), m_name(std::move(name)),
      m_service(std::move(service)),
      m_incarnation(std::chrono::duration_cast<base::milliseconds>(
                            std::chrono::system_clock::now().time_since_epoch())
                            .count())
{
    m_server = std::make_unique<webapi::server>(
            m_context, membership::endpoint{ip, 0}, webapi::server_limits{},
            [this](webapi::request incoming) { return handle(std::move(incoming)); });
    m_serverThread = std::thread([this] { m_context.run(); });
    m_announceThread = std::thread([this] { announceLoop(); });
}

stand_in_upstream::~stand_in_upstream()
{
    m_isStopping = true;
    m_announceThread.join();
    m_context.stop();
    m_serverThread.join();
    m_server.reset();
}

auto stand_in_upstream::setState(const std::string &state) -> void
{
    const std::lock_guard lock(m_mutex);
    m_state = state;
}

auto stand_in_upstream::executions(const std::string &body) const -> int
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_executions.find(body);
    return found == m_executions.end() ? 0 : found->second;
}

auto stand_in_upstream::sawText(const std::string &text) const -> bool
{
    const std::lock_guard lock(m_mutex);
    return m_seen.find(text) != std::string::npos;
}

auto stand_in_upstream::handle(webapi::request incoming) -> boost::asio::awaitable<webapi::response>
{
    ++m_started;
    {
        const std::lock_guard lock(m_mutex);
        ++m_executions[incoming.body];
        m_seen += incoming.path + " " + incoming.bearerToken + "\n";
    }
    if (m_latencyMs > 0) {
        boost::asio::steady_timer timer(m_context, std::chrono::milliseconds(m_latencyMs));
        co_await timer.async_wait(boost::asio::use_awaitable);
    }
    co_return webapi::response{m_isFailing ? 500U : 200U, "text/plain", "done " + incoming.body};
}

auto stand_in_upstream::announceLoop() -> void
{
    const auto local = membership::toString(m_server->address());
    while (!m_isStopping) {
        std::string state;
        {
            const std::lock_guard lock(m_mutex);
            state = m_state;
        }
        const auto body = webapi::toText(boost::json::object{{"service", m_service},
                                                             {"address", local},
                                                             {"slots", m_slots.load()},
                                                             {"state", state},
                                                             {"incarnation", m_incarnation}});
        webapi::call(m_announceAddress, {"PUT", "/v1/upstreams/" + m_name, {}, {}, body},
                     std::chrono::seconds(2));
        std::this_thread::sleep_for(ANNOUNCE_INTERVAL);
    }
}

} // namespace hawthornpick::processtest
