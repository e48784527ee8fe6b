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

//! Metrics of a node. Objects returned by reference live as long as this object and may be updated
//! from any thread.
class metrics
{
public:
    metrics();

    //! Counts a refused or failed request by reason.
    //! Thread safety: any thread, lock-free.
    auto countRefusal(error_kind kind) -> void;

    //! Counts a retry by the reason for which the previous attempt failed.
    //! Thread safety: any thread, lock-free.
    auto countRetry(error_kind kind) -> void;

    //! Returns the counter with the given name and labels; the first call creates it.
    //! `name` follows the Prometheus conventions and has no prefix; `hawthornpick_` is added.
    //! Thread safety: any thread; takes a lock, so callers keep the reference.
    auto counter(std::string_view name, std::string_view help, const metric_labels &labels = {})
            -> prometheus::Counter &;

    //! As `counter`, for gauges.
    auto gauge(std::string_view name, std::string_view help, const metric_labels &labels = {})
            -> prometheus::Gauge &;

    //! As `counter`, for a histogram of times. The upper bounds of the buckets are in seconds and
    //! in increasing order.
    auto histogram(std::string_view name, std::string_view help,
                   const std::vector<double> &upperBoundsSeconds, const metric_labels &labels = {})
            -> prometheus::Histogram &;

    //! Returns all metrics in the Prometheus text format. Thread safety: any thread.
    [[nodiscard]] auto render() const -> std::string;

private:
    prometheus::Registry m_registry;
    std::array<prometheus::Counter *, ERROR_KIND_COUNT> m_refusals{};
    std::array<prometheus::Counter *, ERROR_KIND_COUNT> m_retries{};
};

//! Returns the upper bounds, in seconds, of the buckets of histograms of request latency and of the
//! latency that the proxy adds. Thread safety: pure.
auto latencyBucketBoundsSeconds() -> std::vector<double>;

} // namespace hawthornpick::base
