#include "app/internal/overloadcontrol.h"

#include "base/log.h"

#include <algorithm>

namespace hawthornpick::app {

namespace {

auto refusalProbability(double excludedShare) -> double
{
    const double part =
            (excludedShare - overload_control::MIN_EXCLUDED_SHARE)
            / (overload_control::FULL_EXCLUDED_SHARE - overload_control::MIN_EXCLUDED_SHARE);
    return std::clamp(part, 0.0, 1.0) * overload_control::MAX_REFUSAL_PROBABILITY;
}

//! Level as a number for logs and metrics: -1 if all ranks are admitted.
auto levelNumber(std::uint32_t lowestRank) -> std::int64_t
{
    return lowestRank == policy::admission_level::ALL_RANKS ? -1 : std::int64_t{lowestRank};
}

auto refusalCounter(base::metrics &metrics, const std::string &place) -> prometheus::Counter &
{
    return metrics.counter("overload_refusals_total",
                           "Requests refused because of their priority rank", {{"place", place}});
}

} // namespace

overload_control::overload_control(base::metrics &metrics, std::uint64_t seed)
    : m_metrics(metrics), m_random(seed), m_entryRefusals(refusalCounter(metrics, "entry")),
      m_upstreamRefusals(refusalCounter(metrics, "upstream"))
{}

auto overload_control::onLoad(const base::node_id &node, const base::service_id &service,
                              const policy::service_load &load, base::time_point now) -> void
{
    m_reports[service][node] = {load, now};
}

auto overload_control::recentReports(const base::service_id &service, base::time_point now)
        -> report_map &
{
    auto &reports = m_reports[service];
    std::erase_if(reports,
                  [now](const auto &item) { return item.second.receivedAt < now - REPORT_LIFE; });
    return reports;
}

auto overload_control::refusalOf(const base::service_id &service, std::uint32_t rank,
                                 base::time_point now) -> std::string
{
    const auto &reports = recentReports(service, now);
    std::size_t excluding = 0;
    double excludingWeight = 0.0;
    double weights = 0.0;
    for (const auto &[node, item] : reports) {
        const double weight =
                1.0 - base::toSeconds(now - item.receivedAt) / base::toSeconds(REPORT_LIFE);
        const bool excludes =
                item.load.lowestRank < rank && item.load.busySlots >= item.load.usableSlots;
        excluding += excludes ? 1 : 0;
        excludingWeight += excludes ? weight : 0.0;
        weights += weight;
    }
    if (excluding == 0 || !m_random.chance(refusalProbability(excludingWeight / weights))) {
        return {};
    }
    m_entryRefusals.Increment();
    return "rank " + std::to_string(rank) + " excluded by " + std::to_string(excluding) + " of "
           + std::to_string(reports.size()) + " upstreams with a recent report";
}

auto overload_control::backlogOf(const base::service_id &service, std::size_t upstreamCount,
                                 base::time_point now) -> policy::service_backlog
{
    const auto &reports = recentReports(service, now);
    const double upstreamsPerReport =
            std::max(1.0, static_cast<double>(upstreamCount)
                                  / std::max(1.0, static_cast<double>(reports.size())));
    policy::service_backlog backlog;
    for (const auto &[node, item] : reports) {
        const auto &load = item.load;
        const auto freeSlots = load.usableSlots - std::min(load.usableSlots, load.busySlots);
        backlog.waiting += upstreamsPerReport * load.waiting;
        backlog.freeSlots += upstreamsPerReport * freeSlots;
        if (load.meanServiceTime.count() > 0) {
            backlog.endsPerSecond +=
                    upstreamsPerReport * load.usableSlots / base::toSeconds(load.meanServiceTime);
        }
    }
    return backlog;
}

auto overload_control::ownQueue(const base::service_id &service) -> own_queue &
{
    if (const auto known = m_ownQueues.find(service); known != m_ownQueues.end()) {
        return known->second;
    }
    const base::metric_labels labels{{"service", service.str()}};
    auto &level = m_metrics.gauge(
            "overload_lowest_rank",
            "Least urgent rank that the upstreams of this host admit; -1 if all are", labels);
    auto &inversions = m_metrics.counter(
            "overload_inversions_total",
            "Waiting requests refused after a less urgent one had been started", labels);
    level.Set(static_cast<double>(levelNumber(policy::admission_level::ALL_RANKS)));
    return m_ownQueues.emplace(service, own_queue{level, inversions}).first->second;
}

auto overload_control::onOwnQueue(const base::service_id &service, const policy::slot_queue &queue)
        -> void
{
    auto &published = ownQueue(service);
    const auto refusals = queue.refusals();
    m_upstreamRefusals.Increment(
            static_cast<double>(refusals.belowLevel - published.refusals.belowLevel));
    published.inversionCounter.Increment(
            static_cast<double>(refusals.inversions - published.refusals.inversions));
    published.refusals = refusals;
    const auto lowestRank = queue.load().lowestRank;
    if (lowestRank == published.lowestRank) {
        return;
    }
    base::log(base::log_level::Info, "admission level changed",
              {{"service", service.str()},
               {"lowest_rank", levelNumber(lowestRank)},
               {"previous", levelNumber(published.lowestRank)}});
    published.levelGauge.Set(static_cast<double>(levelNumber(lowestRank)));
    published.lowestRank = lowestRank;
}

} // namespace hawthornpick::app
