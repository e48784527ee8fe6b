#include "policy/latencymodel.h"

#include <algorithm>
#include <boost/math/distributions/normal.hpp>
#include <cmath>

namespace hawthornpick::policy {

namespace {

//! Before answers were seen, requests are expected to take this part of their target.
constexpr double USUAL_PART_OF_TARGET = 0.3;
constexpr double USUAL_LOG_DEVIATION = 0.7;
constexpr double MIN_LOG_DEVIATION = 0.15;
//! Answers for which the expectation counts.
constexpr double PRIOR_WEIGHT = 4.0;
//! Answers over which the parameters follow a change.
constexpr double MAX_WEIGHT = 60.0;
//! Requests that take several times as long as others: a log-normal tail is too light for them.
constexpr double LONG_SHARE = 0.01;
constexpr double LONG_FACTOR = 4.0;

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
    const auto known = position == m_routes.end() ? parameters{} : position->second;
    const double priorMean =
            std::log(std::max(1e-4, base::toSeconds(target) * USUAL_PART_OF_TARGET));
    const double priorVariance = USUAL_LOG_DEVIATION * USUAL_LOG_DEVIATION;
    const double share = PRIOR_WEIGHT / (PRIOR_WEIGHT + known.weight);
    const double apart = known.weight > 0.0 ? known.logMean - priorMean : 0.0;
    const double mean = priorMean + (1.0 - share) * apart;
    // The known variance is around the known mean, so a wrong expectation only widens it.
    const double variance = share * priorVariance + (1.0 - share) * known.logVariance;
    return {mean, std::max(variance, MIN_LOG_DEVIATION * MIN_LOG_DEVIATION), known.weight};
}

auto latency_model::record(const base::route_id &route, base::duration elapsed) -> void
{
    auto &known = m_routes[route];
    const double sample = std::log(std::max(1e-4, base::toSeconds(elapsed)));
    known.weight = std::min(known.weight + 1.0, MAX_WEIGHT);
    const double step = 1.0 / known.weight;
    const double apart = sample - known.logMean;
    known.logMean += step * apart;
    known.logVariance = (1.0 - step) * (known.logVariance + step * apart * apart);
}

auto latency_model::survival(const base::route_id &route, base::duration age,
                             base::duration target) const -> double
{
    if (age <= base::duration::zero()) {
        return 1.0;
    }
    const auto known = parametersOf(route, target);
    const double deviation = std::sqrt(known.logVariance);
    const auto tail = [&](double seconds) {
        const double score = (std::log(seconds) - known.logMean) / deviation;
        return boost::math::cdf(boost::math::complement(standardNormal(), score));
    };
    const double seconds = base::toSeconds(age);
    return (1.0 - LONG_SHARE) * tail(seconds) + LONG_SHARE * tail(seconds / LONG_FACTOR);
}

auto latency_model::quantile(const base::route_id &route, double share, base::duration target) const
        -> base::duration
{
    const auto known = parametersOf(route, target);
    const double score = boost::math::quantile(standardNormal(), share);
    const double seconds = std::exp(known.logMean + score * std::sqrt(known.logVariance));
    return base::fromSeconds(seconds);
}

auto latency_model::mean(const base::route_id &route, base::duration target) const -> base::duration
{
    const auto known = parametersOf(route, target);
    const double seconds = std::exp(known.logMean + known.logVariance / 2.0);
    return base::fromSeconds(seconds);
}

} // namespace hawthornpick::policy
