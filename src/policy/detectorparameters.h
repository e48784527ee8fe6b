#pragma once

#include "base/time.h"
#include "config/settings.h"

#include <compare>
#include <cstdint>

namespace hawthornpick::policy {

//! Parameters of `failure_detector`. An evidence value is a log-likelihood ratio in nats.
struct detector_parameters
{
    //! Evidence at which an upstream counts as unhealthy.
    double threshold = 10.0;
    //! Lowest failure probability assumed for a healthy upstream; bounds the weight of one failure.
    double usualFailureRate = 0.005;
    //! Failure probability of the unhealthy upstream that the test looks for.
    double unhealthyFailureRate = 0.5;
    //! Latency of the slow upstream that the test looks for, relative to the service's baseline.
    double slowFactor = 3.0;
    //! Most evidence from the latency of one request. Latency has a heavier tail than the lognormal
    //! model, so that a single value must not decide.
    double latencyCap = 2.0;
    //! Time beyond the service's usual p99 after which a request in flight counts as evidence.
    base::duration hangGrace = std::chrono::milliseconds(400);
    //! Most evidence from one request in flight.
    double hangCap = 4.5;
    //! Most evidence from one organisation that no other upstream is known to serve well, as a part
    //! of the threshold. Two organisations suffice for a verdict, one never does.
    double organisationCap = 0.6;
    //! Time between complete evidence and the comparison with the peers that decides.
    base::duration confirmTime = std::chrono::milliseconds(150);
    //! As above when the evidence would not suffice without one organisation.
    base::duration organisationConfirmTime = std::chrono::milliseconds(500);
    //! The threshold is multiplied by this for an upstream that was ejected recently.
    double flappingFactor = 0.7;
    //! Latency evidence is used after this many requests of the service.
    double minimumSamples = 30.0;

    auto operator<=>(const detector_parameters &) const = default;
};

//! Returns the parameters of a profile; docs/measurements/policy.txt has the figures behind them.
//! Thread safety: pure.
auto detectorParametersOf(config::policy_profile profile) -> detector_parameters;

} // namespace hawthornpick::policy
