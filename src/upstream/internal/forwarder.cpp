#include "upstream/forwarder.h"

#include "upstream/bodyframing.h"
#include "upstream/deadlinetimer.h"
#include "upstream/wakesignal.h"
#include "upstream/wirecodec.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace hawthornpick::upstream {

namespace asio = boost::asio;

namespace {

using base::error_kind;

// A stream head has at most 64 KB, of which the header lines take at most 16 KB.
constexpr std::size_t MAX_BODY_IN_HEAD_BYTES = 32UL * 1024;

//! Called with what the executing node tells about its upstreams, before the answer is passed on.
using report_function = std::function<void(const statement_report &report)>;

// Sends one attempt on a stream to another node and receives its answer.
class forwarded_attempt
{
public:
    forwarded_attempt(asio::io_context &context, peer::stream_pointer stream,
                      const attempt_request &request, const body_source &source,
                      const answer_sink &sink, report_function onReport)
        : m_context(context), m_stream(std::move(stream)), m_request(request), m_source(source),
          m_sink(sink), m_onReport(std::move(onReport)),
          m_bodySenderFinished(context.get_executor())
    {}

    auto run() -> asio::awaitable<attempt_result>
    {
        const auto sent = co_await sendHead();
        if (!sent) {
            co_return attempt_result{sent.error(), false, {}};
        }
        co_await receiveAnswer();
        co_await stopBodySender();
        if (!m_result.failure) {
            co_await m_stream->sendEnd({});
        }
        co_return m_result;
    }

    // Records the failure and resets the stream, which makes `run` return. Called while `run`
    // waits.
    auto abort(error_kind reason) -> void
    {
        if (!m_result.failure) {
            m_result.failure = base::error{reason, "abandoned"};
        }
        m_stream->reset(reason);
    }

private:
    auto sendHead() -> asio::awaitable<base::result<void>>
    {
        const auto now = base::clock::now();
        if (m_request.body.size() <= MAX_BODY_IN_HEAD_BYTES) {
            const auto sent = co_await m_stream->sendHead(encodeRequest(m_request, now));
            if (sent && !m_request.bodyComplete) {
                startBodySender({});
            }
            co_return sent;
        }
        auto head = m_request;
        auto rest = std::exchange(head.body, {});
        if (m_request.bodyComplete) {
            head.contentLength = rest.size();
        }
        head.bodyComplete = false;
        const auto sent = co_await m_stream->sendHead(encodeRequest(head, now));
        if (sent) {
            startBodySender(std::move(rest));
        }
        co_return sent;
    }

    auto startBodySender(std::string firstPart) -> void
    {
        m_bodySenderRunning = true;
        asio::co_spawn(m_context, sendBody(std::move(firstPart)), asio::detached);
    }

    auto sendBody(std::string firstPart) -> asio::awaitable<void>
    {
        bool open = true;
        if (!firstPart.empty()) {
            open = co_await sendPart(firstPart);
        }
        while (open && !m_request.bodyComplete) {
            auto part = co_await m_source.read();
            if (!part) {
                if (!m_stoppingBodySender) {
                    abort(part.error().kind);
                }
                open = false;
                break;
            }
            if (part->empty()) {
                break;
            }
            open = co_await sendPart(*part);
        }
        if (open) {
            co_await sendPart({});
        }
        m_bodySenderRunning = false;
        m_bodySenderFinished.notify();
    }

    auto sendPart(std::string_view part) -> asio::awaitable<bool>
    {
        auto bytes = encodeBodyPart(part);
        const auto sent = co_await m_stream->sendData(std::move(bytes));
        co_return sent.has_value();
    }

    // Stops the body coroutine and waits for its end, because it refers to members.
    auto stopBodySender() -> asio::awaitable<void>
    {
        if (!m_bodySenderRunning) {
            co_return;
        }
        m_stoppingBodySender = true;
        if (m_source.stop) {
            m_source.stop();
        }
        m_stream->reset(error_kind::CallerGone);
        while (m_bodySenderRunning) {
            co_await m_bodySenderFinished.wait();
        }
    }

    auto receiveAnswer() -> asio::awaitable<void>
    {
        while (true) {
            auto event = co_await m_stream->receive();
            if (!event) {
                recordFailure(event.error());
                co_return;
            }
            if (const auto *end = std::get_if<peer::stream_end>(&*event)) {
                handleEnd(end->bytes);
                co_return;
            }
            const auto handled = co_await handleEvent(std::move(*event));
            if (!handled) {
                recordFailure(handled.error());
                m_stream->reset(handled.error().kind);
                co_return;
            }
        }
    }

    auto handleEvent(peer::stream_event event) -> asio::awaitable<base::result<void>>
    {
        if (auto *data = std::get_if<peer::stream_data>(&event)) {
            co_return co_await m_sink.data(std::move(data->bytes));
        }
        auto opening = decodeOpening(std::get<peer::stream_head>(event).bytes);
        if (!opening) {
            co_return base::fail(error_kind::OutcomeUnknown, "answer head cannot be decoded");
        }
        m_onReport(opening->said);
        if (opening->refusal) {
            m_result.failure = opening->refusal;
            co_return base::result<void>{};
        }
        m_result.answerStarted = true;
        co_return co_await m_sink.start(std::move(opening->start));
    }

    auto handleEnd(const std::string &bytes) -> void
    {
        const auto closing = decodeClosing(bytes);
        if (!closing) {
            recordFailure({error_kind::OutcomeUnknown, "answer end cannot be decoded"});
            return;
        }
        m_result.load = closing->load;
        if (closing->failure) {
            recordFailure(*closing->failure);
        } else if (!m_result.answerStarted && !m_result.failure) {
            recordFailure({error_kind::OutcomeUnknown, "answer ended without an answer head"});
        }
    }

    auto recordFailure(base::error error) -> void
    {
        if (!m_result.failure) {
            m_result.failure = std::move(error);
        }
    }

    asio::io_context &m_context;
    peer::stream_pointer m_stream;
    const attempt_request &m_request;
    const body_source &m_source;
    const answer_sink &m_sink;
    report_function m_onReport;
    attempt_result m_result;
    wake_signal m_bodySenderFinished;
    bool m_bodySenderRunning = false;
    bool m_stoppingBodySender = false;
};

} // namespace

auto forwarder::run(remote_node target, const attempt_request &request, const body_source &source,
                    const answer_sink &sink, cancellation &cancel)
        -> asio::awaitable<attempt_result>
{
    auto statements = m_told.statementsAbout(target.id, request.service);
    if (statements.empty()) {
        co_return co_await runOnLink(target, request, source, sink, cancel);
    }
    auto telling = request;
    telling.statements = std::move(statements);
    co_return co_await runOnLink(target, telling, source, sink, cancel);
}

auto forwarder::runOnLink(const remote_node &target, const attempt_request &request,
                          const body_source &source, const answer_sink &sink, cancellation &cancel)
        -> asio::awaitable<attempt_result>
{
    auto stream = co_await m_links.openStream(target.id, target.address, target.incarnation);
    if (!stream) {
        co_return attempt_result{stream.error(), false, {}};
    }
    if (cancel.reason()) {
        co_return attempt_result{base::error{*cancel.reason(), {}}, false, {}};
    }
    const auto recordReport = [&](const statement_report &report) {
        m_told.onReport(target.id, request.service, report, base::clock::now());
    };
    forwarded_attempt attempt(m_context, std::move(*stream), request, source, sink, recordReport);
    deadline_timer timer(m_context.get_executor());
    timer.set(request.deadline + DEADLINE_GRACE,
              [&attempt] { attempt.abort(error_kind::DeadlineAfterStart); });
    cancel.onRequest([&attempt, &cancel] { attempt.abort(*cancel.reason()); });
    auto result = co_await attempt.run();
    cancel.onRequest(nullptr);
    co_return result;
}

} // namespace hawthornpick::upstream
