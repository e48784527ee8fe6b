#include "policy/arbiter.h"

#include "base/thriftcodec.h"
#include "policy/generated/policywire_types.h"
#include "policy/selector.h"

#include <algorithm>

namespace hawthornpick::policy {

namespace {

using kind = wire::permit_kind;

//! Share of its slots that an upstream has when it starts to warm up, as in the selector.
constexpr double FIRST_WARMTH = 0.1;
//! If the lease was not checked for longer, for example because the process was paused, another
//! node may have held it in between. The lease term of 2 s makes that impossible in a shorter time.
constexpr base::duration LONGEST_GAP = std::chrono::milliseconds(500);
//! Allows for sums of floating-point slots.
constexpr double TOLERANCE = 1e-9;

auto warmth(base::time_point since, base::duration warmUp, base::time_point now) -> double
{
    if (warmUp <= base::duration::zero()) {
        return 1.0;
    }
    const double passed = base::toSeconds(now - since) / base::toSeconds(warmUp);
    return std::clamp(FIRST_WARMTH + (1.0 - FIRST_WARMTH) * passed, FIRST_WARMTH, 1.0);
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
        const bool usable = node.state == membership::node_state::Alive
                            || node.state == membership::node_state::Suspect;
        if (usable && node.region == scope.region) {
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
    (void)isHolder(scope, state, now);
    const base::upstream_id upstream(message->upstream);
    const auto held = state.permits.find(upstream);
    const bool known = held != state.permits.end();
    // A delayed message must not undo a newer one of the same node.
    if (known && held->second.node == from && held->second.number > message->number) {
        return {};
    }
    if (message->kind == kind::Release) {
        if (known) {
            state.permits.erase(held);
            state.returned[upstream] = now;
        }
        return {};
    }
    if (!mayGrant(scope, state, upstream, message->held, now)) {
        return {reply(from, *message, kind::Denial)};
    }
    state.permits[upstream] = {from, now + PERMIT_LIFE_AT_ARBITER, message->number,
                               message->badness, false};
    return {reply(from, *message, kind::Grant)};
}

auto arbiter::tick(base::time_point now) -> std::vector<base::outgoing_message>
{
    std::vector<base::outgoing_message> out;
    (void)observe(now);
    for (auto &[scope, state] : m_scopes) {
        if (isHolder(scope, state, now)) {
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

// Forgets ended permits; begins the learning time when the lease has just been taken.
auto arbiter::isHolder(const arbiter_scope &scope, scope_state &state, base::time_point now) -> bool
{
    if (!m_holdsLease(arbiterLeaseName(scope), now)) {
        return false;
    }
    if (!state.held || now - *state.held > LONGEST_GAP) {
        state.permits.clear();
        state.grantsFrom = now + PERMIT_LIFE_AT_ARBITER;
    }
    state.held = now;
    for (auto item = state.permits.begin(); item != state.permits.end();) {
        if (item->second.ends <= now) {
            state.returned[item->first] = now;
            item = state.permits.erase(item);
        } else {
            ++item;
        }
    }
    return true;
}

// Notes when upstreams became ready, to count them as cold for a while.
auto arbiter::observe(base::time_point now) -> membership::view_pointer
{
    auto view = m_view();
    if (m_observedVersion == view->version()) {
        return view;
    }
    std::map<base::upstream_id, seen_upstream> seen;
    for (const auto &node : view->nodes()) {
        for (const auto &upstream : node.upstreams) {
            if (upstream.state != membership::upstream_state::Ready) {
                continue;
            }
            const auto old = m_seen.find(upstream.id);
            const bool same =
                    old != m_seen.end() && old->second.incarnation == upstream.incarnation;
            const auto since = m_observedVersion ? now : base::time_point{};
            seen[upstream.id] = same ? old->second : seen_upstream{upstream.incarnation, since};
        }
    }
    m_seen = std::move(seen);
    m_observedVersion = view->version();
    return view;
}

auto arbiter::slotsOf(const membership::upstream_entry &upstream, const scope_state &state,
                      const arbiter_service &service, bool recalledAreBack,
                      base::time_point now) const -> double
{
    const auto permit = state.permits.find(upstream.id);
    const bool isBack = recalledAreBack && permit != state.permits.end() && permit->second.recalled;
    const bool counted = permit == state.permits.end() ? !upstream.ejected : isBack;
    if (!counted || upstream.state != membership::upstream_state::Ready) {
        return 0.0;
    }
    auto since = base::time_point{};
    if (const auto seen = m_seen.find(upstream.id); seen != m_seen.end()) {
        since = seen->second.readySince;
    }
    if (const auto back = state.returned.find(upstream.id); back != state.returned.end()) {
        since = std::max(since, back->second);
    }
    return upstream.slots * warmth(since, service.warmUp, now);
}

auto arbiter::capacityOf(const arbiter_scope &scope, const scope_state &state,
                         const membership::view &view, const arbiter_service &service,
                         bool recalledAreBack, base::time_point now) const -> capacity
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
            result.announced += upstream.slots;
            const bool alive = node.state == membership::node_state::Alive;
            result.healthy += alive ? slotsOf(upstream, state, service, recalledAreBack, now) : 0.0;
        }
    }
    return result;
}

// A held permit may be renewed even while the arbiter is learning: its upstream is out of service
// already. It is not renewed once it was recalled.
auto arbiter::mayGrant(const arbiter_scope &scope, scope_state &state,
                       const base::upstream_id &upstream, bool held, base::time_point now) -> bool
{
    const auto known = state.permits.find(upstream);
    if (known != state.permits.end()) {
        return !known->second.recalled;
    }
    if (now < state.grantsFrom) {
        return held;
    }
    const auto service = m_service(scope.service);
    if (!service) {
        return false;
    }
    const auto view = observe(now);
    // A recalled upstream may still be out of service.
    const auto present = capacityOf(scope, state, *view, *service, false, now);
    for (const auto &place : view->upstreamsOf(scope.service)) {
        if (place.upstream->id == upstream && place.node->region == scope.region) {
            // In full, even if it is cold: what it may reach is lost with it.
            const double left = present.healthy - place.upstream->slots;
            return left + TOLERANCE >= service->floor * present.announced;
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
        const auto present = capacityOf(scope, state, *view, *service, true, now);
        auto least = state.permits.end();
        for (auto item = state.permits.begin(); item != state.permits.end(); ++item) {
            const bool better =
                    least == state.permits.end() || item->second.badness < least->second.badness;
            least = !item->second.recalled && better ? item : least;
        }
        const bool enough = present.healthy + TOLERANCE >= service->floor * present.announced;
        if (enough || least == state.permits.end()) {
            return;
        }
        least->second.recalled = true;
        wire::permit_message recall;
        recall.service_name = scope.service.str();
        recall.region = scope.region.str();
        recall.upstream = least->first.str();
        recall.number = least->second.number;
        out.push_back(reply(least->second.node, recall, kind::Recall));
    }
}

} // namespace hawthornpick::policy
