#pragma once

#include "upstream/exchange.h"
#include "upstream/internal/connectionpool.h"
#include "upstream/wakesignal.h"
#include "upstream/wireprofile.h"

#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <optional>

namespace hawthornpick::upstream {

//! How one request on one upstream connection ended.
struct exchange_result
{
    std::optional<base::error> failure;
    bool answerStarted = false;
    unsigned status = 0;
    //! No byte of the request was accepted by the connection.
    bool nothingSent = true;
    //! The connection ended before the first byte of an answer.
    bool lostBeforeAnswer = false;
    //! Part of the body was taken from the source and can't be sent again.
    bool sourceUsed = false;
    //! The upstream said that it did not run the request.
    bool refusedByUpstream = false;
    //! The connection can serve another request.
    bool reusable = false;
    //! Time of the answer head; empty if there was none.
    std::optional<base::time_point> headTime;
};

//! Runs one request on one connection, with the body and the answer streamed at the same time.
//! Precondition: all references outlive `run`; used on one thread.
class upstream_exchange
{
public:
    upstream_exchange(upstream_connection &connection, const attempt_request &request,
                      const wire_profile &wire, const std::string &upstreamName,
                      base::milliseconds timeout, const body_source &source,
                      const answer_sink &sink, cancellation &cancel);

    auto run() -> boost::asio::awaitable<exchange_result>;

private:
    using parser_type = boost::beast::http::response_parser<boost::beast::http::buffer_body>;

    auto sendHead() -> boost::asio::awaitable<bool>;
    auto sendBuffered() -> boost::asio::awaitable<bool>;
    auto sendBody() -> boost::asio::awaitable<void>;
    auto sendPart(std::string part) -> boost::asio::awaitable<bool>;
    auto joinBody() -> boost::asio::awaitable<void>;
    auto readAnswer() -> boost::asio::awaitable<void>;
    auto readHead() -> boost::asio::awaitable<bool>;
    auto readOwnHead() -> boost::asio::awaitable<bool>;
    auto skipBody() -> boost::asio::awaitable<bool>;
    auto belongsToRequest() -> bool;
    auto isRefusal() -> bool;
    auto readPart() -> boost::asio::awaitable<std::optional<std::string>>;
    auto fill() -> boost::asio::awaitable<bool>;
    auto forwardStart(std::string body) -> boost::asio::awaitable<bool>;
    auto makeStart(std::string body) -> answer_start;
    auto acceptsFraming() -> bool;
    auto resetParser() -> void;
    auto limitTime(base::time_point limit) -> void;
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
    std::optional<parser_type> m_parser;
    exchange_result m_result;
    wake_signal m_bodyDone;
    bool m_bodyRunning = false;
    bool m_bodySent = true;
    bool m_joining = false;
    bool m_expired = false;
    bool m_sawEnd = false;
    bool m_gotBytes = false;
};

//! Returns the request line and headers as sent to an upstream. Thread safety: pure.
auto formatUpstreamHead(const attempt_request &request, const wire_profile &wire,
                        const std::string &upstreamName, base::time_point now) -> std::string;

} // namespace hawthornpick::upstream
