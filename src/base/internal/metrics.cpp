#include "base/metrics.h"

#include <prometheus/text_serializer.h>

namespace hawthornpick::base {

namespace {

auto prefixedMetricName(std::string_view name) -> std::string
{
    return "hawthornpick_" + std::string(name);
}

} // namespace

metrics::metrics()
{
    for (const auto &row : errorTable()) {
        const auto index = static_cast<std::size_t>(row.kind);
        const metric_labels labels{{"reason", std::string(row.reason)}};
        m_refusals.at(index) =
                &counter("refusals_total", "Requests refused or failed, by reason", labels);
        m_retries.at(index) = &counter("retries_total", "Retried attempts, by reason", labels);
    }
}

auto metrics::countRefusal(error_kind kind) -> void
{
    m_refusals.at(static_cast<std::size_t>(kind))->Increment();
}

auto metrics::countRetry(error_kind kind) -> void
{
    m_retries.at(static_cast<std::size_t>(kind))->Increment();
}

auto metrics::counter(std::string_view name, std::string_view help, const metric_labels &labels)
        -> prometheus::Counter &
{
    return prometheus::BuildCounter()
            .Name(prefixedMetricName(name))
            .Help(std::string(help))
            .Register(m_registry)
            .Add(labels);
}

auto metrics::gauge(std::string_view name, std::string_view help, const metric_labels &labels)
        -> prometheus::Gauge &
{
    return prometheus::BuildGauge()
            .Name(prefixedMetricName(name))
            .Help(std::string(help))
            .Register(m_registry)
            .Add(labels);
}

auto metrics::histogram(std::string_view name, std::string_view help,
                        const std::vector<double> &upperBoundsSeconds, const metric_labels &labels)
        -> prometheus::Histogram &
{
    return prometheus::BuildHistogram()
            .Name(prefixedMetricName(name))
            .Help(std::string(help))
            .Register(m_registry)
            .Add(labels, upperBoundsSeconds);
}

auto metrics::render() const -> std::string
{
    return prometheus::TextSerializer().Serialize(m_registry.Collect());
}

auto latencyBucketBoundsSeconds() -> std::vector<double>
{
    return {0.0001, 0.00025, 0.0005, 0.001, 0.0025, 0.005, 0.0075, 0.01, 0.025,
            0.05,   0.1,     0.25,   0.5,   1.0,    2.5,   5.0,    10.0};
}

} // namespace hawthornpick::base
