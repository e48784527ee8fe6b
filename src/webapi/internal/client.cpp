#include "webapi/client.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/url/url.hpp>

namespace hawthornpick::webapi {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

constexpr std::uint64_t MAX_RESPONSE_BYTES = 256ULL * 1024 * 1024;

auto targetOf(const request &outgoing) -> std::string
{
    boost::urls::url target;
    target.set_path(outgoing.path);
    for (const auto &[name, value] : outgoing.query) {
        target.params().append({name, value});
    }
    return {target.buffer().data(), target.buffer().size()};
}

auto toMessage(const membership::endpoint &address, const request &outgoing)
        -> http::request<http::string_body>
{
    http::request<http::string_body> message;
    message.version(11);
    message.method_string(outgoing.method);
    message.target(targetOf(outgoing));
    message.set(http::field::host, address.address + ":" + std::to_string(address.port));
    message.set(http::field::connection, "close");
    if (!outgoing.bearerToken.empty()) {
        message.set(http::field::authorization, "Bearer " + outgoing.bearerToken);
    }
    message.body() = outgoing.body;
    message.prepare_payload();
    return message;
}

// Runs connect, write and read of one call on a private io_context.
class client_call
{
public:
    client_call(const membership::endpoint &address, const request &outgoing)
        : m_endpoint(asio::ip::make_address(address.address), address.port),
          m_message(toMessage(address, outgoing))
    {
        m_parser.body_limit(MAX_RESPONSE_BYTES);
    }

    auto run(base::milliseconds timeout) -> tl::expected<response, std::string>
    {
        m_stream.expires_after(timeout);
        m_stream.async_connect(m_endpoint, [this](auto error) { onConnect(error); });
        m_context.run();
        if (m_error) {
            return tl::unexpected(m_step + " failed: " + m_error.message());
        }
        const auto &received = m_parser.get();
        return response{received.result_int(), std::string(received[http::field::content_type]),
                        received.body()};
    }

private:
    auto onConnect(boost::system::error_code error) -> void
    {
        if (checkFailed("connection", error)) {
            return;
        }
        http::async_write(m_stream, m_message,
                          [this](auto error, std::size_t /*bytes*/) { onWrite(error); });
    }

    auto onWrite(boost::system::error_code error) -> void
    {
        if (checkFailed("sending the request", error)) {
            return;
        }
        http::async_read(m_stream, m_buffer, m_parser, [this](auto error, std::size_t /*bytes*/) {
            checkFailed("reading the response", error);
        });
    }

    auto checkFailed(std::string step, boost::system::error_code error) -> bool
    {
        m_step = std::move(step);
        m_error = error;
        return static_cast<bool>(error);
    }

    asio::io_context m_context{1};
    beast::tcp_stream m_stream{m_context};
    asio::ip::tcp::endpoint m_endpoint;
    http::request<http::string_body> m_message;
    http::response_parser<http::string_body> m_parser;
    beast::flat_buffer m_buffer;
    std::string m_step;
    boost::system::error_code m_error;
};

} // namespace

auto call(const membership::endpoint &address, const request &outgoing, base::milliseconds timeout)
        -> tl::expected<response, std::string>
{
    return client_call(address, outgoing).run(timeout);
}

} // namespace hawthornpick::webapi
