#pragma once

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <cstdint>
#include <memory>
#include <vector>

namespace hawthornpick::peer::test {

//! Forwards TCP connections to a port and can stop either direction without closing anything, as a
//! network that drops packets does.
class tcp_proxy
{
public:
    using tcp = boost::asio::ip::tcp;

    tcp_proxy(boost::asio::io_context &context, std::uint16_t target)
        : m_context(context), m_acceptor(context, {boost::asio::ip::address_v4::loopback(), 0}),
          m_target(target)
    {
        acceptNext();
    }

    [[nodiscard]] auto port() const -> std::uint16_t { return m_acceptor.local_endpoint().port(); }

    bool isForwardCut = false;
    bool isBackwardCut = false;

private:
    struct direction
    {
        std::shared_ptr<tcp::socket> from;
        std::shared_ptr<tcp::socket> to;
        const bool *isCut;
        std::array<char, 16384> buffer{};
    };

    auto acceptNext() -> void
    {
        m_acceptor.async_accept([this](const boost::system::error_code &error, tcp::socket socket) {
            if (error) {
                return;
            }
            const auto client = std::make_shared<tcp::socket>(std::move(socket));
            const auto server = std::make_shared<tcp::socket>(m_context);
            server->connect({boost::asio::ip::address_v4::loopback(), m_target});
            forward(std::make_shared<direction>(direction{client, server, &isForwardCut}));
            forward(std::make_shared<direction>(direction{server, client, &isBackwardCut}));
            acceptNext();
        });
    }

    static auto forward(const std::shared_ptr<direction> &path) -> void
    {
        path->from->async_read_some(
                boost::asio::buffer(path->buffer),
                [path](const boost::system::error_code &error, std::size_t count) {
                    if (*path->isCut) {
                        return;
                    }
                    if (error) {
                        boost::system::error_code ignored;
                        path->to->close(ignored);
                        return;
                    }
                    boost::asio::async_write(
                            *path->to, boost::asio::buffer(path->buffer, count),
                            [path](const boost::system::error_code &failed, std::size_t) {
                                if (!failed) {
                                    forward(path);
                                }
                            });
                });
    }

    boost::asio::io_context &m_context;
    tcp::acceptor m_acceptor;
    std::uint16_t m_target;
};

} // namespace hawthornpick::peer::test
