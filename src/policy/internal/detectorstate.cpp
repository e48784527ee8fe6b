#include "policy/internal/detectorstate.h"

#include "base/thriftcodec.h"

#include <algorithm>
#include <cmath>

namespace hawthornpick::policy {

namespace {

//! Present behaviour; short enough to follow a step within about a second.
constexpr base::duration RECENT_TIME = std::chrono::seconds(2);
//! Usual behaviour of the service.
constexpr base::duration USUAL_TIME = std::chrono::seconds(60);
constexpr base::duration COMPARISON_AGE = std::chrono::milliseconds(50);
//! Answers of peers older than this do not support a verdict.
constexpr base::duration FRESH_TIME = std::chrono::milliseconds(500);
constexpr base::duration SUMMARY_LIFE = std::chrono::seconds(30);
constexpr std::size_t MOST_REMOTE_UPSTREAMS = 128;
//! Organisations named in one summary; keeps a message within one datagram for few upstreams.
constexpr std::size_t MOST_ORGANISATIONS = 16;
constexpr double SMALLEST_WEIGHT = 0.05;
//! All requests in the slots of a crashing upstream fail at once by one cause.
constexpr base::duration ONE_CRASH = std::chrono::seconds(1);
//! The evidence stays at most this far above the threshold, so that a recovered upstream is cleared
//! soon.
constexpr double EVIDENCE_LIMIT = 1.5;
constexpr double SUSPECT_MAJORITY = 0.4;
//! The service degrades if the others' failure rate reaches this part of the upstream's own.
constexpr double DEGRADED_FAILURE_PART = 0.18;
//! As above, for the shift of the mean logarithm of latency.
constexpr double DEGRADED_LATENCY_PART = 0.5;
//! Smaller shifts are noise of the samples.
constexpr double SMALLEST_SHIFT = 0.1;
//! A verdict needs answers of this part of the peers, or of two of them after some patience: the
//! others may be in a region that cannot be reached.
constexpr double FRESH_PART = 0.6;
constexpr std::size_t FRESH_ANSWERS = 2;
constexpr base::duration PATIENCE = std::chrono::milliseconds(300);
constexpr double SMALLEST_LATENCY_SECONDS = 1e-6;

auto logSeconds(base::duration span) -> double
{
    return std::log(std::max(base::toSeconds(span), SMALLEST_LATENCY_SECONDS));
}

auto decayAll(watched_upstream &upstream, base::time_point now) -> void
{
    upstream.recent.decay(RECENT_TIME, now);
    upstream.usual.decay(USUAL_TIME, now);
    for (auto &[id, statistics] : upstream.organisations) {
        statistics.decay(RECENT_TIME, now);
    }
    std::erase_if(upstream.organisations,
                  [](const auto &item) { return item.second.requests < SMALLEST_WEIGHT; });
}

auto countStatistics(watched_upstream &upstream, const base::organisation_id &organisation,
                     bool failed, std::optional<double> logLatency, base::time_point now) -> void
{
    decayAll(upstream, now);
    auto &own = upstream.organisations[organisation];
    own.decay(RECENT_TIME, now);
    own.addOutcome(failed);
    for (auto *statistics : {&upstream.recent, &upstream.usual}) {
        statistics->addOutcome(failed);
        if (logLatency) {
            statistics->addLatency(*logLatency);
        }
    }
}

} // namespace

auto failure_detector::state::compare(const base::upstream_id &id, watched_upstream &upstream,
                                      base::time_point now) -> const comparison &
{
    if (!upstream.compared || now - upstream.compared->made >= COMPARISON_AGE) {
        decayAll(upstream, now);
        wire::upstream_summary own;
        own.usual_requests = upstream.usual.requests;
        own.usual_failures = upstream.usual.failures;
        own.usual_log_latency = upstream.usual.meanLog();
        own.usual_log_deviation = upstream.usual.deviationLog();
        upstream.compared = makeComparison(parameters, own, otherSummaries(id, now));
        upstream.compared->made = now;
    }
    return *upstream.compared;
}

auto failure_detector::state::otherSummaries(const base::upstream_id &id, base::time_point now)
        -> std::vector<wire::upstream_summary>
{
    std::vector<wire::upstream_summary> others;
    for (auto &[siblingId, sibling] : watched) {
        if (siblingId != id) {
            others.push_back(summaryOf(siblingId, sibling, now));
        }
    }
    for (const auto &[remoteId, item] : remote) {
        others.push_back(item.summary);
    }
    return others;
}

auto failure_detector::state::countOutcome(const base::upstream_id &id, watched_upstream &upstream,
                                           const watched_upstream::running_attempt &attempt,
                                           attempt_outcome outcome, base::time_point now) -> void
{
    const auto &others = compare(id, upstream, now);
    const double logLatency = logSeconds(now - attempt.since);
    switch (outcome) {
    case attempt_outcome::Succeeded:
        countSuccess(upstream, attempt, others, logLatency, now);
        break;
    case attempt_outcome::Cancelled:
        upstream.latencies.add(attempt.organisation,
                               ageRatio(parameters, others.norm, now - attempt.since),
                               threshold(upstream) * EVIDENCE_LIMIT);
        break;
    default:
        countFailure(upstream, attempt, others, outcome, now);
    }
}

auto failure_detector::state::countFailure(watched_upstream &upstream,
                                           const watched_upstream::running_attempt &attempt,
                                           const comparison &others, attempt_outcome outcome,
                                           base::time_point now) -> void
{
    countStatistics(upstream, attempt.organisation, true, std::nullopt, now);
    const bool sameCrash = outcome == attempt_outcome::Crashed && upstream.lastCrash
                           && now - *upstream.lastCrash < ONE_CRASH;
    if (outcome == attempt_outcome::Crashed) {
        upstream.lastCrash = now;
    }
    const bool repeated =
            failed.contains(attempt.fingerprint) && !succeeded.contains(attempt.fingerprint);
    failed.insert(attempt.fingerprint);
    if (sameCrash || repeated) {
        return;
    }
    const auto failing = others.failingOrganisations.find(attempt.organisation);
    const double elsewhere = failing == others.failingOrganisations.end() ? 0.0 : failing->second;
    const double ratio =
            failureRatio(parameters, std::max(others.norm.failureRate, elsewhere), true);
    upstream.failures.add(attempt.organisation, ratio, threshold(upstream) * EVIDENCE_LIMIT);
}

auto failure_detector::state::countSuccess(watched_upstream &upstream,
                                           const watched_upstream::running_attempt &attempt,
                                           const comparison &others, double logLatency,
                                           base::time_point now) -> void
{
    succeeded.insert(attempt.fingerprint);
    countStatistics(upstream, attempt.organisation, false, logLatency, now);
    const double limit = threshold(upstream) * EVIDENCE_LIMIT;
    upstream.failures.add(attempt.organisation,
                          failureRatio(parameters, others.norm.failureRate, false), limit);
    upstream.latencies.add(attempt.organisation, latencyRatio(parameters, others.norm, logLatency),
                           limit);
}

auto failure_detector::state::evidence(const base::upstream_id &id, watched_upstream &upstream,
                                       attribution rule, base::time_point now) -> double
{
    const auto &others = compare(id, upstream, now);
    auto slow = upstream.latencies.parts();
    for (const auto &[attempt, running] : upstream.running) {
        const double ratio = ageRatio(parameters, others.norm, now - running.since);
        if (ratio > 0.0) {
            slow[running.organisation] += ratio;
        }
    }
    const auto sum = [&](const std::map<base::organisation_id, double> &parts) {
        double total = 0.0;
        for (const auto &[organisation, part] : parts) {
            const bool served = others.servedOrganisations.contains(organisation);
            const bool full =
                    rule == attribution::Ignore || (rule == attribution::CapUnserved && served);
            total += full ? part : std::min(part, parameters.organisationCap * threshold(upstream));
        }
        return total;
    };
    return std::max(sum(upstream.failures.parts()), sum(slow)) / threshold(upstream);
}

auto failure_detector::state::serviceDegrades(const base::upstream_id &id,
                                              watched_upstream &upstream, base::time_point now)
        -> bool
{
    const auto &others = compare(id, upstream, now);
    if (others.suspectShare >= SUSPECT_MAJORITY) {
        return true;
    }
    if (upstream.failures.total() >= threshold(upstream)) {
        const double ownRate = upstream.recent.failureRate();
        return others.othersFailureRate >= ownRate * DEGRADED_FAILURE_PART;
    }
    if (!others.othersLogLatency || upstream.recent.latencies <= 0.0) {
        return false;
    }
    const double ownShift = upstream.recent.meanLog() - others.usualLogLatency;
    const double othersShift = *others.othersLogLatency - others.usualLogLatency;
    return ownShift > SMALLEST_SHIFT && othersShift >= ownShift * DEGRADED_LATENCY_PART;
}

// Just after a step of the whole service or of one organisation the first upstream reaches the
// threshold before the others show the same. The wait gives them time; it is longer when the
// evidence would not suffice without one organisation.
auto failure_detector::state::hasFreshComparison(const base::upstream_id &id,
                                                 watched_upstream &upstream, base::time_point now)
        -> bool
{
    const bool severalOrganisations = evidence(id, upstream, attribution::CapAll, now) >= 1.0;
    const auto wait =
            severalOrganisations ? parameters.confirmTime : parameters.organisationConfirmTime;
    const auto earliest = *upstream.crossed + wait;
    if (peers.empty()) {
        return watched.size() > 1 && now >= earliest;
    }
    const auto fresh = std::count_if(answered.begin(), answered.end(), [&](const auto &item) {
        return item.second >= earliest && now - item.second <= FRESH_TIME;
    });
    const bool patient = now - earliest < PATIENCE;
    const auto part =
            static_cast<std::size_t>(std::ceil(static_cast<double>(peers.size()) * FRESH_PART));
    const auto needed = patient ? std::max(part, FRESH_ANSWERS) : FRESH_ANSWERS;
    return static_cast<std::size_t>(fresh) >= std::min(needed, peers.size());
}

auto failure_detector::state::summaries(base::time_point now) -> std::vector<wire::upstream_summary>
{
    std::vector<wire::upstream_summary> list;
    for (auto &[id, upstream] : watched) {
        list.push_back(summaryOf(id, upstream, now));
        list.back().evidence = evidence(id, upstream, attribution::Ignore, now);
    }
    return list;
}

auto failure_detector::state::summaryOf(const base::upstream_id &id, watched_upstream &upstream,
                                        base::time_point now) -> wire::upstream_summary
{
    decayAll(upstream, now);
    wire::upstream_summary out;
    out.upstream = id.str();
    out.recent_requests = upstream.recent.requests;
    out.recent_failures = upstream.recent.failures;
    out.recent_log_latency = upstream.recent.meanLog();
    out.usual_requests = upstream.usual.requests;
    out.usual_failures = upstream.usual.failures;
    out.usual_log_latency = upstream.usual.meanLog();
    out.usual_log_deviation = upstream.usual.deviationLog();
    for (const auto &[organisation, statistics] : upstream.organisations) {
        wire::organisation_summary entry;
        entry.organisation = organisation.str();
        entry.requests = statistics.requests;
        entry.failures = statistics.failures;
        out.organisations.push_back(std::move(entry));
    }
    const auto busier = [](const auto &left, const auto &right) {
        return left.requests > right.requests;
    };
    std::stable_sort(out.organisations.begin(), out.organisations.end(), busier);
    out.organisations.resize(std::min(out.organisations.size(), MOST_ORGANISATIONS));
    return out;
}

auto failure_detector::state::message(std::int64_t newQuestion, std::int64_t answerTo,
                                      base::time_point now) -> std::string
{
    wire::baseline_message out;
    out.service_name = service.str();
    out.question = newQuestion;
    out.answer_to = answerTo;
    out.upstreams = summaries(now);
    return base::encodeThrift(out);
}

auto failure_detector::state::threshold(const watched_upstream &upstream) const -> double
{
    return parameters.threshold * (upstream.isFlapping ? parameters.flappingFactor : 1.0);
}

auto failure_detector::state::samplePeers(std::size_t limit) -> std::vector<base::node_id>
{
    auto sample = peers;
    const auto count = std::min(limit, sample.size());
    for (std::size_t i = 0; i < count; ++i) {
        std::swap(sample[i], sample[i + random.below(sample.size() - i)]);
    }
    sample.resize(count);
    return sample;
}

auto failure_detector::state::forgetOldSummaries(base::time_point now) -> void
{
    std::erase_if(remote,
                  [&](const auto &item) { return now - item.second.received > SUMMARY_LIFE; });
    std::erase_if(answered, [&](const auto &item) { return now - item.second > FRESH_TIME; });
    while (remote.size() > MOST_REMOTE_UPSTREAMS) {
        const auto older = [](const auto &left, const auto &right) {
            return left.second.received < right.second.received;
        };
        remote.erase(std::min_element(remote.begin(), remote.end(), older));
    }
}

} // namespace hawthornpick::policy
