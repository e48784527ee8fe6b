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

//! First event of each direction of a stream: encoded request or answer head.
struct stream_head
{
    std::string bytes;
};

//! Part of a body.
struct stream_data
{
    std::string bytes;
};

//! Regular end of one direction, with encoded trailing information (for an answer: load and
//! result).
struct stream_end
{
    std::string bytes;
};

using stream_event = std::variant<stream_head, stream_data, stream_end>;

//! Longest part of a body in one event; `stream::sendData` splits longer ones.
inline constexpr std::size_t MAX_DATA_EVENT_BYTES = 16UL * 1024;

class stream_state;

//! One request and its answer on a link to another node, with flow control in both directions.
//! All members are called on the thread of the link's io_context. A stream that is destroyed before
//! both directions ended is reset with `error_kind::CallerGone`.
class stream
{
public:
    explicit stream(std::shared_ptr<stream_state> state);
    ~stream();
    stream(const stream &) = delete;
    auto operator=(const stream &) -> stream & = delete;

    //! The node at the other end, as proved by the handshake.
    [[nodiscard]] auto peer() const -> const base::node_id &;

    //! Sends the head, at most 64 KB. Call once, first.
    //! Errors: `PeerUnreachable` if the link was lost before this call, so nothing was sent;
    //! `OutcomeUnknown` if it is lost later; the reason of a reset by the peer.
    auto sendHead(std::string bytes) -> boost::asio::awaitable<base::result<void>>;

    //! Sends part of the body; waits while the peer's window is used up. The borders of parts are
    //! not kept: a part is split at `MAX_DATA_EVENT_BYTES` and where the window ends. Errors as
    //! `sendHead`.
    auto sendData(std::string bytes) -> boost::asio::awaitable<base::result<void>>;

    //! Ends the sending direction. Errors as `sendHead`.
    auto sendEnd(std::string bytes) -> boost::asio::awaitable<base::result<void>>;

    //! Waits for the next event of the receiving direction. Taking an event opens the peer's
    //! window. Errors: as `sendHead`. After `stream_end` or an error it must not be called again.
    auto receive() -> boost::asio::awaitable<base::result<stream_event>>;

    //! Ends both directions at once; the peer's pending calls fail with `reason`. Idempotent.
    auto reset(base::error_kind reason) -> void;

private:
    std::shared_ptr<stream_state> m_state;
};

using stream_pointer = std::unique_ptr<stream>;

//! Identity and secret that a node shows to its peers.
struct link_identity
{
    base::node_id node;
    base::incarnation incarnation = 0;
    std::string fleetSecret;
    //! Local IP address of outgoing connections; empty leaves the choice to the system.
    std::string localAddress;
};

//! Times of the links of a pool.
struct link_timing
{
    //! Interval of pings on links in use.
    base::milliseconds pingInterval{250};
    //! A ping without an answer for this long shows that the link is dead.
    base::milliseconds deadTime{1000};
    base::milliseconds connectTimeout{1000};
    //! A link of which nothing was heard for this long is confirmed by a round trip before it is
    //! used.
    base::milliseconds quietTime{500};

    auto operator<=>(const link_timing &) const = default;
};

using stream_handler = std::function<void(stream_pointer incoming)>;
using message_handler =
        std::function<void(const base::node_id &from, base::channel kind, std::string payload)>;

class link_pool_state;

//! Links of one I/O thread to other nodes: opens them on demand, closes idle ones, and serves
//! accepted ones. All members are called on the thread of the io_context, except where stated.
class link_pool
{
public:
    //! Precondition: `context` is run by one thread and outlives the pool.
    link_pool(boost::asio::io_context &context, link_identity identity, stream_handler onStream,
              message_handler onMessage, link_timing timing = {});
    ~link_pool();
    link_pool(const link_pool &) = delete;
    auto operator=(const link_pool &) -> link_pool & = delete;

    //! Opens a stream to `node` at `address`, over an existing link if this pool opened one (an
    //! accepted link carries only the peer's streams). A link whose
    //! peer proves another node id or, if `expected` is not 0, another incarnation is not used.
    //! Errors: `PeerUnreachable`, `IncarnationChanged`; nothing was sent on the stream.
    auto open(const base::node_id &node, const membership::endpoint &address,
              base::incarnation expected) -> boost::asio::awaitable<base::result<stream_pointer>>;

    //! Sends a control message over the link to `node`; dropped if no link can be opened.
    auto sendMessage(const base::node_id &node, const membership::endpoint &address,
                     base::channel kind, std::string payload) -> void;

    //! Serves an accepted connection that belongs to this pool's io_context.
    auto serve(boost::asio::ip::tcp::socket socket) -> void;

    //! Number of open links.
    [[nodiscard]] auto linkCount() const -> std::size_t;

    //! Refuses new incoming streams with `ShuttingDown`; streams under way go on and `open` still
    //! works, because requests that finish may need it.
    auto drain() -> void;

    //! Closes all links; their streams fail.
    auto close() -> void;

private:
    std::shared_ptr<link_pool_state> m_state;
};

} // namespace hawthornpick::peer
