#include "policy/placement.h"

#include <algorithm>
#include <cmath>

namespace hawthornpick::policy {

namespace {

//! Spread of the random part of a value, so that nodes with the same reports do not all choose the
//! same upstream.
constexpr double VALUE_NOISE = 0.04;
//! Load of an upstream about which nothing is known, as a part of its slots.
constexpr double USUAL_LOAD = 0.5;
//! Value of the share of free slots: upstreams get slower when they are nearly full.
constexpr double FREE_SLOT_VALUE = 0.25;
//! Time of a service before the first report of its mean.
constexpr base::milliseconds USUAL_SERVICE_TIME{300};
//! Round trip between regions.
constexpr base::milliseconds REGION_ROUND_TRIP{41};
constexpr double ANSWER_BYTES_SMOOTHING = 0.1;
//! Time over which the rate of requests is averaged.
constexpr base::milliseconds RATE_TIME{3000};
//! Share of the requests that may be used for tries.
constexpr double MAX_TRIAL_SHARE = 0.25;
//! Length of the answers of a route before the first one: long enough to stay near.
constexpr double UNKNOWN_ANSWER_BYTES = 20'000.0;
//! Value of an upstream that must not be chosen.
constexpr double NO_VALUE = -1e9;
//! Pause after a refusal by a full upstream: about the time of one request in its slots.
constexpr base::milliseconds REFUSAL_PAUSE{60};

auto isPathFailure(base::error_kind kind) -> bool
{
    return kind == base::error_kind::PeerUnreachable || kind == base::error_kind::OutcomeUnknown;
}

auto isExcluded(const placement_request &request, const base::node_id &node) -> bool
{
    const auto &excluded = request.excluded;
    return std::find(excluded.begin(), excluded.end(), node) != excluded.end();
}

} // namespace

placement::placement(placement_settings settings, std::uint64_t seed)
    : m_settings(std::move(settings)), m_random(seed)
{}

auto placement::choose(const membership::view &view, const placement_request &request,
                       base::time_point now) -> base::result<placed_request>
{
    const membership::node_entry *best = nullptr;
    double bestValue = 0.0;
    std::uint32_t bestSlots = 1;
    bool hasPaused = false;
    bool hasDoubtful = false;
    for (const auto &place : view.upstreamsOf(request.service)) {
        if (place.upstream->state != membership::upstream_state::Ready
            || isExcluded(request, place.node->id)) {
            continue;
        }
        if (isPathPaused(place.node->id, now)) {
            hasPaused = true;
            continue;
        }
        const auto &state = knownState(place.node->id, request.service);
        if (!request.idempotent && healthOf(state, now) < MIN_HEALTH_ONCE) {
            hasDoubtful = true;
            continue;
        }
        const auto value = valueOf(place, state, request, now) + VALUE_NOISE * m_random.unit();
        if (value > NO_VALUE / 2 && (best == nullptr || value > bestValue)) {
            best = place.node;
            bestSlots = place.upstream->slots;
            bestValue = value;
        }
    }
    if (best == nullptr && hasDoubtful) {
        return base::fail(base::error_kind::Overloaded, "no upstream that probably answers");
    }
    if (best == nullptr) {
        return base::fail(hasPaused ? base::error_kind::PeerUnreachable
                                    : base::error_kind::NoUpstream,
                          hasPaused ? "all paths to upstreams of the service failed" : "");
    }
    auto &state = m_places[{best->id, request.service}];
    if (request.idempotent && !request.needsFreeSlot) {
        rateOf(request.service, now);
        m_rates[request.service].count += 1.0;
    }
    const auto usable = usableAt(state, bestSlots, now);
    const auto wait = waitAt(state, usable, busyAt(state, usable, now));
    const auto health = healthOf(state, now);
    occupy(*best, request.service);
    return placed_request{best, health, wait};
}

auto placement::occupy(const membership::node_entry &node, const base::service_id &service) -> void
{
    auto &state = m_places[{node.id, service}];
    ++state.underWay;
    ++state.sinceReport;
}

// Requests a second.
auto placement::rateOf(const base::service_id &service, base::time_point now) -> double
{
    auto &rate = m_rates[service];
    rate.count *= std::exp(-base::toSeconds(now - rate.at) / base::toSeconds(RATE_TIME));
    rate.at = now;
    return rate.count / base::toSeconds(RATE_TIME);
}

auto placement::doubtfulPlaces(const membership::view &view, const placement_request &request,
                               base::time_point now) const
        -> std::vector<const membership::node_entry *>
{
    std::vector<const membership::node_entry *> places;
    for (const auto &place : view.upstreamsOf(request.service)) {
        if (place.upstream->state != membership::upstream_state::Ready
            || isPathPaused(place.node->id, now)) {
            continue;
        }
        const auto &state = knownState(place.node->id, request.service);
        if (trustIn(state, now) <= 0.0 || state.load.health < DOUBTFUL_HEALTH) {
            places.push_back(place.node);
        }
    }
    return places;
}

auto placement::chooseTrial(const membership::view &view, const placement_request &request,
                            std::size_t entries, base::time_point now)
        -> const membership::node_entry *
{
    const auto known = m_answerBytes.find(request.route);
    if (!request.idempotent || known == m_answerBytes.end() || known->second > MAX_TRIAL_BYTES) {
        return nullptr;
    }
    const auto places = doubtfulPlaces(view, request, now);
    const double fleetRate =
            std::max(0.1, rateOf(request.service, now)) * static_cast<double>(entries);
    const double wanted = TRIALS_PER_SECOND * static_cast<double>(places.size()) / fleetRate;
    if (places.empty() || !m_random.chance(std::min(MAX_TRIAL_SHARE, wanted))) {
        return nullptr;
    }
    const auto *node = places.at(m_random.below(places.size()));
    if (isExcluded(request, node->id)) {
        return nullptr;
    }
    occupy(*node, request.service);
    return node;
}

auto placement::knownState(const base::node_id &node, const base::service_id &service) const
        -> const place_state &
{
    static const place_state unknown;
    const auto position = m_places.find({node, service});
    return position == m_places.end() ? unknown : position->second;
}

auto placement::valueOf(const membership::upstream_place &place, const place_state &state,
                        const placement_request &request, base::time_point now) const -> double
{
    auto left = request.target - now;
    if (place.node->region != m_settings.region) {
        left -= REGION_ROUND_TRIP;
    }
    auto value = chanceInTime(state, place.upstream->slots, request, left, now);
    if (state.refusedUntil > now) {
        value -= 0.5;
    }
    return value - priceOf(*place.node, request);
}

auto placement::chanceInTime(const place_state &state, std::uint32_t slots,
                             const placement_request &request, base::duration left,
                             base::time_point now) const -> double
{
    const auto usable = usableAt(state, slots, now);
    const double busy = busyAt(state, usable, now);
    if (request.needsFreeSlot && busy >= usable) {
        return NO_VALUE;
    }
    const double expected = base::toSeconds(request.expected + waitAt(state, usable, busy));
    const double inTime =
            1.0 / (1.0 + std::pow(expected / std::max(0.001, base::toSeconds(left)), 3.0));
    const double health = healthOf(state, now);
    const double free = std::max(0.0, 1.0 - busy / usable);
    const double acceptance = trustIn(state, now) > 0.0 ? state.load.acceptance : 1.0;
    return health * acceptance * (inTime + FREE_SLOT_VALUE * free);
}

auto placement::waitAt(const place_state &state, std::uint32_t usable, double busy) const
        -> base::duration
{
    const auto service = state.load.meanService.count() > 0 ? state.load.meanService
                                                            : base::duration(USUAL_SERVICE_TIME);
    const double turns = std::max(0.0, busy + 1.0 - usable) / usable;
    return std::chrono::duration_cast<base::duration>(service * turns);
}

auto placement::usableAt(const place_state &state, std::uint32_t slots, base::time_point now) const
        -> std::uint32_t
{
    return std::max(1U, trustIn(state, now) > 0.0 ? state.load.usableSlots : slots);
}

auto placement::busyAt(const place_state &state, std::uint32_t usable, base::time_point now) const
        -> double
{
    const double trust = trustIn(state, now);
    const double reported = trust * (state.load.busySlots + state.load.waiting)
                            + (1.0 - trust) * USUAL_LOAD * usable;
    return std::max<double>(reported + state.sinceReport, state.underWay);
}

auto placement::trustIn(const place_state &state, base::time_point now) const -> double
{
    const auto age = now - state.reportedAt;
    if (state.reportedAt == base::time_point{} || age >= REPORT_LIFE) {
        return 0.0;
    }
    return 1.0 - base::toSeconds(age) / base::toSeconds(REPORT_LIFE);
}

auto placement::healthOf(const place_state &state, base::time_point now) const -> double
{
    const double trust = trustIn(state, now);
    return trust * state.load.health + (1.0 - trust) * PRIOR_HEALTH;
}

auto placement::priceOf(const membership::node_entry &node, const placement_request &request) const
        -> double
{
    if (node.failureDomain == m_settings.failureDomain) {
        return 0.0;
    }
    const auto known = m_answerBytes.find(request.route);
    const double answer = known == m_answerBytes.end() ? UNKNOWN_ANSWER_BYTES : known->second;
    const double bytes = static_cast<double>(request.requestBytes) + answer;
    return bytes
           * (node.region == m_settings.region ? m_settings.domainBytePrice
                                               : m_settings.regionBytePrice);
}

auto placement::isPathPaused(const base::node_id &node, base::time_point now) const -> bool
{
    const auto path = m_paths.find(node);
    return path != m_paths.end() && path->second.pausedUntil > now;
}

auto placement::onEnd(const base::node_id &node, const base::service_id &service,
                      const std::optional<base::error_kind> &failure,
                      const std::optional<service_load> &load, base::time_point now) -> void
{
    auto &state = m_places[{node, service}];
    state.underWay -= std::min(state.underWay, 1U);
    if (load) {
        onLoad(node, service, *load, now);
    } else {
        state.sinceReport -= std::min(state.sinceReport, 1U);
    }
    if (failure && isPathFailure(*failure)) {
        auto &path = m_paths[node];
        const auto shift = std::min(path.failures, 3U);
        path.pausedUntil = now + std::min(FIRST_PATH_PAUSE * (1U << shift), MAX_PATH_PAUSE);
        ++path.failures;
        return;
    }
    if (load || !failure) {
        m_paths.erase(node);
    }
    if (failure && !load && base::isNotRun(*failure)) {
        state.refusedUntil = now + REFUSAL_PAUSE;
    }
}

auto placement::onLoad(const base::node_id &node, const base::service_id &service,
                       const service_load &load, base::time_point now) -> void
{
    auto &state = m_places[{node, service}];
    state.load = load;
    state.reportedAt = now;
    state.sinceReport = 0;
}

auto placement::onAnswerBytes(const base::route_id &route, std::size_t bytes) -> void
{
    auto &mean = m_answerBytes.try_emplace(route, static_cast<double>(bytes)).first->second;
    mean += ANSWER_BYTES_SMOOTHING * (static_cast<double>(bytes) - mean);
}

} // namespace hawthornpick::policy
