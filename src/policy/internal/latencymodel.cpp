#include "policy/latencymodel.h"

#include <algorithm>
#include <boost/math/distributions/normal.hpp>
#include <cmath>

namespace hawthornpick::policy {

namespace {

//! Prior median latency as a share of the target latency.
constexpr double PRIOR_TARGET_SHARE = 0.3;
constexpr double PRIOR_LOG_DEVIATION = 0.7;
constexpr double MIN_LOG_DEVIATION = 0.15;
//! Number of responses that the prior counts as.
constexpr double PRIOR_SAMPLES = 4.0;
//! Number of responses over which the parameters follow a change.
constexpr double MAX_SAMPLES = 60.0;
//! Share and latency factor of a second, slower component: the tail of a single log-normal
//! distribution is too light.
constexpr double SLOW_SHARE = 0.01;
constexpr double SLOW_LATENCY_FACTOR = 4.0;

auto standardNormal() -> const boost::math::normal &
{
    static const boost::math::normal distribution;
    return distribution;
}

} // namespace

auto latency_model::parametersOf(const base::route_id &route, base::duration target) const
        -> parameters
{
    const auto position = m_routes.find(route);
    const auto fitted = position == m_routes.end() ? parameters{} : position->second;
    const double priorLogMean =
            std::log(std::max(1e-4, base::toSeconds(target) * PRIOR_TARGET_SHARE));
    const double priorLogVariance = PRIOR_LOG_DEVIATION * PRIOR_LOG_DEVIATION;
    const double priorShare = PRIOR_SAMPLES / (PRIOR_SAMPLES + fitted.sampleCount);
    const double difference = fitted.sampleCount > 0.0 ? fitted.logMean - priorLogMean : 0.0;
    const double logMean = priorLogMean + (1.0 - priorShare) * difference;
    // The measured variance is around the measured mean, so a wrong prior only widens the
    // distribution.
    const double logVariance =
            priorShare * priorLogVariance + (1.0 - priorShare) * fitted.logVariance;
    return {logMean, std::max(logVariance, MIN_LOG_DEVIATION * MIN_LOG_DEVIATION),
            fitted.sampleCount};
}

auto latency_model::record(const base::route_id &route, base::duration elapsed) -> void
{
    auto &fitted = m_routes[route];
    const double logLatency = std::log(std::max(1e-4, base::toSeconds(elapsed)));
    fitted.sampleCount = std::min(fitted.sampleCount + 1.0, MAX_SAMPLES);
    const double sampleWeight = 1.0 / fitted.sampleCount;
    const double difference = logLatency - fitted.logMean;
    fitted.logMean += sampleWeight * difference;
    fitted.logVariance =
            (1.0 - sampleWeight) * (fitted.logVariance + sampleWeight * difference * difference);
}

auto latency_model::survival(const base::route_id &route, base::duration age,
                             base::duration target) const -> double
{
    if (age <= base::duration::zero()) {
        return 1.0;
    }
    const auto fitted = parametersOf(route, target);
    const double logDeviation = std::sqrt(fitted.logVariance);
    const auto tail = [&](double seconds) {
        const double standardScore = (std::log(seconds) - fitted.logMean) / logDeviation;
        return boost::math::cdf(boost::math::complement(standardNormal(), standardScore));
    };
    const double seconds = base::toSeconds(age);
    return (1.0 - SLOW_SHARE) * tail(seconds) + SLOW_SHARE * tail(seconds / SLOW_LATENCY_FACTOR);
}

auto latency_model::quantile(const base::route_id &route, double share, base::duration target) const
        -> base::duration
{
    const auto fitted = parametersOf(route, target);
    const double standardScore = boost::math::quantile(standardNormal(), share);
    const double seconds = std::exp(fitted.logMean + standardScore * std::sqrt(fitted.logVariance));
    return base::fromSeconds(seconds);
}

auto latency_model::mean(const base::route_id &route, base::duration target) const -> base::duration
{
    const auto fitted = parametersOf(route, target);
    const double seconds = std::exp(fitted.logMean + fitted.logVariance / 2.0);
    return base::fromSeconds(seconds);
}

} // namespace hawthornpick::policy
