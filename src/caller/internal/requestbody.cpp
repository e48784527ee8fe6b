#include "caller/internal/requestbody.h"

#include <boost/beast/http/error.hpp>

namespace hawthornpick::caller {

namespace asio = boost::asio;
namespace http = boost::beast::http;

using base::error_kind;

namespace {

constexpr std::size_t PART_BYTES = 16UL * 1024;

} // namespace

// Moves body bytes from the input to `part`; false if more input is needed.
auto request_body::takeParsed(std::string &part) -> base::result<bool>
{
    auto &buffer = m_input.buffer();
    const auto filled = part.size();
    const auto space = std::min(PART_BYTES, buffer.size());
    part.resize(filled + space);
    auto &body = m_parser.get().body();
    body.data = part.data() + filled;
    body.size = space;
    body.more = true;
    boost::system::error_code error;
    const auto count = m_parser.put(buffer.data(), error);
    buffer.consume(count);
    const auto taken = space - body.size;
    part.resize(filled + taken);
    m_received += taken;
    if (m_received > m_maxBytes) {
        return base::fail(error_kind::BodyTooLarge);
    }
    if (error && error != http::error::need_buffer && error != http::error::need_more) {
        return base::fail(error_kind::BadRequest, error.message());
    }
    return count > 0;
}

auto request_body::read() -> asio::awaitable<base::result<std::string>>
{
    std::string part;
    while (part.empty() && !m_parser.is_done()) {
        const auto moved = m_input.buffer().size() > 0 ? takeParsed(part) : false;
        if (!moved) {
            co_return tl::unexpected(moved.error());
        }
        if (*moved) {
            continue;
        }
        const auto limit = std::min(base::clock::now() + PART_LIMIT, m_deadline);
        if (!co_await m_input.waitBeyond(m_input.buffer().size(), limit)) {
            co_return base::fail(m_input.timedOut() ? error_kind::RequestTimeout
                                                    : error_kind::CallerGone);
        }
    }
    co_return part;
}

auto request_body::readPrefix(std::size_t limit) -> asio::awaitable<base::result<std::string>>
{
    std::string prefix;
    while (prefix.size() < limit && !m_parser.is_done()) {
        auto part = co_await read();
        if (!part) {
            co_return part;
        }
        if (prefix.empty()) {
            prefix = std::move(*part);
        } else {
            prefix.append(*part);
        }
    }
    co_return prefix;
}

} // namespace hawthornpick::caller
