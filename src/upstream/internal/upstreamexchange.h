#pragma once

#include "upstream/exchange.h"
#include "upstream/internal/connectionpool.h"
#include "upstream/notice.h"
#include "upstream/wakesignal.h"
#include "upstream/wireprofile.h"

#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <optional>

namespace hawthornpick::upstream {

//! Result of one request on one upstream connection.
struct exchange_result
{
    std::optional<base::error> failure;
    bool answerStarted = false;
    unsigned status = 0;
    //! True if no byte of the request was written to the connection.
    bool nothingSent = true;
    //! True if the connection was lost before the first byte of an answer.
    bool lostBeforeAnswer = false;
    //! True if the body source was read, so that the body can't be sent again.
    bool sourceConsumed = false;
    //! True if the upstream reported that it did not run the request.
    bool refusedByUpstream = false;
    //! True if the connection can serve another request.
    bool reusable = false;
    //! Time at which the answer head was complete; empty if there was none.
    std::optional<base::time_point> headTime;
};

//! Called with what the upstream says of itself, once for each answer to the request, before the
//! answer is forwarded.
using notice_function = std::function<void(const upstream_notice &notice)>;

//! Runs one request on one connection and streams the request body and the answer concurrently.
//! Precondition: all references outlive `run`; used on one thread.
class upstream_exchange
{
public:
    upstream_exchange(upstream_connection &connection, const attempt_request &request,
                      const wire_profile &wire, const std::string &upstreamName,
                      base::milliseconds timeout, const body_source &source,
                      const answer_sink &sink, cancellation &cancel, notice_function onNotice);

    auto run() -> boost::asio::awaitable<exchange_result>;

private:
    using parser_type = boost::beast::http::response_parser<boost::beast::http::buffer_body>;

    auto sendHead() -> boost::asio::awaitable<bool>;
    auto sendBufferedBody() -> boost::asio::awaitable<bool>;
    auto sendBody() -> boost::asio::awaitable<void>;
    auto sendPart(std::string part) -> boost::asio::awaitable<bool>;
    auto stopBodySender() -> boost::asio::awaitable<void>;
    auto readAnswer() -> boost::asio::awaitable<void>;
    auto readHead() -> boost::asio::awaitable<bool>;
    auto readMatchingHead() -> boost::asio::awaitable<bool>;
    auto skipBody() -> boost::asio::awaitable<bool>;
    auto belongsToRequest() -> bool;
    auto isRefusal() -> bool;
    auto readPart() -> boost::asio::awaitable<std::optional<std::string>>;
    auto readMore() -> boost::asio::awaitable<bool>;
    auto forwardAnswerStart(std::string body) -> boost::asio::awaitable<bool>;
    auto makeAnswerStart(std::string body) -> answer_start;
    auto hasSupportedFraming() -> bool;
    auto resetParser() -> void;
    auto setTimeLimit(base::time_point timeLimit) -> void;
    auto fail(base::error_kind kind, std::string detail) -> void;
    auto failRead(const std::string &detail) -> void;

    upstream_connection &m_connection;
    const attempt_request &m_request;
    const wire_profile &m_wire;
    const std::string &m_upstreamName;
    base::milliseconds m_timeout;
    const body_source &m_source;
    const answer_sink &m_sink;
    cancellation &m_cancel;
    notice_function m_onNotice;
    std::optional<parser_type> m_parser;
    exchange_result m_result;
    wake_signal m_bodySenderFinished;
    bool m_bodySenderRunning = false;
    bool m_bodySent = true;
    bool m_stoppingBodySender = false;
    bool m_timedOut = false;
    bool m_reachedEof = false;
    bool m_hasReceivedBytes = false;
};

//! Returns the request line and headers as sent to an upstream. Thread safety: pure.
auto formatRequestHead(const attempt_request &request, const wire_profile &wire,
                       const std::string &upstreamName, base::time_point now) -> std::string;

} // namespace hawthornpick::upstream
