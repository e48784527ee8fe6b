#include "upstream/internal/upstreamexchange.h"

#include "upstream/headerrules.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/error.hpp>
#include <charconv>

namespace hawthornpick::upstream {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

using base::error_kind;

constexpr std::size_t READ_BUFFER_BYTES = 16UL * 1024;
// Leaves space for the other fields within the 64 KB maximum of a stream head on the peer link.
constexpr std::uint32_t MAX_ANSWER_HEADER_BYTES = 32U * 1024;
// A body up to this size is sent with the head; a longer one while the answer is read.
constexpr std::size_t MAX_INLINE_BODY_BYTES = 2UL * 1024;
// Maximum size of a chunk header or of a trailer, which the parser reads as a whole.
constexpr std::size_t MAX_UNPARSED_BYTES = 32UL * 1024;
// Maximum number of interim answers (1xx) before one answer.
constexpr int MAX_INTERIM_ANSWERS = 32;
// Maximum number of late answers to earlier requests that one exchange skips.
constexpr int MAX_SKIPPED_ANSWERS = 3;
// Status of an answer from another upstream at the address, which says nothing of this one.
constexpr unsigned MISDIRECTED_STATUS = 421;
constexpr auto AS_TUPLE = asio::as_tuple(asio::use_awaitable);

auto toHexadecimal(std::size_t number) -> std::string
{
    std::array<char, 16> digits{};
    const auto end = std::to_chars(digits.data(), digits.data() + digits.size(), number, 16).ptr;
    return {digits.data(), end};
}

auto expectsBody(std::string_view method) -> bool
{
    return method == "POST" || method == "PUT" || method == "PATCH";
}

auto appendFraming(std::string &out, const attempt_request &request) -> void
{
    if (request.bodyComplete) {
        if (!request.body.empty() || expectsBody(request.method)) {
            appendHeader(out, "Content-Length", std::to_string(request.body.size()));
        }
        return;
    }
    if (request.contentLength) {
        appendHeader(out, "Content-Length", std::to_string(*request.contentLength));
        return;
    }
    appendHeader(out, "Transfer-Encoding", "chunked");
}

auto encodeChunk(std::string_view part) -> std::string
{
    std::string out = toHexadecimal(part.size());
    out.append("\r\n").append(part).append("\r\n");
    return out;
}

} // namespace

auto formatRequestHead(const attempt_request &request, const wire_profile &wire,
                       const std::string &upstreamName, base::time_point now) -> std::string
{
    std::string out;
    out.reserve(request.target.size() + request.headers.size() + 256);
    out.append(request.method).append(" ").append(request.target).append(" HTTP/1.1\r\n");
    out.append(request.headers);
    const auto remaining = std::max<std::int64_t>(base::toMilliseconds(request.deadline - now), 0);
    appendHeader(out, wire.deadline, std::to_string(remaining));
    appendHeader(out, wire.requestId, request.requestId);
    if (!wire.upstream.empty()) {
        appendHeader(out, wire.upstream, upstreamName);
    }
    appendFraming(out, request);
    out.append("\r\n");
    return out;
}

upstream_exchange::upstream_exchange(upstream_connection &connection,
                                     const attempt_request &request, const wire_profile &wire,
                                     const std::string &upstreamName, base::milliseconds timeout,
                                     const body_source &source, const answer_sink &sink,
                                     cancellation &cancel, notice_function onNotice)
    : m_connection(connection), m_request(request), m_wire(wire), m_upstreamName(upstreamName),
      m_timeout(timeout), m_source(source), m_sink(sink), m_cancel(cancel),
      m_onNotice(std::move(onNotice)), m_bodySenderFinished(connection.socket.get_executor())
{}

auto upstream_exchange::run() -> asio::awaitable<exchange_result>
{
    m_cancel.onRequest([this] { m_connection.close(); });
    setTimeLimit(base::clock::now() + m_timeout);
    if (co_await sendHead()) {
        const bool isBodyInline =
                m_request.bodyComplete && m_request.body.size() <= MAX_INLINE_BODY_BYTES;
        if (!isBodyInline) {
            m_bodySenderRunning = true;
            m_bodySent = false;
            asio::co_spawn(m_connection.socket.get_executor(), sendBody(), asio::detached);
        }
        co_await readAnswer();
    }
    co_await stopBodySender();
    m_connection.timer.clear();
    m_cancel.onRequest(nullptr);
    if (m_cancel.reason()) {
        fail(*m_cancel.reason(), "cancelled");
    }
    const bool hasCleanEnd = !m_result.failure || m_result.refusedByUpstream;
    m_result.reusable = hasCleanEnd && m_bodySent && m_parser->is_done()
                        && m_parser->get().keep_alive() && m_connection.buffer.size() == 0
                        && m_connection.socket.is_open();
    co_return m_result;
}

auto upstream_exchange::setTimeLimit(base::time_point timeLimit) -> void
{
    m_connection.timer.set(std::min(timeLimit, m_request.deadline), [this] {
        m_timedOut = true;
        m_connection.close();
    });
}

// Keeps the first failure, because later ones result from closing the connection.
auto upstream_exchange::fail(error_kind kind, std::string detail) -> void
{
    if (!m_result.failure) {
        m_result.failure = base::error{kind, std::move(detail)};
    }
    m_connection.close();
}

auto upstream_exchange::failRead(const std::string &detail) -> void
{
    if (m_cancel.reason()) {
        fail(*m_cancel.reason(), "cancelled");
        return;
    }
    if (m_timedOut) {
        const bool deadlinePassed = base::clock::now() >= m_request.deadline;
        fail(deadlinePassed ? error_kind::DeadlineAfterStart : error_kind::UpstreamTimeout, detail);
        return;
    }
    m_result.lostBeforeAnswer = !m_hasReceivedBytes;
    fail(m_result.answerStarted ? error_kind::UpstreamTruncated : error_kind::UpstreamFailed,
         detail);
}

auto upstream_exchange::sendHead() -> asio::awaitable<bool>
{
    auto bytes = formatRequestHead(m_request, m_wire, m_upstreamName, base::clock::now());
    if (m_request.bodyComplete && m_request.body.size() <= MAX_INLINE_BODY_BYTES) {
        bytes.append(m_request.body);
    }
    const auto [error, count] =
            co_await asio::async_write(m_connection.socket, asio::buffer(bytes), AS_TUPLE);
    m_result.nothingSent = count == 0;
    if (error && count == 0) {
        failRead(error.message());
        co_return false;
    }
    // After a partial write the upstream may still have sent an answer, so the exchange goes on to
    // read it.
    co_return true;
}

// Sends the body bytes that the request already holds.
auto upstream_exchange::sendBufferedBody() -> asio::awaitable<bool>
{
    if (m_request.body.empty()) {
        co_return true;
    }
    co_return co_await sendPart(m_request.body);
}

// Runs concurrently with the reading of the answer, because an upstream may answer before it has
// read the whole body and read the rest afterwards.
auto upstream_exchange::sendBody() -> asio::awaitable<void>
{
    const bool bufferedBodySent = co_await sendBufferedBody();
    if (m_request.bodyComplete) {
        m_bodySent = bufferedBodySent;
    }
    for (bool open = bufferedBodySent && !m_request.bodyComplete; open;) {
        m_result.sourceConsumed = true;
        auto part = co_await m_source.read();
        if (!part) {
            // After a complete answer the rest of the body is no longer needed.
            if (!m_stoppingBodySender) {
                fail(part.error().kind, part.error().detail);
            }
            break;
        }
        const bool isLastPart = part->empty();
        const bool sent = co_await sendPart(std::move(*part));
        open = sent && !isLastPart;
        m_bodySent = isLastPart && m_connection.socket.is_open();
    }
    m_bodySenderRunning = false;
    m_bodySenderFinished.notify();
}

auto upstream_exchange::sendPart(std::string part) -> asio::awaitable<bool>
{
    const bool chunked = !m_request.bodyComplete && !m_request.contentLength;
    if (part.empty() && !chunked) {
        co_return true;
    }
    std::string encodedPart;
    if (chunked) {
        encodedPart = part.empty() ? "0\r\n\r\n" : encodeChunk(part);
    } else {
        encodedPart = std::move(part);
    }
    const auto [error, count] =
            co_await asio::async_write(m_connection.socket, asio::buffer(encodedPart), AS_TUPLE);
    co_return !error;
}

auto upstream_exchange::stopBodySender() -> asio::awaitable<void>
{
    if (!m_bodySenderRunning) {
        co_return;
    }
    m_stoppingBodySender = true;
    if (m_source.stop) {
        m_source.stop();
    }
    m_connection.close();
    while (m_bodySenderRunning) {
        co_await m_bodySenderFinished.wait();
    }
}

auto upstream_exchange::resetParser() -> void
{
    m_parser.emplace();
    m_parser->header_limit(MAX_ANSWER_HEADER_BYTES);
    m_parser->body_limit(boost::none);
    m_parser->skip(m_request.method == "HEAD");
}

// Reads more bytes. Returns false after a failure and, with `m_reachedEof` set, at the end of the
// connection.
auto upstream_exchange::readMore() -> asio::awaitable<bool>
{
    if (m_connection.buffer.size() >= MAX_UNPARSED_BYTES) {
        failRead("the upstream sent a chunk header or a trailer that exceeds the size limit");
        co_return false;
    }
    const auto space = m_connection.buffer.prepare(READ_BUFFER_BYTES);
    const auto [error, count] = co_await m_connection.socket.async_read_some(space, AS_TUPLE);
    m_connection.buffer.commit(count);
    m_hasReceivedBytes = m_hasReceivedBytes || count > 0;
    if (!error) {
        co_return true;
    }
    m_reachedEof = error == asio::error::eof && m_connection.socket.is_open();
    if (!m_reachedEof || !m_parser->is_header_done()) {
        failRead(error.message());
    }
    co_return false;
}

auto upstream_exchange::readHead() -> asio::awaitable<bool>
{
    resetParser();
    int interimAnswers = 0;
    while (interimAnswers <= MAX_INTERIM_ANSWERS) {
        boost::system::error_code error;
        const auto count = m_parser->put(m_connection.buffer.data(), error);
        m_connection.buffer.consume(count);
        if (error && error != http::error::need_more) {
            failRead(error.message());
            co_return false;
        }
        if (!m_parser->is_header_done()) {
            if (!co_await readMore()) {
                co_return false;
            }
            continue;
        }
        const auto status = m_parser->get().result_int();
        if (base::isFinalStatus(status)) {
            co_return true;
        }
        if (status == 101) {
            failRead("the upstream answered 101 Switching Protocols to a request without Upgrade");
            co_return false;
        }
        if (!base::isInterimStatus(status)) {
            failRead("the upstream answered with an invalid status");
            co_return false;
        }
        ++interimAnswers;
        resetParser();
    }
    failRead("the upstream sent too many interim answers");
    co_return false;
}

auto upstream_exchange::hasSupportedFraming() -> bool
{
    const auto &fields = m_parser->get();
    const auto transferEncoding = fields.find(http::field::transfer_encoding);
    if (transferEncoding == fields.end()) {
        return true;
    }
    const auto value = transferEncoding->value();
    return equalIgnoreCase({value.data(), value.size()}, "chunked");
}

auto upstream_exchange::belongsToRequest() -> bool
{
    if (!m_wire.echoesRequestId) {
        return true;
    }
    const auto &fields = m_parser->get();
    const auto id = fields.find(m_wire.requestId);
    if (id == fields.end()) {
        // An upstream may refuse a request before it has read the request id. On a reused
        // connection the answer may belong to an earlier request.
        return m_parser->get().result_int() >= 400 && !m_connection.reused;
    }
    const auto value = id->value();
    return std::string_view(value.data(), value.size()) == m_request.requestId;
}

auto upstream_exchange::isRefusal() -> bool
{
    const auto status = m_parser->get().result_int();
    return status == MISDIRECTED_STATUS
           || (!m_wire.notRun.empty() && m_parser->get().count(m_wire.notRun) > 0);
}

// Reads answers up to the head of the one to this request and skips late ones to earlier requests.
auto upstream_exchange::readMatchingHead() -> asio::awaitable<bool>
{
    for (int skipped = 0; skipped <= MAX_SKIPPED_ANSWERS; ++skipped) {
        const bool hasHead = co_await readHead();
        if (!hasHead) {
            co_return false;
        }
        if (belongsToRequest()) {
            co_return true;
        }
        const bool bodySkipped = co_await skipBody();
        if (!bodySkipped) {
            co_return false;
        }
    }
    failRead("the upstream sent more than 3 answers with the ids of other requests");
    co_return false;
}

auto upstream_exchange::skipBody() -> asio::awaitable<bool>
{
    while (!m_parser->is_done()) {
        const auto part = co_await readPart();
        if (!part) {
            co_return false;
        }
    }
    co_return !m_reachedEof;
}

auto upstream_exchange::readAnswer() -> asio::awaitable<void>
{
    const bool hasHead = co_await readMatchingHead();
    if (!hasHead) {
        co_return;
    }
    if (m_parser->get().result_int() != MISDIRECTED_STATUS) {
        m_onNotice(noticeIn(m_parser->get(), m_wire));
    }
    if (isRefusal()) {
        const bool bodyRead = co_await skipBody();
        if (bodyRead || !m_result.failure) {
            m_result.failure = base::error{error_kind::UpstreamRefused,
                                           "the upstream reported that it did not run the request"};
            m_result.refusedByUpstream = true;
        }
        co_return;
    }
    m_result.headTime = base::clock::now();
    m_result.status = m_parser->get().result_int();
    if (!hasSupportedFraming()) {
        failRead("the answer has a transfer coding other than chunked");
        co_return;
    }
    std::string firstPart;
    if (!m_parser->is_done() && m_connection.buffer.size() > 0) {
        auto part = co_await readPart();
        if (!part) {
            co_return;
        }
        firstPart = std::move(*part);
    }
    if (!co_await forwardAnswerStart(std::move(firstPart))) {
        co_return;
    }
    while (!m_parser->is_done()) {
        setTimeLimit(base::clock::now() + m_timeout);
        auto part = co_await readPart();
        if (!part) {
            co_return;
        }
        // The upstream's timeout does not apply while a slow receiver delays the next read; the
        // deadline does.
        setTimeLimit(m_request.deadline);
        if (part->empty()) {
            continue;
        }
        const auto accepted = co_await m_sink.data(std::move(*part));
        if (!accepted) {
            fail(accepted.error().kind, accepted.error().detail);
            co_return;
        }
    }
}

auto upstream_exchange::readPart() -> asio::awaitable<std::optional<std::string>>
{
    std::string part(READ_BUFFER_BYTES, '\0');
    auto &body = m_parser->get().body();
    body.data = part.data();
    body.size = part.size();
    body.more = true;
    while (true) {
        boost::system::error_code error;
        const auto count = m_parser->put(m_connection.buffer.data(), error);
        m_connection.buffer.consume(count);
        if (error == http::error::need_buffer || error == http::error::need_more) {
            error = {};
        }
        if (error) {
            failRead(error.message());
            co_return std::nullopt;
        }
        const auto usedBytes = part.size() - body.size;
        const bool needsMoreData = count == 0 || m_connection.buffer.size() == 0;
        if (m_parser->is_done() || body.size == 0 || (usedBytes > 0 && needsMoreData)) {
            part.resize(usedBytes);
            co_return part;
        }
        if (!needsMoreData) {
            continue;
        }
        const bool hasReadMore = co_await readMore();
        if (!hasReadMore && m_reachedEof) {
            m_parser->put_eof(error);
        }
        if (m_result.failure || error) {
            failRead("the connection ended before the end of the answer");
            co_return std::nullopt;
        }
    }
}

auto upstream_exchange::makeAnswerStart(std::string body) -> answer_start
{
    const auto &fields = m_parser->get();
    std::vector<std::string_view> connectionOptions;
    for (const auto &field : fields) {
        if (field.name() == http::field::connection) {
            const auto listElements = splitList({field.value().data(), field.value().size()});
            connectionOptions.insert(connectionOptions.end(), listElements.begin(),
                                     listElements.end());
        }
    }
    answer_start start;
    start.status = m_result.status;
    for (const auto &field : fields) {
        const std::string_view name(field.name_string().data(), field.name_string().size());
        if (!isHopByHop(name, connectionOptions)
            && !startsWithIgnoreCase(name, "X-Hawthornpick-")) {
            appendHeader(start.headers, name, {field.value().data(), field.value().size()});
        }
    }
    if (const auto length = m_parser->content_length()) {
        start.contentLength = *length;
    }
    start.body = std::move(body);
    start.bodyComplete = m_parser->is_done();
    return start;
}

auto upstream_exchange::forwardAnswerStart(std::string body) -> asio::awaitable<bool>
{
    m_result.answerStarted = true;
    setTimeLimit(m_request.deadline);
    const auto accepted = co_await m_sink.start(makeAnswerStart(std::move(body)));
    if (!accepted) {
        fail(accepted.error().kind, accepted.error().detail);
        co_return false;
    }
    co_return true;
}

} // namespace hawthornpick::upstream
