#include "caller/internal/requestbody.h"

#include <boost/beast/http/error.hpp>

namespace hawthornpick::caller {

namespace asio = boost::asio;
namespace http = boost::beast::http;

using base::error_kind;

namespace {

constexpr std::size_t MAX_PART_BYTES = 16UL * 1024;
// Maximum size of a chunk header or of a trailer, which the parser reads as a whole.
constexpr std::size_t MAX_UNPARSED_BYTES = 16UL * 1024;

} // namespace

// Parses buffered input and appends its body bytes to `part`; false if the parser consumed nothing
// and needs more input.
auto request_body::parseBuffered(std::string &part) -> base::result<bool>
{
    auto &buffer = m_input.buffer();
    const auto oldSize = part.size();
    const auto space = std::min(MAX_PART_BYTES, buffer.size());
    part.resize(oldSize + space);
    auto &body = m_parser.get().body();
    body.data = part.data() + oldSize;
    body.size = space;
    body.more = true;
    boost::system::error_code error;
    const auto consumedBytes = m_parser.put(buffer.data(), error);
    buffer.consume(consumedBytes);
    const auto addedBytes = space - body.size;
    part.resize(oldSize + addedBytes);
    m_receivedBytes += addedBytes;
    if (m_receivedBytes > m_maxBytes) {
        return base::fail(error_kind::BodyTooLarge);
    }
    if (error && error != http::error::need_buffer && error != http::error::need_more) {
        return base::fail(error_kind::BadRequest, error.message());
    }
    return consumedBytes > 0;
}

auto request_body::read() -> asio::awaitable<base::result<std::string>>
{
    std::string part;
    while (part.empty() && !m_parser.is_done()) {
        const auto hasProgress = m_input.buffer().size() > 0 ? parseBuffered(part) : false;
        if (!hasProgress) {
            co_return tl::unexpected(hasProgress.error());
        }
        if (*hasProgress) {
            continue;
        }
        if (m_input.buffer().size() >= MAX_UNPARSED_BYTES) {
            co_return base::fail(error_kind::BadRequest,
                                 "chunk header or trailer exceeds the size limit");
        }
        const auto readDeadline = std::min(base::clock::now() + BODY_READ_TIMEOUT, m_deadline);
        if (!co_await m_input.waitForMoreThan(m_input.buffer().size(), readDeadline)) {
            co_return base::fail(m_input.hasTimedOut() ? error_kind::RequestTimeout
                                                       : error_kind::CallerGone);
        }
    }
    co_return part;
}

auto request_body::readAtLeast(std::size_t minBytes) -> asio::awaitable<base::result<std::string>>
{
    std::string bytes;
    while (bytes.size() < minBytes && !m_parser.is_done()) {
        auto part = co_await read();
        if (!part) {
            co_return part;
        }
        if (bytes.empty()) {
            bytes = std::move(*part);
        } else {
            bytes.append(*part);
        }
    }
    co_return bytes;
}

} // namespace hawthornpick::caller
