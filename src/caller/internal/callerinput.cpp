#include "caller/internal/callerinput.h"

namespace hawthornpick::caller {

namespace asio = boost::asio;

namespace {

constexpr std::size_t READ_BYTES = 16UL * 1024;
constexpr std::size_t FIRST_READ_BYTES = 2UL * 1024;
// Bounds what a caller can send ahead of the request that is running.
constexpr std::size_t MAX_UNREAD_BYTES = 32UL * 1024;

} // namespace

caller_input::caller_input(asio::ip::tcp::socket socket)
    : m_socket(std::move(socket)), m_signal(m_socket.get_executor()),
      m_timer(m_socket.get_executor())
{
    boost::system::error_code ignored;
    m_socket.non_blocking(true, ignored);
    m_socket.set_option(asio::ip::tcp::no_delay(true), ignored);
}

// Waits for readiness before memory is taken, so that an idle connection holds no buffer, and the
// buffer may be consumed while the wait is pending.
auto caller_input::startRead() -> void
{
    if (m_reading || m_ended || m_buffer.size() >= MAX_UNREAD_BYTES) {
        return;
    }
    m_reading = true;
    m_socket.async_wait(asio::socket_base::wait_read,
                        [self = shared_from_this()](const boost::system::error_code &error) {
                            self->finishRead(error);
                        });
}

auto caller_input::finishRead(boost::system::error_code error) -> void
{
    m_reading = false;
    if (!error && !m_ended) {
        const auto wanted = m_buffer.size() == 0 ? FIRST_READ_BYTES : READ_BYTES;
        m_buffer.commit(m_socket.read_some(m_buffer.prepare(wanted), error));
    }
    m_ended = m_ended || (error && error != asio::error::would_block);
    m_signal.notify();
    if (m_ended && m_onEnd) {
        std::exchange(m_onEnd, nullptr)();
    }
}

auto caller_input::waitBeyond(std::size_t size, base::time_point limit) -> asio::awaitable<bool>
{
    m_timedOut = false;
    m_timer.set(limit, [this] {
        m_timedOut = true;
        m_signal.notify();
    });
    while (m_buffer.size() <= size && !m_ended && !m_interrupted && !m_timedOut) {
        startRead();
        co_await m_signal.wait();
    }
    m_timer.clear();
    const bool arrived = m_buffer.size() > size;
    m_timedOut = m_timedOut && !arrived;
    if (!m_reading) {
        startRead();
    }
    co_return arrived;
}

auto caller_input::interrupt() -> void
{
    m_interrupted = true;
    m_signal.notify();
}

auto caller_input::close() -> void
{
    m_ended = true;
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
