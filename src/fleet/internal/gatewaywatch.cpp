#include "fleet/gatewaywatch.h"

#include "base/digest.h"

#include <algorithm>

namespace hawthornpick::fleet {

auto gateway_watch::onHeard(const base::node_id &hub, base::time_point now) -> void
{
    m_heardAt[hub] = now;
}

auto gateway_watch::onAnswer(const base::region_id &region, const base::node_id &hub,
                             base::time_point now) -> bool
{
    auto &state = m_regions[region];
    if (hub != m_self && isEarlier(region, hub, m_self)) {
        state.lastEarlierAt = now;
    }
    const bool isForwarderSilent = !state.lastUsedAt || now - *state.lastUsedAt >= TAKEOVER_TIME;
    if (!isForwarderSilent && hub != state.forwarder && isEarlier(region, state.forwarder, hub)) {
        return false;
    }
    state.forwarder = hub;
    state.lastUsedAt = now;
    return true;
}

auto gateway_watch::mustAsk(const base::region_id &region,
                            const std::vector<base::node_id> &liveHubs, base::time_point now)
        -> bool
{
    m_startTime = m_startTime.value_or(now);
    if (now - *m_startTime < START_TIME) {
        return true;
    }
    const auto rank =
            std::count_if(liveHubs.begin(), liveHubs.end(), [&](const base::node_id &hub) {
                const auto heard = m_heardAt.find(hub);
                return heard != m_heardAt.end() && now - heard->second <= MAX_SILENCE
                       && isEarlier(region, hub, m_self);
            });
    const auto lastAnswer = m_regions[region].lastEarlierAt;
    return rank == 0 || !lastAnswer
           || now - *lastAnswer >= TAKEOVER_TIME + (rank - 1) * TAKEOVER_STEP;
}

auto gateway_watch::isEarlier(const base::region_id &region, const base::node_id &left,
                              const base::node_id &right) const -> bool
{
    const auto pair = m_ownRegion.str() + "/" + region.str();
    const auto place = [&pair](const base::node_id &hub) {
        return std::pair(base::rendezvousWeight(pair, hub.str()), hub);
    };
    return place(left) < place(right);
}

} // namespace hawthornpick::fleet
