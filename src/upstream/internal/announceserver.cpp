#include "upstream/announceserver.h"

#include "base/log.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <charconv>
#include <stdexcept>

namespace hawthornpick::upstream {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

namespace {

constexpr std::string_view UPSTREAMS_PATH_PREFIX = "/v1/upstreams/";
constexpr std::uint64_t MAX_ANNOUNCEMENT_BYTES = 4096;
constexpr std::size_t MAX_NAME_BYTES = 64;
// Upstreams repeat their announcements every second, so a connection that is idle for this time is
// no longer in use.
constexpr std::chrono::seconds IDLE_TIMEOUT{10};
constexpr base::milliseconds EXPIRY_INTERVAL{250};
constexpr auto AS_TUPLE = asio::as_tuple(asio::use_awaitable);

using request_type = http::request<http::string_body>;
using answer_type = http::response<http::string_body>;

auto isValidName(std::string_view name) -> bool
{
    const auto isAllowed = [](char c) {
        return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9')
               || c == '-' || c == '_' || c == '.';
    };
    return !name.empty() && name.size() <= MAX_NAME_BYTES
           && std::all_of(name.begin(), name.end(), isAllowed);
}

auto makeAnswer(const request_type &request, http::status status, std::string_view errorText)
        -> answer_type
{
    answer_type answer{status, request.version()};
    answer.set(http::field::content_type, "application/json");
    answer.keep_alive(request.keep_alive());
    answer.body() = errorText.empty() ? "{}" : "{\"error\":" + base::quoteJson(errorText) + "}";
    answer.prepare_payload();
    return answer;
}

auto handlePut(const request_type &request, const std::string &name, upstream_registry &registry)
        -> answer_type
{
    const auto parsed = parseAnnouncement(name, request.body());
    if (!parsed) {
        return makeAnswer(request, http::status::bad_request, parsed.error());
    }
    switch (registry.announce(*parsed, base::clock::now())) {
    case announce_result::Accepted:
        return makeAnswer(request, http::status::ok, {});
    case announce_result::Outdated:
        return makeAnswer(
                request, http::status::conflict,
                "the announcement is outdated: a later one, a newer incarnation, a drain or a "
                "withdrawal is known");
    case announce_result::Full:
        return makeAnswer(request, http::status::insufficient_storage,
                          "the maximum number of upstreams on this host is reached");
    }
    return makeAnswer(request, http::status::internal_server_error,
                      "unexpected result of the announcement");
}

auto handleRequest(const request_type &request, upstream_registry &registry) -> answer_type
{
    const std::string_view target = request.target();
    if (!target.starts_with(UPSTREAMS_PATH_PREFIX)
        || !isValidName(target.substr(UPSTREAMS_PATH_PREFIX.size()))) {
        return makeAnswer(request, http::status::not_found,
                          "unknown path; expected /v1/upstreams/<name> with a name of 1 to 64 "
                          "letters, digits, '-', '_' or '.'");
    }
    const std::string name(target.substr(UPSTREAMS_PATH_PREFIX.size()));
    if (request.method() == http::verb::put) {
        return handlePut(request, name, registry);
    }
    if (request.method() == http::verb::delete_) {
        return registry.withdraw(name, base::clock::now()) == withdraw_result::Withdrawn
                       ? makeAnswer(request, http::status::ok, {})
                       : makeAnswer(request, http::status::not_found, "unknown upstream");
    }
    return makeAnswer(request, http::status::method_not_allowed,
                      "method not allowed; use PUT or DELETE");
}

auto serveConnection(beast::tcp_stream stream, upstream_registry &registry) -> asio::awaitable<void>
{
    beast::flat_buffer buffer;
    for (bool open = true; open;) {
        http::request_parser<http::string_body> parser;
        parser.body_limit(MAX_ANNOUNCEMENT_BYTES);
        stream.expires_after(IDLE_TIMEOUT);
        const auto [readError, readSize] =
                co_await http::async_read(stream, buffer, parser, AS_TUPLE);
        if (readError) {
            co_return;
        }
        const auto answer = handleRequest(parser.get(), registry);
        stream.expires_after(IDLE_TIMEOUT);
        const auto [writeError, writeSize] = co_await http::async_write(stream, answer, AS_TUPLE);
        open = !writeError && answer.keep_alive();
    }
}

} // namespace

class announce_server_state
{
public:
    announce_server_state(asio::io_context &context, const asio::ip::tcp::endpoint &address,
                          upstream_registry &registry)
        : m_acceptor(context, address), m_expiryTimer(context), m_registry(registry)
    {}

    [[nodiscard]] auto port() const -> std::uint16_t { return m_acceptor.local_endpoint().port(); }

    auto stop() -> void
    {
        m_stopped = true;
        m_acceptor.close();
        m_expiryTimer.cancel();
    }

    static auto acceptConnections(std::shared_ptr<announce_server_state> self)
            -> asio::awaitable<void>
    {
        while (!self->m_stopped) {
            auto [error, socket] = co_await self->m_acceptor.async_accept(AS_TUPLE);
            if (error && !self->m_stopped) {
                base::log(base::log_level::Warning, "can't accept an announcement connection",
                          {{"error", error.message()}});
                asio::steady_timer retryTimer(self->m_expiryTimer.get_executor(), EXPIRY_INTERVAL);
                co_await retryTimer.async_wait(AS_TUPLE);
            }
            if (!error) {
                asio::co_spawn(
                        self->m_expiryTimer.get_executor(),
                        serveConnection(beast::tcp_stream(std::move(socket)), self->m_registry),
                        asio::detached);
            }
        }
    }

    static auto expireAnnouncements(std::shared_ptr<announce_server_state> self)
            -> asio::awaitable<void>
    {
        while (!self->m_stopped) {
            self->m_registry.expire(base::clock::now());
            self->m_expiryTimer.expires_after(EXPIRY_INTERVAL);
            co_await self->m_expiryTimer.async_wait(AS_TUPLE);
        }
    }

private:
    asio::ip::tcp::acceptor m_acceptor;
    asio::steady_timer m_expiryTimer;
    upstream_registry &m_registry;
    bool m_stopped = false;
};

announce_server::announce_server(asio::io_context &context, const membership::endpoint &address,
                                 upstream_registry &registry)
{
    const asio::ip::tcp::endpoint endpoint(asio::ip::make_address(address.address), address.port);
    if (!endpoint.address().is_loopback()) {
        throw std::invalid_argument("announce address " + address.address
                                    + " is not a loopback address");
    }
    m_state = std::make_shared<announce_server_state>(context, endpoint, registry);
    asio::co_spawn(context, announce_server_state::acceptConnections(m_state), asio::detached);
    asio::co_spawn(context, announce_server_state::expireAnnouncements(m_state), asio::detached);
}

announce_server::~announce_server() = default;

auto announce_server::port() const -> std::uint16_t
{
    return m_state->port();
}

auto announce_server::stop() -> void
{
    m_state->stop();
}

} // namespace hawthornpick::upstream
