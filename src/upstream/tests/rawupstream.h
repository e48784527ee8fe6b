#pragma once

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <string>

namespace hawthornpick::upstreamtest {

//! An upstream on the loopback interface that answers each request with given bytes.
class raw_upstream
{
public:
    explicit raw_upstream(boost::asio::io_context &context)
        : m_context(context), m_acceptor(context, {boost::asio::ip::make_address("127.0.0.1"), 0})
    {
        boost::asio::co_spawn(context, accept(), boost::asio::detached);
    }

    [[nodiscard]] auto port() const -> std::uint16_t { return m_acceptor.local_endpoint().port(); }

    //! Bytes of each answer.
    std::string answer;
    int requests = 0;

private:
    static constexpr auto AS_TUPLE = boost::asio::as_tuple(boost::asio::use_awaitable);

    auto accept() -> boost::asio::awaitable<void>
    {
        while (true) {
            auto [error, socket] = co_await m_acceptor.async_accept(AS_TUPLE);
            if (error) {
                co_return;
            }
            boost::asio::co_spawn(m_context, serve(std::move(socket)), boost::asio::detached);
        }
    }

    auto serve(boost::asio::ip::tcp::socket socket) -> boost::asio::awaitable<void>
    {
        namespace http = boost::beast::http;
        boost::beast::flat_buffer buffer;
        while (true) {
            http::request<http::string_body> request;
            const auto [error, count] =
                    co_await http::async_read(socket, buffer, request, AS_TUPLE);
            if (error) {
                co_return;
            }
            ++requests;
            const auto bytes = answer;
            const auto [writeError, written] =
                    co_await boost::asio::async_write(socket, boost::asio::buffer(bytes), AS_TUPLE);
            if (writeError) {
                co_return;
            }
        }
    }

    boost::asio::io_context &m_context;
    boost::asio::ip::tcp::acceptor m_acceptor;
};

} // namespace hawthornpick::upstreamtest
