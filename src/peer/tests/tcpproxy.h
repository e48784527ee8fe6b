#pragma once

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <cstdint>
#include <memory>
#include <vector>

namespace hawthornpick::peer::test {

//! Forwards TCP connections to a local port. Either direction can be blocked without closing the
//! connections, as in a network that drops packets.
class tcp_proxy
{
public:
    using tcp = boost::asio::ip::tcp;

    tcp_proxy(boost::asio::io_context &context, std::uint16_t targetPort)
        : m_context(context), m_acceptor(context, {boost::asio::ip::address_v4::loopback(), 0}),
          m_targetPort(targetPort)
    {
        acceptNext();
    }

    [[nodiscard]] auto port() const -> std::uint16_t { return m_acceptor.local_endpoint().port(); }

    //! Stop forwarding from the client to the server, or from the server to the client, after the
    //! next read of that direction.
    bool isForwardBlocked = false;
    bool isBackwardBlocked = false;

private:
    struct direction
    {
        std::shared_ptr<tcp::socket> from;
        std::shared_ptr<tcp::socket> to;
        const bool *isBlocked;
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
            server->connect({boost::asio::ip::address_v4::loopback(), m_targetPort});
            forward(std::make_shared<direction>(direction{client, server, &isForwardBlocked}));
            forward(std::make_shared<direction>(direction{server, client, &isBackwardBlocked}));
            acceptNext();
        });
    }

    static auto forward(const std::shared_ptr<direction> &flow) -> void
    {
        flow->from->async_read_some(
                boost::asio::buffer(flow->buffer),
                [flow](const boost::system::error_code &error, std::size_t count) {
                    if (*flow->isBlocked) {
                        return;
                    }
                    if (error) {
                        boost::system::error_code ignored;
                        flow->to->close(ignored);
                        return;
                    }
                    boost::asio::async_write(
                            *flow->to, boost::asio::buffer(flow->buffer, count),
                            [flow](const boost::system::error_code &writeError, std::size_t) {
                                if (!writeError) {
                                    forward(flow);
                                }
                            });
                });
    }

    boost::asio::io_context &m_context;
    tcp::acceptor m_acceptor;
    std::uint16_t m_targetPort;
};

} // namespace hawthornpick::peer::test
