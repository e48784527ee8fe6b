#include "policy/internal/detectorstate.h"

#include "base/thriftcodec.h"

#include <algorithm>
#include <cmath>

namespace hawthornpick::policy {

namespace {

//! Time constant of recent behaviour; follows a step change within about a second.
constexpr base::duration RECENT_TIME_CONSTANT = std::chrono::seconds(2);
//! Time constant of the usual behaviour of the service.
constexpr base::duration USUAL_TIME_CONSTANT = std::chrono::seconds(60);
constexpr base::duration MAX_COMPARISON_AGE = std::chrono::milliseconds(50);
//! Replies of peers that are older do not support a verdict.
constexpr base::duration MAX_REPLY_AGE = std::chrono::milliseconds(500);
constexpr base::duration MAX_SUMMARY_AGE = std::chrono::seconds(30);
constexpr std::size_t MAX_REMOTE_UPSTREAMS = 128;
//! Maximum number of organisations in one summary; keeps the message for a few upstreams within one
//! datagram.
constexpr std::size_t MAX_SUMMARY_ORGANISATIONS = 16;
constexpr double MIN_ORGANISATION_REQUESTS = 0.05;
//! All requests in the slots of a crashing upstream fail for one cause; crash failures within this
//! time count once.
constexpr base::duration CRASH_FAILURE_SPAN = std::chrono::seconds(1);
//! Maximum evidence in multiples of the threshold, so that the evidence against a recovered
//! upstream falls soon.
constexpr double MAX_EVIDENCE_FACTOR = 1.5;
constexpr double DEGRADED_SUSPECT_SHARE = 0.4;
//! The service is degraded if the failure rate of the other upstreams is at least this share of the
//! upstream's own.
constexpr double DEGRADED_FAILURE_RATIO = 0.18;
//! As above, for the increase of the mean log latency.
constexpr double DEGRADED_LATENCY_RATIO = 0.5;
//! Smaller increases are within the noise of the samples.
constexpr double MIN_LOG_LATENCY_SHIFT = 0.1;
//! A verdict requires replies of this share of the peers, or after `REPLY_QUORUM_TIMEOUT` of
//! `MIN_REPLIES` peers: the others may be in an unreachable region.
constexpr double REPLY_QUORUM_SHARE = 0.6;
constexpr std::size_t MIN_REPLIES = 2;
constexpr base::duration REPLY_QUORUM_TIMEOUT = std::chrono::milliseconds(300);
constexpr double MIN_LATENCY_SECONDS = 1e-6;

auto logSeconds(base::duration span) -> double
{
    return std::log(std::max(base::toSeconds(span), MIN_LATENCY_SECONDS));
}

auto decayStatistics(local_upstream &upstream, base::time_point now) -> void
{
    upstream.recent.decay(RECENT_TIME_CONSTANT, now);
    upstream.usual.decay(USUAL_TIME_CONSTANT, now);
    for (auto &[id, statistics] : upstream.organisations) {
        statistics.decay(RECENT_TIME_CONSTANT, now);
    }
    std::erase_if(upstream.organisations, [](const auto &item) {
        return item.second.requests < MIN_ORGANISATION_REQUESTS;
    });
}

auto countStatistics(local_upstream &upstream, const base::organisation_id &organisation,
                     bool failed, std::optional<double> logLatency, base::time_point now) -> void
{
    decayStatistics(upstream, now);
    auto &own = upstream.organisations[organisation];
    own.decay(RECENT_TIME_CONSTANT, now);
    own.addOutcome(failed);
    for (auto *statistics : {&upstream.recent, &upstream.usual}) {
        statistics->addOutcome(failed);
        if (logLatency) {
            statistics->addLatency(*logLatency);
        }
    }
}

} // namespace

auto failure_detector::state::comparisonOf(const base::upstream_id &id, local_upstream &upstream,
                                           base::time_point now) -> const comparison &
{
    if (!upstream.cachedComparison
        || now - upstream.cachedComparison->computedAt >= MAX_COMPARISON_AGE) {
        decayStatistics(upstream, now);
        wire::upstream_summary own;
        own.usual_requests = upstream.usual.requests;
        own.usual_failures = upstream.usual.failures;
        own.usual_log_latency = upstream.usual.meanLogLatency();
        own.usual_log_deviation = upstream.usual.logLatencyDeviation();
        upstream.cachedComparison = makeComparison(parameters, own, otherSummaries(id, now));
        upstream.cachedComparison->computedAt = now;
    }
    return *upstream.cachedComparison;
}

auto failure_detector::state::otherSummaries(const base::upstream_id &id, base::time_point now)
        -> std::vector<wire::upstream_summary>
{
    std::vector<wire::upstream_summary> others;
    for (auto &[siblingId, sibling] : localUpstreams) {
        if (siblingId != id) {
            others.push_back(summaryOf(siblingId, sibling, now));
        }
    }
    for (const auto &[remoteId, item] : remoteUpstreams) {
        others.push_back(item.summary);
    }
    return others;
}

auto failure_detector::state::countOutcome(const base::upstream_id &id, local_upstream &upstream,
                                           const local_upstream::in_flight_attempt &attempt,
                                           attempt_outcome outcome, base::time_point now) -> void
{
    const auto &others = comparisonOf(id, upstream, now);
    const double logLatency = logSeconds(now - attempt.startedAt);
    switch (outcome) {
    case attempt_outcome::Succeeded:
        countSuccess(upstream, attempt, others, logLatency, now);
        break;
    case attempt_outcome::Cancelled:
        upstream.latencyCusum.add(
                attempt.organisation,
                inFlightEvidence(parameters, others.baseline, now - attempt.startedAt),
                threshold(upstream) * MAX_EVIDENCE_FACTOR);
        break;
    default:
        countFailure(upstream, attempt, others, outcome, now);
    }
}

auto failure_detector::state::countFailure(local_upstream &upstream,
                                           const local_upstream::in_flight_attempt &attempt,
                                           const comparison &others, attempt_outcome outcome,
                                           base::time_point now) -> void
{
    countStatistics(upstream, attempt.organisation, true, std::nullopt, now);
    const bool isSameCrash = outcome == attempt_outcome::Crashed && upstream.lastCrashAt
                             && now - *upstream.lastCrashAt < CRASH_FAILURE_SPAN;
    if (outcome == attempt_outcome::Crashed) {
        upstream.lastCrashAt = now;
    }
    const bool isRepeatedFailure = failedFingerprints.contains(attempt.fingerprint)
                                   && !succeededFingerprints.contains(attempt.fingerprint);
    failedFingerprints.insert(attempt.fingerprint);
    if (isSameCrash || isRepeatedFailure) {
        return;
    }
    const auto failingElsewhere = others.organisationsFailingElsewhere.find(attempt.organisation);
    const double rateElsewhere = failingElsewhere == others.organisationsFailingElsewhere.end()
                                         ? 0.0
                                         : failingElsewhere->second;
    const double evidenceOfFailure =
            failureEvidence(parameters, std::max(others.baseline.failureRate, rateElsewhere), true);
    upstream.failureCusum.add(attempt.organisation, evidenceOfFailure,
                              threshold(upstream) * MAX_EVIDENCE_FACTOR);
}

auto failure_detector::state::countSuccess(local_upstream &upstream,
                                           const local_upstream::in_flight_attempt &attempt,
                                           const comparison &others, double logLatency,
                                           base::time_point now) -> void
{
    succeededFingerprints.insert(attempt.fingerprint);
    countStatistics(upstream, attempt.organisation, false, logLatency, now);
    const double maxEvidence = threshold(upstream) * MAX_EVIDENCE_FACTOR;
    upstream.failureCusum.add(attempt.organisation,
                              failureEvidence(parameters, others.baseline.failureRate, false),
                              maxEvidence);
    upstream.latencyCusum.add(attempt.organisation,
                              latencyEvidence(parameters, others.baseline, logLatency),
                              maxEvidence);
}

auto failure_detector::state::evidence(const base::upstream_id &id, local_upstream &upstream,
                                       attribution rule, base::time_point now) -> double
{
    const auto &others = comparisonOf(id, upstream, now);
    auto latencyEvidenceByOrganisation = upstream.latencyCusum.evidenceByOrganisation();
    for (const auto &[attemptId, attempt] : upstream.inFlight) {
        const double evidenceOfAttempt =
                inFlightEvidence(parameters, others.baseline, now - attempt.startedAt);
        if (evidenceOfAttempt > 0.0) {
            latencyEvidenceByOrganisation[attempt.organisation] += evidenceOfAttempt;
        }
    }
    const auto sum = [&](const std::map<base::organisation_id, double> &evidenceByOrganisation) {
        double total = 0.0;
        for (const auto &[organisation, evidenceOfOrganisation] : evidenceByOrganisation) {
            const bool servedElsewhere = others.organisationsServedElsewhere.contains(organisation);
            const bool inFull =
                    rule == attribution::Uncapped
                    || (rule == attribution::CapIfNotServedElsewhere && servedElsewhere);
            total += inFull ? evidenceOfOrganisation
                            : std::min(evidenceOfOrganisation,
                                       parameters.maxOrganisationShare * threshold(upstream));
        }
        return total;
    };
    return std::max(sum(upstream.failureCusum.evidenceByOrganisation()),
                    sum(latencyEvidenceByOrganisation))
           / threshold(upstream);
}

auto failure_detector::state::isServiceDegraded(const base::upstream_id &id,
                                                local_upstream &upstream, base::time_point now)
        -> bool
{
    const auto &others = comparisonOf(id, upstream, now);
    if (others.suspectShare >= DEGRADED_SUSPECT_SHARE) {
        return true;
    }
    if (upstream.failureCusum.total() >= threshold(upstream)) {
        const double ownRate = upstream.recent.failureRate();
        return others.othersFailureRate >= ownRate * DEGRADED_FAILURE_RATIO;
    }
    if (!others.othersLogLatency || upstream.recent.latencySamples <= 0.0) {
        return false;
    }
    const double ownShift = upstream.recent.meanLogLatency() - others.usualLogLatency;
    const double othersShift = *others.othersLogLatency - others.usualLogLatency;
    return ownShift > MIN_LOG_LATENCY_SHIFT && othersShift >= ownShift * DEGRADED_LATENCY_RATIO;
}

// After a step change of the whole service or of one organisation, the first upstream reaches the
// threshold before the others show the same change. The delay allows them to catch up; it is longer
// if the evidence would not suffice without one organisation.
auto failure_detector::state::hasConfirmingReplies(const base::upstream_id &id,
                                                   local_upstream &upstream, base::time_point now)
        -> bool
{
    const bool reachedWithoutOneOrganisation =
            evidence(id, upstream, attribution::CapAll, now) >= 1.0;
    const auto delay = reachedWithoutOneOrganisation
                               ? parameters.confirmationDelay
                               : parameters.singleOrganisationConfirmationDelay;
    const auto earliestQuery = *upstream.thresholdReachedAt + delay;
    if (peers.empty()) {
        return localUpstreams.size() > 1 && now >= earliestQuery;
    }
    const auto replies =
            std::count_if(repliedQueryAt.begin(), repliedQueryAt.end(), [&](const auto &item) {
                return item.second >= earliestQuery && now - item.second <= MAX_REPLY_AGE;
            });
    const bool awaitsQuorum = now - earliestQuery < REPLY_QUORUM_TIMEOUT;
    const auto quorum = static_cast<std::size_t>(
            std::ceil(static_cast<double>(peers.size()) * REPLY_QUORUM_SHARE));
    const auto requiredReplies = awaitsQuorum ? std::max(quorum, MIN_REPLIES) : MIN_REPLIES;
    return static_cast<std::size_t>(replies) >= std::min(requiredReplies, peers.size());
}

auto failure_detector::state::summaries(base::time_point now) -> std::vector<wire::upstream_summary>
{
    std::vector<wire::upstream_summary> result;
    for (auto &[id, upstream] : localUpstreams) {
        result.push_back(summaryOf(id, upstream, now));
        result.back().evidence = evidence(id, upstream, attribution::Uncapped, now);
    }
    return result;
}

auto failure_detector::state::summaryOf(const base::upstream_id &id, local_upstream &upstream,
                                        base::time_point now) -> wire::upstream_summary
{
    decayStatistics(upstream, now);
    wire::upstream_summary summary;
    summary.upstream = id.str();
    summary.recent_requests = upstream.recent.requests;
    summary.recent_failures = upstream.recent.failures;
    summary.recent_log_latency = upstream.recent.meanLogLatency();
    summary.usual_requests = upstream.usual.requests;
    summary.usual_failures = upstream.usual.failures;
    summary.usual_log_latency = upstream.usual.meanLogLatency();
    summary.usual_log_deviation = upstream.usual.logLatencyDeviation();
    for (const auto &[organisation, statistics] : upstream.organisations) {
        wire::organisation_summary entry;
        entry.organisation = organisation.str();
        entry.requests = statistics.requests;
        entry.failures = statistics.failures;
        summary.organisations.push_back(std::move(entry));
    }
    const auto hasMoreRequests = [](const auto &left, const auto &right) {
        return left.requests > right.requests;
    };
    std::stable_sort(summary.organisations.begin(), summary.organisations.end(), hasMoreRequests);
    summary.organisations.resize(std::min(summary.organisations.size(), MAX_SUMMARY_ORGANISATIONS));
    return summary;
}

auto failure_detector::state::encodeMessage(std::int64_t queryId, std::int64_t replyToQueryId,
                                            base::time_point now) -> std::string
{
    wire::baseline_message message;
    message.service_name = service.str();
    message.question = queryId;
    message.answer_to = replyToQueryId;
    message.upstreams = summaries(now);
    return base::encodeThrift(message);
}

auto failure_detector::state::threshold(const local_upstream &upstream) const -> double
{
    return parameters.threshold * (upstream.isFlapping ? parameters.flappingThresholdFactor : 1.0);
}

auto failure_detector::state::samplePeers(std::size_t maxPeers) -> std::vector<base::node_id>
{
    auto sample = peers;
    const auto count = std::min(maxPeers, sample.size());
    for (std::size_t i = 0; i < count; ++i) {
        std::swap(sample[i], sample[i + random.below(sample.size() - i)]);
    }
    sample.resize(count);
    return sample;
}

auto failure_detector::state::removeExpired(base::time_point now) -> void
{
    std::erase_if(remoteUpstreams,
                  [&](const auto &item) { return now - item.second.receivedAt > MAX_SUMMARY_AGE; });
    std::erase_if(repliedQueryAt,
                  [&](const auto &item) { return now - item.second > MAX_REPLY_AGE; });
    while (remoteUpstreams.size() > MAX_REMOTE_UPSTREAMS) {
        const auto older = [](const auto &left, const auto &right) {
            return left.second.receivedAt < right.second.receivedAt;
        };
        remoteUpstreams.erase(
                std::min_element(remoteUpstreams.begin(), remoteUpstreams.end(), older));
    }
}

} // namespace hawthornpick::policy
