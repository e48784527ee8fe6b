#include "limits/internal/ratebatch.h"

#include "base/thriftcodec.h"

#include <utility>

namespace hawthornpick::limits {

namespace {

// Bytes of the numbers and field headers of one item, rounded up.
constexpr std::size_t ITEM_BYTES = 24;
constexpr std::size_t CLOSURE_BYTES = 16;

} // namespace

auto rate_batch::add(const base::node_id &to, const wire::ask &item) -> void
{
    const auto bytes = item.organisation.size() + ITEM_BYTES + item.closures.size() * CLOSURE_BYTES;
    auto &message = packetFor(to, bytes);
    message.asks.push_back(item);
    message.__isset.asks = true;
}

auto rate_batch::add(const base::node_id &to, const wire::answer &item) -> void
{
    auto &message = packetFor(to, item.organisation.size() + ITEM_BYTES);
    message.answers.push_back(item);
    message.__isset.answers = true;
}

auto rate_batch::add(const base::node_id &to, const wire::region_message &item) -> void
{
    wire::rate_message message;
    message.__set_regions(item);
    m_done.push_back({to, base::channel::Rate, base::encodeThrift(message)});
}

auto rate_batch::take() -> std::vector<base::outgoing_message>
{
    for (auto &[to, content] : m_open) {
        finish(to, content);
    }
    m_open.clear();
    return std::exchange(m_done, {});
}

auto rate_batch::packetFor(const base::node_id &to, std::size_t bytes) -> wire::rate_message &
{
    auto &content = m_open[to];
    if (content.bytes != 0 && content.bytes + bytes > FULL_BYTES) {
        finish(to, content);
        content = {};
    }
    content.bytes += bytes;
    return content.message;
}

auto rate_batch::finish(const base::node_id &to, packet &content) -> void
{
    m_done.push_back({to, base::channel::Rate, base::encodeThrift(content.message)});
}

} // namespace hawthornpick::limits
