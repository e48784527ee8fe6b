#include "caller/internal/responsewriter.h"

#include "base/log.h"
#include "upstream/headerrules.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/status.hpp>
#include <charconv>

namespace hawthornpick::caller {

namespace asio = boost::asio;
namespace http = boost::beast::http;

using base::error_kind;
using upstream::appendHeader;

namespace {

auto hasNoBody(unsigned status) -> bool
{
    return status == 204 || status == 304;
}

auto appendStatusLine(std::string &response, unsigned status) -> void
{
    const auto reason = http::obsolete_reason(http::int_to_status(status));
    response.append("HTTP/1.1 ").append(std::to_string(status)).append(" ");
    response.append(reason.data(), reason.size()).append("\r\n");
}

auto appendConnectionHeader(std::string &response, const response_style &style) -> void
{
    if (!style.keepAlive) {
        appendHeader(response, "Connection", "close");
    } else if (style.isHttp10) {
        appendHeader(response, "Connection", "keep-alive");
    }
}

// Value of Retry-After in seconds; empty if the response has no such header.
auto retryAfterValue(const base::error_answer &definition, unsigned status,
                     base::milliseconds retryAfter, const upstream::wire_profile &wire)
        -> std::string
{
    if (!definition.mayRetry || (status != 429 && status != 503)) {
        return {};
    }
    if (!wire.hasFractionalRetryAfter) {
        return std::to_string(std::max<std::int64_t>((retryAfter.count() + 999) / 1000, 1));
    }
    const auto seconds = std::to_string(retryAfter.count() / 1000);
    const auto fraction = std::to_string(1000 + retryAfter.count() % 1000).substr(1);
    return seconds + "." + fraction;
}

auto errorBody(const base::error_answer &definition, const std::string &requestId) -> std::string
{
    std::string body = "{\"reason\":" + base::quoteJson(definition.reason);
    body += ",\"outcome\":" + base::quoteJson(base::outcomeName(definition.result));
    body += ",\"may_retry\":";
    body += definition.mayRetry ? "true" : "false";
    body += ",\"message\":" + base::quoteJson(definition.description);
    body += ",\"request_id\":" + base::quoteJson(requestId) + "}\n";
    return body;
}

} // namespace

auto formatErrorResponse(const base::error &failure, base::milliseconds retryAfter,
                         const response_style &style, const upstream::wire_profile &wire)
        -> std::string
{
    const auto &definition = base::answerFor(failure.kind);
    const auto status = wire.statusOf(failure.kind);
    const auto body = errorBody(definition, style.requestId);
    std::string response;
    appendStatusLine(response, status);
    appendHeader(response, "X-Hawthornpick-Reason", definition.reason);
    appendHeader(response, "X-Hawthornpick-Outcome", base::outcomeName(definition.result));
    appendHeader(response, wire.requestId, style.requestId);
    if (const auto text = retryAfterValue(definition, status, retryAfter, wire); !text.empty()) {
        appendHeader(response, "Retry-After", text);
    }
    if (status == 401) {
        appendHeader(response, "WWW-Authenticate", "Bearer");
    }
    appendHeader(response, "Content-Type", "application/json");
    appendHeader(response, "Content-Length", std::to_string(body.size()));
    appendConnectionHeader(response, style);
    response.append("\r\n");
    if (!style.isHeadRequest) {
        response.append(body);
    }
    return response;
}

response_writer::response_writer(caller_input &input, const upstream::wire_profile &wire)
    : m_input(input), m_wire(wire), m_timer(input.socket().get_executor())
{}

auto response_writer::begin(unsigned status) -> void
{
    m_hasStarted = true;
    m_status = status;
    if (m_onStart) {
        m_onStart();
    }
}

auto response_writer::appendFramingHeaders(std::string &response,
                                           const upstream::answer_start &start) -> void
{
    if (hasNoBody(start.status)) {
        return;
    }
    if (m_style.isHeadRequest) {
        if (start.contentLength) {
            appendHeader(response, "Content-Length", std::to_string(*start.contentLength));
        }
        return;
    }
    if (start.bodyComplete) {
        appendHeader(response, "Content-Length", std::to_string(start.body.size()));
        return;
    }
    if (start.contentLength) {
        appendHeader(response, "Content-Length", std::to_string(*start.contentLength));
        return;
    }
    m_isChunked = !m_style.isHttp10;
    if (m_isChunked) {
        appendHeader(response, "Transfer-Encoding", "chunked");
    } else {
        m_style.keepAlive = false;
    }
}

auto response_writer::start(upstream::answer_start start) -> asio::awaitable<base::result<void>>
{
    begin(start.status);
    std::string response;
    response.reserve(start.headers.size() + start.body.size() + 256);
    appendStatusLine(response, start.status);
    response.append(start.headers);
    if (!m_wire.echoesRequestId) {
        appendHeader(response, m_wire.requestId, m_style.requestId);
    }
    appendFramingHeaders(response, start);
    appendConnectionHeader(response, m_style);
    response.append("\r\n");
    if (m_isChunked && !start.body.empty()) {
        std::array<char, 16> digits{};
        const auto end =
                std::to_chars(digits.data(), digits.data() + digits.size(), start.body.size(), 16)
                        .ptr;
        response.append(digits.data(), end).append("\r\n").append(start.body).append("\r\n");
    } else if (!m_style.isHeadRequest) {
        response.append(start.body);
    }
    return write(std::move(response));
}

auto response_writer::data(std::string part) -> asio::awaitable<base::result<void>>
{
    if (!m_isChunked) {
        return write(std::move(part));
    }
    std::array<char, 16> digits{};
    const auto end =
            std::to_chars(digits.data(), digits.data() + digits.size(), part.size(), 16).ptr;
    std::string response(digits.data(), end);
    response.append("\r\n").append(part).append("\r\n");
    return write(std::move(response));
}

auto response_writer::end() -> asio::awaitable<base::result<void>>
{
    if (!m_isChunked) {
        co_return base::result<void>{};
    }
    co_return co_await write("0\r\n\r\n");
}

auto response_writer::error(const base::error &failure, base::milliseconds retryAfter)
        -> asio::awaitable<base::result<void>>
{
    begin(m_wire.statusOf(failure.kind));
    return write(formatErrorResponse(failure, retryAfter, m_style, m_wire));
}

auto response_writer::sendContinue() -> asio::awaitable<base::result<void>>
{
    return write("HTTP/1.1 100 Continue\r\n\r\n");
}

// The time-out applies to each partial write, so that the connection of a slow caller is not
// aborted while it makes progress.
auto response_writer::write(std::string bytes) -> asio::awaitable<base::result<void>>
{
    std::size_t written = 0;
    while (written < bytes.size()) {
        m_timer.set(base::clock::now() + WRITE_TIMEOUT, [this] { m_input.abort(); });
        const auto [error, count] = co_await m_input.socket().async_write_some(
                asio::buffer(bytes.data() + written, bytes.size() - written),
                asio::as_tuple(asio::use_awaitable));
        m_timer.clear();
        written += count;
        if (error) {
            co_return base::fail(error_kind::CallerGone, error.message());
        }
    }
    co_return base::result<void>{};
}

} // namespace hawthornpick::caller
