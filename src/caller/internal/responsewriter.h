#pragma once

#include "base/errorkind.h"
#include "base/time.h"
#include "caller/internal/callerinput.h"
#include "caller/internal/requesthead.h"
#include "upstream/exchange.h"
#include "upstream/wireprofile.h"

#include <boost/asio/awaitable.hpp>
#include <string>

namespace hawthornpick::caller {

//! Properties of the request that determine how its response is framed.
struct response_style
{
    bool isHeadRequest = false;
    bool isHttp10 = false;
    bool keepAlive = true;
    //! Request id to be returned to the caller.
    std::string requestId;
};

//! Returns the bytes of an error response with the reason and outcome headers and a JSON body.
//! Thread safety: pure.
auto formatErrorResponse(const base::error &failure, base::milliseconds retryAfter,
                         const response_style &style, const upstream::wire_profile &wire)
        -> std::string;

//! Writes one response to a caller. Thread safety: the thread of the connection.
class response_writer
{
public:
    //! Maximum time without progress after which the connection of a slow caller is aborted.
    static constexpr base::milliseconds WRITE_TIMEOUT{10'000};

    //! Precondition: the arguments outlive the writer.
    response_writer(caller_input &input, const upstream::wire_profile &wire);

    //! Precondition: no byte of the response was written.
    auto setStyle(response_style style) -> void { m_style = std::move(style); }

    //! Sets a function that is called before the first byte of the response is written.
    auto onStart(std::function<void()> action) -> void { m_onStart = std::move(action); }

    //! Makes the response announce that the connection is closed after it.
    //! Precondition: no byte of the response was written.
    auto closeAfterResponse() -> void { m_style.keepAlive = false; }

    //! Writes the status line, the headers and the available part of the body.
    //! Errors of all writing members: `CallerGone`, also after `WRITE_TIMEOUT`.
    auto start(upstream::answer_start start) -> boost::asio::awaitable<base::result<void>>;
    //! Writes the next part of the body.
    auto data(std::string part) -> boost::asio::awaitable<base::result<void>>;

    //! Ends a complete response.
    auto end() -> boost::asio::awaitable<base::result<void>>;

    //! Writes a complete error response.
    auto error(const base::error &failure, base::milliseconds retryAfter)
            -> boost::asio::awaitable<base::result<void>>;

    //! Writes the interim response `100 Continue`.
    auto sendContinue() -> boost::asio::awaitable<base::result<void>>;

    [[nodiscard]] auto hasStarted() const -> bool { return m_hasStarted; }
    [[nodiscard]] auto status() const -> unsigned { return m_status; }

    //! True if the response leaves the connection open for another request.
    [[nodiscard]] auto keepsAlive() const -> bool { return m_style.keepAlive; }

private:
    auto begin(unsigned status) -> void;
    auto write(std::string bytes) -> boost::asio::awaitable<base::result<void>>;
    auto appendFramingHeaders(std::string &out, const upstream::answer_start &start) -> void;

    caller_input &m_input;
    const upstream::wire_profile &m_wire;
    upstream::deadline_timer m_timer;
    response_style m_style;
    std::function<void()> m_onStart;
    bool m_hasStarted = false;
    bool m_isChunked = false;
    unsigned m_status = 0;
};

} // namespace hawthornpick::caller
