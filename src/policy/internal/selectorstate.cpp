#include "policy/internal/selectorstate.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <utility>

namespace hawthornpick::policy {

namespace {

//! Share of its slots that a new or returning upstream gets at the start of its warm-up.
constexpr double INITIAL_WARM_UP_SHARE = 0.1;
//! Time constant with which a reported load decays; the requests of other entry nodes in it end
//! within some hundred milliseconds.
constexpr double LOAD_TIME_CONSTANT_SECONDS = 0.5;
//! Weight of busy slots relative to the waiting time.
constexpr double BUSY_SLOT_WEIGHT = 0.2;
//! The own node is chosen without comparison while its load with the request is at most this share
//! of its slots.
constexpr double MAX_OWN_NODE_UTILISATION = 0.5;
//! Other regions are used if the estimated load of the own region reaches this multiple of its
//! slots.
constexpr double OVERLOAD_FACTOR = 1.2;
constexpr double DEFAULT_SERVICE_SECONDS = 0.01;

auto isExcluded(const selection_request &request, const base::node_id &node) -> bool
{
    return std::find(request.excludedNodes.begin(), request.excludedNodes.end(), node)
           != request.excludedNodes.end();
}

auto warmUpShare(base::time_point readySince, base::duration warmUp, base::time_point now) -> double
{
    if (warmUp <= base::duration::zero()) {
        return 1.0;
    }
    const double elapsedShare = base::toSeconds(now - readySince) / base::toSeconds(warmUp);
    return std::clamp(INITIAL_WARM_UP_SHARE + (1.0 - INITIAL_WARM_UP_SHARE) * elapsedShare,
                      INITIAL_WARM_UP_SHARE, 1.0);
}

using upstreams_by_node = std::map<base::node_id, std::vector<const membership::upstream_entry *>>;

// The own node is always part of the subset: its upstream needs no network hop.
auto chooseSubset(const upstreams_by_node &upstreamsByNode, const std::string &subject,
                  const base::node_id &self, std::size_t maxNodes) -> std::vector<base::node_id>
{
    std::vector<base::node_id> nodes;
    for (const auto &[node, upstreams] : upstreamsByNode) {
        nodes.push_back(node);
    }
    nodes = rendezvousOrder(subject, std::move(nodes));
    std::stable_partition(nodes.begin(), nodes.end(),
                          [&](const base::node_id &node) { return node == self; });
    nodes.resize(std::min(nodes.size(), maxNodes));
    return nodes;
}

} // namespace

auto selector::candidate::update(const std::vector<const membership::upstream_entry *> &upstreams,
                                 base::time_point newReadySince) -> void
{
    const auto previous = std::exchange(readyUpstreams, {});
    ejectedSlots = 0;
    for (const auto *upstream : upstreams) {
        if (upstream->state != membership::upstream_state::Ready) {
            continue;
        }
        if (upstream->ejected) {
            ejectedSlots += upstream->slots;
            continue;
        }
        const auto previousEntry =
                std::find_if(previous.begin(), previous.end(), [&](const auto &entry) {
                    return entry.id == upstream->id && entry.incarnation == upstream->incarnation;
                });
        readyUpstreams.push_back(
                {upstream->id, upstream->incarnation, upstream->slots,
                 previousEntry == previous.end() ? newReadySince : previousEntry->readySince});
    }
}

auto selector::candidate::queueFullUntilFor(const base::organisation_id &organisation)
        -> base::time_point &
{
    return queueFullUntil.at(std::hash<base::organisation_id>{}(organisation)
                             % queueFullUntil.size());
}

auto selector::candidate::accepts(const selection_request &request, base::time_point now) -> bool
{
    return backoffUntil <= now && queueFullUntilFor(request.organisation) <= now
           && !isExcluded(request, node) && !request.scope.refusalFor(region, failureDomain);
}

auto selector::candidate::effectiveSlots(base::duration warmUp, base::time_point now) const
        -> double
{
    double slots = 0.0;
    for (const auto &upstream : readyUpstreams) {
        slots += upstream.slots * warmUpShare(upstream.readySince, warmUp, now);
    }
    return slots;
}

auto selector::candidate::estimatedLoad(base::time_point now) const -> double
{
    const double age = base::toSeconds(now - reportedAt);
    const double reported =
            (load.busySlots + load.waiting) * std::exp(-age / LOAD_TIME_CONSTANT_SECONDS);
    return std::max<double>(inFlight, reported + sentSinceReport);
}

auto selector::candidate::waitCost(double meanServiceSeconds, base::duration warmUp,
                                   base::time_point now) const -> double
{
    const double slots = std::max(effectiveSlots(warmUp, now), INITIAL_WARM_UP_SHARE);
    const double estimatedRequests = estimatedLoad(now);
    const double waiting = std::max(0.0, estimatedRequests + 1.0 - slots) / slots;
    return meanServiceSeconds * (waiting + BUSY_SLOT_WEIGHT * estimatedRequests / slots);
}

// Keeps the state of nodes that remain in the view; a node that left and returned starts with a new
// state.
auto selector::service_state::updateFromView(const membership::view &view,
                                             const selector_settings &settings,
                                             const selection_request &request, base::time_point now)
        -> void
{
    if (viewVersion == view.version()) {
        return;
    }
    std::map<base::node_id, candidate> previousCandidates;
    for (auto *pool : {&ownRegion, &otherRegions, &scopedCandidates}) {
        for (auto &item : *pool) {
            previousCandidates.emplace(item.node, std::move(item));
        }
        pool->clear();
    }
    upstreams_by_node ownRegionUpstreams;
    upstreams_by_node otherRegionUpstreams;
    std::map<base::failure_domain_id, upstreams_by_node> otherUpstreamsByDomain;
    for (const auto &place : view.upstreamsOf(request.service)) {
        auto &upstreamsByNode =
                place.node->region == settings.region ? ownRegionUpstreams : otherRegionUpstreams;
        upstreamsByNode[place.node->id].push_back(place.upstream);
        const bool isReady = place.upstream->state == membership::upstream_state::Ready;
        if (place.node->region != settings.region && isReady) {
            otherUpstreamsByDomain[place.node->failureDomain][place.node->id].push_back(
                    place.upstream);
        }
    }
    // Upstreams in the first view need no warm-up: the entry node has just started, not they.
    const auto newReadySince = viewVersion ? now : base::time_point{};
    const auto subject = settings.self.str() + "/" + request.service.str();
    const auto fillPool = [&](std::vector<candidate> &pool,
                              const upstreams_by_node &upstreamsByNode, std::size_t maxNodes) {
        for (const auto &node : chooseSubset(upstreamsByNode, subject, settings.self, maxNodes)) {
            if (find(node) != nullptr) {
                continue;
            }
            auto &item = pool.emplace_back(std::move(previousCandidates[node]));
            const auto *entry = view.find(node);
            item.node = node;
            item.region = entry->region;
            item.failureDomain = entry->failureDomain;
            item.update(upstreamsByNode.at(node), newReadySince);
        }
    };
    fillPool(ownRegion, ownRegionUpstreams, settings.maxOwnRegionNodes);
    fillPool(otherRegions, otherRegionUpstreams, settings.maxOtherRegionNodes);
    for (const auto &[domain, upstreamsByNode] : otherUpstreamsByDomain) {
        fillPool(scopedCandidates, upstreamsByNode, settings.maxOtherRegionNodes);
    }
    viewVersion = view.version();
}

auto selector::service_state::find(const base::node_id &node) -> candidate *
{
    for (auto *pool : {&ownRegion, &otherRegions, &scopedCandidates}) {
        for (auto &item : *pool) {
            if (item.node == node) {
                return &item;
            }
        }
    }
    return nullptr;
}

auto selector::service_state::scopeRefusal(const selection_request &request) const
        -> std::optional<base::error_kind>
{
    std::optional<base::error_kind> refusal;
    for (const auto *pool : {&ownRegion, &otherRegions, &scopedCandidates}) {
        for (const auto &item : *pool) {
            if (item.readyUpstreams.empty() && item.ejectedSlots == 0) {
                continue;
            }
            const auto kind = request.scope.refusalFor(item.region, item.failureDomain);
            if (!kind) {
                return std::nullopt;
            }
            refusal = refusal == base::error_kind::UpstreamEvacuated ? refusal : kind;
        }
    }
    return refusal;
}

auto selector::service_state::otherRegionPools(const selection_request &request)
        -> std::vector<std::vector<candidate> *>
{
    if (request.scope == placement_scope()) {
        return {&otherRegions};
    }
    return {&otherRegions, &scopedCandidates};
}

auto selector::service_state::isOwnRegionOverloaded(const selection_request &request,
                                                    base::time_point now) const -> bool
{
    double slots = 0.0;
    double estimatedRequests = 0.0;
    for (const auto &item : ownRegion) {
        slots += item.effectiveSlots(request.warmUpDuration, now);
        estimatedRequests += item.readyUpstreams.empty() ? 0.0 : item.estimatedLoad(now);
    }
    return estimatedRequests >= slots * OVERLOAD_FACTOR;
}

auto selector::service_state::pickBetterOfTwo(const std::vector<std::vector<candidate> *> &pools,
                                              const selection_request &request,
                                              base::time_point now) -> candidate *
{
    std::vector<candidate *> candidates;
    for (auto *pool : pools) {
        for (auto &item : *pool) {
            if (!item.readyUpstreams.empty() && item.accepts(request, now)) {
                candidates.push_back(&item);
            }
        }
    }
    if (candidates.empty()) {
        return nullptr;
    }
    const auto first = random.below(candidates.size());
    if (candidates.size() == 1) {
        return candidates[first];
    }
    const auto second = (first + 1 + random.below(candidates.size() - 1)) % candidates.size();
    const auto meanSeconds = meanServiceSeconds();
    const bool isFirstBetter =
            candidates[first]->waitCost(meanSeconds, request.warmUpDuration, now)
            <= candidates[second]->waitCost(meanSeconds, request.warmUpDuration, now);
    return isFirstBetter ? candidates[first] : candidates[second];
}

auto selector::service_state::pickOwnNode(const base::node_id &self,
                                          const selection_request &request, base::time_point now)
        -> candidate *
{
    auto *item = find(self);
    if (item == nullptr || item->readyUpstreams.empty() || !item->accepts(request, now)) {
        return nullptr;
    }
    const double slots = item->effectiveSlots(request.warmUpDuration, now);
    return item->estimatedLoad(now) + 1.0 <= slots * MAX_OWN_NODE_UTILISATION ? item : nullptr;
}

auto selector::service_state::pickProbe(const selection_request &request, double share,
                                        base::time_point now) -> candidate *
{
    if (!request.idempotent || !random.chance(share)) {
        return nullptr;
    }
    std::vector<candidate *> ejectedCandidates;
    for (auto &item : ownRegion) {
        if (item.ejectedSlots > 0 && item.accepts(request, now)) {
            ejectedCandidates.push_back(&item);
        }
    }
    return ejectedCandidates.empty() ? nullptr
                                     : ejectedCandidates[random.below(ejectedCandidates.size())];
}

auto selector::service_state::unavailabilityError(const selection_request &request) const
        -> base::error_kind
{
    bool hasReady = false;
    bool hasEjected = false;
    for (const auto *pool : {&ownRegion, &otherRegions, &scopedCandidates}) {
        for (const auto &item : *pool) {
            if (request.scope.refusalFor(item.region, item.failureDomain)) {
                continue;
            }
            hasReady = hasReady || !item.readyUpstreams.empty();
            hasEjected = hasEjected || item.ejectedSlots > 0;
        }
    }
    if (hasReady) {
        return base::error_kind::QueueFull;
    }
    return hasEjected ? base::error_kind::UpstreamEjected : base::error_kind::NoUpstream;
}

auto selector::service_state::meanServiceSeconds() const -> double
{
    double sum = 0.0;
    int count = 0;
    for (const auto &item : ownRegion) {
        const double meanSeconds = base::toSeconds(item.load.meanServiceTime);
        sum += meanSeconds;
        count += meanSeconds > 0.0 ? 1 : 0;
    }
    return count == 0 ? DEFAULT_SERVICE_SECONDS : sum / count;
}

} // namespace hawthornpick::policy
