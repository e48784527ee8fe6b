#pragma once

#include "base/errorkind.h"
#include "base/ids.h"
#include "base/message.h"
#include "base/time.h"
#include "membership/view.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <variant>

namespace hawthornpick::peer {

//! First event of each direction of a stream: the encoded request or response head.
struct stream_head
{
    std::string bytes;
};

//! Part of a request or response body.
struct stream_data
{
    std::string bytes;
};

//! Regular end of one direction of a stream, with an encoded trailer (for a response: load and
//! result).
struct stream_end
{
    std::string bytes;
};

using stream_event = std::variant<stream_head, stream_data, stream_end>;

//! Largest part of a body in one event; `stream::sendData` splits larger ones.
inline constexpr std::size_t MAX_DATA_EVENT_BYTES = 16UL * 1024;

class stream_state;

//! One request and its response, multiplexed on a link to another node, with flow control in both
//! directions. A stream that is destroyed before both directions have ended is reset with
//! `error_kind::CallerGone`. Thread safety: thread of the link's io_context.
class stream
{
public:
    explicit stream(std::shared_ptr<stream_state> state);
    ~stream();
    stream(const stream &) = delete;
    auto operator=(const stream &) -> stream & = delete;

    //! The node at the other end, as authenticated by the handshake.
    [[nodiscard]] auto peer() const -> const base::node_id &;

    //! Sends the head. Must be called once, before `sendData` and `sendEnd`.
    //! Errors: `HeaderTooLarge` if the head exceeds 64 KiB; `PeerUnreachable` if the link was lost
    //! before this call, so that nothing was sent; `OutcomeUnknown` if the link is lost later; the
    //! reason of a reset by the peer.
    auto sendHead(std::string bytes) -> boost::asio::awaitable<base::result<void>>;

    //! Sends part of the body; waits while the peer's flow-control window is exhausted. The peer
    //! may receive a part as several events: it is split at `MAX_DATA_EVENT_BYTES` and where the
    //! window ends. Errors: as `sendHead`.
    auto sendData(std::string bytes) -> boost::asio::awaitable<base::result<void>>;

    //! Ends the sending direction. Errors: as `sendHead`; `InternalError` if `bytes` exceeds
    //! 64 KiB.
    auto sendEnd(std::string bytes) -> boost::asio::awaitable<base::result<void>>;

    //! Waits for the next event of the receiving direction. Receiving `stream_data` returns its
    //! bytes to the peer's flow-control window. Must not be called again after `stream_end` or an
    //! error. Errors: as `sendHead`.
    auto receive() -> boost::asio::awaitable<base::result<stream_event>>;

    //! Sets a function that is called once when the stream fails or is reset by either side, also
    //! while received events have not been consumed.
    auto onFailure(std::function<void()> action) -> void;

    //! Ends both directions immediately; the peer's pending calls fail with `reason`. Idempotent.
    auto reset(base::error_kind reason) -> void;

private:
    std::shared_ptr<stream_state> m_state;
};

using stream_pointer = std::unique_ptr<stream>;

//! Identity of a node and the secret with which it authenticates to its peers.
struct link_identity
{
    base::node_id node;
    base::incarnation incarnation = 0;
    std::string fleetSecret;
    //! Local IP address of outgoing connections; if empty, the operating system chooses one.
    std::string localAddress;
};

//! Intervals and timeouts of the links of a pool.
struct link_timing
{
    //! Interval between pings on links in use; also the interval of link maintenance.
    base::milliseconds pingInterval{250};
    //! A link is closed if a ping stays unanswered for this long.
    base::milliseconds pingTimeout{1000};
    //! Limit for connecting and the handshake together.
    base::milliseconds connectTimeout{1000};
    //! A link that has received nothing for this long is probed with a ping before a stream is
    //! opened on it.
    base::milliseconds probeAfterSilence{500};

    auto operator<=>(const link_timing &) const = default;
};

using stream_handler = std::function<void(stream_pointer incoming)>;
using message_handler =
        std::function<void(const base::node_id &from, base::channel channel, std::string payload)>;

class link_pool_state;

//! Links of one I/O thread to other nodes: opens them on demand, closes idle ones, and serves
//! accepted ones. Thread safety: thread of the io_context.
class link_pool
{
public:
    //! Precondition: `context` is run by one thread and outlives the pool.
    link_pool(boost::asio::io_context &context, link_identity identity, stream_handler onStream,
              message_handler onMessage, link_timing timing = {});
    ~link_pool();
    link_pool(const link_pool &) = delete;
    auto operator=(const link_pool &) -> link_pool & = delete;

    //! Opens a stream to `node` at `address`. Reuses a link that this pool has opened; an accepted
    //! link carries only the peer's streams. A link is not used if its peer authenticates as
    //! another node or, if `expectedIncarnation` is not 0, with another incarnation.
    //! Errors: `PeerUnreachable`, `IncarnationChanged`; nothing was sent on the stream.
    auto openStream(const base::node_id &node, const membership::endpoint &address,
                    base::incarnation expectedIncarnation)
            -> boost::asio::awaitable<base::result<stream_pointer>>;

    //! Sends a control message over the link to `node`, which is opened if necessary. The message
    //! is dropped if no link can be opened or too much is queued.
    auto sendMessage(const base::node_id &node, const membership::endpoint &address,
                     base::channel channel, std::string payload) -> void;

    //! Serves an accepted connection that belongs to this pool's io_context.
    auto serveAccepted(boost::asio::ip::tcp::socket socket) -> void;

    //! Number of open links.
    [[nodiscard]] auto linkCount() const -> std::size_t;

    //! Refuses new incoming streams with `ShuttingDown`. Open streams continue, and `openStream`
    //! still works because in-flight requests may need it.
    auto drain() -> void;

    //! Closes all links; streams whose head was sent fail with `OutcomeUnknown`.
    auto close() -> void;

private:
    std::shared_ptr<link_pool_state> m_state;
};

} // namespace hawthornpick::peer
