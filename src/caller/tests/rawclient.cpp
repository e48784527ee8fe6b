#include "caller/tests/rawclient.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <charconv>
#include <netinet/in.h>
#include <poll.h>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace hawthornpick::testing {

namespace {

auto makeLoopbackAddress(std::uint16_t port) -> sockaddr_in
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

} // namespace

raw_client::raw_client(std::uint16_t port) : m_socket(::socket(AF_INET, SOCK_STREAM, 0))
{
    const auto address = makeLoopbackAddress(port);
    if (::connect(m_socket, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0) {
        throw std::runtime_error("cannot connect to the loopback port");
    }
}

raw_client::~raw_client()
{
    close();
}

auto raw_client::send(std::string_view bytes) -> bool
{
    while (!bytes.empty()) {
        const auto count = ::send(m_socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (count <= 0) {
            return false;
        }
        bytes.remove_prefix(static_cast<std::size_t>(count));
    }
    return true;
}

auto raw_client::receive(base::time_point deadline) -> bool
{
    const auto remainingMs =
            std::max<std::int64_t>(base::toMilliseconds(deadline - base::clock::now()), 0);
    pollfd pollRequest{m_socket, POLLIN, 0};
    if (m_isClosed || ::poll(&pollRequest, 1, static_cast<int>(remainingMs)) <= 0) {
        return false;
    }
    std::array<char, 65536> bytes{};
    const auto count = ::recv(m_socket, bytes.data(), bytes.size(), 0);
    m_wasReset = count < 0 && errno == ECONNRESET;
    m_isClosed = count <= 0;
    if (count > 0) {
        m_received.append(bytes.data(), static_cast<std::size_t>(count));
    }
    return count > 0;
}

auto raw_client::readUntilEnd(base::milliseconds timeout) -> std::string
{
    const auto deadline = base::clock::now() + timeout;
    while (receive(deadline)) {
    }
    return std::exchange(m_received, {});
}

auto raw_client::readUntil(std::string_view delimiter, base::milliseconds timeout) -> std::string
{
    const auto deadline = base::clock::now() + timeout;
    while (m_received.find(delimiter) == std::string::npos && receive(deadline)) {
    }
    const auto position = m_received.find(delimiter);
    if (position == std::string::npos) {
        return std::exchange(m_received, {});
    }
    auto text = m_received.substr(0, position + delimiter.size());
    m_received.erase(0, position + delimiter.size());
    return text;
}

auto raw_client::readResponse() -> std::string
{
    static constexpr std::string_view LENGTH = "Content-Length: ";
    auto response = readUntil("\r\n\r\n");
    const auto position = response.find(LENGTH);
    std::size_t length = 0;
    if (position != std::string::npos) {
        const auto *digits = response.data() + position + LENGTH.size();
        std::from_chars(digits, response.data() + response.size(), length);
    }
    return response + readBytes(length);
}

auto raw_client::readBytes(std::size_t count) -> std::string
{
    const auto deadline = base::clock::now() + base::milliseconds(5000);
    while (m_received.size() < count && receive(deadline)) {
    }
    auto bytes = m_received.substr(0, count);
    m_received.erase(0, count);
    return bytes;
}

auto raw_client::close() -> void
{
    if (m_socket >= 0) {
        ::close(std::exchange(m_socket, -1));
    }
}

auto raw_client::abort() -> void
{
    const linger abortOnClose{1, 0};
    ::setsockopt(m_socket, SOL_SOCKET, SO_LINGER, &abortOnClose, sizeof(abortOnClose));
    close();
}

auto raw_client::setReceiveBufferSize(int bytes) -> void
{
    ::setsockopt(m_socket, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof(bytes));
}

raw_listener::raw_listener() : m_socket(::socket(AF_INET, SOCK_STREAM, 0))
{
    auto address = makeLoopbackAddress(0);
    if (::bind(m_socket, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0) {
        throw std::runtime_error("cannot bind a loopback port");
    }
    ::listen(m_socket, 64);
    socklen_t size = sizeof(address);
    ::getsockname(m_socket, reinterpret_cast<sockaddr *>(&address), &size);
    m_port = ntohs(address.sin_port);
}

raw_listener::~raw_listener()
{
    stop();
}

auto raw_listener::accept() -> int
{
    return ::accept(m_socket, nullptr, nullptr);
}

auto raw_listener::stop() -> void
{
    if (m_socket >= 0) {
        ::shutdown(m_socket, SHUT_RDWR);
        ::close(std::exchange(m_socket, -1));
    }
}

} // namespace hawthornpick::testing
