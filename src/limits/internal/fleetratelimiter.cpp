#include "limits/fleetratelimiter.h"

#include <absl/strings/str_format.h>
#include <algorithm>
#include <cmath>
#include <utility>

namespace hawthornpick::limits {

namespace {

//! Time constant of the exponential average of demand.
constexpr base::milliseconds DEMAND_DECAY_TIME{2000};
//! Fraction of the rate that is divided by demand; the rest is divided evenly.
constexpr double DEMAND_WEIGHTED_FRACTION = 0.75;
//! Fraction of the planned requests that must be unused for requests beyond the share to be
//! admitted.
constexpr double BEYOND_SHARE_MIN_UNUSED_FRACTION = 0.4;
//! Unused fraction of the planned requests below which token buckets refill more slowly.
constexpr double SLOW_REFILL_UNUSED_FRACTION = 0.25;
//! Fraction of the unused requests that may be admitted beyond the share before the totals contain
//! them.
constexpr double BEYOND_SHARE_STEP_FRACTION = 0.4;
//! Requests that a node may admit beyond its share, whatever the share, before the totals contain
//! them, if live totals show a jump in demand within a fraction of that time.
constexpr double LIVE_BEYOND_SHARE_STEP = 3.0;
//! Weight of the growth of admissions against their expiry: a window that fills holds few
//! admissions that are about to leave it.
constexpr double EXPIRY_GROWTH_WEIGHT = 0.5;
//! Part of a limit that is kept in reserve under heavy overload, and the ratio of demand to the
//! limit from which a part of the reserve is kept; all of it from this ratio plus 1.
constexpr double OVERLOAD_RESERVE_FRACTION = 0.05;
constexpr double RESERVE_START_OVERLOAD = 1.2;
//! Largest estimate of the demand of a node in the totals, as a multiple of its older demand.
constexpr double MAX_DEMAND_RISE_FACTOR = 1.25;
//! Smallest number of entry nodes that is assumed while the directory may be incomplete.
constexpr double STARTUP_MIN_ENTRY_NODES = 25.0;
//! Fraction of the tolerance that is used when planning; the rest makes up for late totals.
constexpr double PLANNED_TOLERANCE_FRACTION = 0.4;
//! Smaller demand is reported as 0.
constexpr double MIN_REPORTED_DEMAND_PER_S = 0.01;
//! Part of what a limit allows within the window from which the usage counts as near the limit.
constexpr double NEAR_LIMIT_FRACTION = 0.6;
constexpr base::milliseconds MIN_RETRY_AFTER{100};
constexpr base::milliseconds MAX_RETRY_AFTER{1000};

auto windowSeconds() -> double
{
    return base::toSeconds(fleet_rate_limiter::WINDOW);
}

//! Number of requests that a limit allows within the window.
auto windowRequests(const rate_limit &limit) -> double
{
    return limit.rate * windowSeconds() + limit.burst;
}

} // namespace

auto fleet_rate_limiter::decayDemand(usage_state &state, base::time_point now) -> void
{
    const double elapsedTimeConstants =
            base::toSeconds(now - state.decayedAt) / base::toSeconds(DEMAND_DECAY_TIME);
    state.decayedRequests *= std::exp(-std::max(0.0, elapsedTimeConstants));
    state.decayedAt = now;
}

auto fleet_rate_limiter::dropExpired(usage_state &state, base::time_point now) -> void
{
    while (!state.admissions.empty() && state.admissions.front() + WINDOW <= now) {
        state.admissions.pop_front();
    }
    while (!state.beyondShareAdmissions.empty()
           && state.beyondShareAdmissions.front() + MAX_TOTALS_LAG <= now) {
        state.beyondShareAdmissions.pop_front();
    }
    while (state.demandReports.size() > 1 && state.demandReports[1].first + MAX_TOTALS_LAG <= now) {
        state.demandReports.pop_front();
    }
}

// The totals may contain any report of this node since the one sent MAX_TOTALS_LAG ago. If demand
// rose since then, the totals contain more than that oldest report, but possibly less than the
// newest one.
auto fleet_rate_limiter::estimateOwnDemandInTotals(const usage_state &state, double evenShare)
        -> double
{
    const auto &reports = state.demandReports;
    if (reports.empty()) {
        return 0.0;
    }
    const double baselineDemand =
            std::max(reports.front().second, state.fleetUsage.demand * evenShare);
    return std::min(reports.back().second, MAX_DEMAND_RISE_FACTOR * baselineDemand);
}

// Returns the share of this node among the nodes whose usage is in the totals.
auto fleet_rate_limiter::shareFor(const usage_state &state) const -> double
{
    if (state.fleetUsage.demand <= 0.0) {
        return m_evenShare;
    }
    const double demandShare = std::min(1.0, state.ownDemandInTotals / state.fleetUsage.demand);
    return DEMAND_WEIGHTED_FRACTION * demandShare + (1.0 - DEMAND_WEIGHTED_FRACTION) * m_evenShare;
}

auto fleet_rate_limiter::refillTokens(usage_state &state, const rate_limit &limit, double share,
                                      base::time_point now) const -> void
{
    // A request takes one whole token, so a bucket must hold at least one.
    const double bucketDepth = std::max(1.0, limit.burst * share);
    if (state.isNew) {
        state.isNew = false;
        state.tokens = std::min(1.0, limit.burst * share);
    } else {
        // The closer the fleet is to the limit, the slower the bucket refills.
        const double planned = plannedWindowRequests(limit);
        const double refillFactor = hasRecentTotals(state, now)
                                            ? unusedWindowRequests(state, limit)
                                                      / (SLOW_REFILL_UNUSED_FRACTION * planned)
                                            : 1.0;
        state.tokens += limit.rate * share * std::clamp(refillFactor, 0.0, 1.0)
                        * base::toSeconds(now - state.tokensRefilledAt);
    }
    state.tokens = std::min(state.tokens, bucketDepth);
    state.tokensRefilledAt = now;
}

auto fleet_rate_limiter::plannedWindowRequests(const rate_limit &limit) const -> double
{
    return windowRequests(limit) * (1.0 + PLANNED_TOLERANCE_FRACTION * m_tolerance.overageRatio)
                   * m_coverage
           + PLANNED_TOLERANCE_FRACTION * m_tolerance.slackRequests * m_coverage;
}

auto fleet_rate_limiter::unusedWindowRequests(const usage_state &state,
                                              const rate_limit &limit) const -> double
{
    return plannedWindowRequests(limit) - state.fleetUsage.admitted;
}

// Totals leave out an organisation only if its demand is within its limit, so for an organisation
// that is new at this node the time of the last totals counts.
auto fleet_rate_limiter::hasRecentTotals(const usage_state &state, base::time_point now) const
        -> bool
{
    const auto receivedAt =
            state.fleetUsageAt == base::time_point{} ? m_totalsReceivedAt : state.fleetUsageAt;
    return receivedAt != base::time_point{} && now - receivedAt < MAX_TOTALS_AGE;
}

auto fleet_rate_limiter::hasLiveTotals(const usage_state &state, base::time_point now) -> bool
{
    return state.liveTotalsAt != base::time_point{}
           && now - state.liveTotalsAt <= MAX_LIVE_TOTALS_AGE;
}

auto fleet_rate_limiter::takeAllowance(usage_state &state, const rate_limit &limit, double share,
                                       base::time_point now) const -> bool
{
    const bool isUsageKnown = hasRecentTotals(state, now);
    const double planned = plannedWindowRequests(limit);
    const double unusedRequests = isUsageKnown ? unusedWindowRequests(state, limit) : 0.0;
    if (isUsageKnown && unusedRequests <= 0.0) {
        return false;
    }
    if (state.tokens >= 1.0) {
        state.tokens -= 1.0;
        return true;
    }
    const auto pendingAdmissions = static_cast<double>(state.beyondShareAdmissions.size());
    const double basicStep = hasLiveTotals(state, now) ? LIVE_BEYOND_SHARE_STEP : 1.0;
    if (!isUsageKnown || unusedRequests <= BEYOND_SHARE_MIN_UNUSED_FRACTION * planned
        || pendingAdmissions >= basicStep + BEYOND_SHARE_STEP_FRACTION * share * unusedRequests) {
        return false;
    }
    state.beyondShareAdmissions.push_back(now);
    return true;
}

auto fleet_rate_limiter::admissionGrowthPerSecond(const usage_state &state) -> double
{
    const auto &[oldestAt, oldestAdmitted] = state.liveAdmissions.front();
    const auto elapsed = state.liveTotalsAt - oldestAt;
    if (elapsed.count() <= 0) {
        return 0.0;
    }
    return std::max(0.0, (state.fleetUsage.admitted - oldestAdmitted) / base::toSeconds(elapsed));
}

// The totals lack the requests of the time that is their lag and age. What the fleet has left of
// the limit is spread over these requests, so that the nodes together admit no more than that.
// Their number follows from demand or, as demand is averaged over seconds, from the growth of
// admissions. The totals also hold admissions that left the window meanwhile, unless the window
// fills.
auto fleet_rate_limiter::admitByLiveTotals(const usage_state &state, const rate_limit &limit,
                                           base::time_point now) -> bool
{
    const double lagSeconds = base::toSeconds(LIVE_TOTALS_LAG + (now - state.liveTotalsAt));
    const double meanPerSecond = state.fleetUsage.admitted / windowSeconds();
    const double growthPerSecond = admissionGrowthPerSecond(state);
    const double expiredPerSecond =
            std::max(0.0, meanPerSecond - EXPIRY_GROWTH_WEIGHT * growthPerSecond);
    const double unusedRequests = liveTargetRequests(state, limit) - state.fleetUsage.admitted
                                  + expiredPerSecond * lagSeconds;
    const double unseenRequests =
            std::max(state.fleetUsage.demand, meanPerSecond + growthPerSecond) * lagSeconds;
    return unusedRequests > 0.0 && m_random.unit() * unseenRequests < unusedRequests;
}

// The more demand exceeds the limit, the more requests pass between two totals, so the reserve
// grows with the overload.
auto fleet_rate_limiter::liveTargetRequests(const usage_state &state, const rate_limit &limit) const
        -> double
{
    const double allowed = windowRequests(limit) * m_coverage;
    const double overload = state.fleetUsage.demand * windowSeconds() / std::max(1.0, allowed);
    const double reserveShare = std::clamp(overload - RESERVE_START_OVERLOAD, 0.0, 1.0);
    return allowed * (1.0 - OVERLOAD_RESERVE_FRACTION * reserveShare);
}

auto fleet_rate_limiter::isNearLimit(const rate_limit &limit, const base::rate_usage &usage) -> bool
{
    return limit.rate > 0.0
           && (usage.demand > limit.rate
               || usage.admitted >= NEAR_LIMIT_FRACTION * windowRequests(limit));
}

auto fleet_rate_limiter::currentUsage(usage_state &state, base::time_point now) -> base::rate_usage
{
    decayDemand(state, now);
    dropExpired(state, now);
    return {state.decayedRequests / base::toSeconds(DEMAND_DECAY_TIME),
            static_cast<double>(state.admissions.size())};
}

auto fleet_rate_limiter::changedUsage(base::time_point now) -> base::usage_map
{
    base::usage_map usage;
    for (auto &[organisation, state] : m_states) {
        if (std::exchange(state.hasUnreportedRequests, false)) {
            usage[organisation] = currentUsage(state, now);
        }
    }
    return usage;
}

auto fleet_rate_limiter::onLiveTotals(const base::usage_map &totals, double coverage,
                                      bool isComplete, base::time_point now) -> void
{
    if (isComplete) {
        onTotals(totals, coverage, now);
    }
    m_coverage = coverage;
    for (const auto &[organisation, usage] : totals) {
        m_totals[organisation] = usage;
        auto &state = m_states[organisation];
        state.fleetUsage = usage;
        state.fleetUsageAt = now;
        state.liveTotalsAt = now;
        state.liveAdmissions.emplace_back(now, usage.admitted);
        while (state.liveAdmissions.size() > 1
               && state.liveAdmissions[1].first + GROWTH_TIME <= now) {
            state.liveAdmissions.pop_front();
        }
    }
}

auto fleet_rate_limiter::findOrCreateState(const base::organisation_id &organisation)
        -> usage_state &
{
    const auto [position, isNew] = m_states.try_emplace(organisation);
    if (isNew) {
        const auto found = m_totals.find(organisation);
        position->second.fleetUsage = found == m_totals.end() ? base::rate_usage{} : found->second;
    }
    return position->second;
}

auto fleet_rate_limiter::admit(const base::organisation_id &organisation, const rate_limit &limit,
                               std::size_t entryNodeCount, base::time_point now) -> bool
{
    auto &state = findOrCreateState(organisation);
    decayDemand(state, now);
    dropExpired(state, now);
    state.decayedRequests += 1.0;
    state.hasUnreportedRequests = true;
    if (limit.rate <= 0.0) {
        return true;
    }
    const double minEntryNodes = now - m_startedAt < STARTUP_TIME ? STARTUP_MIN_ENTRY_NODES : 1.0;
    m_evenShare = 1.0 / std::max(minEntryNodes, m_coverage * static_cast<double>(entryNodeCount));
    const double share = shareFor(state) * m_coverage;
    refillTokens(state, limit, share, now);
    const bool isDecidedByFleet = hasLiveTotals(state, now) && isNearLimit(limit, state.fleetUsage);
    const bool isAdmitted = isDecidedByFleet ? admitByLiveTotals(state, limit, now)
                                             : takeAllowance(state, limit, share, now);
    if (!isAdmitted) {
        return false;
    }
    state.admissions.push_back(now);
    return true;
}

auto fleet_rate_limiter::report(base::time_point now) -> base::usage_map
{
    base::usage_map usage;
    for (auto &[organisation, state] : m_states) {
        auto reported = currentUsage(state, now);
        if (reported.demand < MIN_REPORTED_DEMAND_PER_S) {
            reported.demand = 0.0;
        }
        state.demandReports.emplace_back(now, reported.demand);
        state.hasUnreportedRequests = false;
        if (reported.demand > 0.0 || !state.admissions.empty()) {
            usage[organisation] = reported;
        }
    }
    return usage;
}

auto fleet_rate_limiter::onTotals(const base::usage_map &totals, double coverage,
                                  base::time_point now) -> void
{
    m_totalsReceivedAt = now;
    m_coverage = coverage;
    m_totals = totals;
    for (auto &[organisation, state] : m_states) {
        const auto found = totals.find(organisation);
        state.fleetUsage = found == totals.end() ? base::rate_usage{} : found->second;
        state.fleetUsageAt = now;
        dropExpired(state, now);
        state.ownDemandInTotals = estimateOwnDemandInTotals(state, m_evenShare);
    }
}

auto fleet_rate_limiter::explain(const base::organisation_id &organisation, const rate_limit &limit,
                                 base::time_point now) const -> std::string
{
    const auto position = m_states.find(organisation);
    if (position == m_states.end()) {
        return {};
    }
    const auto &state = position->second;
    return absl::StrFormat(
            "limit %.1f/s burst %.0f, fleet demand %.1f/s and %.0f admitted in 5 s, share %.3f, "
            "coverage %.2f, totals %d ms old",
            limit.rate, limit.burst, state.fleetUsage.demand, state.fleetUsage.admitted,
            shareFor(state), m_coverage, base::toMilliseconds(now - m_totalsReceivedAt));
}

auto fleet_rate_limiter::retryAfter(const base::organisation_id &organisation,
                                    const rate_limit &limit) -> base::milliseconds
{
    const auto &state = m_states[organisation];
    const double demandToLimitRatio =
            limit.rate <= 0.0 ? 1.0 : state.fleetUsage.demand / limit.rate;
    const double jitter = 0.5 + m_random.unit();
    const base::milliseconds delay(static_cast<std::int64_t>(
            static_cast<double>(MIN_RETRY_AFTER.count()) * demandToLimitRatio * jitter));
    return std::clamp(delay, MIN_RETRY_AFTER, MAX_RETRY_AFTER);
}

} // namespace hawthornpick::limits
