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

//! Body data is held back while the link has at least this many bytes queued.
constexpr std::size_t MAX_QUEUED_DATA_BYTES = 512UL * 1024;
//! A control message is dropped if it would raise the queued bytes of the link above this limit.
constexpr std::size_t MAX_QUEUED_MESSAGE_BYTES = 2 * MAX_MESSAGE_BYTES;
//! Limit of unsent bytes in the kernel's buffer, because pings wait behind them.
constexpr int MAX_KERNEL_UNSENT_BYTES = 128 * 1024;
//! Consumed bytes after which a window update is sent.
constexpr std::size_t WINDOW_UPDATE_BYTES = STREAM_WINDOW_BYTES / 4;
//! After a control message, the link is pinged for this long, so that a failure is noticed.
constexpr base::milliseconds PING_TIME_AFTER_MESSAGE{2000};
//! Values of the second byte of a message frame's payload, which follows the channel.
constexpr char LAST_FRAGMENT = 0;
constexpr char MORE_FRAGMENTS = 1;
constexpr std::size_t MESSAGE_HEADER_BYTES = 2;
constexpr std::size_t MESSAGE_FRAGMENT_BYTES = 32UL * 1024;

auto setSocketOptions(asio::ip::tcp::socket &socket) -> void
{
    boost::system::error_code ignored;
    socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    using notsent_lowat = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_NOTSENT_LOWAT>;
    socket.set_option(notsent_lowat(MAX_KERNEL_UNSENT_BYTES), ignored);
}

//! Waits until `signal`, a timer without expiry, is cancelled.
auto waitFor(asio::steady_timer &signal) -> asio::awaitable<void>
{
    boost::system::error_code ignored;
    co_await signal.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

} // namespace

stream_state::stream_state(std::shared_ptr<connection> owner)
    : link(std::move(owner)), eventArrived(link->executor(), asio::steady_timer::time_point::max()),
      windowOpened(link->executor(), asio::steady_timer::time_point::max())
{}

auto stream_state::fail(base::error reason) -> void
{
    if (!failure) {
        failure = std::move(reason);
    }
    eventArrived.cancel();
    windowOpened.cancel();
    if (onFailure) {
        asio::post(link->executor(), std::exchange(onFailure, nullptr));
    }
}

connection::connection(asio::ip::tcp::socket socket, const link_identity &identity,
                       const link_timing &timing, bool isAccepted, connection_callbacks callbacks)
    : m_socket(std::move(socket)), m_identity(identity), m_timing(timing), m_isAccepted(isAccepted),
      m_callbacks(std::move(callbacks)),
      m_queueSpaceFreed(m_socket.get_executor(), asio::steady_timer::time_point::max()),
      m_pongArrived(m_socket.get_executor(), asio::steady_timer::time_point::max()),
      m_createdAt(base::clock::now()), m_lastReceivedAt(m_createdAt), m_lastUsedAt(m_createdAt),
      m_lastMessageAt(m_createdAt - PING_TIME_AFTER_MESSAGE)
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

// Reads one frame and passes its payload to `handler`. Closes the connection if either fails.
template <typename Handler>
auto connection::processHandshakeFrame(frame_type expectedType, Handler handler)
        -> asio::awaitable<std::invoke_result_t<Handler, std::string_view>>
{
    const auto frame = co_await readFrame();
    if (!frame) {
        co_return tl::unexpected(frame.error());
    }
    auto handled = frame->type == expectedType
                           ? handler(frame->payload)
                           : base::fail(base::error_kind::BadRequest,
                                        "unexpected type of frame during the handshake");
    if (!handled) {
        close(handled.error().detail);
        co_return base::fail(base::error_kind::PeerUnreachable, handled.error().detail);
    }
    co_return handled;
}

auto connection::handshakeAsConnecting() -> asio::awaitable<base::result<void>>
{
    const auto self = shared_from_this();
    handshake negotiation(handshake::side::Connecting, m_identity);
    m_queue.push(frame_type::Hello, 0, negotiation.hello());
    scheduleWrite();
    auto proof = co_await processHandshakeFrame(
            frame_type::Hello,
            [&negotiation](std::string_view payload) { return negotiation.verifyReply(payload); });
    if (!proof) {
        co_return tl::unexpected(proof.error());
    }
    m_queue.push(frame_type::Proof, 0, std::move(*proof));
    scheduleWrite();
    establish(negotiation.peerNode(), negotiation.peerIncarnation());
    co_return base::result<void>();
}

auto connection::handshakeAsAccepting() -> asio::awaitable<base::result<void>>
{
    const auto self = shared_from_this();
    handshake negotiation(handshake::side::Accepting, m_identity);
    auto reply = co_await processHandshakeFrame(
            frame_type::Hello,
            [&negotiation](std::string_view payload) { return negotiation.replyToHello(payload); });
    if (!reply) {
        co_return tl::unexpected(reply.error());
    }
    m_queue.push(frame_type::Hello, 0, std::move(*reply));
    scheduleWrite();
    const auto verified = co_await processHandshakeFrame(
            frame_type::Proof,
            [&negotiation](std::string_view payload) { return negotiation.verifyProof(payload); });
    if (!verified) {
        co_return tl::unexpected(verified.error());
    }
    establish(negotiation.peerNode(), negotiation.peerIncarnation());
    co_return base::result<void>();
}

auto connection::establish(const base::node_id &node, base::incarnation incarnation) -> void
{
    m_peerNode = node;
    m_peerIncarnation = incarnation;
    m_isEstablished = true;
    m_lastReceivedAt = base::clock::now();
    m_lastUsedAt = m_lastReceivedAt;
    m_decoder.setMaxPayloadBytes(MAX_FRAME_PAYLOAD_BYTES);
}

auto connection::readFrame() -> asio::awaitable<base::result<frame_view>>
{
    while (m_isOpen) {
        const auto frame = m_decoder.next();
        if (!frame) {
            close("malformed frame during the handshake");
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
            close("peer sent a frame that is malformed or not allowed in this state");
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
        m_lastReceivedAt = base::clock::now();
    }
}

auto connection::ensureAlive() -> asio::awaitable<bool>
{
    const auto self = shared_from_this();
    if (!m_isOpen || base::clock::now() - m_lastReceivedAt < m_timing.probeAfterSilence) {
        co_return m_isOpen;
    }
    const auto pingNumber = m_unansweredPings.empty() ? sendPing() : m_lastPingNumber;
    while (m_isOpen && m_lastPongNumber < pingNumber) {
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
        return base::fail(base::error_kind::HeaderTooLarge,
                          "stream head exceeds the frame limit of 64 KiB");
    }
    if (!m_isOpen) {
        state->fail({base::error_kind::PeerUnreachable, m_closeReason});
        return tl::unexpected(*state->failure);
    }
    if (state->id == 0) {
        state->id = ++m_lastStreamId;
        m_streams.emplace(state->id, state);
        m_lastUsedAt = base::clock::now();
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
               && (state->sendWindowBytes == 0 || m_queue.queuedBytes() >= MAX_QUEUED_DATA_BYTES)) {
            co_await waitFor(state->sendWindowBytes == 0 ? state->windowOpened : m_queueSpaceFreed);
        }
        if (state->failure) {
            break;
        }
        const auto count =
                std::min({view.size() - sent, state->sendWindowBytes, MAX_DATA_EVENT_BYTES});
        state->sendWindowBytes -= count;
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
        return base::fail(base::error_kind::InternalError,
                          "end of stream exceeds the frame limit of 64 KiB");
    }
    m_queue.push(frame_type::End, state->id, std::move(bytes));
    scheduleWrite();
    state->isEndSent = true;
    removeIfEnded(state);
    return {};
}

auto connection::receive(std::shared_ptr<stream_state> state)
        -> asio::awaitable<base::result<stream_event>>
{
    while (state->nextEventIndex == state->events.size() && !state->failure) {
        co_await waitFor(state->eventArrived);
    }
    if (state->nextEventIndex == state->events.size()) {
        co_return tl::unexpected(*state->failure);
    }
    auto event = std::move(state->events[state->nextEventIndex++]);
    if (state->nextEventIndex == state->events.size()) {
        state->events.clear();
        state->nextEventIndex = 0;
    }
    if (const auto *data = std::get_if<stream_data>(&event)) {
        grantWindow(*state, data->bytes.size());
    }
    co_return event;
}

auto connection::grantWindow(stream_state &state, std::size_t consumedBytes) -> void
{
    state.consumedBytes += consumedBytes;
    if (state.consumedBytes < WINDOW_UPDATE_BYTES || state.isEndReceived || state.failure
        || !m_isOpen) {
        return;
    }
    std::string payload;
    appendUint32(payload, static_cast<std::uint32_t>(state.consumedBytes));
    state.receiveWindowBytes += state.consumedBytes;
    state.consumedBytes = 0;
    m_queue.pushUrgent(frame_type::WindowUpdate, state.id, payload);
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
        m_lastUsedAt = base::clock::now();
    }
    state->events.clear();
    state->nextEventIndex = 0;
    state->fail({reason, "stream was reset by this node"});
}

auto connection::sendMessage(base::channel channel, const std::string &payload) -> bool
{
    if (!m_isOpen || payload.size() > MAX_MESSAGE_BYTES
        || m_queue.queuedBytes() + payload.size() > MAX_QUEUED_MESSAGE_BYTES) {
        return false;
    }
    std::size_t sent = 0;
    do {
        const auto count = std::min(payload.size() - sent, MESSAGE_FRAGMENT_BYTES);
        const bool isLast = sent + count == payload.size();
        std::string fragment;
        fragment.reserve(MESSAGE_HEADER_BYTES + count);
        fragment.push_back(static_cast<char>(channel));
        fragment.push_back(isLast ? LAST_FRAGMENT : MORE_FRAGMENTS);
        fragment.append(payload, sent, count);
        m_queue.push(frame_type::Message, 0, std::move(fragment));
        sent += count;
    } while (sent < payload.size());
    m_lastMessageAt = base::clock::now();
    m_lastUsedAt = m_lastMessageAt;
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
    case frame_type::WindowUpdate:
        return handleStreamFrame(frame);
    case frame_type::Ping:
        m_queue.pushUrgent(frame_type::Pong, frame.streamId, {});
        scheduleWrite();
        return true;
    case frame_type::Pong:
        return handlePong(frame.streamId);
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
    const auto position = m_streams.find(frame.streamId);
    if (position == m_streams.end()) {
        return frame.streamId != 0 && frame.streamId <= m_lastStreamId;
    }
    auto &state = *position->second;
    if (state.isHeadReceived) {
        return false;
    }
    state.isHeadReceived = true;
    state.events.emplace_back(stream_head{std::string(frame.payload)});
    state.eventArrived.cancel();
    return true;
}

auto connection::acceptStream(const frame_view &frame) -> bool
{
    if (frame.streamId <= m_lastStreamId) {
        return false;
    }
    m_lastStreamId = frame.streamId;
    const bool isFull = m_streams.size() >= MAX_STREAMS_PER_LINK;
    if (isFull || m_callbacks.isDraining()) {
        const auto reason =
                isFull ? base::error_kind::TooManyConnections : base::error_kind::ShuttingDown;
        m_queue.push(frame_type::Reset, frame.streamId, std::string(1, static_cast<char>(reason)));
        scheduleWrite();
        return true;
    }
    const auto state = std::make_shared<stream_state>(shared_from_this());
    state->id = frame.streamId;
    state->isHeadReceived = true;
    state->events.emplace_back(stream_head{std::string(frame.payload)});
    m_streams.emplace(state->id, state);
    m_callbacks.onStream(std::make_unique<stream>(state));
    return true;
}

auto connection::handleStreamFrame(const frame_view &frame) -> bool
{
    const auto position = m_streams.find(frame.streamId);
    if (position == m_streams.end()) {
        // The peer may have sent frames of this stream before it received the local reset.
        return frame.streamId != 0 && frame.streamId <= m_lastStreamId;
    }
    const auto state = position->second;
    if (frame.type == frame_type::WindowUpdate) {
        return handleWindowUpdate(*state, frame.payload);
    }
    if (frame.type == frame_type::Reset) {
        return handleReset(state, frame.payload);
    }
    if (!state->isHeadReceived || state->isEndReceived) {
        return false;
    }
    if (frame.type == frame_type::Data) {
        if (frame.payload.size() > state->receiveWindowBytes) {
            return false;
        }
        state->receiveWindowBytes -= frame.payload.size();
        state->events.emplace_back(stream_data{std::string(frame.payload)});
    } else {
        state->isEndReceived = true;
        state->events.emplace_back(stream_end{std::string(frame.payload)});
        removeIfEnded(state);
    }
    state->eventArrived.cancel();
    return true;
}

auto connection::handleWindowUpdate(stream_state &state, std::string_view payload) -> bool
{
    if (payload.size() != sizeof(std::uint32_t)) {
        return false;
    }
    state.sendWindowBytes += readUint32(payload);
    if (state.sendWindowBytes > STREAM_WINDOW_BYTES) {
        return false;
    }
    state.windowOpened.cancel();
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
    m_lastUsedAt = base::clock::now();
    state->fail(
            {reason.value_or(base::error_kind::OutcomeUnknown), "stream was reset by the peer"});
    return true;
}

auto connection::handleMessage(const frame_view &frame) -> bool
{
    if (frame.payload.size() < MESSAGE_HEADER_BYTES || !m_isAccepted) {
        return false;
    }
    const auto channel = static_cast<base::channel>(frame.payload[0]);
    const bool isLast = frame.payload[1] == LAST_FRAGMENT;
    const auto bytes = frame.payload.substr(MESSAGE_HEADER_BYTES);
    if ((!m_partialMessage.empty() && channel != m_partialMessageChannel)
        || m_partialMessage.size() + bytes.size() > MAX_MESSAGE_BYTES) {
        return false;
    }
    m_partialMessageChannel = channel;
    m_partialMessage.append(bytes);
    if (isLast) {
        m_callbacks.onMessage(m_peerNode, channel, std::exchange(m_partialMessage, {}));
    }
    return true;
}

auto connection::handlePong(std::uint64_t pingNumber) -> bool
{
    if (pingNumber > m_lastPingNumber) {
        return false;
    }
    m_lastPongNumber = std::max(m_lastPongNumber, pingNumber);
    while (!m_unansweredPings.empty() && m_unansweredPings.front().first <= pingNumber) {
        m_unansweredPings.pop_front();
    }
    m_pongArrived.cancel();
    return true;
}

auto connection::sendPing() -> std::uint64_t
{
    m_unansweredPings.emplace_back(++m_lastPingNumber, base::clock::now());
    m_queue.pushUrgent(frame_type::Ping, m_lastPingNumber, {});
    scheduleWrite();
    return m_lastPingNumber;
}

auto connection::maintain(base::time_point now, bool wasStalled) -> void
{
    if (!m_isEstablished) {
        if (now - m_createdAt >= m_timing.connectTimeout) {
            close("connecting or handshake timed out");
        }
        return;
    }
    if (wasStalled) {
        // Pongs that arrived during the stall have not been read yet.
        for (auto &[pingNumber, sentAt] : m_unansweredPings) {
            sentAt = now;
        }
    }
    if (!m_unansweredPings.empty()
        && now - m_unansweredPings.front().second >= m_timing.pingTimeout) {
        close("peer did not answer a ping in time");
        return;
    }
    const bool needsPing = !m_streams.empty() || !m_unansweredPings.empty()
                           || now - m_lastMessageAt < PING_TIME_AFTER_MESSAGE;
    if (needsPing) {
        sendPing();
    }
    const auto idleTimeout = m_isAccepted ? ACCEPTED_IDLE_TIMEOUT : IDLE_TIMEOUT;
    const auto lastUsedAt = m_isAccepted ? std::max(m_lastUsedAt, m_lastReceivedAt) : m_lastUsedAt;
    if (m_streams.empty() && now - lastUsedAt >= idleTimeout) {
        close("link was idle");
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
    m_queueSpaceFreed.cancel();
    m_pongArrived.cancel();
    auto streams = std::exchange(m_streams, {});
    for (const auto &[id, state] : streams) {
        state->fail({base::error_kind::OutcomeUnknown, "link was lost: " + m_closeReason});
    }
    m_callbacks.onClosed(shared_from_this());
}

auto connection::removeIfEnded(const std::shared_ptr<stream_state> &state) -> void
{
    if (state->isEndSent && state->isEndReceived) {
        m_streams.erase(state->id);
        m_lastUsedAt = base::clock::now();
    }
}

auto connection::scheduleWrite() -> void
{
    if (m_isWriting || !m_isOpen) {
        return;
    }
    m_isWriting = true;
    // Deferred, so that the frames of all handlers that are ready now are written with one system
    // call.
    asio::post(m_socket.get_executor(), [self = shared_from_this()] { self->writeBatch(); });
}

auto connection::writeBatch() -> void
{
    if (!m_isOpen || m_queue.empty()) {
        m_isWriting = false;
        return;
    }
    const auto &buffers = m_queue.takeBatch();
    if (m_queue.queuedBytes() < MAX_QUEUED_DATA_BYTES) {
        m_queueSpaceFreed.cancel();
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
