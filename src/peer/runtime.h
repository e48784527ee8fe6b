#pragma once

#include "base/message.h"
#include "base/metrics.h"
#include "base/time.h"
#include "membership/view.h"
#include "peer/link.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string_view>
#include <vector>

namespace hawthornpick::peer {

class control_runtime_state;

//! Runs the control logic of a node on one thread: passes received messages to the receivers of
//! their channels, calls tick functions, and sends the messages that both return. Messages of at
//! most `MAX_DATAGRAM_PAYLOAD_BYTES` are sent as authenticated UDP datagrams, larger ones over a
//! TCP link. Delivery is not guaranteed.
class control_runtime
{
public:
    using messages = std::vector<base::outgoing_message>;
    using receive_function = std::function<messages(
            const base::node_id &from, std::string_view payload, base::time_point now)>;
    using tick_function = std::function<messages(base::time_point now)>;
    //! Returns the peer address of a node, or nothing if the node is unknown.
    using resolve_function =
            std::function<std::optional<membership::endpoint>(const base::node_id &node)>;

    static constexpr std::size_t MAX_DATAGRAM_PAYLOAD_BYTES = 1200;
    static constexpr base::milliseconds TICK_INTERVAL{50};

    //! Binds the UDP socket. Throws boost::system::system_error if the address is invalid or cannot
    //! be bound. Precondition: `context` is run by one thread, the control thread, and outlives the
    //! runtime.
    control_runtime(boost::asio::io_context &context, link_identity identity,
                    membership::endpoint bindAddress, resolve_function resolve,
                    base::metrics &metrics);
    ~control_runtime();
    control_runtime(const control_runtime &) = delete;
    auto operator=(const control_runtime &) -> control_runtime & = delete;

    //! Registers the receiver of a channel, replacing an earlier one. Call before `start`.
    auto onMessage(base::channel channel, receive_function receive) -> void;

    //! Registers a function called every `TICK_INTERVAL`. Call before `start`.
    auto onTick(tick_function tick) -> void;

    //! Registers a function that observes each message that is sent to another node. Call before
    //! `start`.
    auto onSent(std::function<void(const base::outgoing_message &message)> observe) -> void;

    //! Starts receiving and ticking. Thread safety: control thread, or before it runs `context`.
    auto start() -> void;

    //! Stops receiving and ticking. Thread safety: control thread.
    auto stop() -> void;

    //! Sends messages; does nothing unless started. Messages to this node are delivered locally.
    //! Thread safety: control thread.
    auto send(const messages &batch) -> void;

    //! Runs `task` on the control thread and sends the messages that it returns. Thread safety: any
    //! thread.
    auto post(std::function<messages(base::time_point now)> task) -> void;

    //! Passes a message that was received over a TCP link to the receiver of its channel.
    //! Thread safety: any thread.
    auto deliver(base::node_id from, base::channel channel, std::string payload) -> void;

private:
    std::shared_ptr<control_runtime_state> m_state;
};

} // namespace hawthornpick::peer
