#pragma once

#include "base/time.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace hawthornpick::testing {

//! Blocking TCP connection that sends and receives bytes as given.
class raw_client
{
public:
    explicit raw_client(std::uint16_t port);
    //! Takes over an accepted socket.
    explicit raw_client(int socket, int /*accepted*/) : m_socket(socket) {}
    ~raw_client();
    raw_client(const raw_client &) = delete;
    auto operator=(const raw_client &) -> raw_client & = delete;

    auto send(std::string_view bytes) -> bool;

    //! Reads until the peer closes or `limit` passes; `closed` and `wasReset` tell which.
    auto readUntilEnd(base::milliseconds limit = base::milliseconds(5000)) -> std::string;

    //! Reads until the received text contains `mark`, the end, or `limit`.
    auto readUntil(std::string_view mark, base::milliseconds limit = base::milliseconds(5000))
            -> std::string;

    //! Reads `count` bytes, or fewer at the end or after 5 s.
    auto readBytes(std::size_t count) -> std::string;

    //! Reads one answer with Content-Length.
    auto readAnswer() -> std::string;

    [[nodiscard]] auto closed() const -> bool { return m_closed; }
    [[nodiscard]] auto wasReset() const -> bool { return m_reset; }
    auto close() -> void;
    //! Closes with a reset.
    auto abort() -> void;
    auto limitReceiveBuffer(int bytes) -> void;

private:
    auto receive(base::time_point end) -> bool;

    int m_socket = -1;
    std::string m_received;
    bool m_closed = false;
    bool m_reset = false;
};

//! Listening socket on a free loopback port; for upstreams that behave in a scripted way.
class raw_listener
{
public:
    raw_listener();
    ~raw_listener();
    raw_listener(const raw_listener &) = delete;
    auto operator=(const raw_listener &) -> raw_listener & = delete;

    [[nodiscard]] auto port() const -> std::uint16_t { return m_port; }
    //! Waits for a connection; -1 after `stop`.
    auto accept() -> int;
    auto stop() -> void;

private:
    int m_socket = -1;
    std::uint16_t m_port = 0;
};

} // namespace hawthornpick::testing
