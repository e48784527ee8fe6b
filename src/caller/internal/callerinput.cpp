#include "caller/internal/callerinput.h"

namespace hawthornpick::caller {

namespace asio = boost::asio;

namespace {

constexpr std::size_t READ_SIZE_BYTES = 16UL * 1024;
// Size of a read into an empty buffer, as most request heads are small.
constexpr std::size_t FIRST_READ_SIZE_BYTES = 2UL * 1024;
// Limits the input that a caller can send ahead of the request in flight.
constexpr std::size_t MAX_BUFFERED_BYTES = 32UL * 1024;

} // namespace

caller_input::caller_input(asio::ip::tcp::socket socket)
    : m_socket(std::move(socket)), m_signal(m_socket.get_executor()),
      m_timer(m_socket.get_executor())
{
    boost::system::error_code ignored;
    m_socket.non_blocking(true, ignored);
    m_socket.set_option(asio::ip::tcp::no_delay(true), ignored);
}

// Waits until the socket is readable before space in the buffer is reserved. An idle connection
// thus holds no memory, and the buffer may be consumed while the wait is pending.
auto caller_input::startRead() -> void
{
    if (m_isReadPending || m_hasEnded || m_buffer.size() >= MAX_BUFFERED_BYTES) {
        return;
    }
    m_isReadPending = true;
    m_socket.async_wait(asio::socket_base::wait_read,
                        [self = shared_from_this()](const boost::system::error_code &error) {
                            self->finishRead(error);
                        });
}

auto caller_input::finishRead(boost::system::error_code error) -> void
{
    m_isReadPending = false;
    if (!error && !m_hasEnded) {
        const auto readSize = m_buffer.size() == 0 ? FIRST_READ_SIZE_BYTES : READ_SIZE_BYTES;
        m_buffer.commit(m_socket.read_some(m_buffer.prepare(readSize), error));
    }
    m_hasEnded = m_hasEnded || (error && error != asio::error::would_block);
    m_signal.notify();
    if (m_hasEnded && m_onDisconnect) {
        std::exchange(m_onDisconnect, nullptr)();
    }
}

auto caller_input::waitForMoreThan(std::size_t size, base::time_point deadline)
        -> asio::awaitable<bool>
{
    m_hasTimedOut = false;
    m_timer.set(deadline, [this] {
        m_hasTimedOut = true;
        m_signal.notify();
    });
    while (m_buffer.size() <= size && !m_hasEnded && !m_isInterrupted && !m_hasTimedOut) {
        startRead();
        co_await m_signal.wait();
    }
    m_timer.clear();
    const bool hasArrived = m_buffer.size() > size;
    m_hasTimedOut = m_hasTimedOut && !hasArrived;
    if (!m_isReadPending) {
        startRead();
    }
    co_return hasArrived;
}

auto caller_input::interruptWait() -> void
{
    m_isInterrupted = true;
    m_signal.notify();
}

auto caller_input::close() -> void
{
    m_hasEnded = true;
    boost::system::error_code ignored;
    m_socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    m_socket.close(ignored);
    m_signal.notify();
}

auto caller_input::abort() -> void
{
    boost::system::error_code ignored;
    m_socket.set_option(asio::socket_base::linger(true, 0), ignored);
    close();
}

} // namespace hawthornpick::caller
