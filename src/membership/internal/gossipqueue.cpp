#include "membership/internal/gossipqueue.h"

namespace hawthornpick::membership {

auto gossip_queue::push(const update_key &key, unsigned transmissions) -> void
{
    const auto position = m_positions.find(key);
    if (position != m_positions.end()) {
        m_updates.erase(position->second);
    }
    m_updates.push_front({key, transmissions});
    m_positions[key] = m_updates.begin();
}

auto gossip_queue::take(const std::function<bool(const update_key &)> &tryAppend) -> void
{
    auto remainingOffers = m_updates.size();
    auto position = m_updates.begin();
    while (remainingOffers-- > 0) {
        if (!tryAppend(position->key)) {
            return;
        }
        const auto appended = position++;
        if (--appended->remainingTransmissions == 0) {
            m_positions.erase(appended->key);
            m_updates.erase(appended);
        } else {
            m_updates.splice(m_updates.end(), m_updates, appended);
        }
    }
}

} // namespace hawthornpick::membership
