#include "policy/detectorparameters.h"

namespace hawthornpick::policy {

auto detectorParametersOf(config::policy_profile profile) -> detector_parameters
{
    detector_parameters parameters;
    if (profile == config::policy_profile::FastDetection) {
        parameters.threshold = 9.0;
        parameters.inFlightGrace = std::chrono::milliseconds(300);
    }
    if (profile == config::policy_profile::FewFalseEjections) {
        parameters.threshold = 12.0;
        parameters.inFlightGrace = std::chrono::milliseconds(500);
    }
    return parameters;
}

} // namespace hawthornpick::policy
