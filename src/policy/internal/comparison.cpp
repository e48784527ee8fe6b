#include "policy/internal/detectorstate.h"

#include <algorithm>

namespace hawthornpick::policy {

namespace {

//! An upstream's recent figures are used from this many (decayed) requests on.
constexpr double RECENT_SAMPLES = 2.0;
//! A failure among the last three requests is enough: when a whole service begins to fail, the
//! others have seen one or two failures at the time when the first upstream has seen enough.
constexpr double SUSPECT_EVIDENCE = 0.3;
//! Part of the worst upstreams that is left out, so that several bad ones at a time are not taken
//! for a degraded service.
constexpr std::size_t TRIMMED_PART = 4;
//! An organisation counts as failing elsewhere when it has failures on this share of the upstreams
//! that have served it lately.
constexpr double FAILING_UPSTREAM_SHARE = 0.25;
//! It counts as served well if failures stay below this share, which allows for one or two other
//! bad upstreams, and if two upstreams serve it.
constexpr double SERVED_FAILING_SHARE = 0.15;
constexpr std::size_t SERVING_UPSTREAMS = 2;
//! Weights decay with a time constant of 2 s. A failure counts for 3.2 s. A single success counts
//! for 1 s only: an older one says nothing about an organisation that has begun to fail since.
constexpr double FAILING_TRACE = 0.2;
constexpr double SERVING_TRACE = 0.6;

auto median(std::vector<double> values) -> std::optional<double>
{
    if (values.empty()) {
        return std::nullopt;
    }
    const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
    std::nth_element(values.begin(), middle, values.end());
    return *middle;
}

template <typename Accept, typename Value>
auto collect(const std::vector<wire::upstream_summary> &list, Accept accept, Value value)
        -> std::vector<double>
{
    std::vector<double> values;
    for (const auto &item : list) {
        if (accept(item)) {
            values.push_back(value(item));
        }
    }
    return values;
}

auto trimmedMean(std::vector<double> values) -> std::optional<double>
{
    if (values.empty()) {
        return std::nullopt;
    }
    std::sort(values.begin(), values.end());
    values.resize(values.size() - values.size() / TRIMMED_PART);
    double sum = 0.0;
    for (const double value : values) {
        sum += value;
    }
    return sum / static_cast<double>(values.size());
}

auto isRecent(const wire::upstream_summary &item) -> bool
{
    return item.recent_requests >= RECENT_SAMPLES;
}

auto hasRecentLatency(const wire::upstream_summary &item) -> bool
{
    return item.recent_requests - item.recent_failures >= RECENT_SAMPLES;
}

auto hasUsualLatency(const wire::upstream_summary &item) -> bool
{
    return item.usual_requests - item.usual_failures >= RECENT_SAMPLES;
}

auto usualLogLatency(const wire::upstream_summary &item) -> double
{
    return item.usual_log_latency;
}

auto recentFailureRate(const wire::upstream_summary &item) -> double
{
    return item.recent_failures / item.recent_requests;
}

auto recentLogLatency(const wire::upstream_summary &item) -> double
{
    return item.recent_log_latency;
}

auto makeNorm(const detector_parameters &parameters,
              const std::vector<wire::upstream_summary> &others,
              const std::vector<wire::upstream_summary> &all) -> service_norm
{
    double samples = 0.0;
    for (const auto &item : all) {
        samples += item.usual_requests;
    }
    const auto used = [](const auto &item) {
        return item.usual_requests >= RECENT_SAMPLES;
    };
    const auto usualRate =
            median(collect(others.empty() ? all : others, used, [](const auto &item) {
                return item.usual_failures / item.usual_requests;
            }));
    const auto usualLog = median(collect(all, hasUsualLatency, usualLogLatency));
    const auto deviation = median(collect(
            all, hasUsualLatency, [](const auto &item) { return item.usual_log_deviation; }));
    const auto recentRate = median(collect(others, isRecent, recentFailureRate));
    const auto recentLog = median(collect(others, hasRecentLatency, recentLogLatency));

    service_norm norm;
    norm.hasLatency = samples >= parameters.minimumSamples && usualLog.has_value();
    norm.failureRate = std::max(usualRate.value_or(0.0), recentRate.value_or(0.0));
    norm.logLatency = std::max(usualLog.value_or(0.0), recentLog.value_or(usualLog.value_or(0.0)));
    norm.logDeviation = deviation.value_or(norm.logDeviation);
    return norm;
}

struct organisation_trace
{
    std::size_t serving = 0;
    std::size_t failing = 0;
    double requests = 0.0;
    double failures = 0.0;
};

auto traceOrganisations(const std::vector<wire::upstream_summary> &others)
        -> std::map<base::organisation_id, organisation_trace>
{
    std::map<base::organisation_id, organisation_trace> traces;
    for (const auto &item : others) {
        for (const auto &entry : item.organisations) {
            auto &trace = traces[base::organisation_id(entry.organisation)];
            const bool fails = entry.failures >= FAILING_TRACE;
            trace.failing += fails ? 1 : 0;
            trace.serving += entry.requests - entry.failures >= SERVING_TRACE ? 1 : 0;
            trace.requests += entry.requests;
            trace.failures += entry.failures;
        }
    }
    return traces;
}

} // namespace

auto makeComparison(const detector_parameters &parameters, const wire::upstream_summary &own,
                    const std::vector<wire::upstream_summary> &others) -> comparison
{
    comparison result;
    auto all = others;
    all.push_back(own);
    result.norm = makeNorm(parameters, others, all);
    result.usualLogLatency = median(collect(all, hasUsualLatency, usualLogLatency)).value_or(0.0);
    for (const auto &[organisation, trace] : traceOrganisations(others)) {
        const auto seen = static_cast<double>(std::max(trace.serving, trace.failing));
        const auto failing = static_cast<double>(trace.failing);
        if (failing >= 2 && failing > seen * FAILING_UPSTREAM_SHARE) {
            result.failingOrganisations[organisation] = trace.failures / trace.requests;
        } else if (failing <= seen * SERVED_FAILING_SHARE
                   && trace.serving >= std::min(SERVING_UPSTREAMS, others.size())) {
            result.servedOrganisations.insert(organisation);
        }
    }
    result.othersFailureRate =
            trimmedMean(collect(others, isRecent, recentFailureRate)).value_or(0.0);
    result.othersLogLatency = trimmedMean(collect(others, hasRecentLatency, recentLogLatency));
    const auto suspects = std::count_if(others.begin(), others.end(), [](const auto &item) {
        return item.evidence >= SUSPECT_EVIDENCE;
    });
    result.suspectShare =
            others.empty() ? 0.0
                           : static_cast<double>(suspects) / static_cast<double>(others.size());
    return result;
}

} // namespace hawthornpick::policy
