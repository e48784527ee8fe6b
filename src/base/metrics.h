#pragma once

#include "base/errorkind.h"

#include <array>
#include <map>
#include <memory>
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <string>
#include <string_view>
#include <vector>

namespace hawthornpick::base {

using metric_labels = std::map<std::string, std::string>;

//! Metrics of one node. Objects returned by reference live as long as the registry and may be
//! updated from any thread.
class metrics
{
public:
    metrics();

    //! Counts a refused or failed request by reason.
    //! Thread safety: any thread, lock-free.
    auto countRefusal(error_kind kind) -> void;

    //! Counts a retry by the reason that made it necessary.
    //! Thread safety: any thread, lock-free.
    auto countRetry(error_kind kind) -> void;

    //! Returns the counter with the given name and labels; creates it at the first call.
    //! Names follow the Prometheus conventions without the prefix `hawthornpick_`.
    //! Thread safety: any thread, takes a lock; keep the reference.
    auto counter(std::string_view name, std::string_view help, const metric_labels &labels = {})
            -> prometheus::Counter &;

    //! As `counter`, for gauges.
    auto gauge(std::string_view name, std::string_view help, const metric_labels &labels = {})
            -> prometheus::Gauge &;

    //! As `counter`, for a histogram of seconds with the given upper bounds in increasing order.
    auto histogram(std::string_view name, std::string_view help, const std::vector<double> &bounds,
                   const metric_labels &labels = {}) -> prometheus::Histogram &;

    //! Returns all metrics in the Prometheus text format. Thread safety: any thread.
    [[nodiscard]] auto render() const -> std::string;

private:
    prometheus::Registry m_registry;
    std::array<prometheus::Counter *, ERROR_KIND_COUNT> m_refusals{};
    std::array<prometheus::Counter *, ERROR_KIND_COUNT> m_retries{};
};

//! Bounds in seconds for histograms of request latency and of added time.
auto latencyBounds() -> std::vector<double>;

} // namespace hawthornpick::base
