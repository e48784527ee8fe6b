#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "policy/detectorparameters.h"
#include "policy/failuredetector.h"

#include <array>
#include <deque>
#include <map>
#include <unordered_set>

namespace hawthornpick::policy {

//! Sums of samples that decay exponentially with time.
struct decaying_statistics
{
    double requests = 0.0;
    double failures = 0.0;
    double latencySamples = 0.0;
    double logLatencySum = 0.0;
    double logLatencySquareSum = 0.0;
    base::time_point updatedAt{};

    auto decay(base::duration timeConstant, base::time_point now) -> void;
    auto addOutcome(bool failed) -> void;
    auto addLatency(double logLatency) -> void;
    [[nodiscard]] auto failureRate() const -> double;
    [[nodiscard]] auto meanLogLatency() const -> double;
    [[nodiscard]] auto logLatencyDeviation() const -> double;
};

//! Baseline of the service that an upstream is tested against.
struct service_baseline
{
    bool hasLatency = false;
    double failureRate = 0.0;
    double logLatency = 0.0;
    double logDeviation = 0.5;

    //! Returns the usual p99 latency of the service in seconds, under the log-normal model.
    [[nodiscard]] auto p99Seconds() const -> double;
};

//! CUSUM that attributes its value to the organisations that contributed to it.
class attributed_cusum
{
public:
    //! Adds a log-likelihood ratio. The total stays between 0 and `maxTotal`.
    auto add(const base::organisation_id &organisation, double logLikelihoodRatio, double maxTotal)
            -> void;
    auto reset() -> void { m_evidence.clear(); }
    [[nodiscard]] auto total() const -> double;
    [[nodiscard]] auto evidenceByOrganisation() const
            -> const std::map<base::organisation_id, double> &
    {
        return m_evidence;
    }

private:
    std::map<base::organisation_id, double> m_evidence;
};

//! Set of the latest `CAPACITY` request fingerprints.
class recent_fingerprints
{
public:
    auto insert(std::uint64_t fingerprint) -> void;
    [[nodiscard]] auto contains(std::uint64_t fingerprint) const -> bool;

private:
    static constexpr std::size_t CAPACITY = 512;

    std::deque<std::uint64_t> m_insertionOrder;
    std::unordered_set<std::uint64_t> m_set;
};

//! Returns the log-likelihood ratio, unhealthy to healthy, of one request. `usualRate` is the
//! failure rate expected of a healthy upstream. Thread safety: pure.
auto failureEvidence(const detector_parameters &parameters, double usualRate, bool failed)
        -> double;

//! Returns the log-likelihood ratio, slow to healthy, of one latency. Thread safety: pure.
auto latencyEvidence(const detector_parameters &parameters, const service_baseline &baseline,
                     double logLatency) -> double;

//! Returns the log-likelihood ratio, hung to healthy, of a request in flight for `age`; 0 up to the
//! usual p99 plus `inFlightGrace`. Thread safety: pure.
auto inFlightEvidence(const detector_parameters &parameters, const service_baseline &baseline,
                      base::duration age) -> double;

} // namespace hawthornpick::policy
