#include "caller/internal/answerwriter.h"

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

auto appendStatusLine(std::string &out, unsigned status) -> void
{
    const auto reason = http::obsolete_reason(http::int_to_status(status));
    out.append("HTTP/1.1 ").append(std::to_string(status)).append(" ");
    out.append(reason.data(), reason.size()).append("\r\n");
}

auto appendConnection(std::string &out, const answer_style &style) -> void
{
    if (!style.keepAlive) {
        appendHeader(out, "Connection", "close");
    } else if (style.http10) {
        appendHeader(out, "Connection", "keep-alive");
    }
}

// Value of Retry-After; empty if the answer has none.
auto retryText(const base::error_answer &row, unsigned status, base::milliseconds retryAfter,
               const upstream::wire_profile &wire) -> std::string
{
    if (!row.mayRetry || (status != 429 && status != 503)) {
        return {};
    }
    if (!wire.hasFractionalRetryAfter) {
        return std::to_string(std::max<std::int64_t>((retryAfter.count() + 999) / 1000, 1));
    }
    const auto whole = std::to_string(retryAfter.count() / 1000);
    const auto fraction = std::to_string(1000 + retryAfter.count() % 1000).substr(1);
    return whole + "." + fraction;
}

auto errorBody(const base::error_answer &row, const std::string &requestId) -> std::string
{
    std::string body = "{\"reason\":" + base::quoteJson(row.reason);
    body += ",\"outcome\":" + base::quoteJson(base::outcomeName(row.result));
    body += ",\"may_retry\":";
    body += row.mayRetry ? "true" : "false";
    body += ",\"message\":" + base::quoteJson(row.description);
    body += ",\"request_id\":" + base::quoteJson(requestId) + "}\n";
    return body;
}

} // namespace

auto formatErrorAnswer(const base::error &failure, base::milliseconds retryAfter,
                       const answer_style &style, const upstream::wire_profile &wire) -> std::string
{
    const auto &row = base::answerFor(failure.kind);
    const auto status = wire.statusOf(failure.kind);
    const auto body = errorBody(row, style.requestId);
    std::string out;
    appendStatusLine(out, status);
    appendHeader(out, "X-Hawthornpick-Reason", row.reason);
    appendHeader(out, "X-Hawthornpick-Outcome", base::outcomeName(row.result));
    appendHeader(out, wire.requestId, style.requestId);
    if (const auto text = retryText(row, status, retryAfter, wire); !text.empty()) {
        appendHeader(out, "Retry-After", text);
    }
    if (status == 401) {
        appendHeader(out, "WWW-Authenticate", "Bearer");
    }
    appendHeader(out, "Content-Type", "application/json");
    appendHeader(out, "Content-Length", std::to_string(body.size()));
    appendConnection(out, style);
    out.append("\r\n");
    if (!style.headRequest) {
        out.append(body);
    }
    return out;
}

answer_writer::answer_writer(caller_input &input, const upstream::wire_profile &wire)
    : m_input(input), m_wire(wire), m_timer(input.socket().get_executor())
{}

auto answer_writer::begin(unsigned status) -> void
{
    m_started = true;
    m_status = status;
    if (m_onStart) {
        m_onStart();
    }
}

auto answer_writer::appendFraming(std::string &out, const upstream::answer_start &start) -> void
{
    if (hasNoBody(start.status)) {
        return;
    }
    if (m_style.headRequest) {
        if (start.contentLength) {
            appendHeader(out, "Content-Length", std::to_string(*start.contentLength));
        }
        return;
    }
    if (start.bodyComplete) {
        appendHeader(out, "Content-Length", std::to_string(start.body.size()));
        return;
    }
    if (start.contentLength) {
        appendHeader(out, "Content-Length", std::to_string(*start.contentLength));
        return;
    }
    m_chunked = !m_style.http10;
    if (m_chunked) {
        appendHeader(out, "Transfer-Encoding", "chunked");
    } else {
        m_style.keepAlive = false;
    }
}

auto answer_writer::start(upstream::answer_start start) -> asio::awaitable<base::result<void>>
{
    begin(start.status);
    std::string out;
    out.reserve(start.headers.size() + start.body.size() + 256);
    appendStatusLine(out, start.status);
    out.append(start.headers);
    if (!m_wire.echoesRequestId) {
        appendHeader(out, m_wire.requestId, m_style.requestId);
    }
    appendFraming(out, start);
    appendConnection(out, m_style);
    out.append("\r\n");
    if (m_chunked && !start.body.empty()) {
        std::array<char, 16> digits{};
        const auto end =
                std::to_chars(digits.data(), digits.data() + digits.size(), start.body.size(), 16)
                        .ptr;
        out.append(digits.data(), end).append("\r\n").append(start.body).append("\r\n");
    } else if (!m_style.headRequest) {
        out.append(start.body);
    }
    return write(std::move(out));
}

auto answer_writer::data(std::string part) -> asio::awaitable<base::result<void>>
{
    if (!m_chunked) {
        return write(std::move(part));
    }
    std::array<char, 16> digits{};
    const auto end =
            std::to_chars(digits.data(), digits.data() + digits.size(), part.size(), 16).ptr;
    std::string out(digits.data(), end);
    out.append("\r\n").append(part).append("\r\n");
    return write(std::move(out));
}

auto answer_writer::end() -> asio::awaitable<base::result<void>>
{
    if (!m_chunked) {
        co_return base::result<void>{};
    }
    co_return co_await write("0\r\n\r\n");
}

auto answer_writer::error(const base::error &failure, base::milliseconds retryAfter)
        -> asio::awaitable<base::result<void>>
{
    begin(m_wire.statusOf(failure.kind));
    return write(formatErrorAnswer(failure, retryAfter, m_style, m_wire));
}

auto answer_writer::sendContinue() -> asio::awaitable<base::result<void>>
{
    return write("HTTP/1.1 100 Continue\r\n\r\n");
}

// The time limit applies to each piece that the socket takes, so a slow caller of a long answer is
// not cut while it makes progress.
auto answer_writer::write(std::string bytes) -> asio::awaitable<base::result<void>>
{
    std::size_t written = 0;
    while (written < bytes.size()) {
        m_timer.set(base::clock::now() + WRITE_LIMIT, [this] { m_input.abort(); });
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
