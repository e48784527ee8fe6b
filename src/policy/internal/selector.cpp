#include "policy/selector.h"

#include "base/digest.h"
#include "policy/internal/selectorstate.h"

#include <algorithm>

namespace hawthornpick::policy {

namespace {

//! Backoff after a full queue, about one service time of short requests.
constexpr base::duration QUEUE_FULL_BACKOFF = std::chrono::milliseconds(20);
//! Backoff if the upstream takes no requests; all nodes learn that from the view within 2 s.
constexpr base::duration UNAVAILABLE_BACKOFF = std::chrono::seconds(1);
//! Backoff after a failure of the path to a node, which never counts against its upstream.
constexpr base::duration PATH_BACKOFF = std::chrono::milliseconds(500);

auto backoffAfter(base::error_kind kind) -> base::duration
{
    switch (kind) {
    case base::error_kind::QueueFull:
    case base::error_kind::UpstreamLimited:
        return QUEUE_FULL_BACKOFF;
    case base::error_kind::NoUpstream:
    case base::error_kind::UpstreamEjected:
    case base::error_kind::UpstreamDraining:
    case base::error_kind::IncarnationChanged:
    case base::error_kind::ShuttingDown:
    case base::error_kind::ConfigNotCurrent:
    case base::error_kind::UpstreamEvacuated:
        return UNAVAILABLE_BACKOFF;
    case base::error_kind::PeerUnreachable:
        return PATH_BACKOFF;
    default:
        return base::duration::zero();
    }
}

} // namespace

selector::selector(selector_settings settings, std::uint64_t seed)
    : m_settings(std::move(settings)), m_seed(seed),
      m_linkByteBudget(static_cast<double>(m_settings.regionLinkBytesPerSecond))
{}

selector::~selector() = default;

auto selector::choose(const membership::view &view, const selection_request &request,
                      base::time_point now) -> base::result<selection>
{
    auto &state = stateOf(request.service);
    const std::lock_guard lock(state.mutex);
    state.updateFromView(view, m_settings, request, now);
    if (const auto refusal = state.scopeRefusal(request)) {
        return base::fail(*refusal);
    }
    const auto selectCandidate = [&](candidate *item, bool isOtherRegion,
                                     bool isProbe) -> base::result<selection> {
        const auto *node = view.find(item->node);
        if (node == nullptr) {
            return base::fail(base::error_kind::NoUpstream);
        }
        ++item->inFlight;
        ++item->sentSinceReport;
        return selection{node, isOtherRegion, isProbe};
    };
    if (auto *item = state.pickProbe(request, m_settings.probeShare, now)) {
        return selectCandidate(item, false, true);
    }
    const bool isComparison = state.random.chance(m_settings.comparisonShare);
    auto *ownNode = isComparison ? nullptr : state.pickOwnNode(m_settings.self, request, now);
    if (ownNode != nullptr) {
        return selectCandidate(ownNode, false, false);
    }
    auto *ownRegionCandidate = state.pickBetterOfTwo({&state.ownRegion}, request, now);
    if (ownRegionCandidate != nullptr && !state.isOwnRegionOverloaded(request, now)) {
        return selectCandidate(ownRegionCandidate, false, false);
    }
    auto *otherRegionCandidate =
            state.pickBetterOfTwo(state.otherRegionPools(request), request, now);
    const double meanSeconds = state.meanServiceSeconds();
    const bool isOtherRegionBetter =
            otherRegionCandidate != nullptr
            && (ownRegionCandidate == nullptr
                || otherRegionCandidate->waitCost(meanSeconds, request.warmUpDuration, now)
                           < ownRegionCandidate->waitCost(meanSeconds, request.warmUpDuration,
                                                          now));
    if (isOtherRegionBetter && tryChargeRegionLink(request.expectedBytes, now)) {
        return selectCandidate(otherRegionCandidate, true, false);
    }
    if (ownRegionCandidate != nullptr) {
        return selectCandidate(ownRegionCandidate, false, false);
    }
    return base::fail(otherRegionCandidate != nullptr ? base::error_kind::RegionLinkBusy
                                                      : state.unavailabilityError(request));
}

auto selector::onAnswer(const base::service_id &service, const base::node_id &node,
                        const service_load &load, base::time_point now) -> void
{
    auto &state = stateOf(service);
    const std::lock_guard lock(state.mutex);
    if (auto *item = state.find(node)) {
        item->inFlight -= item->inFlight > 0 ? 1 : 0;
        item->sentSinceReport = 0;
        item->load = load;
        item->reportedAt = now;
    }
}

auto selector::onRefusal(const base::service_id &service, const base::node_id &node,
                         const base::organisation_id &organisation, base::error_kind kind,
                         base::time_point now) -> void
{
    auto &state = stateOf(service);
    const std::lock_guard lock(state.mutex);
    if (auto *item = state.find(node)) {
        item->inFlight -= item->inFlight > 0 ? 1 : 0;
        item->sentSinceReport -= item->sentSinceReport > 0 ? 1 : 0;
        auto &until = kind == base::error_kind::QueueFull ? item->queueFullUntilFor(organisation)
                                                          : item->backoffUntil;
        until = std::max(until, now + backoffAfter(kind));
    }
}

auto selector::chargeRegionLink(std::uint64_t bytes, base::time_point now) -> void
{
    const std::lock_guard lock(m_linkMutex);
    refillRegionLink(now);
    m_linkByteBudget -= static_cast<double>(bytes);
    m_chargedBytes += bytes;
}

auto selector::chargedRegionLinkBytes() const -> std::uint64_t
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

auto selector::tryChargeRegionLink(std::uint64_t bytes, base::time_point now) -> bool
{
    const std::lock_guard lock(m_linkMutex);
    refillRegionLink(now);
    if (m_linkByteBudget < static_cast<double>(bytes)) {
        return false;
    }
    m_linkByteBudget -= static_cast<double>(bytes);
    m_chargedBytes += bytes;
    return true;
}

auto selector::refillRegionLink(base::time_point now) -> void
{
    const auto rate = static_cast<double>(m_settings.regionLinkBytesPerSecond);
    if (m_linkRefilledAt != base::time_point{}) {
        m_linkByteBudget =
                std::min(rate, m_linkByteBudget + base::toSeconds(now - m_linkRefilledAt) * rate);
    }
    m_linkRefilledAt = now;
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
