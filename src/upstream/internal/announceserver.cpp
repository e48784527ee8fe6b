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

constexpr std::string_view PATH_PREFIX = "/v1/upstreams/";
constexpr std::uint64_t MAX_ANNOUNCEMENT_BYTES = 4096;
constexpr std::size_t MAX_NAME_BYTES = 64;
// An upstream repeats its announcement every second, so an idle connection is a leftover.
constexpr std::chrono::seconds IDLE_LIMIT{10};
constexpr base::milliseconds EXPIRY_INTERVAL{250};
constexpr auto WITH_ERROR = asio::as_tuple(asio::use_awaitable);

using request_type = http::request<http::string_body>;
using answer_type = http::response<http::string_body>;

auto isName(std::string_view name) -> bool
{
    const auto allowed = [](char c) {
        return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9')
               || c == '-' || c == '_' || c == '.';
    };
    return !name.empty() && name.size() <= MAX_NAME_BYTES
           && std::all_of(name.begin(), name.end(), allowed);
}

auto answer(const request_type &request, http::status status, std::string_view text) -> answer_type
{
    answer_type out{status, request.version()};
    out.set(http::field::content_type, "application/json");
    out.keep_alive(request.keep_alive());
    out.body() = text.empty() ? "{}" : "{\"error\":" + base::quoteJson(text) + "}";
    out.prepare_payload();
    return out;
}

auto putAnswer(const request_type &request, const std::string &name, upstream_registry &registry)
        -> answer_type
{
    const auto parsed = parseAnnouncement(name, request.body());
    if (!parsed) {
        return answer(request, http::status::bad_request, parsed.error());
    }
    switch (registry.announce(*parsed, base::clock::now())) {
    case announce_result::Accepted:
        return answer(request, http::status::ok, {});
    case announce_result::Outdated:
        return answer(request, http::status::conflict,
                      "a newer incarnation, a drain or a withdrawal is known");
    case announce_result::Full:
        return answer(request, http::status::insufficient_storage, "too many upstreams");
    }
    return answer(request, http::status::internal_server_error, "unexpected result");
}

auto handle(const request_type &request, upstream_registry &registry) -> answer_type
{
    const std::string_view target = request.target();
    if (!target.starts_with(PATH_PREFIX) || !isName(target.substr(PATH_PREFIX.size()))) {
        return answer(request, http::status::not_found, "unknown path");
    }
    const std::string name(target.substr(PATH_PREFIX.size()));
    if (request.method() == http::verb::put) {
        return putAnswer(request, name, registry);
    }
    if (request.method() == http::verb::delete_) {
        return registry.withdraw(name)
                       ? answer(request, http::status::ok, {})
                       : answer(request, http::status::not_found, "unknown upstream");
    }
    return answer(request, http::status::method_not_allowed, "use PUT or DELETE");
}

auto serveConnection(beast::tcp_stream stream, upstream_registry &registry) -> asio::awaitable<void>
{
    beast::flat_buffer buffer;
    for (bool open = true; open;) {
        http::request_parser<http::string_body> parser;
        parser.body_limit(MAX_ANNOUNCEMENT_BYTES);
        stream.expires_after(IDLE_LIMIT);
        const auto [readError, readSize] =
                co_await http::async_read(stream, buffer, parser, WITH_ERROR);
        if (readError) {
            co_return;
        }
        const auto reply = handle(parser.get(), registry);
        stream.expires_after(IDLE_LIMIT);
        const auto [writeError, writeSize] = co_await http::async_write(stream, reply, WITH_ERROR);
        open = !writeError && reply.keep_alive();
    }
}

} // namespace

class announce_server_state
{
public:
    announce_server_state(asio::io_context &context, const asio::ip::tcp::endpoint &address,
                          upstream_registry &registry)
        : m_acceptor(context, address), m_timer(context), m_registry(registry)
    {}

    [[nodiscard]] auto port() const -> std::uint16_t { return m_acceptor.local_endpoint().port(); }

    auto stop() -> void
    {
        m_stopped = true;
        m_acceptor.close();
        m_timer.cancel();
    }

    static auto accept(std::shared_ptr<announce_server_state> self) -> asio::awaitable<void>
    {
        while (!self->m_stopped) {
            auto [error, socket] = co_await self->m_acceptor.async_accept(WITH_ERROR);
            if (error && !self->m_stopped) {
                base::log(base::log_level::Warning, "can't accept an announcement connection",
                          {{"error", error.message()}});
                asio::steady_timer pause(self->m_timer.get_executor(), EXPIRY_INTERVAL);
                co_await pause.async_wait(WITH_ERROR);
            }
            if (!error) {
                asio::co_spawn(
                        self->m_timer.get_executor(),
                        serveConnection(beast::tcp_stream(std::move(socket)), self->m_registry),
                        asio::detached);
            }
        }
    }

    static auto expire(std::shared_ptr<announce_server_state> self) -> asio::awaitable<void>
    {
        while (!self->m_stopped) {
            self->m_registry.expire(base::clock::now());
            self->m_timer.expires_after(EXPIRY_INTERVAL);
            co_await self->m_timer.async_wait(WITH_ERROR);
        }
    }

private:
    asio::ip::tcp::acceptor m_acceptor;
    asio::steady_timer m_timer;
    upstream_registry &m_registry;
    bool m_stopped = false;
};

announce_server::announce_server(asio::io_context &context, const membership::endpoint &address,
                                 upstream_registry &registry)
{
    const asio::ip::tcp::endpoint where(asio::ip::make_address(address.address), address.port);
    if (!where.address().is_loopback()) {
        throw std::invalid_argument("announce address " + address.address + " is not loopback");
    }
    m_state = std::make_shared<announce_server_state>(context, where, registry);
    asio::co_spawn(context, announce_server_state::accept(m_state), asio::detached);
    asio::co_spawn(context, announce_server_state::expire(m_state), asio::detached);
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
