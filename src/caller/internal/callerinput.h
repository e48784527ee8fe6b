#pragma once

#include "upstream/deadlinetimer.h"
#include "upstream/wakesignal.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <functional>
#include <memory>

namespace hawthornpick::caller {

//! Socket of a caller with a buffer for its input. One read is kept pending while the buffer has
//! space, also while a request is in flight, so that a disconnect of the caller is noticed at once.
//! Thread safety: the thread of the socket.
class caller_input : public std::enable_shared_from_this<caller_input>
{
public:
    explicit caller_input(boost::asio::ip::tcp::socket socket);

    auto socket() -> boost::asio::ip::tcp::socket & { return m_socket; }
    auto buffer() -> boost::beast::flat_buffer & { return m_buffer; }

    //! Waits until the buffer holds more than `size` bytes; false at the end of the input, after
    //! `close` or `interruptWait`, or once `deadline` has passed.
    auto waitForMoreThan(std::size_t size, base::time_point deadline)
            -> boost::asio::awaitable<bool>;

    //! True after the caller closed its side or the connection failed.
    [[nodiscard]] auto hasEnded() const -> bool { return m_hasEnded; }

    //! True if the last `waitForMoreThan` ended because of its deadline.
    [[nodiscard]] auto hasTimedOut() const -> bool { return m_hasTimedOut; }

    //! Sets a function that is called once when the caller disconnects; an empty function removes
    //! it.
    auto onDisconnect(std::function<void()> action) -> void { m_onDisconnect = std::move(action); }

    //! Makes pending and later `waitForMoreThan` return without waiting, until `clearInterrupt`.
    //! The connection stays open.
    auto interruptWait() -> void;

    //! Ends the effect of `interruptWait`.
    auto clearInterrupt() -> void { m_isInterrupted = false; }

    //! Closes the connection in the regular way.
    auto close() -> void;

    //! Closes the connection with a TCP reset, so that the caller sees an error.
    auto abort() -> void;

private:
    auto startRead() -> void;
    auto finishRead(boost::system::error_code error) -> void;

    boost::asio::ip::tcp::socket m_socket;
    boost::beast::flat_buffer m_buffer;
    upstream::wake_signal m_signal;
    upstream::deadline_timer m_timer;
    std::function<void()> m_onDisconnect;
    bool m_isReadPending = false;
    bool m_hasEnded = false;
    bool m_isInterrupted = false;
    bool m_hasTimedOut = false;
};

} // namespace hawthornpick::caller
