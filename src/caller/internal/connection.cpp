#include "caller/internal/connection.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/error.hpp>

namespace hawthornpick::caller {

namespace asio = boost::asio;
namespace http = boost::beast::http;

using base::error_kind;

namespace {

constexpr std::string_view HEAD_END = "\r\n\r\n";
constexpr base::milliseconds DISCARD_TIMEOUT{1'000};
constexpr std::size_t MAX_DISCARDED_BYTES = 1024UL * 1024;

auto unreadInput(caller_input &input) -> std::string_view
{
    const auto bytes = input.buffer().data();
    return {static_cast<const char *>(bytes.data()), bytes.size()};
}

class connection
{
public:
    connection(std::shared_ptr<caller_input> input, connection_group &group)
        : m_input(std::move(input)), m_group(group)
    {}

    auto run() -> asio::awaitable<void>
    {
        // This module has no co_await on the right side of `&&`, because GCC 12 evaluates it even
        // if the left side is false.
        bool isOpen = co_await waitForRequest();
        while (isOpen) {
            isOpen = co_await serveRequest();
            if (isOpen) {
                isOpen = co_await waitForRequest();
            }
        }
        co_await closeAfterDiscardingInput();
    }

private:
    // Waits for the first byte of a request; false if the connection must be closed.
    auto waitForRequest() -> asio::awaitable<bool>
    {
        const auto start = base::clock::now();
        m_group.idleInputs.insert(m_input.get());
        bool isWaiting = true;
        while (isWaiting && m_input->buffer().size() == 0) {
            const auto &drainStartTime = m_group.drainStartTime;
            const auto deadline =
                    drainStartTime ? *drainStartTime + DRAIN_IDLE_TIMEOUT : start + IDLE_TIMEOUT;
            m_input->clearInterrupt();
            isWaiting = base::clock::now() < deadline;
            if (isWaiting) {
                const bool hasArrived = co_await m_input->waitForMoreThan(0, deadline);
                isWaiting = hasArrived || !m_input->hasEnded();
            }
        }
        m_group.idleInputs.erase(m_input.get());
        m_input->clearInterrupt();
        co_return m_input->buffer().size() > 0;
    }

    // Waits for a complete request head and returns its length in bytes.
    auto waitForHead() -> asio::awaitable<base::result<std::size_t>>
    {
        const auto deadline = base::clock::now() + HEADER_TIMEOUT;
        std::size_t searchStart = 0;
        while (true) {
            skipLeadingEmptyLine();
            const auto content = unreadInput(*m_input);
            const auto end = content.find(HEAD_END, searchStart);
            if (end != std::string_view::npos && end + HEAD_END.size() <= MAX_HEADER_BYTES) {
                co_return end + HEAD_END.size();
            }
            if (content.size() > MAX_HEADER_BYTES) {
                co_return base::fail(error_kind::HeaderTooLarge);
            }
            // A bare LF is refused without waiting for the end of the head, because its sender may
            // wait for the response without ever sending CRLF.
            const auto checkedPart = content.substr(0, content.ends_with('\r') ? content.size() - 1
                                                                               : content.size());
            if (const auto checked = checkRawHeader(checkedPart); !checked) {
                co_return tl::unexpected(checked.error());
            }
            searchStart =
                    content.size() < HEAD_END.size() ? 0 : content.size() - HEAD_END.size() + 1;
            if (!co_await m_input->waitForMoreThan(content.size(), deadline)) {
                co_return base::fail(m_input->hasTimedOut() ? error_kind::RequestTimeout
                                                            : error_kind::CallerGone);
            }
        }
    }

    // RFC 9112, section 2.2: a server should ignore an empty line before the request line.
    auto skipLeadingEmptyLine() -> void
    {
        if (unreadInput(*m_input).starts_with("\r\n")) {
            m_input->buffer().consume(2);
        }
    }

    auto parseHead(request_parser &parser) -> asio::awaitable<base::result<void>>
    {
        const auto length = co_await waitForHead();
        if (!length) {
            co_return tl::unexpected(length.error());
        }
        const auto headBytes = unreadInput(*m_input).substr(0, *length);
        if (auto checked = checkRawHeader(headBytes); !checked) {
            co_return checked;
        }
        parser.header_limit(MAX_HEADER_BYTES + 1);
        parser.body_limit(boost::none);
        boost::system::error_code error;
        parser.put(asio::buffer(headBytes.data(), headBytes.size()), error);
        if ((error && error != http::error::need_buffer) || !parser.is_header_done()) {
            co_return base::fail(error_kind::BadRequest, error.message());
        }
        m_input->buffer().consume(*length);
        co_return base::result<void>{};
    }

    auto serveRequest() -> asio::awaitable<bool>
    {
        request_parser parser;
        response_writer writer(*m_input, m_group.entryContext.dependencies().wire);
        writer.setStyle({false, false, false, {}});
        const auto parsed = co_await parseHead(parser);
        if (!parsed) {
            co_return co_await refuse(writer, parsed.error());
        }
        const auto head = parseRequestHead(parser.get().base());
        auto requestId = requestIdFor(parser.get().base(), m_group.entryContext.dependencies().wire,
                                      m_group.entryContext.random());
        if (!head) {
            writer.setStyle({false, false, false, std::move(requestId)});
            co_return co_await refuse(writer, head.error());
        }
        writer.setStyle({head->method == "HEAD", head->isHttp10,
                         head->keepAlive && !m_group.drainStartTime, requestId});
        writer.onStart([this, &writer] {
            if (m_group.drainStartTime) {
                writer.closeAfterResponse();
            }
        });
        request_handler request(m_group.entryContext, *m_input, parser, *head, writer,
                                std::move(requestId));
        m_group.activeRequests.insert(&request);
        const bool isReusable = co_await request.run();
        m_group.activeRequests.erase(&request);
        m_input->clearInterrupt();
        co_return isReusable &&writer.keepsAlive();
    }

    auto refuse(response_writer &writer, const base::error &failure) -> asio::awaitable<bool>
    {
        m_group.entryContext.dependencies().metrics.countRefusal(failure.kind);
        if (failure.kind != error_kind::CallerGone) {
            co_await writer.error(failure, base::milliseconds(0));
        }
        co_return false;
    }

    // Closing a socket with unread input makes the system send a reset, which can destroy a
    // response that is still on its way. Input is therefore read and discarded until the caller
    // closes, within limits of time and size.
    auto closeAfterDiscardingInput() -> asio::awaitable<void>
    {
        boost::system::error_code ignored;
        m_input->socket().shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
        const auto deadline = base::clock::now() + DISCARD_TIMEOUT;
        std::size_t discardedBytes = 0;
        m_input->clearInterrupt();
        while (!m_input->hasEnded() && discardedBytes < MAX_DISCARDED_BYTES) {
            discardedBytes += m_input->buffer().size();
            m_input->buffer().consume(m_input->buffer().size());
            if (!co_await m_input->waitForMoreThan(0, deadline)) {
                break;
            }
        }
        m_input->close();
    }

    std::shared_ptr<caller_input> m_input;
    connection_group &m_group;
};

} // namespace

auto serveCaller(asio::ip::tcp::socket socket, std::shared_ptr<connection_group> group)
        -> asio::awaitable<void>
{
    connection callerConnection(std::make_shared<caller_input>(std::move(socket)), *group);
    co_await callerConnection.run();
    group->onClosed();
}

auto refuseCaller(asio::ip::tcp::socket socket, std::shared_ptr<connection_group> group)
        -> asio::awaitable<void>
{
    const auto input = std::make_shared<caller_input>(std::move(socket));
    response_writer writer(*input, group->entryContext.dependencies().wire);
    writer.setStyle({false, false, false, {}});
    const base::error failure{error_kind::TooManyConnections, {}};
    co_await writer.error(failure, base::milliseconds(0));
    input->close();
    group->onClosed();
}

} // namespace hawthornpick::caller
