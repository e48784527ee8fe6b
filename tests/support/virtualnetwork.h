#pragma once

#include "base/ids.h"
#include "base/message.h"
#include "base/random.h"
#include "base/time.h"

#include <functional>
#include <map>
#include <queue>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace hawthornpick::testsupport {

//! Probabilities and delays of a `virtual_network`.
struct network_faults
{
    double loss = 0.0;
    double duplication = 0.0;
    base::duration minimumDelay = std::chrono::microseconds(200);
    base::duration maximumDelay = std::chrono::milliseconds(2);
};

//! Runs decision objects in virtual time over a network that loses, duplicates, delays and reorders
//! messages, with one-way cuts, pauses and crashes. The same seed gives the same run.
class virtual_network
{
public:
    using messages = std::vector<base::outgoing_message>;
    using receive_function =
            std::function<messages(const base::node_id &from, base::channel kind,
                                   std::string_view payload, base::time_point now)>;
    using tick_function = std::function<messages(base::time_point now)>;

    virtual_network(std::uint64_t seed, network_faults faults) : m_random(seed), m_faults(faults) {}

    //! Adds a node, or replaces the callbacks of one that restarted.
    auto attach(const base::node_id &id, receive_function receive, tick_function tick) -> void
    {
        m_nodes[id] = {std::move(receive), std::move(tick)};
        m_down.erase(id);
    }

    //! Stops delivery to and ticks of a node. Messages to it that are under way are lost.
    auto crash(const base::node_id &id) -> void { m_down.insert(id); }

    //! Delays messages to and ticks of a node until `resume`.
    auto pause(const base::node_id &id) -> void { m_paused.insert(id); }
    auto resume(const base::node_id &id) -> void { m_paused.erase(id); }

    //! Drops messages from `from` to `to`; the reverse direction is not affected.
    auto cut(const base::node_id &from, const base::node_id &to) -> void
    {
        m_cuts.insert({from, to});
    }
    auto heal(const base::node_id &from, const base::node_id &to) -> void
    {
        m_cuts.erase({from, to});
    }
    auto healAll() -> void { m_cuts.clear(); }

    auto setFaults(network_faults faults) -> void { m_faults = faults; }

    //! Sends messages in the name of `from`, for calls outside `receive` and `tick`.
    auto send(const base::node_id &from, const messages &batch) -> void
    {
        for (const auto &item : batch) {
            sendOne(from, item);
        }
    }

    //! Runs for `span`, ticking each node every `TICK_INTERVAL`; calls `afterEach` after each
    //! event.
    auto run(
            base::duration span, const std::function<void()> &afterEach = [] {}) -> void
    {
        const auto end = m_now + span;
        while (m_now < end) {
            const auto nextTick = m_lastTick + TICK_INTERVAL;
            const bool deliveryFirst = !m_queue.empty() && m_queue.top().at <= nextTick;
            const auto next = deliveryFirst ? m_queue.top().at : nextTick;
            if (next > end) {
                m_now = end;
                return;
            }
            m_now = next;
            if (deliveryFirst) {
                deliverOne();
            } else {
                m_lastTick = nextTick;
                tickAll();
            }
            afterEach();
        }
    }

    [[nodiscard]] auto now() const -> base::time_point { return m_now; }
    auto random() -> base::random_source & { return m_random; }

    //! Messages and payload bytes handed to the network so far.
    [[nodiscard]] auto sentMessages() const -> std::uint64_t { return m_sentMessages; }
    [[nodiscard]] auto sentBytes() const -> std::uint64_t { return m_sentBytes; }

    static constexpr base::duration TICK_INTERVAL = std::chrono::milliseconds(50);

private:
    struct node_callbacks
    {
        receive_function receive;
        tick_function tick;
    };
    struct delivery
    {
        base::time_point at;
        std::uint64_t order;
        base::node_id from;
        base::outgoing_message message;

        auto operator<(const delivery &other) const -> bool
        {
            return std::pair(at, order) > std::pair(other.at, other.order);
        }
    };

    auto sendOne(const base::node_id &from, const base::outgoing_message &message) -> void
    {
        ++m_sentMessages;
        m_sentBytes += message.payload.size();
        if (m_cuts.contains({from, message.to}) || m_random.chance(m_faults.loss)) {
            return;
        }
        const int copies = m_random.chance(m_faults.duplication) ? 2 : 1;
        for (int i = 0; i < copies; ++i) {
            m_queue.push({m_now + randomDelay(), m_nextOrder++, from, message});
        }
    }

    auto randomDelay() -> base::duration
    {
        const auto spread = (m_faults.maximumDelay - m_faults.minimumDelay).count();
        const auto extra = spread <= 0 ? 0 : m_random.below(static_cast<std::uint64_t>(spread) + 1);
        return m_faults.minimumDelay + base::duration(extra);
    }

    auto deliverOne() -> void
    {
        auto item = m_queue.top();
        m_queue.pop();
        const auto node = m_nodes.find(item.message.to);
        if (node == m_nodes.end() || m_down.contains(item.message.to)) {
            return;
        }
        if (m_paused.contains(item.message.to)) {
            item.at = m_now + TICK_INTERVAL;
            m_queue.push(std::move(item));
            return;
        }
        const auto replies =
                node->second.receive(item.from, item.message.kind, item.message.payload, m_now);
        send(item.message.to, replies);
    }

    auto tickAll() -> void
    {
        for (const auto &[id, callbacks] : std::map(m_nodes)) {
            if (!m_down.contains(id) && !m_paused.contains(id)) {
                send(id, callbacks.tick(m_now));
            }
        }
    }

    base::random_source m_random;
    network_faults m_faults;
    std::map<base::node_id, node_callbacks> m_nodes;
    std::set<base::node_id> m_down;
    std::set<base::node_id> m_paused;
    std::set<std::pair<base::node_id, base::node_id>> m_cuts;
    std::priority_queue<delivery> m_queue;
    base::time_point m_now{std::chrono::hours(1)};
    base::time_point m_lastTick{std::chrono::hours(1)};
    std::uint64_t m_nextOrder = 0;
    std::uint64_t m_sentMessages = 0;
    std::uint64_t m_sentBytes = 0;
};

} // namespace hawthornpick::testsupport
