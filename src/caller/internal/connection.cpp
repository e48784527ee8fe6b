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
constexpr base::milliseconds LINGER_LIMIT{1'000};
constexpr std::size_t MAX_LINGER_BYTES = 256UL * 1024;

auto contentOf(caller_input &input) -> std::string_view
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
        // No co_await stands behind `&&` in this module: GCC 12 evaluates it even if the left side
        // is false.
        bool open = co_await waitForRequest();
        while (open) {
            open = co_await serveOne();
            if (open) {
                open = co_await waitForRequest();
            }
        }
        co_await closeGently();
    }

private:
    // Waits for the first byte of a request; false if the connection is to be closed.
    auto waitForRequest() -> asio::awaitable<bool>
    {
        const auto start = base::clock::now();
        m_group.idle.insert(m_input.get());
        bool waiting = true;
        while (waiting && m_input->buffer().size() == 0) {
            const auto &drain = m_group.drainStart;
            const auto end = drain ? *drain + DRAIN_IDLE_LIMIT : start + IDLE_LIMIT;
            m_input->resume();
            waiting = base::clock::now() < end;
            if (waiting) {
                const bool arrived = co_await m_input->waitBeyond(0, end);
                waiting = arrived || !m_input->ended();
            }
        }
        m_group.idle.erase(m_input.get());
        m_input->resume();
        co_return m_input->buffer().size() > 0;
    }

    // Returns the length of the next head.
    auto waitForHead() -> asio::awaitable<base::result<std::size_t>>
    {
        const auto limit = base::clock::now() + HEADER_LIMIT;
        std::size_t searched = 0;
        while (true) {
            skipEmptyLine();
            const auto content = contentOf(*m_input);
            const auto end = content.find(HEAD_END, searched);
            if (end != std::string_view::npos && end + HEAD_END.size() <= MAX_HEADER_BYTES) {
                co_return end + HEAD_END.size();
            }
            if (content.size() > MAX_HEADER_BYTES) {
                co_return base::fail(error_kind::HeaderTooLarge);
            }
            // A bare LF is refused at once: its sender may wait for the answer without ever
            // sending CRLF.
            const auto whole = content.substr(0, content.ends_with('\r') ? content.size() - 1
                                                                         : content.size());
            if (const auto checked = checkRawHead(whole); !checked) {
                co_return tl::unexpected(checked.error());
            }
            searched = content.size() < HEAD_END.size() ? 0 : content.size() - HEAD_END.size() + 1;
            if (!co_await m_input->waitBeyond(content.size(), limit)) {
                co_return base::fail(m_input->timedOut() ? error_kind::RequestTimeout
                                                         : error_kind::CallerGone);
            }
        }
    }

    // An empty line before a request is tolerated, as RFC 9112 section 2.2 asks.
    auto skipEmptyLine() -> void
    {
        if (contentOf(*m_input).starts_with("\r\n")) {
            m_input->buffer().consume(2);
        }
    }

    auto parseHead(request_parser &parser) -> asio::awaitable<base::result<void>>
    {
        const auto length = co_await waitForHead();
        if (!length) {
            co_return tl::unexpected(length.error());
        }
        const auto head = contentOf(*m_input).substr(0, *length);
        if (auto checked = checkRawHead(head); !checked) {
            co_return checked;
        }
        parser.header_limit(MAX_HEADER_BYTES + 1);
        parser.body_limit(boost::none);
        boost::system::error_code error;
        parser.put(asio::buffer(head.data(), head.size()), error);
        if ((error && error != http::error::need_buffer) || !parser.is_header_done()) {
            co_return base::fail(error_kind::BadRequest, error.message());
        }
        m_input->buffer().consume(*length);
        co_return base::result<void>{};
    }

    auto serveOne() -> asio::awaitable<bool>
    {
        request_parser parser;
        answer_writer writer(*m_input, m_group.owner.dependencies().wire);
        writer.setStyle({false, false, false, {}});
        const auto parsed = co_await parseHead(parser);
        if (!parsed) {
            co_return co_await refuse(writer, parsed.error());
        }
        const auto head = readHead(parser.get().base());
        auto id = requestIdFor(parser.get().base(), m_group.owner.dependencies().wire,
                               m_group.owner.random());
        if (!head) {
            writer.setStyle({false, false, false, std::move(id)});
            co_return co_await refuse(writer, head.error());
        }
        writer.setStyle(
                {head->method == "HEAD", head->http10, head->keepAlive && !m_group.drainStart, id});
        writer.onStart([this, &writer] {
            if (m_group.drainStart) {
                writer.closeAfterAnswer();
            }
        });
        entry_request request(m_group.owner, *m_input, parser, *head, writer, std::move(id));
        m_group.active.insert(&request);
        const bool reusable = co_await request.run();
        m_group.active.erase(&request);
        m_input->resume();
        co_return reusable &&writer.keepsAlive();
    }

    auto refuse(answer_writer &writer, const base::error &failure) -> asio::awaitable<bool>
    {
        m_group.owner.dependencies().metrics.countRefusal(failure.kind);
        if (failure.kind != error_kind::CallerGone) {
            co_await writer.error(failure, base::milliseconds(0));
        }
        co_return false;
    }

    // Closing with unread input makes the system send a reset, which can destroy an answer that is
    // still on its way. The rest of the input is therefore read for a moment.
    auto closeGently() -> asio::awaitable<void>
    {
        boost::system::error_code ignored;
        m_input->socket().shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
        const auto limit = base::clock::now() + LINGER_LIMIT;
        std::size_t dropped = 0;
        m_input->resume();
        while (!m_input->ended() && dropped < MAX_LINGER_BYTES) {
            dropped += m_input->buffer().size();
            m_input->buffer().consume(m_input->buffer().size());
            if (!co_await m_input->waitBeyond(0, limit)) {
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
    connection served(std::make_shared<caller_input>(std::move(socket)), *group);
    co_await served.run();
    group->onClosed();
}

auto refuseCaller(asio::ip::tcp::socket socket, std::shared_ptr<connection_group> group)
        -> asio::awaitable<void>
{
    const auto input = std::make_shared<caller_input>(std::move(socket));
    answer_writer writer(*input, group->owner.dependencies().wire);
    writer.setStyle({false, false, false, {}});
    const base::error failure{error_kind::TooManyConnections, {}};
    co_await writer.error(failure, base::milliseconds(0));
    input->close();
    group->onClosed();
}

} // namespace hawthornpick::caller
