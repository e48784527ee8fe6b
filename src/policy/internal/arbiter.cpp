#include "policy/arbiter.h"

#include "base/thriftcodec.h"
#include "policy/generated/policywire_types.h"
#include "policy/selector.h"

#include <algorithm>

namespace hawthornpick::policy {

namespace {

using kind = wire::permit_kind;

//! Share of its slots that counts for an upstream at the start of its warm-up, as in the selector.
constexpr double INITIAL_WARM_UP_SHARE = 0.1;
//! Longest gap between two checks of the lease after which the known permits are kept. In a longer
//! gap, for example while the process was paused, another node may have held the lease; the lease
//! term of 2 s rules that out for a shorter one.
constexpr base::duration MAX_LEASE_CHECK_GAP = std::chrono::milliseconds(500);
//! Tolerance for rounding in sums of slots.
constexpr double SLOT_TOLERANCE = 1e-9;

auto warmUpShare(base::time_point readySince, base::duration warmUp, base::time_point now) -> double
{
    if (warmUp <= base::duration::zero()) {
        return 1.0;
    }
    const double elapsedShare = base::toSeconds(now - readySince) / base::toSeconds(warmUp);
    return std::clamp(INITIAL_WARM_UP_SHARE + (1.0 - INITIAL_WARM_UP_SHARE) * elapsedShare,
                      INITIAL_WARM_UP_SHARE, 1.0);
}

auto reply(const base::node_id &to, wire::permit_message message, kind::type answer)
        -> base::outgoing_message
{
    message.kind = answer;
    return {to, base::channel::Arbiter, base::encodeThrift(message)};
}

} // namespace

auto arbiterLeaseName(const arbiter_scope &scope) -> std::string
{
    return "arbiter/" + scope.region.str() + "/" + scope.service.str();
}

auto arbiterCandidates(const membership::view &view, const arbiter_scope &scope)
        -> std::vector<base::node_id>
{
    std::vector<base::node_id> nodes;
    for (const auto &node : view.nodes()) {
        const bool isUsable = node.state == membership::node_state::Alive
                              || node.state == membership::node_state::Suspect;
        if (isUsable && node.region == scope.region) {
            nodes.push_back(node.id);
        }
    }
    return rendezvousOrder(arbiterLeaseName(scope), std::move(nodes));
}

arbiter::arbiter(holds_lease_function holdsLease, view_function view, service_function service)
    : m_holdsLease(std::move(holdsLease)), m_view(std::move(view)), m_service(std::move(service))
{}

auto arbiter::setScopes(const std::vector<arbiter_scope> &scopes) -> void
{
    std::map<arbiter_scope, scope_state> kept;
    for (const auto &scope : scopes) {
        kept[scope] = std::move(m_scopes[scope]);
    }
    m_scopes = std::move(kept);
}

auto arbiter::receive(const base::node_id &from, std::string_view payload, base::time_point now)
        -> std::vector<base::outgoing_message>
{
    const auto message = base::decodeThrift<wire::permit_message>(payload);
    if (!message || (message->kind != kind::Request && message->kind != kind::Release)) {
        return {};
    }
    const arbiter_scope scope{base::service_id(message->service_name),
                              base::region_id(message->region)};
    if (!m_holdsLease(arbiterLeaseName(scope), now)) {
        if (const auto state = m_scopes.find(scope); state != m_scopes.end()) {
            state->second = {};
        }
        return {reply(from, *message, kind::NotHolder)};
    }
    auto &state = m_scopes[scope];
    (void)refreshScope(scope, state, now);
    const base::upstream_id upstream(message->upstream);
    const auto heldPermit = state.permits.find(upstream);
    const bool isKnown = heldPermit != state.permits.end();
    // Ignores a message of the same node that was overtaken by a newer one.
    if (isKnown && heldPermit->second.node == from && heldPermit->second.number > message->number) {
        return {};
    }
    if (message->kind == kind::Release) {
        if (isKnown) {
            state.permits.erase(heldPermit);
            state.returnedAt[upstream] = now;
        }
        return {};
    }
    if (!mayGrant(scope, state, upstream, message->held, now)) {
        return {reply(from, *message, kind::Denial)};
    }
    state.permits[upstream] = {from, now + ARBITER_PERMIT_VALIDITY, message->number,
                               message->badness, false};
    return {reply(from, *message, kind::Grant)};
}

auto arbiter::tick(base::time_point now) -> std::vector<base::outgoing_message>
{
    std::vector<base::outgoing_message> out;
    (void)observeView(now);
    for (auto &[scope, state] : m_scopes) {
        if (refreshScope(scope, state, now)) {
            recallLeastUnhealthy(scope, state, now, out);
        } else {
            state = {};
        }
    }
    return out;
}

auto arbiter::permitCount(const arbiter_scope &scope) const -> std::size_t
{
    const auto state = m_scopes.find(scope);
    return state == m_scopes.end() ? 0 : state->second.permits.size();
}

// Returns true if this node holds the lease. Removes expired permits, and starts the learning
// period if the lease has just been acquired.
auto arbiter::refreshScope(const arbiter_scope &scope, scope_state &state, base::time_point now)
        -> bool
{
    if (!m_holdsLease(arbiterLeaseName(scope), now)) {
        return false;
    }
    if (!state.leaseHeldAt || now - *state.leaseHeldAt > MAX_LEASE_CHECK_GAP) {
        state.permits.clear();
        state.grantsAllowedFrom = now + ARBITER_PERMIT_VALIDITY;
    }
    state.leaseHeldAt = now;
    for (auto item = state.permits.begin(); item != state.permits.end();) {
        if (item->second.expiresAt <= now) {
            state.returnedAt[item->first] = now;
            item = state.permits.erase(item);
        } else {
            ++item;
        }
    }
    return true;
}

// Records when upstreams became ready, so that their warm-up counts in part.
auto arbiter::observeView(base::time_point now) -> membership::view_pointer
{
    auto view = m_view();
    if (m_observedVersion == view->version()) {
        return view;
    }
    std::map<base::upstream_id, observed_upstream> observed;
    for (const auto &node : view->nodes()) {
        for (const auto &upstream : node.upstreams) {
            if (upstream.state != membership::upstream_state::Ready) {
                continue;
            }
            const auto previous = m_observedUpstreams.find(upstream.id);
            const bool isSameIncarnation = previous != m_observedUpstreams.end()
                                           && previous->second.incarnation == upstream.incarnation;
            const auto readySince = m_observedVersion ? now : base::time_point{};
            observed[upstream.id] = isSameIncarnation
                                            ? previous->second
                                            : observed_upstream{upstream.incarnation, readySince};
        }
    }
    m_observedUpstreams = std::move(observed);
    m_observedVersion = view->version();
    return view;
}

auto arbiter::healthySlotsOf(const membership::upstream_entry &upstream, const scope_state &state,
                             const arbiter_service_settings &service, bool countRecalled,
                             base::time_point now) const -> double
{
    const auto permit = state.permits.find(upstream.id);
    const bool isCountedAsReturned =
            countRecalled && permit != state.permits.end() && permit->second.isRecalled;
    const bool isCounted = permit == state.permits.end() ? !upstream.ejected : isCountedAsReturned;
    if (!isCounted || upstream.state != membership::upstream_state::Ready) {
        return 0.0;
    }
    auto readySince = base::time_point{};
    if (const auto observed = m_observedUpstreams.find(upstream.id);
        observed != m_observedUpstreams.end()) {
        readySince = observed->second.readySince;
    }
    if (const auto returned = state.returnedAt.find(upstream.id);
        returned != state.returnedAt.end()) {
        readySince = std::max(readySince, returned->second);
    }
    return upstream.slots * warmUpShare(readySince, service.warmUp, now);
}

auto arbiter::capacityOf(const arbiter_scope &scope, const scope_state &state,
                         const membership::view &view, const arbiter_service_settings &service,
                         bool countRecalled, base::time_point now) const -> capacity
{
    capacity result;
    for (const auto &node : view.nodes()) {
        if (node.region != scope.region || node.state == membership::node_state::Leaving) {
            continue;
        }
        for (const auto &upstream : node.upstreams) {
            if (upstream.service != scope.service
                || upstream.state == membership::upstream_state::Gone) {
                continue;
            }
            result.announcedSlots += upstream.slots;
            const bool alive = node.state == membership::node_state::Alive;
            result.healthySlots +=
                    alive ? healthySlotsOf(upstream, state, service, countRecalled, now) : 0.0;
        }
    }
    return result;
}

// A held permit is renewed even during the learning period, because its upstream is already out of
// service, but not after it was recalled.
auto arbiter::mayGrant(const arbiter_scope &scope, scope_state &state,
                       const base::upstream_id &upstream, bool isRenewal, base::time_point now)
        -> bool
{
    const auto permit = state.permits.find(upstream);
    if (permit != state.permits.end()) {
        return !permit->second.isRecalled;
    }
    if (now < state.grantsAllowedFrom) {
        return isRenewal;
    }
    const auto service = m_service(scope.service);
    if (!service) {
        return false;
    }
    const auto view = observeView(now);
    // The upstream of a recalled permit may still be out of service.
    const auto current = capacityOf(scope, state, *view, *service, false, now);
    for (const auto &place : view->upstreamsOf(scope.service)) {
        if (place.upstream->id == upstream && place.node->region == scope.region) {
            // Subtracts all its slots even during its warm-up, because they would be available
            // soon.
            const double remainingHealthySlots = current.healthySlots - place.upstream->slots;
            return remainingHealthySlots + SLOT_TOLERANCE
                   >= service->floor * current.announcedSlots;
        }
    }
    return false;
}

auto arbiter::recallLeastUnhealthy(const arbiter_scope &scope, scope_state &state,
                                   base::time_point now, std::vector<base::outgoing_message> &out)
        -> void
{
    const auto service = m_service(scope.service);
    if (!service) {
        return;
    }
    const auto view = m_view();
    while (true) {
        const auto current = capacityOf(scope, state, *view, *service, true, now);
        auto leastUnhealthy = state.permits.end();
        for (auto item = state.permits.begin(); item != state.permits.end(); ++item) {
            const bool hasLessEvidence = leastUnhealthy == state.permits.end()
                                         || item->second.evidence < leastUnhealthy->second.evidence;
            leastUnhealthy = !item->second.isRecalled && hasLessEvidence ? item : leastUnhealthy;
        }
        const bool isAboveFloor =
                current.healthySlots + SLOT_TOLERANCE >= service->floor * current.announcedSlots;
        if (isAboveFloor || leastUnhealthy == state.permits.end()) {
            return;
        }
        leastUnhealthy->second.isRecalled = true;
        wire::permit_message recall;
        recall.service_name = scope.service.str();
        recall.region = scope.region.str();
        recall.upstream = leastUnhealthy->first.str();
        recall.number = leastUnhealthy->second.number;
        out.push_back(reply(leastUnhealthy->second.node, recall, kind::Recall));
    }
}

} // namespace hawthornpick::policy
