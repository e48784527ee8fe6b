#include "peer/runtime.h"

#include "base/log.h"
#include "base/random.h"
#include "peer/internal/datagram.h"
#include "peer/internal/incarnationguard.h"

#include <array>
#include <boost/asio/ip/address.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <unordered_map>
#include <utility>

namespace hawthornpick::peer {

namespace asio = boost::asio;
using udp = asio::ip::udp;

namespace {

//! Larger than any datagram that nodes send; a longer one is truncated and fails authentication.
constexpr std::size_t RECEIVE_BUFFER_BYTES = 2048;
//! Large enough to hold the datagrams of many nodes while the control thread is busy.
constexpr int KERNEL_RECEIVE_BUFFER_BYTES = 1024 * 1024;
//! Least time between log lines about refused datagrams of one sender.
constexpr base::milliseconds REFUSAL_LOG_INTERVAL{10'000};

auto openDatagramSocket(asio::io_context &context, const membership::endpoint &address)
        -> udp::socket
{
    const udp::endpoint local(asio::ip::make_address(address.address), address.port);
    udp::socket socket(context, local.protocol());
    socket.bind(local);
    socket.non_blocking(true);
    boost::system::error_code ignored;
    socket.set_option(asio::socket_base::receive_buffer_size(KERNEL_RECEIVE_BUFFER_BYTES), ignored);
    return socket;
}

} // namespace

class control_runtime_state : public std::enable_shared_from_this<control_runtime_state>
{
public:
    using messages = control_runtime::messages;

    control_runtime_state(asio::io_context &context, link_identity identity,
                          const membership::endpoint &bindAddress,
                          control_runtime::resolve_function resolve, base::metrics &metrics)
        : m_context(context), m_identity(std::move(identity)), m_resolve(std::move(resolve)),
          m_socket(openDatagramSocket(context, bindAddress)), m_tickTimer(context),
          m_incarnations(base::systemSeed()),
          m_sentDatagrams(
                  metrics.counter("control_datagrams_sent_total", "Control datagrams sent")),
          m_sentBytes(metrics.counter("control_bytes_sent_total",
                                      "Bytes of control datagrams and messages sent")),
          m_receivedDatagrams(metrics.counter("control_datagrams_received_total",
                                              "Control datagrams received and accepted")),
          m_receivedBytes(metrics.counter("control_bytes_received_total",
                                          "Bytes of control datagrams received and accepted")),
          m_sentLinkMessages(metrics.counter("control_link_messages_sent_total",
                                             "Control messages sent over a TCP link")),
          m_refusedDatagrams(metrics.counter("control_datagrams_refused_total",
                                             "Control datagrams refused: malformed, wrong "
                                             "authentication tag or outdated incarnation")),
          m_challenges(metrics.counter("control_challenges_sent_total",
                                       "Challenges sent to nodes of which another incarnation "
                                       "than the known one was heard")),
          m_unsentMessages(metrics.counter("control_messages_unsent_total",
                                           "Control messages not sent: address unknown or invalid, "
                                           "or datagram refused by the system"))
    {}

    auto onMessage(base::channel channel, control_runtime::receive_function receive) -> void
    {
        m_receivers[channel] = std::move(receive);
    }

    auto onSent(std::function<void(const base::outgoing_message &message)> observe) -> void
    {
        m_observeSent = std::move(observe);
    }

    auto onTick(control_runtime::tick_function tick) -> void
    {
        m_tickFunctions.push_back(std::move(tick));
    }

    auto start() -> void
    {
        m_isRunning = true;
        m_linkPool.emplace(
                m_context, m_identity, [](stream_pointer) {},
                [weak = weak_from_this()](const base::node_id &from, base::channel channel,
                                          const std::string &payload) {
                    if (const auto self = weak.lock()) {
                        self->dispatch(from, channel, payload);
                    }
                });
        m_tickTimer.expires_after(control_runtime::TICK_INTERVAL);
        scheduleTick();
        receiveDatagram();
    }

    auto stop() -> void
    {
        m_isRunning = false;
        m_tickTimer.cancel();
        boost::system::error_code ignored;
        m_socket.close(ignored);
        m_linkPool.reset();
    }

    auto send(const messages &batch) -> void
    {
        if (!m_isRunning) {
            return;
        }
        for (const auto &message : batch) {
            sendMessage(message);
        }
    }

    auto post(std::function<messages(base::time_point)> task) -> void
    {
        asio::post(m_context, [self = shared_from_this(), task = std::move(task)] {
            self->send(task(base::clock::now()));
        });
    }

    auto deliver(base::node_id from, base::channel channel, std::string payload) -> void
    {
        asio::post(m_context, [self = shared_from_this(), from = std::move(from), channel,
                               payload = std::move(payload)] {
            if (self->m_isRunning) {
                self->dispatch(from, channel, payload);
            }
        });
    }

private:
    auto sendMessage(const base::outgoing_message &message) -> void
    {
        if (message.to == m_identity.node) {
            deliver(message.to, message.kind, message.payload);
            return;
        }
        if (m_observeSent) {
            m_observeSent(message);
        }
        const auto address = m_resolve(message.to);
        if (!address) {
            m_unsentMessages.Increment();
            return;
        }
        if (message.payload.size() > control_runtime::MAX_DATAGRAM_PAYLOAD_BYTES) {
            m_sentLinkMessages.Increment();
            m_sentBytes.Increment(static_cast<double>(message.payload.size()));
            m_linkPool->sendMessage(message.to, *address, message.kind, message.payload);
            return;
        }
        sendDatagram(message.to, *address, message.kind, message.payload);
    }

    auto sendDatagram(const base::node_id &to, const membership::endpoint &address,
                      base::channel channel, std::string_view payload) -> void
    {
        const auto bytes =
                encodeDatagram(m_identity.fleetSecret, to,
                               {m_identity.node, m_identity.incarnation, channel, payload});
        boost::system::error_code error;
        const auto ip = asio::ip::make_address(address.address, error);
        if (!error) {
            m_socket.send_to(asio::buffer(bytes), {ip, address.port}, 0, error);
        }
        if (error) {
            m_unsentMessages.Increment();
            return;
        }
        m_sentDatagrams.Increment();
        m_sentBytes.Increment(static_cast<double>(bytes.size()));
    }

    auto receiveDatagram() -> void
    {
        m_socket.async_receive_from(
                asio::buffer(m_receiveBuffer), m_datagramSource,
                [self = shared_from_this()](const boost::system::error_code &error,
                                            std::size_t count) {
                    if (!self->m_isRunning) {
                        return;
                    }
                    // An ICMP error for an earlier datagram is reported here; it does not end
                    // receiving.
                    if (!error) {
                        self->handleDatagram({self->m_receiveBuffer.data(), count});
                    }
                    self->receiveDatagram();
                });
    }

    auto handleDatagram(std::string_view bytes) -> void
    {
        const auto content = decodeDatagram(m_identity.fleetSecret, m_identity.node, bytes);
        if (!content) {
            m_refusedDatagrams.Increment();
            return;
        }
        if (content->channel == base::channel::Liveness) {
            handleLiveness(*content);
            return;
        }
        if (!m_incarnations.isCurrent(content->from, content->incarnation)) {
            hold(*content);
            return;
        }
        countReceived(bytes.size());
        dispatch(content->from, content->channel, content->payload);
    }

    auto countReceived(std::size_t size) -> void
    {
        m_receivedDatagrams.Increment();
        m_receivedBytes.Increment(static_cast<double>(size));
    }

    auto hold(const datagram &content) -> void
    {
        const auto nonce = m_incarnations.hold(
                {content.from, content.incarnation, content.channel, std::string(content.payload)},
                base::clock::now());
        if (nonce) {
            m_challenges.Increment();
            sendLiveness(content.from, {false, *nonce});
        }
    }

    auto sendLiveness(const base::node_id &to, const liveness_message &content) -> void
    {
        const auto address = m_resolve(to);
        if (!address) {
            m_unsentMessages.Increment();
            return;
        }
        sendDatagram(to, *address, base::channel::Liveness, encodeLiveness(content));
    }

    //! Answers a challenge, or releases the datagrams of the process that answered one.
    auto handleLiveness(const datagram &content) -> void
    {
        const auto message = decodeLiveness(content.payload);
        if (!message) {
            m_refusedDatagrams.Increment();
            return;
        }
        if (!message->isProof) {
            sendLiveness(content.from, {true, message->nonce});
            return;
        }
        const auto released =
                m_incarnations.onProof(content.from, content.incarnation, message->nonce);
        refuse(released.refused);
        for (const auto &item : released.accepted) {
            countReceived(item.payload.size());
            dispatch(item.from, item.channel, item.payload);
        }
    }

    auto refuse(const std::vector<held_datagram> &items) -> void
    {
        const auto now = base::clock::now();
        for (const auto &item : items) {
            m_refusedDatagrams.Increment();
            auto &nextLogAt = m_nextRefusalLogAt[item.from];
            if (now < nextLogAt) {
                continue;
            }
            nextLogAt = now + REFUSAL_LOG_INTERVAL;
            base::log(base::log_level::Warning, "datagrams of a former process refused",
                      {{"sender", item.from.str()},
                       {"incarnation", item.incarnation},
                       {"known_incarnation", m_incarnations.knownIncarnation(item.from)}});
        }
    }

    auto dispatch(const base::node_id &from, base::channel channel, std::string_view payload)
            -> void
    {
        const auto receiver = m_receivers.find(channel);
        if (receiver != m_receivers.end()) {
            send(receiver->second(from, payload, base::clock::now()));
        }
    }

    auto scheduleTick() -> void
    {
        m_tickTimer.async_wait([self = shared_from_this()](const boost::system::error_code &error) {
            if (!error && self->m_isRunning) {
                self->tick();
            }
        });
    }

    auto tick() -> void
    {
        const auto now = base::clock::now();
        refuse(m_incarnations.expire(now));
        for (const auto &tickFunction : m_tickFunctions) {
            send(tickFunction(now));
        }
        // Ticks that were missed during a stall are skipped.
        const auto next = m_tickTimer.expiry() + control_runtime::TICK_INTERVAL;
        m_tickTimer.expires_at(std::max(next, now + control_runtime::TICK_INTERVAL / 2));
        scheduleTick();
    }

    asio::io_context &m_context;
    link_identity m_identity;
    control_runtime::resolve_function m_resolve;
    udp::socket m_socket;
    asio::steady_timer m_tickTimer;
    std::optional<link_pool> m_linkPool;
    std::array<char, RECEIVE_BUFFER_BYTES> m_receiveBuffer{};
    udp::endpoint m_datagramSource;
    bool m_isRunning = false;
    std::map<base::channel, control_runtime::receive_function> m_receivers;
    std::vector<control_runtime::tick_function> m_tickFunctions;
    std::function<void(const base::outgoing_message &message)> m_observeSent;
    incarnation_guard m_incarnations;
    std::unordered_map<base::node_id, base::time_point> m_nextRefusalLogAt;
    prometheus::Counter &m_sentDatagrams;
    prometheus::Counter &m_sentBytes;
    prometheus::Counter &m_receivedDatagrams;
    prometheus::Counter &m_receivedBytes;
    prometheus::Counter &m_sentLinkMessages;
    prometheus::Counter &m_refusedDatagrams;
    prometheus::Counter &m_challenges;
    prometheus::Counter &m_unsentMessages;
};

control_runtime::control_runtime(asio::io_context &context, link_identity identity,
                                 membership::endpoint bindAddress, resolve_function resolve,
                                 base::metrics &metrics)
    : m_state(std::make_shared<control_runtime_state>(context, std::move(identity), bindAddress,
                                                      std::move(resolve), metrics))
{}

control_runtime::~control_runtime()
{
    m_state->stop();
}

auto control_runtime::onMessage(base::channel channel, receive_function receive) -> void
{
    m_state->onMessage(channel, std::move(receive));
}

auto control_runtime::onTick(tick_function tick) -> void
{
    m_state->onTick(std::move(tick));
}

auto control_runtime::onSent(std::function<void(const base::outgoing_message &message)> observe)
        -> void
{
    m_state->onSent(std::move(observe));
}

auto control_runtime::start() -> void
{
    m_state->start();
}

auto control_runtime::stop() -> void
{
    m_state->stop();
}

auto control_runtime::send(const messages &batch) -> void
{
    m_state->send(batch);
}

auto control_runtime::post(std::function<messages(base::time_point now)> task) -> void
{
    m_state->post(std::move(task));
}

auto control_runtime::deliver(base::node_id from, base::channel channel, std::string payload)
        -> void
{
    m_state->deliver(std::move(from), channel, std::move(payload));
}

} // namespace hawthornpick::peer
