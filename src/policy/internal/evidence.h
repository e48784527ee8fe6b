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

//! Sums whose samples lose weight exponentially with time.
struct decaying_statistics
{
    double requests = 0.0;
    double failures = 0.0;
    double latencies = 0.0;
    double logSum = 0.0;
    double logSquareSum = 0.0;
    base::time_point updated{};

    auto decay(base::duration timeConstant, base::time_point now) -> void;
    auto addOutcome(bool failed) -> void;
    auto addLatency(double logLatency) -> void;
    [[nodiscard]] auto failureRate() const -> double;
    [[nodiscard]] auto meanLog() const -> double;
    [[nodiscard]] auto deviationLog() const -> double;
};

//! What the test compares an upstream with.
struct service_norm
{
    bool hasLatency = false;
    double failureRate = 0.0;
    double logLatency = 0.0;
    double logDeviation = 0.5;

    //! Usual p99 of the service in seconds, under the lognormal model.
    [[nodiscard]] auto p99Seconds() const -> double;
};

//! CUSUM whose value is kept by the organisations it came from.
class attributed_cusum
{
public:
    //! Adds a log-likelihood ratio; the value never falls below 0 or rises above `limit`.
    auto add(const base::organisation_id &organisation, double ratio, double limit) -> void;
    auto reset() -> void { m_parts.clear(); }
    [[nodiscard]] auto total() const -> double;
    [[nodiscard]] auto parts() const -> const std::map<base::organisation_id, double> &
    {
        return m_parts;
    }

private:
    std::map<base::organisation_id, double> m_parts;
};

//! Requests that have succeeded or failed lately, in bounded memory.
class fingerprint_memory
{
public:
    auto insert(std::uint64_t fingerprint) -> void;
    [[nodiscard]] auto contains(std::uint64_t fingerprint) const -> bool;

private:
    static constexpr std::size_t LIMIT = 512;

    std::deque<std::uint64_t> m_order;
    std::unordered_set<std::uint64_t> m_set;
};

//! Log-likelihood ratio of a failed or not failed request; `usual` is the failure rate expected of
//! a healthy upstream. Thread safety: pure.
auto failureRatio(const detector_parameters &parameters, double usual, bool failed) -> double;

//! Log-likelihood ratio of a measured latency. Thread safety: pure.
auto latencyRatio(const detector_parameters &parameters, const service_norm &norm,
                  double logLatency) -> double;

//! Log-likelihood ratio of a request that has taken at least `age`, hung against healthy; 0 up to
//! the usual p99 plus grace. Thread safety: pure.
auto ageRatio(const detector_parameters &parameters, const service_norm &norm, base::duration age)
        -> double;

} // namespace hawthornpick::policy
