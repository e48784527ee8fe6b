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

//! Bytes of body that a sender may have under way on one stream and direction.
inline constexpr std::size_t STREAM_WINDOW_BYTES = 256UL * 1024;
//! Streams that a peer may have open on one link.
inline constexpr std::size_t MAX_STREAMS_PER_LINK = 4096;
//! Largest control message; a snapshot of a large configuration fits.
inline constexpr std::size_t MAX_MESSAGE_BYTES = 32UL * 1024 * 1024;
//! Links without streams and messages are closed by the connecting side after this time.
inline constexpr base::milliseconds IDLE_TIME{60000};
//! The accepting side waits longer, so it never closes a link on which a stream is being opened.
inline constexpr base::milliseconds ACCEPTED_IDLE_TIME{90000};

//! Both directions of one stream.
class stream_state
{
public:
    explicit stream_state(std::shared_ptr<connection> link);

    std::shared_ptr<connection> link;
    //! 0 until the head was sent.
    std::uint64_t id = 0;
    std::vector<stream_event> events;
    std::size_t nextEvent = 0;
    //! Body bytes that the peer may still send.
    std::size_t receiveWindow = STREAM_WINDOW_BYTES;
    //! Taken body bytes for which the peer has not been given new window.
    std::size_t takenBytes = 0;
    std::size_t sendWindow = STREAM_WINDOW_BYTES;
    bool isHeadReceived = false;
    bool isEndSent = false;
    bool isEndReceived = false;
    std::optional<base::error> failure;
    //! Cancelled to wake the coroutine that waits for an event or for window.
    boost::asio::steady_timer readable;
    boost::asio::steady_timer writable;

    //! Ends both directions locally and wakes waiting coroutines.
    auto fail(base::error reason) -> void;
};

//! What a connection reports to its pool.
struct connection_events
{
    std::function<void(stream_pointer incoming)> onStream;
    message_handler onMessage;
    std::function<void(const std::shared_ptr<connection> &link)> onClosed;
    //! True while incoming streams are refused.
    std::function<bool()> isDraining;
};

//! One TCP link after or during its handshake. All members are called on the thread of the
//! executor. Only the connecting side opens streams and sends messages, so it alone decides when
//! the link is idle.
class connection : public std::enable_shared_from_this<connection>
{
public:
    connection(boost::asio::ip::tcp::socket socket, const link_identity &identity,
               const link_timing &timing, bool isAccepted, connection_events events);

    //! Connects the socket. Errors: `PeerUnreachable`; the connection is closed then.
    auto connect(boost::asio::ip::tcp::endpoint remote)
            -> boost::asio::awaitable<base::result<void>>;

    //! Runs the handshake; the peer's identity is known afterwards.
    //! Errors: `PeerUnreachable`; the connection is closed then.
    auto handshakeAsConnecting() -> boost::asio::awaitable<base::result<void>>;
    auto handshakeAsAccepting() -> boost::asio::awaitable<base::result<void>>;

    //! Reads frames until the connection is closed. Precondition: the handshake succeeded.
    auto readFrames() -> boost::asio::awaitable<void>;

    //! Waits for a round trip if the link was quiet for a while, so that nothing is sent on a link
    //! that died meanwhile. Returns false if the link is closed.
    auto confirm() -> boost::asio::awaitable<bool>;

    //! Sends frames of a stream; see `stream`.
    auto sendHead(const std::shared_ptr<stream_state> &state, std::string bytes)
            -> base::result<void>;
    auto sendData(std::shared_ptr<stream_state> state, std::string bytes)
            -> boost::asio::awaitable<base::result<void>>;
    auto sendEnd(const std::shared_ptr<stream_state> &state, std::string bytes)
            -> base::result<void>;
    auto receive(std::shared_ptr<stream_state> state)
            -> boost::asio::awaitable<base::result<stream_event>>;
    auto reset(const std::shared_ptr<stream_state> &state, base::error_kind reason) -> void;

    //! Sends a message in fragments; dropped if the link's queue is full.
    auto sendMessage(base::channel kind, const std::string &payload) -> bool;

    //! Sends pings and closes a dead, idle or stuck link. Called every ping interval;
    //! `wasDelayed` is true if this process did not run for a while.
    auto maintain(base::time_point now, bool wasDelayed) -> void;

    auto close(std::string_view reason) -> void;

    [[nodiscard]] auto executor() -> boost::asio::ip::tcp::socket::executor_type
    {
        return m_socket.get_executor();
    }
    [[nodiscard]] auto isOpen() const -> bool { return m_isOpen; }
    [[nodiscard]] auto peerNode() const -> const base::node_id & { return m_peerNode; }
    [[nodiscard]] auto peerIncarnation() const -> base::incarnation { return m_peerIncarnation; }

private:
    template <typename Step>
    auto handshakeStep(frame_type expected, Step step)
            -> boost::asio::awaitable<std::invoke_result_t<Step, std::string_view>>;
    auto readFrame() -> boost::asio::awaitable<base::result<frame_view>>;
    auto handleFrame(const frame_view &frame) -> bool;
    auto handleHead(const frame_view &frame) -> bool;
    auto handleStreamFrame(const frame_view &frame) -> bool;
    auto handleMessage(const frame_view &frame) -> bool;
    auto handlePong(std::uint64_t number) -> bool;
    auto acceptStream(const frame_view &frame) -> bool;
    auto handleWindow(stream_state &state, std::string_view payload) -> bool;
    auto handleReset(const std::shared_ptr<stream_state> &state, std::string_view payload) -> bool;
    auto establish(const base::node_id &node, base::incarnation number) -> void;
    auto giveWindow(stream_state &state, std::size_t takenBytes) -> void;
    auto sendPing() -> std::uint64_t;
    auto finishIfEnded(const std::shared_ptr<stream_state> &state) -> void;
    auto scheduleWrite() -> void;
    auto writeBatch() -> void;

    boost::asio::ip::tcp::socket m_socket;
    const link_identity &m_identity;
    const link_timing m_timing;
    bool m_isAccepted;
    connection_events m_events;
    bool m_isOpen = true;
    std::string m_closeReason;
    bool m_isEstablished = false;
    base::node_id m_peerNode;
    base::incarnation m_peerIncarnation = 0;

    frame_decoder m_decoder;
    write_queue m_queue;
    bool m_isWriting = false;
    //! Cancelled when the write queue has room again.
    boost::asio::steady_timer m_hasRoom;

    std::unordered_map<std::uint64_t, std::shared_ptr<stream_state>> m_streams;
    std::uint64_t m_lastStream = 0;

    base::channel m_messageChannel = base::channel::Membership;
    std::string m_message;

    std::uint64_t m_lastPing = 0;
    std::uint64_t m_lastPong = 0;
    //! Pings without an answer, oldest first.
    std::deque<std::pair<std::uint64_t, base::time_point>> m_openPings;
    boost::asio::steady_timer m_pongArrived;
    base::time_point m_createdAt;
    base::time_point m_lastHeard;
    base::time_point m_lastUsed;
    base::time_point m_lastMessage;
};

} // namespace hawthornpick::peer
