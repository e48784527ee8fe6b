#pragma once

#include "policy/generated/policywire_types.h"
#include "policy/internal/evidence.h"

#include <optional>
#include <set>
#include <unordered_map>

namespace hawthornpick::policy {

//! What one local upstream is compared with: the other upstreams of the service.
struct comparison
{
    service_norm norm;
    //! Failure rate of organisations that fail elsewhere as well.
    std::map<base::organisation_id, double> failingOrganisations;
    //! Organisations that other upstreams serve well.
    std::set<base::organisation_id> servedOrganisations;
    //! Recent state of the others without the worst quarter.
    double othersFailureRate = 0.0;
    std::optional<double> othersLogLatency;
    double usualLogLatency = 0.0;
    //! Share of the others that are suspect as well.
    double suspectShare = 0.0;
    base::time_point made{};
};

//! One upstream beside this node.
struct watched_upstream
{
    struct running_attempt
    {
        base::organisation_id organisation;
        std::uint64_t fingerprint = 0;
        base::time_point since;
    };

    decaying_statistics recent;
    decaying_statistics usual;
    std::map<base::organisation_id, decaying_statistics> organisations;
    attributed_cusum failures;
    attributed_cusum latencies;
    std::unordered_map<base::attempt_id, running_attempt> running;
    bool isFlapping = false;
    std::optional<base::time_point> lastCrash;
    std::optional<comparison> compared;
    //! Since when the evidence has been at the threshold.
    std::optional<base::time_point> crossed;
};

//! How evidence that comes from one organisation counts.
enum class attribution : std::uint8_t {
    Ignore,
    //! Up to the cap unless other upstreams serve the organisation well.
    CapUnserved,
    CapAll,
};

//! State of a `failure_detector`; its lock is held by the caller of every method.
struct failure_detector::state
{
    struct peer_upstream
    {
        base::node_id node;
        wire::upstream_summary summary;
        base::time_point received;
    };

    detector_parameters parameters;
    base::service_id service;
    base::node_id self;
    base::random_source random;
    std::vector<base::node_id> peers;
    std::map<base::upstream_id, watched_upstream> watched;
    std::map<base::upstream_id, peer_upstream> remote;
    fingerprint_memory succeeded;
    fingerprint_memory failed;
    std::map<base::node_id, base::time_point> answered;
    std::int64_t question = 0;
    base::time_point asked{};
    base::time_point published{};

    //! Returns the comparison of an upstream, at most `COMPARISON_AGE` old.
    auto compare(const base::upstream_id &id, watched_upstream &upstream, base::time_point now)
            -> const comparison &;
    auto countOutcome(const base::upstream_id &id, watched_upstream &upstream,
                      const watched_upstream::running_attempt &attempt, attempt_outcome outcome,
                      base::time_point now) -> void;
    auto countFailure(watched_upstream &upstream, const watched_upstream::running_attempt &attempt,
                      const comparison &others, attempt_outcome outcome, base::time_point now)
            -> void;
    auto countSuccess(watched_upstream &upstream, const watched_upstream::running_attempt &attempt,
                      const comparison &others, double logLatency, base::time_point now) -> void;
    //! Evidence in multiples of the upstream's threshold.
    auto evidence(const base::upstream_id &id, watched_upstream &upstream, attribution rule,
                  base::time_point now) -> double;
    //! True if the others degrade as well.
    auto serviceDegrades(const base::upstream_id &id, watched_upstream &upstream,
                         base::time_point now) -> bool;
    //! True if enough peers were asked long enough after the evidence reached the threshold.
    auto hasFreshComparison(const base::upstream_id &id, watched_upstream &upstream,
                            base::time_point now) -> bool;
    auto summaries(base::time_point now) -> std::vector<wire::upstream_summary>;
    auto summaryOf(const base::upstream_id &id, watched_upstream &upstream, base::time_point now)
            -> wire::upstream_summary;
    auto message(std::int64_t newQuestion, std::int64_t answerTo, base::time_point now)
            -> std::string;
    [[nodiscard]] auto threshold(const watched_upstream &upstream) const -> double;
    auto samplePeers(std::size_t limit) -> std::vector<base::node_id>;
    auto forgetOldSummaries(base::time_point now) -> void;

private:
    auto otherSummaries(const base::upstream_id &id, base::time_point now)
            -> std::vector<wire::upstream_summary>;
};

//! Builds the comparison of an upstream whose own summary is `own` with `others`.
//! Thread safety: pure.
auto makeComparison(const detector_parameters &parameters, const wire::upstream_summary &own,
                    const std::vector<wire::upstream_summary> &others) -> comparison;

} // namespace hawthornpick::policy
