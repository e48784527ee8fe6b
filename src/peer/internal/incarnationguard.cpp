#include "peer/internal/incarnationguard.h"

#include <iterator>
#include <utility>

namespace hawthornpick::peer {

auto incarnation_guard::isCurrent(const base::node_id &from, base::incarnation incarnation) -> bool
{
    return m_known.try_emplace(from, incarnation).first->second == incarnation;
}

auto incarnation_guard::hold(held_datagram content, base::time_point now)
        -> std::optional<std::uint64_t>
{
    auto &pending = m_pending[content.from];
    if (pending.nonce == 0) {
        pending.nonce = m_random.bits() | 1U;
        pending.start = now;
    }
    if (pending.held.empty()) {
        pending.heldSince = now;
    }
    if (pending.held.size() < MAX_HELD_DATAGRAMS) {
        pending.held.push_back(std::move(content));
    }
    if (pending.lastChallenge != base::time_point{}
        && now - pending.lastChallenge < CHALLENGE_INTERVAL) {
        return std::nullopt;
    }
    pending.lastChallenge = now;
    return pending.nonce;
}

auto incarnation_guard::onProof(const base::node_id &from, base::incarnation incarnation,
                                std::uint64_t nonce) -> held_datagrams
{
    const auto position = m_pending.find(from);
    if (position == m_pending.end() || position->second.nonce != nonce) {
        return {};
    }
    m_known[from] = incarnation;
    held_datagrams result;
    for (auto &item : position->second.held) {
        auto &target = item.incarnation == incarnation ? result.accepted : result.refused;
        target.push_back(std::move(item));
    }
    m_pending.erase(position);
    return result;
}

auto incarnation_guard::expire(base::time_point now) -> std::vector<held_datagram>
{
    std::vector<held_datagram> expired;
    for (auto item = m_pending.begin(); item != m_pending.end();) {
        auto &held = item->second.held;
        if (!held.empty() && now - item->second.heldSince >= HOLD_TIME) {
            expired.insert(expired.end(), std::make_move_iterator(held.begin()),
                           std::make_move_iterator(held.end()));
            held.clear();
        }
        const bool isOver = held.empty() && now - item->second.start >= PROOF_TIME;
        item = isOver ? m_pending.erase(item) : std::next(item);
    }
    return expired;
}

auto incarnation_guard::knownIncarnation(const base::node_id &node) const -> base::incarnation
{
    const auto position = m_known.find(node);
    return position == m_known.end() ? 0 : position->second;
}

} // namespace hawthornpick::peer
