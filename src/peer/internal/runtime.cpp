#include "peer/runtime.h"

#include "base/log.h"
#include "peer/internal/datagram.h"

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

//! Larger than any datagram that nodes send; longer ones fail their code.
constexpr std::size_t RECEIVE_BUFFER_BYTES = 2048;
//! Datagrams of many nodes may arrive while the control thread is busy.
constexpr int SOCKET_BUFFER_BYTES = 1024 * 1024;

auto openSocket(asio::io_context &context, const membership::endpoint &address) -> udp::socket
{
    const udp::endpoint local(asio::ip::make_address(address.address), address.port);
    udp::socket socket(context, local.protocol());
    socket.bind(local);
    socket.non_blocking(true);
    boost::system::error_code ignored;
    socket.set_option(asio::socket_base::receive_buffer_size(SOCKET_BUFFER_BYTES), ignored);
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
          m_socket(openSocket(context, bindAddress)), m_timer(context),
          m_sent(metrics.counter("control_datagrams_sent_total", "Control datagrams sent")),
          m_sentBytes(metrics.counter("control_bytes_sent_total",
                                      "Bytes of control datagrams and messages sent")),
          m_received(metrics.counter("control_datagrams_received_total",
                                     "Control datagrams received and accepted")),
          m_receivedBytes(metrics.counter("control_bytes_received_total",
                                          "Bytes of control datagrams received and accepted")),
          m_largeMessages(metrics.counter("control_link_messages_sent_total",
                                          "Control messages sent over a link")),
          m_refused(metrics.counter("control_datagrams_refused_total",
                                    "Datagrams with a wrong code, sender or incarnation")),
          m_unsent(metrics.counter("control_messages_unsent_total",
                                   "Control messages to unknown nodes or dropped by the system"))
    {}

    auto onMessage(base::channel kind, control_runtime::receive_function receive) -> void
    {
        m_receivers[kind] = std::move(receive);
    }

    auto onTick(control_runtime::tick_function tick) -> void { m_ticks.push_back(std::move(tick)); }

    auto start() -> void
    {
        m_isRunning = true;
        m_links.emplace(
                m_context, m_identity, [](stream_pointer) {},
                [weak = weak_from_this()](const base::node_id &from, base::channel kind,
                                          const std::string &payload) {
                    if (const auto self = weak.lock()) {
                        self->handle(from, kind, payload);
                    }
                });
        m_timer.expires_after(control_runtime::TICK_INTERVAL);
        waitForTick();
        waitForDatagram();
    }

    auto stop() -> void
    {
        m_isRunning = false;
        m_timer.cancel();
        boost::system::error_code ignored;
        m_socket.close(ignored);
        m_links.reset();
    }

    auto send(const messages &batch) -> void
    {
        if (!m_isRunning) {
            return;
        }
        for (const auto &message : batch) {
            sendOne(message);
        }
    }

    auto post(std::function<messages(base::time_point)> task) -> void
    {
        asio::post(m_context, [self = shared_from_this(), task = std::move(task)] {
            self->send(task(base::clock::now()));
        });
    }

    auto deliver(base::node_id from, base::channel kind, std::string payload) -> void
    {
        asio::post(m_context, [self = shared_from_this(), from = std::move(from), kind,
                               payload = std::move(payload)] {
            if (self->m_isRunning) {
                self->handle(from, kind, payload);
            }
        });
    }

private:
    auto sendOne(const base::outgoing_message &message) -> void
    {
        if (message.to == m_identity.node) {
            deliver(message.to, message.kind, message.payload);
            return;
        }
        const auto address = m_resolve(message.to);
        if (!address) {
            m_unsent.Increment();
            return;
        }
        if (message.payload.size() > control_runtime::MAX_DATAGRAM_PAYLOAD_BYTES) {
            m_largeMessages.Increment();
            m_sentBytes.Increment(static_cast<double>(message.payload.size()));
            m_links->sendMessage(message.to, *address, message.kind, message.payload);
            return;
        }
        const auto bytes = encodeDatagram(
                m_identity.fleetSecret, message.to,
                {m_identity.node, m_identity.incarnation, message.kind, message.payload});
        boost::system::error_code error;
        const auto ip = asio::ip::make_address(address->address, error);
        if (!error) {
            m_socket.send_to(asio::buffer(bytes), {ip, address->port}, 0, error);
        }
        if (error) {
            m_unsent.Increment();
            return;
        }
        m_sent.Increment();
        m_sentBytes.Increment(static_cast<double>(bytes.size()));
    }

    auto waitForDatagram() -> void
    {
        m_socket.async_receive_from(
                asio::buffer(m_buffer), m_sender,
                [self = shared_from_this()](const boost::system::error_code &error,
                                            std::size_t count) {
                    if (!self->m_isRunning) {
                        return;
                    }
                    // An ICMP error of an earlier datagram shows up here; receiving goes on.
                    if (!error) {
                        self->handleDatagram({self->m_buffer.data(), count});
                    }
                    self->waitForDatagram();
                });
    }

    auto handleDatagram(std::string_view bytes) -> void
    {
        const auto content = decodeDatagram(m_identity.fleetSecret, m_identity.node, bytes);
        if (!content || !isCurrent(*content)) {
            m_refused.Increment();
            return;
        }
        m_received.Increment();
        m_receivedBytes.Increment(static_cast<double>(bytes.size()));
        handle(content->from, content->kind, content->payload);
    }

    //! A datagram of a sender's earlier process may arrive after one of its new process.
    auto isCurrent(const datagram &content) -> bool
    {
        auto &newest = m_incarnations[content.from];
        if (content.incarnation < newest) {
            return false;
        }
        newest = content.incarnation;
        return true;
    }

    auto handle(const base::node_id &from, base::channel kind, std::string_view payload) -> void
    {
        const auto receiver = m_receivers.find(kind);
        if (receiver != m_receivers.end()) {
            send(receiver->second(from, payload, base::clock::now()));
        }
    }

    auto waitForTick() -> void
    {
        m_timer.async_wait([self = shared_from_this()](const boost::system::error_code &error) {
            if (!error && self->m_isRunning) {
                self->tick();
            }
        });
    }

    auto tick() -> void
    {
        const auto now = base::clock::now();
        for (const auto &tick : m_ticks) {
            send(tick(now));
        }
        // After a pause the missed ticks are not made up for.
        const auto next = m_timer.expiry() + control_runtime::TICK_INTERVAL;
        m_timer.expires_at(std::max(next, now + control_runtime::TICK_INTERVAL / 2));
        waitForTick();
    }

    asio::io_context &m_context;
    link_identity m_identity;
    control_runtime::resolve_function m_resolve;
    udp::socket m_socket;
    asio::steady_timer m_timer;
    std::optional<link_pool> m_links;
    std::array<char, RECEIVE_BUFFER_BYTES> m_buffer{};
    udp::endpoint m_sender;
    bool m_isRunning = false;
    std::map<base::channel, control_runtime::receive_function> m_receivers;
    std::vector<control_runtime::tick_function> m_ticks;
    std::unordered_map<base::node_id, base::incarnation> m_incarnations;
    prometheus::Counter &m_sent;
    prometheus::Counter &m_sentBytes;
    prometheus::Counter &m_received;
    prometheus::Counter &m_receivedBytes;
    prometheus::Counter &m_largeMessages;
    prometheus::Counter &m_refused;
    prometheus::Counter &m_unsent;
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

auto control_runtime::onMessage(base::channel kind, receive_function receive) -> void
{
    m_state->onMessage(kind, std::move(receive));
}

auto control_runtime::onTick(tick_function tick) -> void
{
    m_state->onTick(std::move(tick));
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

auto control_runtime::deliver(base::node_id from, base::channel kind, std::string payload) -> void
{
    m_state->deliver(std::move(from), kind, std::move(payload));
}

} // namespace hawthornpick::peer
