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

//! How an answer to a caller is framed.
struct answer_style
{
    bool headRequest = false;
    bool http10 = false;
    bool keepAlive = true;
    std::string requestId;
};

//! Returns an error answer with the reason and outcome headers and a JSON body.
//! Thread safety: pure.
auto formatErrorAnswer(const base::error &failure, base::milliseconds retryAfter,
                       const answer_style &style, const upstream::wire_profile &wire)
        -> std::string;

//! Writes one answer to a caller.
class answer_writer
{
public:
    //! Longest time for which a caller may take no bytes of an answer.
    static constexpr base::milliseconds WRITE_LIMIT{10'000};

    //! Precondition: the arguments outlive the writer.
    answer_writer(caller_input &input, const upstream::wire_profile &wire);

    //! Call before the first answer bytes.
    auto setStyle(answer_style style) -> void { m_style = std::move(style); }

    //! Sets a function that is called before the first answer bytes.
    auto onStart(std::function<void()> action) -> void { m_onStart = std::move(action); }

    //! Announces that the connection is closed after this answer. Call before its first bytes.
    auto closeAfterAnswer() -> void { m_style.keepAlive = false; }

    //! Errors of all writing members: `CallerGone`, also for a caller that reads too slowly.
    auto start(upstream::answer_start start) -> boost::asio::awaitable<base::result<void>>;
    auto data(std::string part) -> boost::asio::awaitable<base::result<void>>;

    //! Ends a complete answer.
    auto end() -> boost::asio::awaitable<base::result<void>>;

    auto error(const base::error &failure, base::milliseconds retryAfter)
            -> boost::asio::awaitable<base::result<void>>;

    //! Sends `100 Continue`.
    auto sendContinue() -> boost::asio::awaitable<base::result<void>>;

    [[nodiscard]] auto started() const -> bool { return m_started; }
    [[nodiscard]] auto status() const -> unsigned { return m_status; }

    //! True if the connection may serve another request after this answer.
    [[nodiscard]] auto keepsAlive() const -> bool { return m_style.keepAlive; }

private:
    auto begin(unsigned status) -> void;
    auto write(std::string bytes) -> boost::asio::awaitable<base::result<void>>;
    auto appendFraming(std::string &out, const upstream::answer_start &start) -> void;

    caller_input &m_input;
    const upstream::wire_profile &m_wire;
    upstream::deadline_timer m_timer;
    answer_style m_style;
    std::function<void()> m_onStart;
    bool m_started = false;
    bool m_chunked = false;
    unsigned m_status = 0;
};

} // namespace hawthornpick::caller
