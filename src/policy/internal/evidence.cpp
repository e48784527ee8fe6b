#include "policy/internal/evidence.h"

#include <algorithm>
#include <cmath>
#include <numbers>
#include <numeric>

namespace hawthornpick::policy {

namespace {

//! Standard score of the 99th percentile of the normal distribution.
constexpr double P99_STANDARD_SCORE = 2.326;
//! The unhealthy hypothesis assumes at least this multiple of the usual failure rate, up to
//! `MAX_FAILURE_RATE`.
constexpr double UNHEALTHY_RATE_FACTOR = 3.0;
constexpr double MAX_FAILURE_RATE = 0.95;
//! Minimum evidence from one latency, so that a few fast responses do not clear a slow upstream.
constexpr double MIN_LATENCY_EVIDENCE = -1.0;
constexpr double MIN_LOG_DEVIATION = 0.3;

//! Returns the negative logarithm of the upper tail of the standard normal distribution.
auto negativeLogUpperTail(double standardScore) -> double
{
    const double tail = 0.5 * std::erfc(standardScore / std::numbers::sqrt2);
    return tail > 0.0 ? -std::log(tail) : 700.0;
}

} // namespace

auto decaying_statistics::decay(base::duration timeConstant, base::time_point now) -> void
{
    if (now <= updatedAt) {
        return;
    }
    const double decayFactor =
            std::exp(-base::toSeconds(now - updatedAt) / base::toSeconds(timeConstant));
    for (auto *sum :
         {&requests, &failures, &latencySamples, &logLatencySum, &logLatencySquareSum}) {
        *sum *= decayFactor;
    }
    updatedAt = now;
}

auto decaying_statistics::addOutcome(bool failed) -> void
{
    requests += 1.0;
    failures += failed ? 1.0 : 0.0;
}

auto decaying_statistics::addLatency(double logLatency) -> void
{
    latencySamples += 1.0;
    logLatencySum += logLatency;
    logLatencySquareSum += logLatency * logLatency;
}

auto decaying_statistics::failureRate() const -> double
{
    return requests > 0.0 ? failures / requests : 0.0;
}

auto decaying_statistics::meanLogLatency() const -> double
{
    return latencySamples > 0.0 ? logLatencySum / latencySamples : 0.0;
}

auto decaying_statistics::logLatencyDeviation() const -> double
{
    if (latencySamples <= 0.0) {
        return MIN_LOG_DEVIATION;
    }
    const double variance =
            logLatencySquareSum / latencySamples - meanLogLatency() * meanLogLatency();
    return std::max(std::sqrt(std::max(variance, 0.0)), MIN_LOG_DEVIATION);
}

auto service_baseline::p99Seconds() const -> double
{
    return std::exp(logLatency + P99_STANDARD_SCORE * logDeviation);
}

// A decrease scales the evidence of all organisations in proportion, so that their sum always
// equals the value of a plain CUSUM.
auto attributed_cusum::add(const base::organisation_id &organisation, double logLikelihoodRatio,
                           double maxTotal) -> void
{
    if (logLikelihoodRatio > 0.0) {
        m_evidence[organisation] += logLikelihoodRatio;
    }
    const double before = total();
    const double after = std::clamp(before + std::min(logLikelihoodRatio, 0.0), 0.0, maxTotal);
    if (after <= 0.0) {
        m_evidence.clear();
        return;
    }
    for (auto &[id, evidence] : m_evidence) {
        evidence *= after / before;
    }
}

auto attributed_cusum::total() const -> double
{
    return std::accumulate(m_evidence.begin(), m_evidence.end(), 0.0,
                           [](double sum, const auto &evidence) { return sum + evidence.second; });
}

auto recent_fingerprints::insert(std::uint64_t fingerprint) -> void
{
    if (fingerprint == 0 || !m_set.insert(fingerprint).second) {
        return;
    }
    m_insertionOrder.push_back(fingerprint);
    if (m_insertionOrder.size() > CAPACITY) {
        m_set.erase(m_insertionOrder.front());
        m_insertionOrder.pop_front();
    }
}

auto recent_fingerprints::contains(std::uint64_t fingerprint) const -> bool
{
    return m_set.contains(fingerprint);
}

auto failureEvidence(const detector_parameters &parameters, double usualRate, bool failed) -> double
{
    const double healthyRate =
            std::clamp(usualRate, parameters.minHealthyFailureRate, MAX_FAILURE_RATE);
    const double unhealthyRate =
            std::max(parameters.minUnhealthyFailureRate,
                     std::min(healthyRate * UNHEALTHY_RATE_FACTOR, MAX_FAILURE_RATE));
    return failed ? std::log(unhealthyRate / healthyRate)
                  : std::log((1.0 - unhealthyRate) / (1.0 - healthyRate));
}

auto latencyEvidence(const detector_parameters &parameters, const service_baseline &baseline,
                     double logLatency) -> double
{
    if (!baseline.hasLatency) {
        return 0.0;
    }
    const double shift = std::log(parameters.slowLatencyFactor);
    const double deviation = std::max(baseline.logDeviation, MIN_LOG_DEVIATION);
    const double logLikelihoodRatio =
            (shift * (logLatency - baseline.logLatency) - shift * shift / 2)
            / (deviation * deviation);
    return std::clamp(logLikelihoodRatio, MIN_LATENCY_EVIDENCE, parameters.maxLatencyEvidence);
}

auto inFlightEvidence(const detector_parameters &parameters, const service_baseline &baseline,
                      base::duration age) -> double
{
    const double seconds = base::toSeconds(age);
    if (!baseline.hasLatency
        || seconds <= baseline.p99Seconds() + base::toSeconds(parameters.inFlightGrace)) {
        return 0.0;
    }
    const double standardScore = (std::log(seconds) - baseline.logLatency) / baseline.logDeviation;
    return std::min(negativeLogUpperTail(standardScore), parameters.maxInFlightEvidence);
}

} // namespace hawthornpick::policy
