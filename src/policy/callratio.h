#pragma once

#include "base/ids.h"
#include "base/time.h"

#include <map>
#include <unordered_map>

namespace hawthornpick::policy {

//! Measures how many calls to other services the upstream of this node makes for each idempotent
//! request that it runs. A repeated request makes its calls again, and these count as repeats of
//! the called services. Thread safety of all members: one thread.
class call_ratio
{
public:
    //! Time constant of the averages.
    static constexpr base::milliseconds TIME_CONSTANT{10'000};
    //! Below this averaged number of runs, no ratio is given.
    static constexpr double MIN_RUNS = 2.0;

    //! Counts an idempotent request that the own upstream started to run.
    auto onRun(base::time_point now) -> void;

    //! Counts a call that the own upstream made.
    auto onCall(const base::service_id &service, base::time_point now) -> void;

    //! Returns the calls to each service for each run.
    auto callsPerRun(base::time_point now) -> std::map<base::service_id, double>;

private:
    auto decay(base::time_point now) -> void;

    double m_runs = 0.0;
    std::unordered_map<base::service_id, double> m_calls;
    base::time_point m_decayedAt{};
};

} // namespace hawthornpick::policy
