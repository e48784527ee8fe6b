#pragma once

#include "base/time.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace hawthornpick::testing {

//! Blocking TCP connection to a loopback port that sends bytes unchanged, so that tests can also
//! send malformed HTTP.
class raw_client
{
public:
    //! Throws std::runtime_error if the connection fails.
    explicit raw_client(std::uint16_t port);
    //! Takes ownership of an accepted socket. The second parameter only selects this overload.
    explicit raw_client(int socket, int /*accepted*/) : m_socket(socket) {}
    ~raw_client();
    raw_client(const raw_client &) = delete;
    auto operator=(const raw_client &) -> raw_client & = delete;

    //! Sends all bytes; false if the connection failed.
    auto send(std::string_view bytes) -> bool;

    //! Reads until the peer closes or `timeout` has passed; `isClosed` and `wasReset` tell which.
    auto readUntilEnd(base::milliseconds timeout = base::milliseconds(5000)) -> std::string;

    //! Reads up to and including `delimiter`; less if the peer closes or `timeout` passes before.
    auto readUntil(std::string_view delimiter,
                   base::milliseconds timeout = base::milliseconds(5000)) -> std::string;

    //! Reads `count` bytes; fewer if the peer closes or 5 s pass before.
    auto readBytes(std::size_t count) -> std::string;

    //! Reads one response that has a Content-Length.
    auto readResponse() -> std::string;

    [[nodiscard]] auto isClosed() const -> bool { return m_isClosed; }
    [[nodiscard]] auto wasReset() const -> bool { return m_wasReset; }
    auto close() -> void;
    //! Closes the connection with a TCP reset.
    auto abort() -> void;
    auto setReceiveBufferSize(int bytes) -> void;

private:
    auto receive(base::time_point deadline) -> bool;

    int m_socket = -1;
    std::string m_received;
    bool m_isClosed = false;
    bool m_wasReset = false;
};

//! Listening socket on a free loopback port, for scripted upstreams.
class raw_listener
{
public:
    raw_listener();
    ~raw_listener();
    raw_listener(const raw_listener &) = delete;
    auto operator=(const raw_listener &) -> raw_listener & = delete;

    [[nodiscard]] auto port() const -> std::uint16_t { return m_port; }
    //! Waits for a connection and returns its socket; -1 after `stop`.
    auto accept() -> int;
    auto stop() -> void;

private:
    int m_socket = -1;
    std::uint16_t m_port = 0;
};

} // namespace hawthornpick::testing
