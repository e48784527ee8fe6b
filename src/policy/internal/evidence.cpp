#include "policy/internal/evidence.h"

#include <algorithm>
#include <cmath>
#include <numbers>
#include <numeric>

namespace hawthornpick::policy {

namespace {

//! Standard score of the 99th percentile.
constexpr double P99_SCORE = 2.326;
//! A failure counts as one of at most this many times the usual rate.
constexpr double FAILURE_RATE_MULTIPLE = 3.0;
constexpr double LARGEST_FAILURE_RATE = 0.95;
//! Least evidence from one latency, so that a few quick answers do not clear a slow upstream.
constexpr double LOWEST_LATENCY_RATIO = -1.0;
constexpr double SMALLEST_DEVIATION = 0.3;

//! Negative logarithm of the upper tail of the standard normal distribution.
auto tailSurprise(double score) -> double
{
    const double tail = 0.5 * std::erfc(score / std::numbers::sqrt2);
    return tail > 0.0 ? -std::log(tail) : 700.0;
}

} // namespace

auto decaying_statistics::decay(base::duration timeConstant, base::time_point now) -> void
{
    if (now <= updated) {
        return;
    }
    const double factor = std::exp(-base::toSeconds(now - updated) / base::toSeconds(timeConstant));
    for (auto *sum : {&requests, &failures, &latencies, &logSum, &logSquareSum}) {
        *sum *= factor;
    }
    updated = now;
}

auto decaying_statistics::addOutcome(bool failed) -> void
{
    requests += 1.0;
    failures += failed ? 1.0 : 0.0;
}

auto decaying_statistics::addLatency(double logLatency) -> void
{
    latencies += 1.0;
    logSum += logLatency;
    logSquareSum += logLatency * logLatency;
}

auto decaying_statistics::failureRate() const -> double
{
    return requests > 0.0 ? failures / requests : 0.0;
}

auto decaying_statistics::meanLog() const -> double
{
    return latencies > 0.0 ? logSum / latencies : 0.0;
}

auto decaying_statistics::deviationLog() const -> double
{
    if (latencies <= 0.0) {
        return SMALLEST_DEVIATION;
    }
    const double variance = logSquareSum / latencies - meanLog() * meanLog();
    return std::max(std::sqrt(std::max(variance, 0.0)), SMALLEST_DEVIATION);
}

auto service_norm::p99Seconds() const -> double
{
    return std::exp(logLatency + P99_SCORE * logDeviation);
}

// Falling evidence leaves all organisations' parts in proportion, so that the parts always add up
// to the value of the plain CUSUM.
auto attributed_cusum::add(const base::organisation_id &organisation, double ratio, double limit)
        -> void
{
    if (ratio > 0.0) {
        m_parts[organisation] += ratio;
    }
    const double before = total();
    const double after = std::clamp(before + std::min(ratio, 0.0), 0.0, limit);
    if (after <= 0.0) {
        m_parts.clear();
        return;
    }
    for (auto &[id, part] : m_parts) {
        part *= after / before;
    }
}

auto attributed_cusum::total() const -> double
{
    return std::accumulate(m_parts.begin(), m_parts.end(), 0.0,
                           [](double sum, const auto &part) { return sum + part.second; });
}

auto fingerprint_memory::insert(std::uint64_t fingerprint) -> void
{
    if (fingerprint == 0 || !m_set.insert(fingerprint).second) {
        return;
    }
    m_order.push_back(fingerprint);
    if (m_order.size() > LIMIT) {
        m_set.erase(m_order.front());
        m_order.pop_front();
    }
}

auto fingerprint_memory::contains(std::uint64_t fingerprint) const -> bool
{
    return m_set.contains(fingerprint);
}

auto failureRatio(const detector_parameters &parameters, double usual, bool failed) -> double
{
    const double healthy = std::clamp(usual, parameters.usualFailureRate, LARGEST_FAILURE_RATE);
    const double unhealthy =
            std::max(parameters.unhealthyFailureRate,
                     std::min(healthy * FAILURE_RATE_MULTIPLE, LARGEST_FAILURE_RATE));
    return failed ? std::log(unhealthy / healthy) : std::log((1.0 - unhealthy) / (1.0 - healthy));
}

auto latencyRatio(const detector_parameters &parameters, const service_norm &norm,
                  double logLatency) -> double
{
    if (!norm.hasLatency) {
        return 0.0;
    }
    const double shift = std::log(parameters.slowFactor);
    const double deviation = std::max(norm.logDeviation, SMALLEST_DEVIATION);
    const double ratio =
            (shift * (logLatency - norm.logLatency) - shift * shift / 2) / (deviation * deviation);
    return std::clamp(ratio, LOWEST_LATENCY_RATIO, parameters.latencyCap);
}

auto ageRatio(const detector_parameters &parameters, const service_norm &norm, base::duration age)
        -> double
{
    const double seconds = base::toSeconds(age);
    if (!norm.hasLatency || seconds <= norm.p99Seconds() + base::toSeconds(parameters.hangGrace)) {
        return 0.0;
    }
    const double score = (std::log(seconds) - norm.logLatency) / norm.logDeviation;
    return std::min(tailSurprise(score), parameters.hangCap);
}

} // namespace hawthornpick::policy
