#include "webapi/server.h"

#include "base/log.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/url/parse.hpp>
#include <boost/url/src.hpp>
#include <chrono>
#include <set>

namespace hawthornpick::webapi {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;

constexpr std::chrono::seconds IDLE_TIMEOUT{30};
constexpr std::uint32_t MAX_HEADER_BYTES = 16 * 1024;
// Input that has not been parsed: a head, a chunk header, a trailer or a part of a body.
constexpr std::size_t MAX_BUFFERED_BYTES = 128UL * 1024;
constexpr std::string_view BEARER_PREFIX = "Bearer ";

auto bearerTokenOf(std::string_view authorization) -> std::string
{
    if (!authorization.starts_with(BEARER_PREFIX)) {
        return {};
    }
    return std::string(authorization.substr(BEARER_PREFIX.size()));
}

auto toLowerAscii(char character) -> char
{
    return character >= 'A' && character <= 'Z' ? static_cast<char>(character + ('a' - 'A'))
                                                : character;
}

auto toRequest(const http::request<http::string_body> &message) -> std::optional<request>
{
    const auto target = message.target();
    const auto url = boost::urls::parse_origin_form({target.data(), target.size()});
    if (!url) {
        return std::nullopt;
    }
    request incoming;
    incoming.method = std::string(message.method_string());
    incoming.path = url->path();
    for (const auto &parameter : url->params()) {
        incoming.query[parameter.key] = parameter.value;
    }
    incoming.bearerToken = bearerTokenOf(message[http::field::authorization]);
    for (const auto &field : message) {
        std::string name(field.name_string());
        std::transform(name.begin(), name.end(), name.begin(), toLowerAscii);
        incoming.headers[name] = std::string(field.value());
    }
    incoming.body = message.body();
    return incoming;
}

} // namespace

class server_state : public std::enable_shared_from_this<server_state>
{
public:
    server_state(asio::io_context &context, const membership::endpoint &address,
                 server_limits limits, request_handler handler)
        : m_context(context),
          m_acceptor(context, {asio::ip::make_address(address.address), address.port}),
          m_limits(limits), m_handler(std::move(handler))
    {}

    auto address() const -> membership::endpoint
    {
        const auto local = m_acceptor.local_endpoint();
        return {local.address().to_string(), local.port()};
    }

    auto start() -> void
    {
        asio::co_spawn(m_context, acceptLoop(shared_from_this()), asio::detached);
    }

    auto stop() -> void
    {
        boost::system::error_code ignored;
        m_acceptor.close(ignored);
        for (auto *stream : std::set(m_streams)) {
            stream->socket().close(ignored);
        }
    }

private:
    static auto acceptLoop(std::shared_ptr<server_state> self) -> asio::awaitable<void>
    {
        while (self->m_acceptor.is_open()) {
            boost::system::error_code error;
            auto socket = co_await self->m_acceptor.async_accept(
                    asio::redirect_error(asio::use_awaitable, error));
            if (error == asio::error::operation_aborted) {
                co_return;
            }
            if (error || self->m_streams.size() >= self->m_limits.maxConnections) {
                continue;
            }
            asio::co_spawn(self->m_context, serveConnection(self, std::move(socket)),
                           asio::detached);
        }
    }

    static auto serveConnection(std::shared_ptr<server_state> self, tcp::socket socket)
            -> asio::awaitable<void>
    {
        beast::tcp_stream stream(std::move(socket));
        self->m_streams.insert(&stream);
        beast::flat_buffer buffer(MAX_BUFFERED_BYTES);
        bool keepOpen = true;
        while (keepOpen) {
            keepOpen = co_await self->serveRequest(stream, buffer);
        }
        self->m_streams.erase(&stream);
        boost::system::error_code ignored;
        stream.socket().shutdown(tcp::socket::shutdown_both, ignored);
    }

    auto serveRequest(beast::tcp_stream &stream, beast::flat_buffer &buffer)
            -> asio::awaitable<bool>
    {
        http::request_parser<http::string_body> parser;
        parser.header_limit(MAX_HEADER_BYTES);
        parser.body_limit(m_limits.maxBodyBytes);
        boost::system::error_code error;
        stream.expires_after(IDLE_TIMEOUT);
        co_await http::async_read(stream, buffer, parser,
                                  asio::redirect_error(asio::use_awaitable, error));
        if (error == http::error::body_limit) {
            // A named variable, because GCC 12 destroys an aggregate temporary in a co_await
            // expression twice.
            const response tooLarge{413, "text/plain", "request body exceeds the size limit\n"};
            co_await write(stream, tooLarge, false);
            co_return false;
        }
        if (error) {
            co_return false;
        }
        // No timeout while the handler runs: it may wait for a change to come into force, which
        // takes longer than the idle timeout.
        stream.expires_never();
        const bool keepAlive = parser.get().keep_alive();
        const auto outgoing = co_await invokeHandler(parser.get());
        co_return co_await write(stream, outgoing, keepAlive) && keepAlive;
    }

    auto invokeHandler(const http::request<http::string_body> &message) -> asio::awaitable<response>
    {
        auto incoming = toRequest(message);
        if (!incoming) {
            co_return response{400, "text/plain", "request target is not an absolute path\n"};
        }
        try {
            co_return co_await m_handler(std::move(*incoming));
        } catch (const std::exception &exception) {
            base::log(base::log_level::Error, "request handler failed",
                      {{"target", std::string(message.target())}, {"error", exception.what()}});
        }
        co_return response{500, "text/plain", "internal error\n"};
    }

    static auto write(beast::tcp_stream &stream, const response &outgoing, bool keepAlive)
            -> asio::awaitable<bool>
    {
        http::response<http::string_body> message;
        message.version(11);
        message.result(outgoing.status);
        message.set(http::field::content_type, outgoing.contentType);
        for (const auto &[name, value] : outgoing.headers) {
            message.set(name, value);
        }
        message.keep_alive(keepAlive);
        message.body() = outgoing.body;
        message.prepare_payload();
        boost::system::error_code error;
        stream.expires_after(IDLE_TIMEOUT);
        co_await http::async_write(stream, message,
                                   asio::redirect_error(asio::use_awaitable, error));
        co_return !error;
    }

    asio::io_context &m_context;
    tcp::acceptor m_acceptor;
    server_limits m_limits;
    request_handler m_handler;
    std::set<beast::tcp_stream *> m_streams;
};

server::server(asio::io_context &context, const membership::endpoint &address, server_limits limits,
               request_handler handler)
    : m_state(std::make_shared<server_state>(context, address, limits, std::move(handler)))
{
    m_state->start();
}

server::~server()
{
    m_state->stop();
}

auto server::address() const -> membership::endpoint
{
    return m_state->address();
}

auto server::stop() -> void
{
    m_state->stop();
}

} // namespace hawthornpick::webapi
