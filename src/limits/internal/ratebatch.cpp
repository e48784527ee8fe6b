#include "limits/internal/ratebatch.h"

#include "base/thriftcodec.h"

#include <utility>

namespace hawthornpick::limits {

namespace {

// Encoded size of the numbers and field headers of one item, rounded up.
constexpr std::size_t ITEM_OVERHEAD_BYTES = 24;
constexpr std::size_t CLOSURE_BYTES = 16;

} // namespace

auto rate_batch::add(const base::node_id &to, const wire::ask &item) -> void
{
    const auto payloadBytes =
            item.organisation.size() + ITEM_OVERHEAD_BYTES + item.closures.size() * CLOSURE_BYTES;
    auto &message = datagramFor(to, payloadBytes);
    message.asks.push_back(item);
    message.__isset.asks = true;
}

auto rate_batch::add(const base::node_id &to, const wire::answer &item) -> void
{
    auto &message = datagramFor(to, item.organisation.size() + ITEM_OVERHEAD_BYTES);
    message.answers.push_back(item);
    message.__isset.answers = true;
}

auto rate_batch::add(const base::node_id &to, const wire::region_message &item) -> void
{
    wire::rate_message message;
    message.__set_regions(item);
    m_completed.push_back({to, base::channel::Rate, base::encodeThrift(message)});
}

auto rate_batch::take() -> std::vector<base::outgoing_message>
{
    for (auto &[to, datagram] : m_incomplete) {
        complete(to, datagram);
    }
    m_incomplete.clear();
    return std::exchange(m_completed, {});
}

auto rate_batch::datagramFor(const base::node_id &to, std::size_t payloadBytes)
        -> wire::rate_message &
{
    auto &datagram = m_incomplete[to];
    if (datagram.payloadBytes != 0 && datagram.payloadBytes + payloadBytes > MAX_PAYLOAD_BYTES) {
        complete(to, datagram);
        datagram = {};
    }
    datagram.payloadBytes += payloadBytes;
    return datagram.message;
}

auto rate_batch::complete(const base::node_id &to, datagram &datagram) -> void
{
    m_completed.push_back({to, base::channel::Rate, base::encodeThrift(datagram.message)});
}

} // namespace hawthornpick::limits
