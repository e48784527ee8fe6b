#include "peer/internal/connection.h"

#include "base/log.h"
#include "peer/internal/handshake.h"

#include <algorithm>
#include <boost/asio/error.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <netinet/in.h>
#include <netinet/tcp.h>

namespace hawthornpick::peer {

namespace asio = boost::asio;

namespace {

//! Body data waits while the link has this many bytes queued.
constexpr std::size_t MAX_QUEUED_DATA_BYTES = 512UL * 1024;
//! Control messages are dropped while the link has this many bytes queued.
constexpr std::size_t MAX_QUEUED_MESSAGE_BYTES = 2 * MAX_MESSAGE_BYTES;
//! Unsent bytes in the kernel's buffer; more would make pings wait behind data.
constexpr int UNSENT_LIMIT_BYTES = 128 * 1024;
//! New window is given to the peer in steps of this size.
constexpr std::size_t WINDOW_STEP_BYTES = STREAM_WINDOW_BYTES / 4;
//! A link is watched with pings for this time after a control message.
constexpr base::milliseconds MESSAGE_WATCH_TIME{2000};
//! First byte of a message frame's payload after the channel: whether more fragments follow.
constexpr char LAST_FRAGMENT = 0;
constexpr char MORE_FRAGMENTS = 1;
constexpr std::size_t MESSAGE_HEADER_BYTES = 2;
constexpr std::size_t MESSAGE_FRAGMENT_BYTES = 32UL * 1024;

auto setSocketOptions(asio::ip::tcp::socket &socket) -> void
{
    boost::system::error_code ignored;
    socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    using unsent_limit = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_NOTSENT_LOWAT>;
    socket.set_option(unsent_limit(UNSENT_LIMIT_BYTES), ignored);
}

auto waitFor(asio::steady_timer &timer) -> asio::awaitable<void>
{
    boost::system::error_code ignored;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

} // namespace

stream_state::stream_state(std::shared_ptr<connection> owner)
    : link(std::move(owner)), readable(link->executor(), asio::steady_timer::time_point::max()),
      writable(link->executor(), asio::steady_timer::time_point::max())
{}

auto stream_state::fail(base::error reason) -> void
{
    if (!failure) {
        failure = std::move(reason);
    }
    readable.cancel();
    writable.cancel();
}

connection::connection(asio::ip::tcp::socket socket, const link_identity &identity,
                       const link_timing &timing, bool isAccepted, connection_events events)
    : m_socket(std::move(socket)), m_identity(identity), m_timing(timing), m_isAccepted(isAccepted),
      m_events(std::move(events)),
      m_hasRoom(m_socket.get_executor(), asio::steady_timer::time_point::max()),
      m_pongArrived(m_socket.get_executor(), asio::steady_timer::time_point::max()),
      m_createdAt(base::clock::now()), m_lastHeard(m_createdAt), m_lastUsed(m_createdAt),
      m_lastMessage(m_createdAt - MESSAGE_WATCH_TIME)
{
    setSocketOptions(m_socket);
}

auto connection::connect(asio::ip::tcp::endpoint remote) -> asio::awaitable<base::result<void>>
{
    const auto self = shared_from_this();
    boost::system::error_code error;
    co_await m_socket.async_connect(remote, asio::redirect_error(asio::use_awaitable, error));
    if (!m_isOpen) {
        co_return base::fail(base::error_kind::PeerUnreachable, m_closeReason);
    }
    if (error) {
        close(error.message());
        co_return base::fail(base::error_kind::PeerUnreachable, error.message());
    }
    setSocketOptions(m_socket);
    co_return base::result<void>();
}

// Reads one frame and gives its payload to `step`. Closes the connection if either fails.
template <typename Step>
auto connection::handshakeStep(frame_type expected, Step step)
        -> asio::awaitable<std::invoke_result_t<Step, std::string_view>>
{
    const auto frame = co_await readFrame();
    if (!frame) {
        co_return tl::unexpected(frame.error());
    }
    auto done = frame->type == expected ? step(frame->payload)
                                        : base::fail(base::error_kind::BadRequest,
                                                     "unexpected frame during the handshake");
    if (!done) {
        close(done.error().detail);
        co_return base::fail(base::error_kind::PeerUnreachable, done.error().detail);
    }
    co_return done;
}

auto connection::handshakeAsConnecting() -> asio::awaitable<base::result<void>>
{
    const auto self = shared_from_this();
    handshake exchange(handshake::side::Connecting, m_identity);
    m_queue.push(frame_type::Hello, 0, exchange.hello());
    scheduleWrite();
    auto proof = co_await handshakeStep(frame_type::Hello, [&exchange](std::string_view payload) {
        return exchange.finish(payload);
    });
    if (!proof) {
        co_return tl::unexpected(proof.error());
    }
    m_queue.push(frame_type::Proof, 0, std::move(*proof));
    scheduleWrite();
    establish(exchange.peerNode(), exchange.peerIncarnation());
    co_return base::result<void>();
}

auto connection::handshakeAsAccepting() -> asio::awaitable<base::result<void>>
{
    const auto self = shared_from_this();
    handshake exchange(handshake::side::Accepting, m_identity);
    auto answer = co_await handshakeStep(frame_type::Hello, [&exchange](std::string_view payload) {
        return exchange.answer(payload);
    });
    if (!answer) {
        co_return tl::unexpected(answer.error());
    }
    m_queue.push(frame_type::Hello, 0, std::move(*answer));
    scheduleWrite();
    const auto verified =
            co_await handshakeStep(frame_type::Proof, [&exchange](std::string_view payload) {
                return exchange.verify(payload);
            });
    if (!verified) {
        co_return tl::unexpected(verified.error());
    }
    establish(exchange.peerNode(), exchange.peerIncarnation());
    co_return base::result<void>();
}

auto connection::establish(const base::node_id &node, base::incarnation number) -> void
{
    m_peerNode = node;
    m_peerIncarnation = number;
    m_isEstablished = true;
    m_lastHeard = base::clock::now();
    m_lastUsed = m_lastHeard;
    m_decoder.setLimit(MAX_FRAME_PAYLOAD_BYTES);
}

auto connection::readFrame() -> asio::awaitable<base::result<frame_view>>
{
    while (m_isOpen) {
        const auto frame = m_decoder.next();
        if (!frame) {
            close("malformed frame");
            break;
        }
        if (*frame) {
            co_return **frame;
        }
        const auto space = m_decoder.prepare();
        boost::system::error_code error;
        const auto count =
                co_await m_socket.async_read_some(asio::buffer(space.data(), space.size()),
                                                  asio::redirect_error(asio::use_awaitable, error));
        if (error) {
            close(error.message());
            break;
        }
        m_decoder.commit(count);
    }
    co_return base::fail(base::error_kind::PeerUnreachable, m_closeReason);
}

auto connection::readFrames() -> asio::awaitable<void>
{
    const auto self = shared_from_this();
    while (m_isOpen) {
        const auto frame = m_decoder.next();
        if (!frame || (*frame && !handleFrame(**frame))) {
            close("protocol error");
            co_return;
        }
        if (*frame) {
            continue;
        }
        const auto space = m_decoder.prepare();
        boost::system::error_code error;
        const auto count =
                co_await m_socket.async_read_some(asio::buffer(space.data(), space.size()),
                                                  asio::redirect_error(asio::use_awaitable, error));
        if (error) {
            close(error.message());
            co_return;
        }
        m_decoder.commit(count);
        m_lastHeard = base::clock::now();
    }
}

auto connection::confirm() -> asio::awaitable<bool>
{
    const auto self = shared_from_this();
    if (!m_isOpen || base::clock::now() - m_lastHeard < m_timing.quietTime) {
        co_return m_isOpen;
    }
    const auto number = m_openPings.empty() ? sendPing() : m_lastPing;
    while (m_isOpen && m_lastPong < number) {
        co_await waitFor(m_pongArrived);
    }
    co_return m_isOpen;
}

auto connection::sendHead(const std::shared_ptr<stream_state> &state, std::string bytes)
        -> base::result<void>
{
    if (state->failure) {
        return tl::unexpected(*state->failure);
    }
    if (bytes.size() > MAX_FRAME_PAYLOAD_BYTES) {
        return base::fail(base::error_kind::HeaderTooLarge, "stream head is too large");
    }
    if (!m_isOpen) {
        state->fail({base::error_kind::PeerUnreachable, m_closeReason});
        return tl::unexpected(*state->failure);
    }
    if (state->id == 0) {
        state->id = ++m_lastStream;
        m_streams.emplace(state->id, state);
        m_lastUsed = base::clock::now();
    }
    m_queue.push(frame_type::Head, state->id, std::move(bytes));
    scheduleWrite();
    return {};
}

auto connection::sendData(std::shared_ptr<stream_state> state, std::string bytes)
        -> asio::awaitable<base::result<void>>
{
    const auto self = shared_from_this();
    const std::string_view view(bytes);
    std::size_t sent = 0;
    while (sent < view.size()) {
        while (!state->failure
               && (state->sendWindow == 0 || m_queue.bytes() >= MAX_QUEUED_DATA_BYTES)) {
            co_await waitFor(state->sendWindow == 0 ? state->writable : m_hasRoom);
        }
        if (state->failure) {
            break;
        }
        const auto count = std::min({view.size() - sent, state->sendWindow, MAX_DATA_EVENT_BYTES});
        state->sendWindow -= count;
        if (count == view.size()) {
            m_queue.push(frame_type::Data, state->id, std::move(bytes));
            scheduleWrite();
            co_return base::result<void>();
        }
        m_queue.push(frame_type::Data, state->id, std::string(view.substr(sent, count)));
        scheduleWrite();
        sent += count;
    }
    if (state->failure) {
        co_return tl::unexpected(*state->failure);
    }
    co_return base::result<void>();
}

auto connection::sendEnd(const std::shared_ptr<stream_state> &state, std::string bytes)
        -> base::result<void>
{
    if (state->failure) {
        return tl::unexpected(*state->failure);
    }
    if (bytes.size() > MAX_FRAME_PAYLOAD_BYTES) {
        return base::fail(base::error_kind::InternalError, "end of stream is too large");
    }
    m_queue.push(frame_type::End, state->id, std::move(bytes));
    scheduleWrite();
    state->isEndSent = true;
    finishIfEnded(state);
    return {};
}

auto connection::receive(std::shared_ptr<stream_state> state)
        -> asio::awaitable<base::result<stream_event>>
{
    while (state->nextEvent == state->events.size() && !state->failure) {
        co_await waitFor(state->readable);
    }
    if (state->nextEvent == state->events.size()) {
        co_return tl::unexpected(*state->failure);
    }
    auto event = std::move(state->events[state->nextEvent++]);
    if (state->nextEvent == state->events.size()) {
        state->events.clear();
        state->nextEvent = 0;
    }
    if (const auto *data = std::get_if<stream_data>(&event)) {
        giveWindow(*state, data->bytes.size());
    }
    co_return event;
}

auto connection::giveWindow(stream_state &state, std::size_t takenBytes) -> void
{
    state.takenBytes += takenBytes;
    if (state.takenBytes < WINDOW_STEP_BYTES || state.isEndReceived || state.failure || !m_isOpen) {
        return;
    }
    std::string payload;
    appendNumber32(payload, static_cast<std::uint32_t>(state.takenBytes));
    state.receiveWindow += state.takenBytes;
    state.takenBytes = 0;
    m_queue.pushUrgent(frame_type::Window, state.id, payload);
    scheduleWrite();
}

auto connection::reset(const std::shared_ptr<stream_state> &state, base::error_kind reason) -> void
{
    const bool hasEnded = state->isEndSent && state->isEndReceived;
    if (state->failure || hasEnded) {
        return;
    }
    if (state->id != 0 && m_streams.erase(state->id) > 0) {
        m_queue.push(frame_type::Reset, state->id, std::string(1, static_cast<char>(reason)));
        scheduleWrite();
        m_lastUsed = base::clock::now();
    }
    state->events.clear();
    state->nextEvent = 0;
    state->fail({reason, "stream was reset locally"});
}

auto connection::sendMessage(base::channel kind, const std::string &payload) -> bool
{
    if (!m_isOpen || payload.size() > MAX_MESSAGE_BYTES
        || m_queue.bytes() + payload.size() > MAX_QUEUED_MESSAGE_BYTES) {
        return false;
    }
    std::size_t sent = 0;
    do {
        const auto count = std::min(payload.size() - sent, MESSAGE_FRAGMENT_BYTES);
        const bool isLast = sent + count == payload.size();
        std::string fragment;
        fragment.reserve(MESSAGE_HEADER_BYTES + count);
        fragment.push_back(static_cast<char>(kind));
        fragment.push_back(isLast ? LAST_FRAGMENT : MORE_FRAGMENTS);
        fragment.append(payload, sent, count);
        m_queue.push(frame_type::Message, 0, std::move(fragment));
        sent += count;
    } while (sent < payload.size());
    m_lastMessage = base::clock::now();
    m_lastUsed = m_lastMessage;
    scheduleWrite();
    return true;
}

auto connection::handleFrame(const frame_view &frame) -> bool
{
    switch (frame.type) {
    case frame_type::Head:
        return handleHead(frame);
    case frame_type::Data:
    case frame_type::End:
    case frame_type::Reset:
    case frame_type::Window:
        return handleStreamFrame(frame);
    case frame_type::Ping:
        m_queue.pushUrgent(frame_type::Pong, frame.stream, {});
        scheduleWrite();
        return true;
    case frame_type::Pong:
        return handlePong(frame.stream);
    case frame_type::Message:
        return handleMessage(frame);
    case frame_type::Hello:
    case frame_type::Proof:
        return false;
    }
    return false;
}

auto connection::handleHead(const frame_view &frame) -> bool
{
    if (m_isAccepted) {
        return acceptStream(frame);
    }
    const auto position = m_streams.find(frame.stream);
    if (position == m_streams.end()) {
        return frame.stream != 0 && frame.stream <= m_lastStream;
    }
    auto &state = *position->second;
    if (state.isHeadReceived) {
        return false;
    }
    state.isHeadReceived = true;
    state.events.emplace_back(stream_head{std::string(frame.payload)});
    state.readable.cancel();
    return true;
}

auto connection::acceptStream(const frame_view &frame) -> bool
{
    if (frame.stream <= m_lastStream) {
        return false;
    }
    m_lastStream = frame.stream;
    const bool isFull = m_streams.size() >= MAX_STREAMS_PER_LINK;
    if (isFull || m_events.isDraining()) {
        const auto reason =
                isFull ? base::error_kind::TooManyConnections : base::error_kind::ShuttingDown;
        m_queue.push(frame_type::Reset, frame.stream, std::string(1, static_cast<char>(reason)));
        scheduleWrite();
        return true;
    }
    const auto state = std::make_shared<stream_state>(shared_from_this());
    state->id = frame.stream;
    state->isHeadReceived = true;
    state->events.emplace_back(stream_head{std::string(frame.payload)});
    m_streams.emplace(state->id, state);
    m_events.onStream(std::make_unique<stream>(state));
    return true;
}

auto connection::handleStreamFrame(const frame_view &frame) -> bool
{
    const auto position = m_streams.find(frame.stream);
    if (position == m_streams.end()) {
        // Frames of a stream that was reset here may still be under way.
        return frame.stream != 0 && frame.stream <= m_lastStream;
    }
    const auto state = position->second;
    if (frame.type == frame_type::Window) {
        return handleWindow(*state, frame.payload);
    }
    if (frame.type == frame_type::Reset) {
        return handleReset(state, frame.payload);
    }
    if (!state->isHeadReceived || state->isEndReceived) {
        return false;
    }
    if (frame.type == frame_type::Data) {
        if (frame.payload.size() > state->receiveWindow) {
            return false;
        }
        state->receiveWindow -= frame.payload.size();
        state->events.emplace_back(stream_data{std::string(frame.payload)});
    } else {
        state->isEndReceived = true;
        state->events.emplace_back(stream_end{std::string(frame.payload)});
        finishIfEnded(state);
    }
    state->readable.cancel();
    return true;
}

auto connection::handleWindow(stream_state &state, std::string_view payload) -> bool
{
    if (payload.size() != sizeof(std::uint32_t)) {
        return false;
    }
    state.sendWindow += readNumber32(payload);
    if (state.sendWindow > STREAM_WINDOW_BYTES) {
        return false;
    }
    state.writable.cancel();
    return true;
}

auto connection::handleReset(const std::shared_ptr<stream_state> &state, std::string_view payload)
        -> bool
{
    if (payload.size() != 1) {
        return false;
    }
    const auto reason = base::errorKindFromNumber(static_cast<std::uint8_t>(payload.front()));
    m_streams.erase(state->id);
    m_lastUsed = base::clock::now();
    state->fail(
            {reason.value_or(base::error_kind::OutcomeUnknown), "stream was reset by the peer"});
    return true;
}

auto connection::handleMessage(const frame_view &frame) -> bool
{
    if (frame.payload.size() < MESSAGE_HEADER_BYTES || !m_isAccepted) {
        return false;
    }
    const auto kind = static_cast<base::channel>(frame.payload[0]);
    const bool isLast = frame.payload[1] == LAST_FRAGMENT;
    const auto bytes = frame.payload.substr(MESSAGE_HEADER_BYTES);
    if ((!m_message.empty() && kind != m_messageChannel)
        || m_message.size() + bytes.size() > MAX_MESSAGE_BYTES) {
        return false;
    }
    m_messageChannel = kind;
    m_message.append(bytes);
    if (isLast) {
        m_events.onMessage(m_peerNode, kind, std::exchange(m_message, {}));
    }
    return true;
}

auto connection::handlePong(std::uint64_t number) -> bool
{
    if (number > m_lastPing) {
        return false;
    }
    m_lastPong = std::max(m_lastPong, number);
    while (!m_openPings.empty() && m_openPings.front().first <= number) {
        m_openPings.pop_front();
    }
    m_pongArrived.cancel();
    return true;
}

auto connection::sendPing() -> std::uint64_t
{
    m_openPings.emplace_back(++m_lastPing, base::clock::now());
    m_queue.pushUrgent(frame_type::Ping, m_lastPing, {});
    scheduleWrite();
    return m_lastPing;
}

auto connection::maintain(base::time_point now, bool wasDelayed) -> void
{
    if (!m_isEstablished) {
        if (now - m_createdAt >= m_timing.connectTimeout) {
            close("handshake timed out");
        }
        return;
    }
    if (wasDelayed) {
        // Answers that arrived meanwhile have not been read yet.
        for (auto &[number, sentAt] : m_openPings) {
            sentAt = now;
        }
    }
    if (!m_openPings.empty() && now - m_openPings.front().second >= m_timing.deadTime) {
        close("no answer to pings");
        return;
    }
    const bool isWatched =
            !m_streams.empty() || !m_openPings.empty() || now - m_lastMessage < MESSAGE_WATCH_TIME;
    if (isWatched) {
        sendPing();
    }
    const auto idleTime = m_isAccepted ? ACCEPTED_IDLE_TIME : IDLE_TIME;
    const auto lastUsed = m_isAccepted ? std::max(m_lastUsed, m_lastHeard) : m_lastUsed;
    if (m_streams.empty() && now - lastUsed >= idleTime) {
        close("idle");
    }
}

auto connection::close(std::string_view reason) -> void
{
    if (!m_isOpen) {
        return;
    }
    m_isOpen = false;
    m_closeReason = reason;
    boost::system::error_code ignored;
    m_socket.close(ignored);
    m_hasRoom.cancel();
    m_pongArrived.cancel();
    auto streams = std::exchange(m_streams, {});
    for (const auto &[id, state] : streams) {
        state->fail({base::error_kind::OutcomeUnknown, "link was lost: " + m_closeReason});
    }
    m_events.onClosed(shared_from_this());
}

auto connection::finishIfEnded(const std::shared_ptr<stream_state> &state) -> void
{
    if (state->isEndSent && state->isEndReceived) {
        m_streams.erase(state->id);
        m_lastUsed = base::clock::now();
    }
}

auto connection::scheduleWrite() -> void
{
    if (m_isWriting || !m_isOpen) {
        return;
    }
    m_isWriting = true;
    // Frames of the handlers that are ready now go out with the same system call.
    asio::post(m_socket.get_executor(), [self = shared_from_this()] { self->writeBatch(); });
}

auto connection::writeBatch() -> void
{
    if (!m_isOpen || m_queue.empty()) {
        m_isWriting = false;
        return;
    }
    const auto &buffers = m_queue.takeBatch();
    if (m_queue.bytes() < MAX_QUEUED_DATA_BYTES) {
        m_hasRoom.cancel();
    }
    asio::async_write(
            m_socket, buffers,
            [self = shared_from_this()](const boost::system::error_code &error, std::size_t) {
                if (error) {
                    self->close(error.message());
                }
                self->writeBatch();
            });
}

} // namespace hawthornpick::peer
