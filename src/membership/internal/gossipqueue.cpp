#include "membership/internal/gossipqueue.h"

namespace hawthornpick::membership {

auto gossip_queue::push(const update_key &key, unsigned transmissions) -> void
{
    const auto position = m_positions.find(key);
    if (position != m_positions.end()) {
        m_items.erase(position->second);
    }
    m_items.push_front({key, transmissions});
    m_positions[key] = m_items.begin();
}

auto gossip_queue::take(const std::function<bool(const update_key &)> &append) -> void
{
    auto offers = m_items.size();
    auto current = m_items.begin();
    while (offers-- > 0) {
        if (!append(current->key)) {
            return;
        }
        const auto sent = current++;
        if (--sent->remaining == 0) {
            m_positions.erase(sent->key);
            m_items.erase(sent);
        } else {
            m_items.splice(m_items.end(), m_items, sent);
        }
    }
}

} // namespace hawthornpick::membership
