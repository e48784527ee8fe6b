#include "policy/placement.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace hawthornpick::policy {

namespace {

//! Range of the random term of a score, so that nodes with the same reports do not all choose the
//! same upstream.
constexpr double SCORE_NOISE = 0.04;
//! Utilisation assumed for an upstream without a recent report.
constexpr double DEFAULT_UTILISATION = 0.5;
//! Weight of the share of free slots in a score: upstreams get slower when they are nearly full.
constexpr double FREE_SLOT_WEIGHT = 0.25;
//! Service time assumed before the first report of a mean.
constexpr base::milliseconds DEFAULT_SERVICE_TIME{300};
//! Round-trip time between regions.
constexpr base::milliseconds REGION_ROUND_TRIP{41};
constexpr double RESPONSE_BYTES_SMOOTHING = 0.1;
//! Time constant of the request rate.
constexpr base::milliseconds RATE_TIME_CONSTANT{3000};
//! Largest share of the requests that are duplicated as trial requests.
constexpr double MAX_TRIAL_SHARE = 0.25;
//! Response size assumed for a route before its first response: large enough to prefer the own
//! failure domain.
constexpr double DEFAULT_RESPONSE_BYTES = 20'000.0;
//! Score of an upstream that must not be chosen.
constexpr double EXCLUDED_SCORE = -1e9;
//! Time for which an upstream that refused a request is penalised: about the service time of one
//! request.
constexpr base::milliseconds REFUSAL_PENALTY_TIME{60};
//! Longest time for which an upstream that refused a request for its start rate isn't chosen.
constexpr base::milliseconds MAX_START_REFUSAL_TIME{1000};

auto isPathFailure(base::error_kind kind) -> bool
{
    return kind == base::error_kind::PeerUnreachable || kind == base::error_kind::OutcomeUnknown;
}

auto isExcluded(const placement_request &request, const base::node_id &node) -> bool
{
    const auto &excludedNodes = request.excludedNodes;
    return std::find(excludedNodes.begin(), excludedNodes.end(), node) != excludedNodes.end();
}

// Reasons not to choose an upstream; a later one says more about the request's chances than an
// earlier one if upstreams of the same service are left out for different reasons.
constexpr std::array REFUSAL_ORDER{
        base::error_kind::NoAllowedRegion, base::error_kind::UpstreamEvacuated,
        base::error_kind::NoUpstream,      base::error_kind::UpstreamCold,
        base::error_kind::UpstreamLimited, base::error_kind::PeerUnreachable,
        base::error_kind::Overloaded,
};

auto strongerRefusal(const std::optional<base::error_kind> &previous, base::error_kind kind)
        -> base::error_kind
{
    const auto rankOf = [](base::error_kind item) {
        return std::find(REFUSAL_ORDER.begin(), REFUSAL_ORDER.end(), item);
    };
    return previous && rankOf(*previous) > rankOf(kind) ? *previous : kind;
}

auto refusalDetail(base::error_kind kind) -> std::string_view
{
    switch (kind) {
    case base::error_kind::Overloaded:
        return "no upstream of the service has room and enough health";
    case base::error_kind::PeerUnreachable:
        return "all paths to upstreams of the service in backoff";
    case base::error_kind::NoAllowedRegion:
        return "all upstreams of the service are outside the regions that the route and the "
               "organisation allow";
    case base::error_kind::UpstreamEvacuated:
        return "all upstreams of the service that may be used are in evacuated failure domains";
    case base::error_kind::UpstreamCold:
        return "all upstreams of the service that can be reached are cold and have no room";
    case base::error_kind::UpstreamLimited:
        return "all upstreams of the service that can be reached have got the requests of the "
               "limits that they name";
    default:
        return "";
    }
}

} // namespace

placement::placement(placement_settings settings, std::uint64_t seed)
    : m_settings(std::move(settings)), m_random(seed)
{}

auto placement::findBest(const membership::view &view, const placement_request &request,
                         base::time_point now) -> base::result<membership::upstream_place>
{
    std::optional<membership::upstream_place> best;
    std::optional<membership::upstream_place> bestLimited;
    double bestScore = 0.0;
    double bestLimitedScore = 0.0;
    bool hasRoom = false;
    std::optional<base::error_kind> refusal;
    for (const auto &place : view.upstreamsOf(request.service)) {
        if (place.upstream->state != membership::upstream_state::Ready) {
            continue;
        }
        if (const auto kind = refusalFor(place, request, now)) {
            refusal = strongerRefusal(refusal, *kind);
            continue;
        }
        const auto &state = stateOf(place.node->id, request.service);
        const auto score = scoreOf(place, state, request, now) + SCORE_NOISE * m_random.unit();
        if (score <= EXCLUDED_SCORE / 2) {
            refusal = strongerRefusal(refusal, base::error_kind::NoUpstream);
            continue;
        }
        const bool isLimited =
                startStateOf(state, request.entryNodeCount, now) == start_state::BeyondShare;
        auto &bestOfKind = isLimited ? bestLimited : best;
        auto &scoreOfKind = isLimited ? bestLimitedScore : bestScore;
        if (!bestOfKind || score > scoreOfKind) {
            bestOfKind = place;
            scoreOfKind = score;
        }
        hasRoom = hasRoom || (!isLimited && hasFreeSlot(state, place.upstream->slots, now));
    }
    const bool mayExceedShare = !hasRoom && !request.needsFreeSlot
                                && startRefusalsOf(request, now) < MAX_START_REFUSALS;
    const bool usesLimited =
            bestLimited && mayExceedShare && (!best || bestLimitedScore > bestScore);
    if (usesLimited) {
        return *bestLimited;
    }
    if (best) {
        return *best;
    }
    if (bestLimited) {
        refusal = strongerRefusal(refusal, base::error_kind::UpstreamCold);
    }
    const auto kind = refusal.value_or(base::error_kind::NoUpstream);
    return base::fail(kind, std::string(refusalDetail(kind)));
}

// Returns why a ready upstream can't be chosen, or nothing if it can.
auto placement::refusalFor(const membership::upstream_place &place,
                           const placement_request &request, base::time_point now) const
        -> std::optional<base::error_kind>
{
    const auto &node = *place.node;
    if (const auto kind = request.scope.refusalFor(node.region, node.failureDomain)) {
        return kind;
    }
    if (isExcluded(request, node.id)) {
        return base::error_kind::NoUpstream;
    }
    const auto &closedRegions = request.closedRegions;
    if (std::find(closedRegions.begin(), closedRegions.end(), node.region) != closedRegions.end()) {
        return base::error_kind::Overloaded;
    }
    if (isPathInBackoff(node.id, now)) {
        return base::error_kind::PeerUnreachable;
    }
    const auto &state = stateOf(node.id, request.service);
    if (!request.idempotent && estimatedHealth(state, now) < MIN_NON_IDEMPOTENT_HEALTH) {
        return base::error_kind::Overloaded;
    }
    if (startStateOf(state, request.entryNodeCount, now) == start_state::Refusing) {
        return state.startRefusal;
    }
    return std::nullopt;
}

// Returns how many upstreams have refused the request for their start rate just before.
auto placement::startRefusalsOf(const placement_request &request, base::time_point now) const
        -> std::ptrdiff_t
{
    const auto &nodes = request.excludedNodes;
    return std::count_if(nodes.begin(), nodes.end(), [&](const base::node_id &node) {
        return stateOf(node, request.service).startRefusedUntil > now;
    });
}

auto placement::checkPlaceable(const membership::view &view, const placement_request &request,
                               base::time_point now) -> base::result<void>
{
    const auto best = findBest(view, request, now);
    return best ? base::result<void>() : tl::unexpected(best.error());
}

auto placement::choose(const membership::view &view, const placement_request &request,
                       base::time_point now) -> base::result<placed_request>
{
    const auto best = findBest(view, request, now);
    if (!best) {
        return tl::unexpected(best.error());
    }
    const auto &node = *best->node;
    auto &state = m_nodeServiceStates[{node.id, request.service}];
    if (request.idempotent && !request.needsFreeSlot) {
        requestsPerSecond(request.service, now);
        m_requestRates[request.service].decayedCount += 1.0;
    }
    const auto usableSlots = estimatedUsableSlots(state, best->upstream->slots, now);
    const auto wait = expectedWait(state, usableSlots, estimatedBusySlots(state, usableSlots, now));
    const auto health = estimatedHealth(state, now);
    takeStartToken(state, request.entryNodeCount, now);
    countInFlight(node, request.service);
    return placed_request{&node, health, wait};
}

auto placement::countInFlight(const membership::node_entry &node, const base::service_id &service)
        -> void
{
    auto &state = m_nodeServiceStates[{node.id, service}];
    ++state.inFlight;
    ++state.sentSinceReport;
}

// Returns requests per second.
auto placement::requestsPerSecond(const base::service_id &service, base::time_point now) -> double
{
    auto &rate = m_requestRates[service];
    rate.decayedCount *=
            std::exp(-base::toSeconds(now - rate.updatedAt) / base::toSeconds(RATE_TIME_CONSTANT));
    rate.updatedAt = now;
    return rate.decayedCount / base::toSeconds(RATE_TIME_CONSTANT);
}

auto placement::trialCandidates(const membership::view &view, const placement_request &request,
                                base::time_point now) const
        -> std::vector<const membership::node_entry *>
{
    std::vector<const membership::node_entry *> candidates;
    for (const auto &place : view.upstreamsOf(request.service)) {
        const auto &node = *place.node;
        if (place.upstream->state != membership::upstream_state::Ready
            || isPathInBackoff(node.id, now)
            || request.scope.refusalFor(node.region, node.failureDomain)) {
            continue;
        }
        const auto &state = stateOf(node.id, request.service);
        if (startStateOf(state, request.entryNodeCount, now) >= start_state::BeyondShare) {
            continue;
        }
        if (reportWeight(state, now) <= 0.0 || state.load.health < TRIAL_HEALTH_LIMIT) {
            candidates.push_back(place.node);
        }
    }
    return candidates;
}

auto placement::chooseTrial(const membership::view &view, const placement_request &request,
                            std::size_t entryNodeCount, base::time_point now)
        -> const membership::node_entry *
{
    const auto meanBytes = m_meanResponseBytes.find(request.route);
    if (!request.idempotent || meanBytes == m_meanResponseBytes.end()
        || meanBytes->second > MAX_TRIAL_RESPONSE_BYTES) {
        return nullptr;
    }
    const auto candidates = trialCandidates(view, request, now);
    const double fleetRequestsPerSecond = std::max(0.1, requestsPerSecond(request.service, now))
                                          * static_cast<double>(entryNodeCount);
    const double trialShare =
            TRIALS_PER_SECOND * static_cast<double>(candidates.size()) / fleetRequestsPerSecond;
    if (candidates.empty() || !m_random.chance(std::min(MAX_TRIAL_SHARE, trialShare))) {
        return nullptr;
    }
    const auto *node = candidates.at(m_random.below(candidates.size()));
    if (isExcluded(request, node->id)) {
        return nullptr;
    }
    takeStartToken(m_nodeServiceStates[{node->id, request.service}], request.entryNodeCount, now);
    countInFlight(*node, request.service);
    return node;
}

auto placement::roomsFor(const membership::view &view, const placement_request &request,
                         base::time_point now) const -> std::vector<upstream_room>
{
    std::vector<upstream_room> rooms;
    std::set<base::region_id> choosableRegions;
    for (const auto &place : view.upstreamsOf(request.service)) {
        const auto &node = *place.node;
        const auto refusal = refusalFor(place, request, now);
        const bool isExcludedNode = refusal == base::error_kind::NoUpstream;
        const auto &state = stateOf(node.id, request.service);
        if (place.upstream->state != membership::upstream_state::Ready
            || (refusal && !isExcludedNode) || estimatedHealth(state, now) < TRIAL_HEALTH_LIMIT) {
            continue;
        }
        if (!isExcludedNode) {
            choosableRegions.insert(node.region);
        }
        rooms.push_back(roomOf(node.region, state, now));
    }
    for (auto &room : rooms) {
        if (!choosableRegions.contains(room.region)) {
            room.freeSlots = 0.0;
            room.age = base::duration::zero();
        }
    }
    return rooms;
}

auto placement::roomOf(const base::region_id &region, const node_service_state &state,
                       base::time_point now) -> upstream_room
{
    if (state.reportedAt == base::time_point{}) {
        return {region};
    }
    const auto usableSlots = std::max(1U, state.load.usableSlots);
    const double reportedLoad = state.load.busySlots + state.load.waiting;
    const auto load = std::max<double>(reportedLoad + state.sentSinceReport, state.inFlight);
    return {region, usableSlots, usableSlots - load, now - state.reportedAt};
}

auto placement::stateOf(const base::node_id &node, const base::service_id &service) const
        -> const node_service_state &
{
    static const node_service_state withoutReport;
    const auto position = m_nodeServiceStates.find({node, service});
    return position == m_nodeServiceStates.end() ? withoutReport : position->second;
}

auto placement::scoreOf(const membership::upstream_place &place, const node_service_state &state,
                        const placement_request &request, base::time_point now) const -> double
{
    auto remaining = request.target - now;
    if (place.node->region != m_settings.region) {
        remaining -= REGION_ROUND_TRIP;
    }
    auto score = expectedBenefit(state, place.upstream->slots, request, remaining, now);
    if (state.penalisedUntil > now) {
        score -= 0.5;
    }
    return score - transferCost(*place.node, request);
}

auto placement::expectedBenefit(const node_service_state &state, std::uint32_t slots,
                                const placement_request &request, base::duration remaining,
                                base::time_point now) const -> double
{
    const auto usableSlots = estimatedUsableSlots(state, slots, now);
    const double busySlots = estimatedBusySlots(state, usableSlots, now);
    if (request.needsFreeSlot && busySlots >= usableSlots) {
        return EXCLUDED_SCORE;
    }
    const double expectedSeconds = base::toSeconds(request.expectedServiceTime
                                                   + expectedWait(state, usableSlots, busySlots));
    const double onTimeProbability =
            1.0
            / (1.0 + std::pow(expectedSeconds / std::max(0.001, base::toSeconds(remaining)), 3.0));
    const double health = estimatedHealth(state, now);
    const double freeShare = std::max(0.0, 1.0 - busySlots / usableSlots);
    const double acceptance = reportWeight(state, now) > 0.0 ? state.load.acceptance : 1.0;
    return health * acceptance * (onTimeProbability + FREE_SLOT_WEIGHT * freeShare);
}

auto placement::hasFreeSlot(const node_service_state &state, std::uint32_t slots,
                            base::time_point now) const -> bool
{
    const auto usableSlots = estimatedUsableSlots(state, slots, now);
    return estimatedBusySlots(state, usableSlots, now) < usableSlots;
}

auto placement::expectedWait(const node_service_state &state, std::uint32_t usableSlots,
                             double busySlots) const -> base::duration
{
    const auto serviceTime = state.load.meanServiceTime.count() > 0
                                     ? state.load.meanServiceTime
                                     : base::duration(DEFAULT_SERVICE_TIME);
    const double slotTurns = std::max(0.0, busySlots + 1.0 - usableSlots) / usableSlots;
    return std::chrono::duration_cast<base::duration>(serviceTime * slotTurns);
}

auto placement::estimatedUsableSlots(const node_service_state &state, std::uint32_t slots,
                                     base::time_point now) const -> std::uint32_t
{
    return std::max(1U, reportWeight(state, now) > 0.0 ? state.load.usableSlots : slots);
}

auto placement::estimatedBusySlots(const node_service_state &state, std::uint32_t usableSlots,
                                   base::time_point now) const -> double
{
    const double weight = reportWeight(state, now);
    const double reportedLoad = weight * (state.load.busySlots + state.load.waiting)
                                + (1.0 - weight) * DEFAULT_UTILISATION * usableSlots;
    return std::max<double>(reportedLoad + state.sentSinceReport, state.inFlight);
}

auto placement::reportWeight(const node_service_state &state, base::time_point now) const -> double
{
    const auto age = now - state.reportedAt;
    if (state.reportedAt == base::time_point{} || age >= MAX_REPORT_AGE) {
        return 0.0;
    }
    return 1.0 - base::toSeconds(age) / base::toSeconds(MAX_REPORT_AGE);
}

auto placement::estimatedHealth(const node_service_state &state, base::time_point now) const
        -> double
{
    const double weight = reportWeight(state, now);
    return weight * state.load.health + (1.0 - weight) * DEFAULT_HEALTH;
}

auto placement::transferCost(const membership::node_entry &node,
                             const placement_request &request) const -> double
{
    if (node.failureDomain == m_settings.failureDomain) {
        return 0.0;
    }
    const auto meanBytes = m_meanResponseBytes.find(request.route);
    const double responseBytes =
            meanBytes == m_meanResponseBytes.end() ? DEFAULT_RESPONSE_BYTES : meanBytes->second;
    const double bytes = static_cast<double>(request.requestBytes) + responseBytes;
    return bytes
           * (node.region == m_settings.region ? m_settings.failureDomainCostPerByte
                                               : m_settings.regionCostPerByte);
}

auto placement::startStateOf(const node_service_state &state, std::size_t entryNodeCount,
                             base::time_point now) const -> start_state
{
    if (state.startRefusedUntil > now) {
        return start_state::Refusing;
    }
    if (state.load.startRate < 0.0 || now - state.reportedAt >= MAX_START_RATE_AGE) {
        return start_state::Unlimited;
    }
    return startTokens(state, entryNodeCount, now) >= 1.0 ? start_state::WithinShare
                                                          : start_state::BeyondShare;
}

// The share is not smaller than what trial requests need.
auto placement::startTokens(const node_service_state &state, std::size_t entryNodeCount,
                            base::time_point now) const -> double
{
    if (state.load.startRate <= 0.0) {
        return 0.0;
    }
    const double tokensPerSecond = std::max(state.load.startRate, TRIALS_PER_SECOND)
                                   / static_cast<double>(std::max<std::size_t>(1, entryNodeCount));
    return std::min(1.0, state.startTokens
                                 + tokensPerSecond * base::toSeconds(now - state.startTokensAt));
}

auto placement::takeStartToken(node_service_state &state, std::size_t entryNodeCount,
                               base::time_point now) -> void
{
    if (state.load.startRate < 0.0) {
        return;
    }
    state.startTokens = std::max(0.0, startTokens(state, entryNodeCount, now) - 1.0);
    state.startTokensAt = now;
}

auto placement::isPathInBackoff(const base::node_id &node, base::time_point now) const -> bool
{
    const auto path = m_paths.find(node);
    return path != m_paths.end() && path->second.backoffUntil > now;
}

auto placement::onAttemptEnd(const base::node_id &node, const base::service_id &service,
                             const std::optional<base::error_kind> &failure,
                             const std::optional<service_load> &load, base::time_point now) -> void
{
    auto &state = m_nodeServiceStates[{node, service}];
    state.inFlight -= std::min(state.inFlight, 1U);
    if (load) {
        onLoad(node, service, *load, now);
    } else {
        state.sentSinceReport -= std::min(state.sentSinceReport, 1U);
    }
    if (failure == base::error_kind::UpstreamCold || failure == base::error_kind::UpstreamLimited) {
        state.startRefusal = *failure;
        const auto interval =
                state.load.startRate > 0.0 ? std::chrono::duration_cast<base::duration>(
                        std::chrono::duration<double>(1.0 / state.load.startRate))
                                           : base::duration(MAX_START_REFUSAL_TIME);
        state.startRefusedUntil = now + std::min<base::duration>(interval, MAX_START_REFUSAL_TIME);
    }
    if (failure && isPathFailure(*failure)) {
        auto &path = m_paths[node];
        const auto shift = std::min(path.consecutiveFailures, 3U);
        path.backoffUntil = now + std::min(FIRST_PATH_BACKOFF * (1U << shift), MAX_PATH_BACKOFF);
        ++path.consecutiveFailures;
        return;
    }
    if (load || !failure) {
        m_paths.erase(node);
    }
    if (failure && !load && base::isNotRun(*failure)) {
        state.penalisedUntil = now + REFUSAL_PENALTY_TIME;
    }
}

auto placement::onLoad(const base::node_id &node, const base::service_id &service,
                       const service_load &load, base::time_point now) -> void
{
    auto &state = m_nodeServiceStates[{node, service}];
    if (load.startRate >= 0.0 && state.load.startRate < 0.0) {
        // The first requests of all nodes are spread over the time in which each may send one.
        state.startTokens = m_random.unit();
        state.startTokensAt = now;
    }
    if (load.startRate < 0.0) {
        state.startRefusedUntil = {};
    }
    state.load = load;
    state.reportedAt = now;
    state.sentSinceReport = 0;
}

auto placement::onResponseBytes(const base::route_id &route, std::size_t bytes) -> void
{
    auto &mean = m_meanResponseBytes.try_emplace(route, static_cast<double>(bytes)).first->second;
    mean += RESPONSE_BYTES_SMOOTHING * (static_cast<double>(bytes) - mean);
}

} // namespace hawthornpick::policy
