#include "policy/selector.h"

#include "base/digest.h"
#include "policy/internal/selectorstate.h"

#include <algorithm>

namespace hawthornpick::policy {

namespace {

//! A full node is asked again after this time, about one service time of short requests.
constexpr base::duration FULL_PAUSE = std::chrono::milliseconds(20);
//! An upstream that takes no work is known to all nodes through the view after 2 s.
constexpr base::duration NO_WORK_PAUSE = std::chrono::seconds(1);
//! Problems on the path to a node. They never count against its upstream.
constexpr base::duration PATH_PAUSE = std::chrono::milliseconds(500);

auto pauseAfter(base::error_kind kind) -> base::duration
{
    switch (kind) {
    case base::error_kind::QueueFull:
        return FULL_PAUSE;
    case base::error_kind::NoUpstream:
    case base::error_kind::UpstreamEjected:
    case base::error_kind::UpstreamDraining:
    case base::error_kind::IncarnationChanged:
    case base::error_kind::ShuttingDown:
    case base::error_kind::ConfigNotCurrent:
        return NO_WORK_PAUSE;
    case base::error_kind::PeerUnreachable:
        return PATH_PAUSE;
    default:
        return base::duration::zero();
    }
}

} // namespace

selector::selector(selector_settings settings, std::uint64_t seed)
    : m_settings(std::move(settings)), m_seed(seed),
      m_linkBytes(static_cast<double>(m_settings.regionLinkBytesPerSecond))
{}

selector::~selector() = default;

auto selector::choose(const membership::view &view, const selection_request &request,
                      base::time_point now) -> base::result<selection>
{
    auto &state = stateOf(request.service);
    const std::lock_guard lock(state.mutex);
    state.rebuild(view, m_settings, request, now);
    const auto take = [&](candidate *item, bool remote, bool probe) -> base::result<selection> {
        const auto *node = view.find(item->node);
        if (node == nullptr) {
            return base::fail(base::error_kind::NoUpstream);
        }
        ++item->outstanding;
        ++item->sentSinceLoad;
        return selection{node, remote, probe};
    };
    if (auto *item = state.pickProbe(request, m_settings.probeShare, now)) {
        return take(item, false, true);
    }
    const bool isComparison = state.random.chance(m_settings.comparisonShare);
    auto *local = isComparison ? nullptr : state.pickLocal(m_settings.self, request, now);
    if (local != nullptr) {
        return take(local, false, false);
    }
    auto *own = state.pickTwo(state.own, request, now);
    if (own != nullptr && !state.isShort(request, now)) {
        return take(own, false, false);
    }
    auto *remote = state.pickTwo(state.remote, request, now);
    const double mean = state.meanService();
    const bool remoteBetter = remote != nullptr
                              && (own == nullptr
                                  || remote->score(mean, request.warmUp, now)
                                             < own->score(mean, request.warmUp, now));
    if (remoteBetter && tryRegionLink(request.expectedBytes, now)) {
        return take(remote, true, false);
    }
    if (own != nullptr) {
        return take(own, false, false);
    }
    return base::fail(remote != nullptr ? base::error_kind::RegionLinkBusy : state.refusal());
}

auto selector::onAnswer(const base::service_id &service, const base::node_id &node,
                        const service_load &load, base::time_point now) -> void
{
    auto &state = stateOf(service);
    const std::lock_guard lock(state.mutex);
    if (auto *item = state.find(node)) {
        item->outstanding -= item->outstanding > 0 ? 1 : 0;
        item->sentSinceLoad = 0;
        item->load = load;
        item->loadTime = now;
    }
}

auto selector::onRefusal(const base::service_id &service, const base::node_id &node,
                         const base::organisation_id &organisation, base::error_kind kind,
                         base::time_point now) -> void
{
    auto &state = stateOf(service);
    const std::lock_guard lock(state.mutex);
    if (auto *item = state.find(node)) {
        item->outstanding -= item->outstanding > 0 ? 1 : 0;
        item->sentSinceLoad -= item->sentSinceLoad > 0 ? 1 : 0;
        auto &until = kind == base::error_kind::QueueFull ? item->fullFor(organisation)
                                                          : item->avoidUntil;
        until = std::max(until, now + pauseAfter(kind));
    }
}

auto selector::chargeRegionLink(std::uint64_t bytes, base::time_point now) -> void
{
    const std::lock_guard lock(m_linkMutex);
    refillRegionLink(now);
    m_linkBytes -= static_cast<double>(bytes);
    m_chargedBytes += bytes;
}

auto selector::regionLinkBytes() const -> std::uint64_t
{
    const std::lock_guard lock(m_linkMutex);
    return m_chargedBytes;
}

auto selector::stateOf(const base::service_id &service) -> service_state &
{
    const std::lock_guard lock(m_mutex);
    auto &state = m_services[service];
    if (!state) {
        state = std::make_unique<service_state>(base::hash64(service.str(), m_seed));
    }
    return *state;
}

auto selector::tryRegionLink(std::uint64_t bytes, base::time_point now) -> bool
{
    const std::lock_guard lock(m_linkMutex);
    refillRegionLink(now);
    if (m_linkBytes < static_cast<double>(bytes)) {
        return false;
    }
    m_linkBytes -= static_cast<double>(bytes);
    m_chargedBytes += bytes;
    return true;
}

auto selector::refillRegionLink(base::time_point now) -> void
{
    const auto rate = static_cast<double>(m_settings.regionLinkBytesPerSecond);
    if (m_linkRefilled != base::time_point{}) {
        m_linkBytes = std::min(rate, m_linkBytes + base::toSeconds(now - m_linkRefilled) * rate);
    }
    m_linkRefilled = now;
}

auto rendezvousOrder(std::string_view subject, std::vector<base::node_id> nodes)
        -> std::vector<base::node_id>
{
    std::vector<std::pair<std::uint64_t, base::node_id>> weighted;
    weighted.reserve(nodes.size());
    for (auto &node : nodes) {
        const auto weight = base::rendezvousWeight(subject, node.str());
        weighted.emplace_back(weight, std::move(node));
    }
    std::sort(weighted.begin(), weighted.end(), std::greater<>());
    std::vector<base::node_id> ordered;
    ordered.reserve(weighted.size());
    for (auto &[weight, node] : weighted) {
        ordered.push_back(std::move(node));
    }
    return ordered;
}

} // namespace hawthornpick::policy
