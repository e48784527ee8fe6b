#include "tests/faultproxy/proxy.h"

#include "base/random.h"
#include "base/time.h"

#include <algorithm>
#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <deque>

namespace hawthornpick::faultproxy {

namespace asio = boost::asio;
using asio::ip::tcp;
using asio::ip::udp;

namespace {

constexpr std::size_t CHUNK_BYTES = 64UL * 1024;
constexpr std::size_t MAX_HELD_CHUNKS = 64;
constexpr base::milliseconds POLL_INTERVAL{5};

auto toAddress(const membership::endpoint &item) -> asio::ip::address
{
    return asio::ip::make_address(item.address);
}

//! Both sockets of one relayed connection.
struct relay
{
    std::string link;
    std::string source;
    tcp::socket caller;
    tcp::socket target;
};

//! Data that waits for its delay to pass.
struct held_chunk
{
    base::time_point due;
    std::string bytes;
};

//! One direction of a relayed connection.
struct pump
{
    std::shared_ptr<relay> owner;
    direction way;
    std::deque<held_chunk> held;
    bool ended = false;
};

} // namespace

class proxy_state : public std::enable_shared_from_this<proxy_state>
{
public:
    explicit proxy_state(asio::io_context &context) : m_context(context), m_random(1) {}

    auto listen(const proxied_link &link) -> void
    {
        auto acceptor = std::make_shared<tcp::acceptor>(
                m_context, tcp::endpoint(toAddress(link.listen), link.listen.port));
        auto socket = std::make_shared<udp::socket>(
                m_context, udp::endpoint(toAddress(link.listen), link.listen.port));
        asio::co_spawn(m_context, acceptLoop(shared_from_this(), acceptor, link), asio::detached);
        asio::co_spawn(m_context, datagramLoop(shared_from_this(), socket, link), asio::detached);
    }

    auto setRules(std::vector<rule> rules) -> void { m_rules = std::move(rules); }
    auto relayedBytes() const -> std::uint64_t { return m_relayedBytes; }

private:
    auto faultsOf(const std::string &link, const std::string &source, direction way) const
            -> active_faults
    {
        return activeFaults(m_rules, link, source, way);
    }

    auto pause(base::duration span) -> asio::awaitable<void>
    {
        asio::steady_timer timer(m_context, span);
        boost::system::error_code ignored;
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }

    static auto acceptLoop(std::shared_ptr<proxy_state> self,
                           std::shared_ptr<tcp::acceptor> acceptor, proxied_link link)
            -> asio::awaitable<void>
    {
        for (;;) {
            boost::system::error_code failure;
            auto socket = co_await acceptor->async_accept(
                    asio::redirect_error(asio::use_awaitable, failure));
            if (failure) {
                co_await self->pause(POLL_INTERVAL);
                continue;
            }
            asio::co_spawn(self->m_context, connect(self, std::move(socket), link), asio::detached);
        }
    }

    static auto connect(std::shared_ptr<proxy_state> self, tcp::socket caller, proxied_link link)
            -> asio::awaitable<void>
    {
        boost::system::error_code failure;
        const auto source = caller.remote_endpoint(failure).address().to_string();
        tcp::socket target(self->m_context);
        co_await target.async_connect(tcp::endpoint(toAddress(link.target), link.target.port),
                                      asio::redirect_error(asio::use_awaitable, failure));
        if (failure) {
            co_return;
        }
        boost::system::error_code ignored;
        caller.set_option(tcp::no_delay(true), ignored);
        target.set_option(tcp::no_delay(true), ignored);
        auto owner = std::make_shared<relay>(
                relay{link.name, source, std::move(caller), std::move(target)});
        for (const auto way : {direction::ToTarget, direction::FromTarget}) {
            auto item = std::make_shared<pump>(pump{owner, way, {}, false});
            asio::co_spawn(self->m_context, readLoop(self, item), asio::detached);
            asio::co_spawn(self->m_context, writeLoop(self, item), asio::detached);
        }
    }

    static auto readLoop(std::shared_ptr<proxy_state> self, std::shared_ptr<pump> item)
            -> asio::awaitable<void>
    {
        auto &from = item->way == direction::ToTarget ? item->owner->caller : item->owner->target;
        std::string buffer(CHUNK_BYTES, '\0');
        while (!item->ended) {
            if (item->held.size() >= MAX_HELD_CHUNKS) {
                co_await self->pause(POLL_INTERVAL);
                continue;
            }
            boost::system::error_code failure;
            const auto count = co_await from.async_read_some(
                    asio::buffer(buffer), asio::redirect_error(asio::use_awaitable, failure));
            if (failure) {
                break;
            }
            const auto faults = self->faultsOf(item->owner->link, item->owner->source, item->way);
            item->held.push_back({base::clock::now() + base::milliseconds(faults.delayMs),
                                  buffer.substr(0, count)});
        }
        item->ended = true;
    }

    static auto writeLoop(std::shared_ptr<proxy_state> self, std::shared_ptr<pump> item)
            -> asio::awaitable<void>
    {
        auto &to = item->way == direction::ToTarget ? item->owner->target : item->owner->caller;
        boost::system::error_code failure;
        while (!failure) {
            const auto faults = self->faultsOf(item->owner->link, item->owner->source, item->way);
            if (faults.isReset) {
                break;
            }
            if (faults.isCut || item->held.empty() || item->held.front().due > base::clock::now()) {
                if (item->ended && item->held.empty() && !faults.isCut) {
                    break;
                }
                co_await self->waitForWork(*item);
                continue;
            }
            const auto chunk = std::move(item->held.front());
            item->held.pop_front();
            co_await asio::async_write(to, asio::buffer(chunk.bytes),
                                       asio::redirect_error(asio::use_awaitable, failure));
            self->m_relayedBytes += chunk.bytes.size();
            if (faults.bytesPerSecond > 0) {
                co_await self->pause(
                        base::fromSeconds(static_cast<double>(chunk.bytes.size())
                                          / static_cast<double>(faults.bytesPerSecond)));
            }
        }
        closeBoth(*item);
    }

    // Short enough not to add visible latency of its own to small messages.
    auto waitForWork(const pump &item) -> asio::awaitable<void>
    {
        auto span = std::chrono::duration_cast<base::duration>(std::chrono::microseconds(200));
        if (!item.held.empty()) {
            span = std::clamp<base::duration>(item.held.front().due - base::clock::now(), span,
                                              POLL_INTERVAL);
        }
        co_await pause(span);
    }

    static auto closeBoth(pump &item) -> void
    {
        item.ended = true;
        boost::system::error_code ignored;
        item.owner->caller.close(ignored);
        item.owner->target.close(ignored);
    }

    static auto datagramLoop(std::shared_ptr<proxy_state> self, std::shared_ptr<udp::socket> socket,
                             proxied_link link) -> asio::awaitable<void>
    {
        const udp::endpoint target(toAddress(link.target), link.target.port);
        std::array<char, CHUNK_BYTES> buffer{};
        for (;;) {
            udp::endpoint source;
            boost::system::error_code failure;
            const auto count = co_await socket->async_receive_from(
                    asio::buffer(buffer), source,
                    asio::redirect_error(asio::use_awaitable, failure));
            if (failure) {
                co_await self->pause(POLL_INTERVAL);
                continue;
            }
            const auto faults =
                    self->faultsOf(link.name, source.address().to_string(), direction::ToTarget);
            if (faults.isCut || self->m_random.below(100) < faults.lossPercent) {
                continue;
            }
            asio::co_spawn(self->m_context,
                           sendLater(self, socket, target, std::string(buffer.data(), count),
                                     base::milliseconds(faults.delayMs)),
                           asio::detached);
        }
    }

    static auto sendLater(std::shared_ptr<proxy_state> self, std::shared_ptr<udp::socket> socket,
                          udp::endpoint target, std::string bytes, base::milliseconds delay)
            -> asio::awaitable<void>
    {
        if (delay.count() > 0) {
            co_await self->pause(delay);
        }
        boost::system::error_code ignored;
        socket->send_to(asio::buffer(bytes), target, 0, ignored);
        self->m_relayedBytes += bytes.size();
    }

    asio::io_context &m_context;
    base::random_source m_random;
    std::vector<rule> m_rules;
    std::uint64_t m_relayedBytes = 0;
};

proxy::proxy(asio::io_context &context, const std::vector<proxied_link> &links)
    : m_state(std::make_shared<proxy_state>(context))
{
    for (const auto &link : links) {
        m_state->listen(link);
    }
}

proxy::~proxy() = default;

auto proxy::setRules(std::vector<rule> rules) -> void
{
    m_state->setRules(std::move(rules));
}

auto proxy::relayedBytes() const -> std::uint64_t
{
    return m_state->relayedBytes();
}

} // namespace hawthornpick::faultproxy
