#pragma once

#include "policy/generated/policywire_types.h"
#include "policy/internal/evidence.h"

#include <optional>
#include <set>
#include <unordered_map>

namespace hawthornpick::policy {

//! State of the other upstreams of the service, with which one local upstream is compared.
struct comparison
{
    service_baseline baseline;
    //! Failure rate of the organisations whose requests fail on other upstreams as well.
    std::map<base::organisation_id, double> organisationsFailingElsewhere;
    //! Organisations that other upstreams serve well.
    std::set<base::organisation_id> organisationsServedElsewhere;
    //! Recent state of the other upstreams without the worst quarter.
    double othersFailureRate = 0.0;
    std::optional<double> othersLogLatency;
    double usualLogLatency = 0.0;
    //! Share of the other upstreams that are suspect.
    double suspectShare = 0.0;
    base::time_point computedAt{};
};

//! One upstream on this node.
struct local_upstream
{
    struct in_flight_attempt
    {
        base::organisation_id organisation;
        std::uint64_t fingerprint = 0;
        base::time_point startedAt;
    };

    decaying_statistics recent;
    decaying_statistics usual;
    std::map<base::organisation_id, decaying_statistics> organisations;
    attributed_cusum failureCusum;
    attributed_cusum latencyCusum;
    std::unordered_map<base::attempt_id, in_flight_attempt> inFlight;
    bool isFlapping = false;
    std::optional<base::time_point> lastCrashAt;
    std::optional<comparison> cachedComparison;
    //! When the evidence reached the threshold; empty while it is below.
    std::optional<base::time_point> thresholdReachedAt;
};

//! How the evidence from a single organisation is counted.
enum class attribution : std::uint8_t {
    Uncapped,
    //! Up to `maxOrganisationShare` unless other upstreams serve the organisation well.
    CapIfNotServedElsewhere,
    CapAll,
};

//! State of a `failure_detector`. Every method requires the lock of the detector.
struct failure_detector::state
{
    struct peer_upstream
    {
        base::node_id node;
        wire::upstream_summary summary;
        base::time_point receivedAt;
    };

    detector_parameters parameters;
    base::service_id service;
    base::node_id self;
    base::random_source random;
    std::vector<base::node_id> peers;
    std::map<base::upstream_id, local_upstream> localUpstreams;
    std::map<base::upstream_id, peer_upstream> remoteUpstreams;
    recent_fingerprints succeededFingerprints;
    recent_fingerprints failedFingerprints;
    std::map<base::node_id, base::time_point> repliedQueryAt;
    std::int64_t lastQueryId = 0;
    base::time_point queriedAt{};
    base::time_point publishedAt{};

    //! Returns the comparison of an upstream, computed at most `MAX_COMPARISON_AGE` ago.
    auto comparisonOf(const base::upstream_id &id, local_upstream &upstream, base::time_point now)
            -> const comparison &;
    auto countOutcome(const base::upstream_id &id, local_upstream &upstream,
                      const local_upstream::in_flight_attempt &attempt, attempt_outcome outcome,
                      base::time_point now) -> void;
    auto countFailure(local_upstream &upstream, const local_upstream::in_flight_attempt &attempt,
                      const comparison &others, attempt_outcome outcome, base::time_point now)
            -> void;
    auto countSuccess(local_upstream &upstream, const local_upstream::in_flight_attempt &attempt,
                      const comparison &others, double logLatency, base::time_point now) -> void;
    //! Returns the evidence in multiples of the upstream's threshold.
    auto evidence(const base::upstream_id &id, local_upstream &upstream, attribution rule,
                  base::time_point now) -> double;
    //! Returns true if the other upstreams degrade as well.
    auto isServiceDegraded(const base::upstream_id &id, local_upstream &upstream,
                           base::time_point now) -> bool;
    //! Returns true if enough peers have replied to a query that was sent long enough after the
    //! evidence reached the threshold.
    auto hasConfirmingReplies(const base::upstream_id &id, local_upstream &upstream,
                              base::time_point now) -> bool;
    auto summaries(base::time_point now) -> std::vector<wire::upstream_summary>;
    auto summaryOf(const base::upstream_id &id, local_upstream &upstream, base::time_point now)
            -> wire::upstream_summary;
    auto encodeMessage(std::int64_t queryId, std::int64_t replyToQueryId, base::time_point now)
            -> std::string;
    [[nodiscard]] auto threshold(const local_upstream &upstream) const -> double;
    auto samplePeers(std::size_t maxPeers) -> std::vector<base::node_id>;
    auto removeExpired(base::time_point now) -> void;

private:
    auto otherSummaries(const base::upstream_id &id, base::time_point now)
            -> std::vector<wire::upstream_summary>;
};

//! Computes the comparison of an upstream with summary `own` with the upstreams in `others`.
//! Thread safety: pure.
auto makeComparison(const detector_parameters &parameters, const wire::upstream_summary &own,
                    const std::vector<wire::upstream_summary> &others) -> comparison;

} // namespace hawthornpick::policy
