#include "upstream/internal/streamserver.h"

#include "upstream/bodyframing.h"
#include "upstream/wirecodec.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace hawthornpick::upstream {

namespace asio = boost::asio;

namespace {

using base::error_kind;

// Receiving side of a served stream. Its coroutine receives events until the entry node ends or
// resets the stream.
class stream_receiver
{
public:
    stream_receiver(peer::stream_pointer stream, const asio::any_io_executor &executor)
        : m_stream(std::move(stream)), m_partConsumed(executor), m_partArrived(executor)
    {}

    auto stream() -> peer::stream & { return *m_stream; }
    auto cancel() -> cancellation & { return m_cancel; }

    static auto receiveEvents(std::shared_ptr<stream_receiver> self) -> asio::awaitable<void>
    {
        for (bool open = true; open;) {
            auto event = co_await self->m_stream->receive();
            open = event && std::holds_alternative<peer::stream_data>(*event);
            if (open) {
                co_await self->holdPart(std::move(std::get<peer::stream_data>(*event).bytes));
            }
        }
        self->abandon();
    }

    // Cancels the attempt once the entry node has reset the stream. The failure of the stream is
    // observed directly, because no event is received while a part is held.
    static auto cancelOnFailure(const std::shared_ptr<stream_receiver> &self) -> void
    {
        self->m_stream->onFailure([weakSelf = std::weak_ptr(self)] {
            if (const auto receiver = weakSelf.lock()) {
                receiver->abandon();
            }
        });
    }

    auto read() -> asio::awaitable<base::result<std::string>>
    {
        while (!m_part && !m_streamEnded && !m_stopped && !m_bodyConsumed) {
            co_await m_partArrived.wait();
        }
        if (m_streamEnded || m_stopped) {
            co_return base::fail(error_kind::CallerGone);
        }
        if (m_bodyConsumed) {
            co_return std::string();
        }
        auto part = *std::exchange(m_part, std::nullopt);
        m_bodyConsumed = m_decoder.ended();
        m_partConsumed.notify();
        co_return part;
    }

    auto stop() -> void
    {
        m_stopped = true;
        m_partConsumed.notify();
        m_partArrived.notify();
    }

private:
    // Has no effect on an attempt that has ended.
    auto abandon() -> void
    {
        m_streamEnded = true;
        m_cancel.request(error_kind::CallerGone);
        m_partArrived.notify();
        m_partConsumed.notify();
    }

    // Holds one part until it is read. No further event is received meanwhile, so the flow-control
    // window limits how far the entry node runs ahead of a slow upstream.
    auto holdPart(std::string bytes) -> asio::awaitable<void>
    {
        auto part = m_decoder.decode(bytes);
        if (part.empty() && !m_decoder.ended()) {
            co_return;
        }
        m_part = std::move(part);
        m_partArrived.notify();
        while (m_part && !m_stopped && !m_streamEnded) {
            co_await m_partConsumed.wait();
        }
    }

    peer::stream_pointer m_stream;
    wake_signal m_partConsumed;
    wake_signal m_partArrived;
    cancellation m_cancel;
    body_decoder m_decoder;
    std::optional<std::string> m_part;
    bool m_bodyConsumed = false;
    bool m_streamEnded = false;
    bool m_stopped = false;
};

auto makeAnswerSink(peer::stream &stream, const executor_state &state,
                    const base::service_id &service) -> answer_sink
{
    answer_sink sink;
    sink.start = [&stream, &state, &service](answer_start start) {
        return stream.sendHead(
                encodeOpening({{}, std::move(start), {}, state.statementsOf(service)}));
    };
    sink.data = [&stream](std::string part) {
        return stream.sendData(std::move(part));
    };
    return sink;
}

// The messages are built outside the co_await expressions, because GCC 12 destroys temporaries of
// aggregate type in such an expression twice.
auto sendResult(peer::stream &stream, const attempt_result &result, const statement_report &said)
        -> asio::awaitable<void>
{
    const answer_opening opening{result.failure, {}, result.load, said};
    const answer_closing closing{result.failure, result.load.value_or(policy::service_load{})};
    auto openingBytes = encodeOpening(opening);
    auto closingBytes = encodeClosing(closing);
    if (!result.answerStarted) {
        const auto sent = co_await stream.sendHead(std::move(openingBytes));
        if (!sent) {
            co_return;
        }
    }
    co_await stream.sendEnd(std::move(closingBytes));
}

} // namespace

auto serveStream(std::shared_ptr<executor_state> state, peer::stream_pointer stream)
        -> asio::awaitable<void>
{
    if (state->draining) {
        stream->reset(error_kind::ShuttingDown);
        co_return;
    }
    auto firstEvent = co_await stream->receive();
    if (!firstEvent || !std::holds_alternative<peer::stream_head>(*firstEvent)) {
        stream->reset(error_kind::BadRequest);
        co_return;
    }
    const auto request =
            decodeRequest(std::get<peer::stream_head>(*firstEvent).bytes, base::clock::now());
    if (!request) {
        stream->reset(error_kind::BadRequest);
        co_return;
    }
    const auto receiver = std::make_shared<stream_receiver>(std::move(stream), state->executor());
    stream_receiver::cancelOnFailure(receiver);
    asio::co_spawn(state->executor(), stream_receiver::receiveEvents(receiver), asio::detached);
    const body_source source{[receiver] { return receiver->read(); },
                             [receiver] {
                                 receiver->stop();
                             }};
    const auto sink = makeAnswerSink(receiver->stream(), *state, request->service);
    const auto result = co_await state->run(*request, source, sink, receiver->cancel());
    const auto said = state->statementsOf(request->service);
    co_await sendResult(receiver->stream(), result, said);
    receiver->stop();
}

} // namespace hawthornpick::upstream
