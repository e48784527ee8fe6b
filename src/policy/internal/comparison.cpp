#include "policy/internal/detectorstate.h"

#include <algorithm>

namespace hawthornpick::policy {

namespace {

//! Decayed number of requests from which the statistics of an upstream are used.
constexpr double MIN_SAMPLES = 2.0;
//! Evidence, as a share of the threshold, from which an upstream is suspect. One failure among the
//! last three requests is enough: when a whole service begins to fail, the other upstreams have
//! seen one or two failures when the first one reaches the threshold.
constexpr double MIN_SUSPECT_EVIDENCE = 0.3;
//! One in this many upstreams, the worst ones, is excluded from a mean, so that several failing
//! upstreams at a time are not taken for a degraded service.
constexpr std::size_t TRIM_DIVISOR = 4;
//! An organisation is failing elsewhere if it has failures on at least two other upstreams and on
//! more than this share of those that served it recently.
constexpr double MIN_FAILING_UPSTREAM_SHARE = 0.25;
//! An organisation is served well elsewhere if it has failures on at most this share of them, which
//! allows for one or two other failing upstreams, and if this many upstreams serve it.
constexpr double MAX_SERVED_FAILING_SHARE = 0.15;
constexpr std::size_t MIN_SERVING_UPSTREAMS = 2;
//! Decayed request weights from which an organisation has failures or successes on an upstream.
//! Weights decay with a time constant of 2 s, so a failure counts for 3.2 s. A single success
//! counts for 1 s only: an older one is no evidence about an organisation that has begun to fail
//! since.
constexpr double MIN_FAILURE_WEIGHT = 0.2;
constexpr double MIN_SUCCESS_WEIGHT = 0.6;

auto median(std::vector<double> values) -> std::optional<double>
{
    if (values.empty()) {
        return std::nullopt;
    }
    const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
    std::nth_element(values.begin(), middle, values.end());
    return *middle;
}

template <typename Predicate, typename Projection>
auto collect(const std::vector<wire::upstream_summary> &summaries, Predicate predicate,
             Projection projection) -> std::vector<double>
{
    std::vector<double> values;
    for (const auto &item : summaries) {
        if (predicate(item)) {
            values.push_back(projection(item));
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
    values.resize(values.size() - values.size() / TRIM_DIVISOR);
    double sum = 0.0;
    for (const double value : values) {
        sum += value;
    }
    return sum / static_cast<double>(values.size());
}

auto hasRecentRequests(const wire::upstream_summary &item) -> bool
{
    return item.recent_requests >= MIN_SAMPLES;
}

auto hasRecentLatency(const wire::upstream_summary &item) -> bool
{
    return item.recent_requests - item.recent_failures >= MIN_SAMPLES;
}

auto hasUsualLatency(const wire::upstream_summary &item) -> bool
{
    return item.usual_requests - item.usual_failures >= MIN_SAMPLES;
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

auto makeBaseline(const detector_parameters &parameters,
                  const std::vector<wire::upstream_summary> &others,
                  const std::vector<wire::upstream_summary> &all) -> service_baseline
{
    double totalRequests = 0.0;
    for (const auto &item : all) {
        totalRequests += item.usual_requests;
    }
    const auto hasUsualRequests = [](const auto &item) {
        return item.usual_requests >= MIN_SAMPLES;
    };
    const auto usualRate =
            median(collect(others.empty() ? all : others, hasUsualRequests, [](const auto &item) {
                return item.usual_failures / item.usual_requests;
            }));
    const auto usualLogMedian = median(collect(all, hasUsualLatency, usualLogLatency));
    const auto deviation = median(collect(
            all, hasUsualLatency, [](const auto &item) { return item.usual_log_deviation; }));
    const auto recentRate = median(collect(others, hasRecentRequests, recentFailureRate));
    const auto recentLogMedian = median(collect(others, hasRecentLatency, recentLogLatency));

    service_baseline baseline;
    baseline.hasLatency =
            totalRequests >= parameters.minLatencySamples && usualLogMedian.has_value();
    baseline.failureRate = std::max(usualRate.value_or(0.0), recentRate.value_or(0.0));
    baseline.logLatency = std::max(usualLogMedian.value_or(0.0),
                                   recentLogMedian.value_or(usualLogMedian.value_or(0.0)));
    baseline.logDeviation = deviation.value_or(baseline.logDeviation);
    return baseline;
}

struct organisation_counts
{
    std::size_t servingUpstreams = 0;
    std::size_t failingUpstreams = 0;
    double requests = 0.0;
    double failures = 0.0;
};

auto countByOrganisation(const std::vector<wire::upstream_summary> &others)
        -> std::map<base::organisation_id, organisation_counts>
{
    std::map<base::organisation_id, organisation_counts> countsByOrganisation;
    for (const auto &item : others) {
        for (const auto &entry : item.organisations) {
            auto &counts = countsByOrganisation[base::organisation_id(entry.organisation)];
            const bool fails = entry.failures >= MIN_FAILURE_WEIGHT;
            counts.failingUpstreams += fails ? 1 : 0;
            counts.servingUpstreams +=
                    entry.requests - entry.failures >= MIN_SUCCESS_WEIGHT ? 1 : 0;
            counts.requests += entry.requests;
            counts.failures += entry.failures;
        }
    }
    return countsByOrganisation;
}

} // namespace

auto makeComparison(const detector_parameters &parameters, const wire::upstream_summary &own,
                    const std::vector<wire::upstream_summary> &others) -> comparison
{
    comparison result;
    auto all = others;
    all.push_back(own);
    result.baseline = makeBaseline(parameters, others, all);
    result.usualLogLatency = median(collect(all, hasUsualLatency, usualLogLatency)).value_or(0.0);
    for (const auto &[organisation, counts] : countByOrganisation(others)) {
        const auto upstreamCount =
                static_cast<double>(std::max(counts.servingUpstreams, counts.failingUpstreams));
        const auto failingUpstreams = static_cast<double>(counts.failingUpstreams);
        if (failingUpstreams >= 2
            && failingUpstreams > upstreamCount * MIN_FAILING_UPSTREAM_SHARE) {
            result.organisationsFailingElsewhere[organisation] = counts.failures / counts.requests;
        } else if (failingUpstreams <= upstreamCount * MAX_SERVED_FAILING_SHARE
                   && counts.servingUpstreams >= std::min(MIN_SERVING_UPSTREAMS, others.size())) {
            result.organisationsServedElsewhere.insert(organisation);
        }
    }
    result.othersFailureRate =
            trimmedMean(collect(others, hasRecentRequests, recentFailureRate)).value_or(0.0);
    result.othersLogLatency = trimmedMean(collect(others, hasRecentLatency, recentLogLatency));
    const auto suspects = std::count_if(others.begin(), others.end(), [](const auto &item) {
        return item.evidence >= MIN_SUSPECT_EVIDENCE;
    });
    result.suspectShare =
            others.empty() ? 0.0
                           : static_cast<double>(suspects) / static_cast<double>(others.size());
    return result;
}

} // namespace hawthornpick::policy
