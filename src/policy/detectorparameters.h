#pragma once

#include "base/time.h"
#include "config/settings.h"

#include <compare>
#include <cstdint>

namespace hawthornpick::policy {

//! Parameters of `failure_detector`. Evidence is a log-likelihood ratio in nats.
struct detector_parameters
{
    //! Evidence at which an upstream counts as unhealthy.
    double threshold = 10.0;
    //! Minimum failure probability assumed for a healthy upstream; bounds the evidence of one
    //! failure.
    double minHealthyFailureRate = 0.005;
    //! Minimum failure probability of the unhealthy hypothesis.
    double minUnhealthyFailureRate = 0.5;
    //! Latency of the slow hypothesis relative to the baseline of the service.
    double slowLatencyFactor = 3.0;
    //! Maximum evidence from the latency of one request. Latency has a heavier tail than the
    //! log-normal model, so a single value must not decide.
    double maxLatencyEvidence = 2.0;
    //! Time beyond the usual p99 of the service after which a request in flight is evidence.
    base::duration inFlightGrace = std::chrono::milliseconds(400);
    //! Maximum evidence from one request in flight.
    double maxInFlightEvidence = 4.5;
    //! Maximum evidence from one organisation that no other upstream is known to serve well, as a
    //! share of the threshold. Two organisations suffice for a verdict, one never does.
    double maxOrganisationShare = 0.6;
    //! Time between reaching the threshold and the comparison with the peers that confirms the
    //! verdict.
    base::duration confirmationDelay = std::chrono::milliseconds(150);
    //! As above, if the evidence reaches the threshold only with the full evidence of one
    //! organisation.
    base::duration singleOrganisationConfirmationDelay = std::chrono::milliseconds(500);
    //! Factor applied to the threshold of an upstream that was ejected recently.
    double flappingThresholdFactor = 0.7;
    //! Latency is used as evidence after this many requests of the service.
    double minLatencySamples = 30.0;

    auto operator<=>(const detector_parameters &) const = default;
};

//! Returns the parameters of a profile; docs/measurements/policy.txt has the measurements behind
//! them.
//! Thread safety: pure.
auto detectorParametersOf(config::policy_profile profile) -> detector_parameters;

} // namespace hawthornpick::policy
