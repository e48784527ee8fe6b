#pragma once

#include "upstream/deadlinetimer.h"
#include "upstream/wakesignal.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <functional>
#include <memory>

namespace hawthornpick::caller {

//! Socket of a caller with its unread input. One read is kept pending while there is room, also
//! while a request is running, so that a caller that leaves is noticed at once.
//! Thread safety: the thread of the socket.
class caller_input : public std::enable_shared_from_this<caller_input>
{
public:
    explicit caller_input(boost::asio::ip::tcp::socket socket);

    auto socket() -> boost::asio::ip::tcp::socket & { return m_socket; }
    auto buffer() -> boost::beast::flat_buffer & { return m_buffer; }

    //! Waits for more bytes than `size`; false at the end of the input, after `close`, or if
    //! `limit` passed.
    auto waitBeyond(std::size_t size, base::time_point limit) -> boost::asio::awaitable<bool>;

    //! True after the caller closed its side or the connection failed.
    [[nodiscard]] auto ended() const -> bool { return m_ended; }

    //! True if the last `waitBeyond` ended because of its limit.
    [[nodiscard]] auto timedOut() const -> bool { return m_timedOut; }

    //! Sets what happens when the caller leaves; an empty function removes it.
    auto onEnd(std::function<void()> action) -> void { m_onEnd = std::move(action); }

    //! Makes a pending `waitBeyond` return false without closing the connection.
    auto interrupt() -> void;

    //! Undoes `interrupt`.
    auto resume() -> void { m_interrupted = false; }

    auto close() -> void;

    //! Closes so that the caller sees an error instead of a regular end.
    auto abort() -> void;

private:
    auto startRead() -> void;
    auto finishRead(boost::system::error_code error) -> void;

    boost::asio::ip::tcp::socket m_socket;
    boost::beast::flat_buffer m_buffer;
    upstream::wake_signal m_signal;
    upstream::deadline_timer m_timer;
    std::function<void()> m_onEnd;
    bool m_reading = false;
    bool m_ended = false;
    bool m_interrupted = false;
    bool m_timedOut = false;
};

} // namespace hawthornpick::caller
