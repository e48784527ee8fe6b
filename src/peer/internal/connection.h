#pragma once

#include "base/time.h"
#include "peer/internal/frame.h"
#include "peer/internal/writequeue.h"
#include "peer/link.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <type_traits>
#include <unordered_map>
#include <utility>
#include <vector>

namespace hawthornpick::peer {

class connection;

//! Flow-control window of one direction of a stream: body bytes that may be sent before the
//! receiver has consumed them.
inline constexpr std::size_t STREAM_WINDOW_BYTES = 256UL * 1024;
//! Maximum number of streams that a peer may have open on one link.
inline constexpr std::size_t MAX_STREAMS_PER_LINK = 4096;
//! Largest control message; leaves room for a snapshot of a large configuration.
inline constexpr std::size_t MAX_MESSAGE_BYTES = 32UL * 1024 * 1024;
//! The connecting side closes a link that has carried no streams or messages for this long.
inline constexpr base::milliseconds IDLE_TIMEOUT{60000};
//! Longer than `IDLE_TIMEOUT`, so that the accepting side does not close a link on which the peer
//! is opening a stream.
inline constexpr base::milliseconds ACCEPTED_IDLE_TIMEOUT{90000};

//! State of both directions of one stream.
class stream_state
{
public:
    explicit stream_state(std::shared_ptr<connection> link);

    std::shared_ptr<connection> link;
    //! 0 until the head has been sent.
    std::uint64_t id = 0;
    //! Received events; those before `nextEventIndex` have been returned to the caller.
    std::vector<stream_event> events;
    std::size_t nextEventIndex = 0;
    //! Body bytes that the peer may still send.
    std::size_t receiveWindowBytes = STREAM_WINDOW_BYTES;
    //! Consumed body bytes that have not yet been returned to the peer with a window update.
    std::size_t consumedBytes = 0;
    //! Body bytes that may still be sent.
    std::size_t sendWindowBytes = STREAM_WINDOW_BYTES;
    bool isHeadReceived = false;
    bool isEndSent = false;
    bool isEndReceived = false;
    std::optional<base::error> failure;
    //! Timers without expiry, cancelled to wake the coroutine that waits for a received event or
    //! for send window.
    boost::asio::steady_timer eventArrived;
    boost::asio::steady_timer windowOpened;
    //! Posted once by `fail`.
    std::function<void()> onFailure;

    //! Ends both directions locally and wakes waiting coroutines.
    auto fail(base::error reason) -> void;
};

//! Functions through which a connection calls its pool.
struct connection_callbacks
{
    std::function<void(stream_pointer incoming)> onStream;
    message_handler onMessage;
    std::function<void(const std::shared_ptr<connection> &link)> onClosed;
    //! True while incoming streams are refused.
    std::function<bool()> isDraining;
};

//! One TCP link during or after its handshake. Only the connecting side opens streams and sends
//! messages, so only that side decides when the link is idle. Thread safety: thread of the
//! executor.
class connection : public std::enable_shared_from_this<connection>
{
public:
    connection(boost::asio::ip::tcp::socket socket, const link_identity &identity,
               const link_timing &timing, bool isAccepted, connection_callbacks callbacks);

    //! Connects the socket. Errors: `PeerUnreachable`; the connection is then closed.
    auto connect(boost::asio::ip::tcp::endpoint remote)
            -> boost::asio::awaitable<base::result<void>>;

    //! Run the handshake; on success the peer's identity is authenticated.
    //! Errors: `PeerUnreachable`; the connection is then closed.
    auto handshakeAsConnecting() -> boost::asio::awaitable<base::result<void>>;
    auto handshakeAsAccepting() -> boost::asio::awaitable<base::result<void>>;

    //! Reads frames until the connection is closed. Precondition: the handshake succeeded.
    auto readFrames() -> boost::asio::awaitable<void>;

    //! If the link has received nothing for `link_timing::probeAfterSilence`, probes it with a ping
    //! and waits for the pong, so that no stream is opened on a link that has failed unnoticed.
    //! Returns false if the link is closed.
    auto ensureAlive() -> boost::asio::awaitable<bool>;

    //! Implement the functions of `stream` with the same names.
    auto sendHead(const std::shared_ptr<stream_state> &state, std::string bytes)
            -> base::result<void>;
    auto sendData(std::shared_ptr<stream_state> state, std::string bytes)
            -> boost::asio::awaitable<base::result<void>>;
    auto sendEnd(const std::shared_ptr<stream_state> &state, std::string bytes)
            -> base::result<void>;
    auto receive(std::shared_ptr<stream_state> state)
            -> boost::asio::awaitable<base::result<stream_event>>;
    auto reset(const std::shared_ptr<stream_state> &state, base::error_kind reason) -> void;

    //! Sends a message in fragments. Returns false, and drops the message, if the link is closed,
    //! the message exceeds `MAX_MESSAGE_BYTES` or the write queue is full.
    auto sendMessage(base::channel channel, const std::string &payload) -> bool;

    //! Sends pings and closes the link if its handshake or a ping has timed out or it is idle.
    //! Called every ping interval; `wasStalled` is true if this process did not run for several
    //! intervals.
    auto maintain(base::time_point now, bool wasStalled) -> void;

    auto close(std::string_view reason) -> void;

    [[nodiscard]] auto executor() -> boost::asio::ip::tcp::socket::executor_type
    {
        return m_socket.get_executor();
    }
    [[nodiscard]] auto isOpen() const -> bool { return m_isOpen; }
    [[nodiscard]] auto peerNode() const -> const base::node_id & { return m_peerNode; }
    [[nodiscard]] auto peerIncarnation() const -> base::incarnation { return m_peerIncarnation; }

private:
    template <typename Handler>
    auto processHandshakeFrame(frame_type expectedType, Handler handler)
            -> boost::asio::awaitable<std::invoke_result_t<Handler, std::string_view>>;
    auto readFrame() -> boost::asio::awaitable<base::result<frame_view>>;
    auto handleFrame(const frame_view &frame) -> bool;
    auto handleHead(const frame_view &frame) -> bool;
    auto handleStreamFrame(const frame_view &frame) -> bool;
    auto handleMessage(const frame_view &frame) -> bool;
    auto handlePong(std::uint64_t pingNumber) -> bool;
    auto acceptStream(const frame_view &frame) -> bool;
    auto handleWindowUpdate(stream_state &state, std::string_view payload) -> bool;
    auto handleReset(const std::shared_ptr<stream_state> &state, std::string_view payload) -> bool;
    auto establish(const base::node_id &node, base::incarnation incarnation) -> void;
    auto grantWindow(stream_state &state, std::size_t consumedBytes) -> void;
    auto sendPing() -> std::uint64_t;
    auto removeIfEnded(const std::shared_ptr<stream_state> &state) -> void;
    auto scheduleWrite() -> void;
    auto writeBatch() -> void;

    boost::asio::ip::tcp::socket m_socket;
    const link_identity &m_identity;
    const link_timing m_timing;
    bool m_isAccepted;
    connection_callbacks m_callbacks;
    bool m_isOpen = true;
    std::string m_closeReason;
    bool m_isEstablished = false;
    base::node_id m_peerNode;
    base::incarnation m_peerIncarnation = 0;

    frame_decoder m_decoder;
    write_queue m_queue;
    bool m_isWriting = false;
    //! Cancelled when the write queue has fallen below its limit for body data.
    boost::asio::steady_timer m_queueSpaceFreed;

    std::unordered_map<std::uint64_t, std::shared_ptr<stream_state>> m_streams;
    std::uint64_t m_lastStreamId = 0;

    base::channel m_partialMessageChannel = base::channel::Membership;
    //! Fragments received so far of a message in `m_partialMessageChannel`.
    std::string m_partialMessage;

    std::uint64_t m_lastPingNumber = 0;
    std::uint64_t m_lastPongNumber = 0;
    //! Numbers and send times of the pings without a pong, oldest first.
    std::deque<std::pair<std::uint64_t, base::time_point>> m_unansweredPings;
    boost::asio::steady_timer m_pongArrived;
    base::time_point m_createdAt;
    base::time_point m_lastReceivedAt;
    base::time_point m_lastUsedAt;
    base::time_point m_lastMessageAt;
};

} // namespace hawthornpick::peer
