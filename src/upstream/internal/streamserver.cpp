#include "upstream/internal/streamserver.h"

#include "upstream/bodyframing.h"
#include "upstream/wirecodec.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace hawthornpick::upstream {

namespace asio = boost::asio;

namespace {

using base::error_kind;

// Receiving side of a served stream. Its coroutine receives until the entry node ends or resets
// the stream, so that a reset is seen while the upstream works.
class stream_receiver
{
public:
    stream_receiver(peer::stream_pointer stream, const asio::any_io_executor &executor)
        : m_stream(std::move(stream)), m_wanted(executor), m_arrived(executor)
    {}

    auto stream() -> peer::stream & { return *m_stream; }
    auto cancel() -> cancellation & { return m_cancel; }

    static auto pump(std::shared_ptr<stream_receiver> self) -> asio::awaitable<void>
    {
        for (bool open = true; open;) {
            auto event = co_await self->m_stream->receive();
            open = event && std::holds_alternative<peer::stream_data>(*event);
            if (open) {
                co_await self->keep(std::move(std::get<peer::stream_data>(*event).bytes));
            } else if (!self->m_lastTaken) {
                self->m_ended = true;
                self->m_cancel.request(error_kind::CallerGone);
                self->m_arrived.notify();
            }
        }
    }

    auto read() -> asio::awaitable<base::result<std::string>>
    {
        while (!m_part && !m_ended && !m_stopped && !m_lastTaken) {
            co_await m_arrived.wait();
        }
        if (m_ended || m_stopped) {
            co_return base::fail(error_kind::CallerGone);
        }
        if (m_lastTaken) {
            co_return std::string();
        }
        auto part = *std::exchange(m_part, std::nullopt);
        m_lastTaken = m_body.ended();
        m_wanted.notify();
        co_return part;
    }

    auto stop() -> void
    {
        m_stopped = true;
        m_wanted.notify();
        m_arrived.notify();
    }

private:
    // Holds one part until it is consumed, which keeps the peer's window closed for a slow
    // upstream.
    auto keep(std::string bytes) -> asio::awaitable<void>
    {
        auto part = m_body.decode(bytes);
        if (part.empty() && !m_body.ended()) {
            co_return;
        }
        m_part = std::move(part);
        m_arrived.notify();
        while (m_part && !m_stopped) {
            co_await m_wanted.wait();
        }
    }

    peer::stream_pointer m_stream;
    wake_signal m_wanted;
    wake_signal m_arrived;
    cancellation m_cancel;
    body_decoder m_body;
    std::optional<std::string> m_part;
    bool m_lastTaken = false;
    bool m_ended = false;
    bool m_stopped = false;
};

auto sinkTo(peer::stream &stream) -> answer_sink
{
    answer_sink sink;
    sink.start = [&stream](answer_start start) {
        return stream.sendHead(encodeOpening({{}, std::move(start), {}}));
    };
    sink.data = [&stream](std::string part) {
        return stream.sendData(std::move(part));
    };
    return sink;
}

// The messages are built before the co_await expressions, because GCC 12 destroys temporaries of
// aggregate type in such an expression twice.
auto finish(peer::stream &stream, const attempt_result &result) -> asio::awaitable<void>
{
    const answer_opening opening{result.failure, {}, result.load};
    const answer_closing closing{result.failure, result.load.value_or(policy::service_load{})};
    auto first = encodeOpening(opening);
    auto last = encodeClosing(closing);
    if (!result.answerStarted) {
        const auto sent = co_await stream.sendHead(std::move(first));
        if (!sent) {
            co_return;
        }
    }
    co_await stream.sendEnd(std::move(last));
}

} // namespace

auto serveStream(std::shared_ptr<executor_state> state, peer::stream_pointer incoming)
        -> asio::awaitable<void>
{
    if (state->draining) {
        incoming->reset(error_kind::ShuttingDown);
        co_return;
    }
    auto first = co_await incoming->receive();
    if (!first || !std::holds_alternative<peer::stream_head>(*first)) {
        incoming->reset(error_kind::BadRequest);
        co_return;
    }
    const auto request =
            decodeRequest(std::get<peer::stream_head>(*first).bytes, base::clock::now());
    if (!request) {
        incoming->reset(error_kind::BadRequest);
        co_return;
    }
    const auto receiver = std::make_shared<stream_receiver>(std::move(incoming), state->executor());
    asio::co_spawn(state->executor(), stream_receiver::pump(receiver), asio::detached);
    const body_source source{[receiver] { return receiver->read(); },
                             [receiver] {
                                 receiver->stop();
                             }};
    const auto result =
            co_await state->run(*request, source, sinkTo(receiver->stream()), receiver->cancel());
    co_await finish(receiver->stream(), result);
    receiver->stop();
}

} // namespace hawthornpick::upstream
