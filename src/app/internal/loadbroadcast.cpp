#include "app/internal/loadbroadcast.h"

#include "upstream/wirecodec.h"

#include <algorithm>
#include <cmath>

namespace hawthornpick::app {

namespace {

//! Smaller changes of the health do not change a choice.
constexpr double HEALTH_STEP = 0.08;

auto isChanged(const policy::service_load &before, const policy::service_load &after) -> bool
{
    return before.usableSlots != after.usableSlots || before.busySlots != after.busySlots
           || before.waiting != after.waiting
           || std::abs(before.health - after.health) >= HEALTH_STEP;
}

} // namespace

auto load_broadcast::tick(const std::map<base::service_id, policy::service_load> &loads,
                          const membership::view &view, base::time_point now) -> messages
{
    messages out;
    if (loads.empty() || now < std::min(m_nearAt, m_farAt)) {
        return out;
    }
    std::vector<base::node_id> near;
    std::vector<base::node_id> far;
    for (const auto &node : view.nodes()) {
        if (node.id != m_self && !node.upstreams.empty()
            && node.state == membership::node_state::Alive) {
            (node.region == m_region ? near : far).push_back(node.id);
        }
    }
    if (now >= m_nearAt) {
        const base::milliseconds wanted(1000 * static_cast<int>(near.size()) / NOTICES_PER_SECOND);
        m_nearAt = now + std::clamp(wanted, MIN_INTERVAL, MAX_INTERVAL);
        send(loads, near, m_sentNear, now, out);
    }
    if (now >= m_farAt) {
        m_farAt = now + REGION_INTERVAL;
        send(loads, far, m_sentFar, now, out);
    }
    return out;
}

auto load_broadcast::send(const std::map<base::service_id, policy::service_load> &loads,
                          const std::vector<base::node_id> &targets, sent_map &sent,
                          base::time_point now, messages &out) const -> void
{
    for (const auto &[service, load] : loads) {
        auto &last = sent[service];
        if (!isChanged(last.load, load) && now - last.at < REFRESH_INTERVAL) {
            continue;
        }
        last = {load, now};
        const auto payload = upstream::encodeNotice({service, load});
        for (const auto &target : targets) {
            out.push_back({target, base::channel::Health, payload});
        }
    }
}

} // namespace hawthornpick::app
