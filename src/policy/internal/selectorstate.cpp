#include "policy/internal/selectorstate.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <utility>

namespace hawthornpick::policy {

namespace {

//! Share of its slots that a new or returning upstream gets at first.
constexpr double FIRST_WARMTH = 0.1;
//! A reported load loses weight with this time constant; the requests of other entry nodes in it
//! have finished after some hundred milliseconds.
constexpr double LOAD_DECAY_SECONDS = 0.5;
//! Weight of occupied slots against waiting time in the score.
constexpr double OCCUPIED_WEIGHT = 0.2;
//! The own upstream is taken without comparison while its load leaves this share of its slots.
constexpr double LOCAL_PREFERENCE_LOAD = 0.5;
//! Another region is used when the estimated load of the own one exceeds its slots by this factor.
constexpr double SPILL_LOAD = 1.2;
constexpr double DEFAULT_SERVICE_SECONDS = 0.01;

auto isExcluded(const selection_request &request, const base::node_id &node) -> bool
{
    return std::find(request.excluded.begin(), request.excluded.end(), node)
           != request.excluded.end();
}

auto warmth(base::time_point since, base::duration warmUp, base::time_point now) -> double
{
    if (warmUp <= base::duration::zero()) {
        return 1.0;
    }
    const double passed = base::toSeconds(now - since) / base::toSeconds(warmUp);
    return std::clamp(FIRST_WARMTH + (1.0 - FIRST_WARMTH) * passed, FIRST_WARMTH, 1.0);
}

using place_map = std::map<base::node_id, std::vector<const membership::upstream_entry *>>;

// The own node always belongs to the subset: its upstream costs no network hop.
auto subsetOf(const place_map &places, const std::string &subject, const base::node_id &self,
              std::size_t limit) -> std::vector<base::node_id>
{
    std::vector<base::node_id> nodes;
    for (const auto &[node, upstreams] : places) {
        nodes.push_back(node);
    }
    nodes = rendezvousOrder(subject, std::move(nodes));
    std::stable_partition(nodes.begin(), nodes.end(),
                          [&](const base::node_id &node) { return node == self; });
    nodes.resize(std::min(nodes.size(), limit));
    return nodes;
}

} // namespace

auto selector::candidate::update(const std::vector<const membership::upstream_entry *> &upstreams,
                                 base::time_point newSince) -> void
{
    const auto before = std::exchange(ready, {});
    ejectedSlots = 0;
    for (const auto *upstream : upstreams) {
        if (upstream->state != membership::upstream_state::Ready) {
            continue;
        }
        if (upstream->ejected) {
            ejectedSlots += upstream->slots;
            continue;
        }
        const auto old = std::find_if(before.begin(), before.end(), [&](const auto &entry) {
            return entry.id == upstream->id && entry.incarnation == upstream->incarnation;
        });
        ready.push_back({upstream->id, upstream->incarnation, upstream->slots,
                         old == before.end() ? newSince : old->readySince});
    }
}

auto selector::candidate::fullFor(const base::organisation_id &organisation) -> base::time_point &
{
    return fullUntil.at(std::hash<base::organisation_id>{}(organisation) % fullUntil.size());
}

auto selector::candidate::accepts(const selection_request &request, base::time_point now) -> bool
{
    return avoidUntil <= now && fullFor(request.organisation) <= now && !isExcluded(request, node);
}

auto selector::candidate::effectiveSlots(base::duration warmUp, base::time_point now) const
        -> double
{
    double slots = 0.0;
    for (const auto &upstream : ready) {
        slots += upstream.slots * warmth(upstream.readySince, warmUp, now);
    }
    return slots;
}

auto selector::candidate::estimatedLoad(base::time_point now) const -> double
{
    const double age = base::toSeconds(now - loadTime);
    const double reported = (load.busySlots + load.waiting) * std::exp(-age / LOAD_DECAY_SECONDS);
    return std::max<double>(outstanding, reported + sentSinceLoad);
}

auto selector::candidate::score(double meanService, base::duration warmUp,
                                base::time_point now) const -> double
{
    const double slots = std::max(effectiveSlots(warmUp, now), FIRST_WARMTH);
    const double present = estimatedLoad(now);
    const double waiting = std::max(0.0, present + 1.0 - slots) / slots;
    return meanService * (waiting + OCCUPIED_WEIGHT * present / slots);
}

// Keeps what is known of nodes that remain; a node that left and came back starts anew.
auto selector::service_state::rebuild(const membership::view &view,
                                      const selector_settings &settings,
                                      const selection_request &request, base::time_point now)
        -> void
{
    if (viewVersion == view.version()) {
        return;
    }
    std::map<base::node_id, candidate> known;
    for (auto *pool : {&own, &remote}) {
        for (auto &item : *pool) {
            known.emplace(item.node, std::move(item));
        }
        pool->clear();
    }
    place_map ownPlaces;
    place_map otherPlaces;
    for (const auto &place : view.upstreamsOf(request.service)) {
        auto &places = place.node->region == settings.region ? ownPlaces : otherPlaces;
        places[place.node->id].push_back(place.upstream);
    }
    // Upstreams in the first view are taken as warm: the entry node has just started, not they.
    const auto newSince = viewVersion ? now : base::time_point{};
    const auto subject = settings.self.str() + "/" + request.service.str();
    for (auto *pool : {&own, &remote}) {
        const auto &places = pool == &own ? ownPlaces : otherPlaces;
        const auto limit = pool == &own ? settings.subsetSize : settings.remoteSubsetSize;
        for (const auto &node : subsetOf(places, subject, settings.self, limit)) {
            auto &item = pool->emplace_back(std::move(known[node]));
            item.node = node;
            item.update(places.at(node), newSince);
        }
    }
    viewVersion = view.version();
}

auto selector::service_state::find(const base::node_id &node) -> candidate *
{
    for (auto *pool : {&own, &remote}) {
        for (auto &item : *pool) {
            if (item.node == node) {
                return &item;
            }
        }
    }
    return nullptr;
}

auto selector::service_state::isShort(const selection_request &request, base::time_point now) const
        -> bool
{
    double slots = 0.0;
    double present = 0.0;
    for (const auto &item : own) {
        slots += item.effectiveSlots(request.warmUp, now);
        present += item.ready.empty() ? 0.0 : item.estimatedLoad(now);
    }
    return present >= slots * SPILL_LOAD;
}

auto selector::service_state::pickTwo(std::vector<candidate> &pool,
                                      const selection_request &request, base::time_point now)
        -> candidate *
{
    std::vector<candidate *> usable;
    for (auto &item : pool) {
        if (!item.ready.empty() && item.accepts(request, now)) {
            usable.push_back(&item);
        }
    }
    if (usable.empty()) {
        return nullptr;
    }
    const auto first = random.below(usable.size());
    if (usable.size() == 1) {
        return usable[first];
    }
    const auto second = (first + 1 + random.below(usable.size() - 1)) % usable.size();
    const auto mean = meanService();
    const bool firstBetter = usable[first]->score(mean, request.warmUp, now)
                             <= usable[second]->score(mean, request.warmUp, now);
    return firstBetter ? usable[first] : usable[second];
}

auto selector::service_state::pickLocal(const base::node_id &self, const selection_request &request,
                                        base::time_point now) -> candidate *
{
    auto *item = find(self);
    if (item == nullptr || item->ready.empty() || !item->accepts(request, now)) {
        return nullptr;
    }
    const double slots = item->effectiveSlots(request.warmUp, now);
    return item->estimatedLoad(now) + 1.0 <= slots * LOCAL_PREFERENCE_LOAD ? item : nullptr;
}

auto selector::service_state::pickProbe(const selection_request &request, double share,
                                        base::time_point now) -> candidate *
{
    if (!request.idempotent || !random.chance(share)) {
        return nullptr;
    }
    std::vector<candidate *> ejected;
    for (auto &item : own) {
        if (item.ejectedSlots > 0 && item.accepts(request, now)) {
            ejected.push_back(&item);
        }
    }
    return ejected.empty() ? nullptr : ejected[random.below(ejected.size())];
}

auto selector::service_state::refusal() const -> base::error_kind
{
    bool ready = false;
    bool ejected = false;
    for (const auto *pool : {&own, &remote}) {
        for (const auto &item : *pool) {
            ready = ready || !item.ready.empty();
            ejected = ejected || item.ejectedSlots > 0;
        }
    }
    if (ready) {
        return base::error_kind::QueueFull;
    }
    return ejected ? base::error_kind::UpstreamEjected : base::error_kind::NoUpstream;
}

auto selector::service_state::meanService() const -> double
{
    double sum = 0.0;
    int count = 0;
    for (const auto &item : own) {
        const double mean = base::toSeconds(item.load.meanService);
        sum += mean;
        count += mean > 0.0 ? 1 : 0;
    }
    return count == 0 ? DEFAULT_SERVICE_SECONDS : sum / count;
}

} // namespace hawthornpick::policy
