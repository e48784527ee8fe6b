#include "policy/crashtracker.h"

#include "base/digest.h"
#include "base/thriftcodec.h"
#include "policy/generated/policywire_types.h"

#include <algorithm>

namespace hawthornpick::policy {

namespace {

//! Maximum time until a new view has reached all nodes.
constexpr base::duration MAX_VIEW_DELAY = std::chrono::seconds(2);
//! Number of times that each report is sent: if one message in ten is lost, one report in a
//! thousand is.
constexpr std::uint32_t SENDS_PER_REPORT = 3;
constexpr base::duration SEND_INTERVAL = std::chrono::milliseconds(100);
constexpr std::size_t CRASHES_TO_REFUSE = 2;
constexpr std::size_t MAX_PENDING_REPORTS = 64;
constexpr unsigned REPORT_NUMBER_BITS = 20;

} // namespace

auto crashFingerprint(const base::organisation_id &organisation, const base::route_id &route,
                      std::string_view requestDigest) -> crash_fingerprint
{
    auto value = base::hash64(organisation.str(), 1);
    value = base::hash64(route.str(), value);
    value = base::hash64(requestDigest, value);
    return value == 0 ? 1 : value;
}

crash_tracker::crash_tracker(base::service_id service, base::node_id self,
                             base::incarnation incarnation, base::duration maxAttemptDuration)
    : m_service(std::move(service)), m_self(std::move(self)),
      m_ownerSettleTime(maxAttemptDuration + MAX_VIEW_DELAY),
      m_lastReportNumber(static_cast<std::int64_t>(incarnation << REPORT_NUMBER_BITS))
{}

auto crash_tracker::setNodes(std::vector<base::node_id> nodes, base::time_point now) -> void
{
    const std::lock_guard lock(m_mutex);
    std::sort(nodes.begin(), nodes.end());
    if (m_nodesChangedAt && nodes == m_nodes) {
        return;
    }
    m_nodes = std::move(nodes);
    m_nodesChangedAt = now;
}

auto crash_tracker::verdict(crash_fingerprint fingerprint, base::time_point now) -> crash_verdict
{
    const std::lock_guard lock(m_mutex);
    const auto crashes = crashCount(fingerprint, now);
    if (crashes >= CRASHES_TO_REFUSE) {
        return crash_verdict::Refuse;
    }
    return crashes == 0 ? crash_verdict::Run : crash_verdict::RunAlone;
}

auto crash_tracker::suspectOwner(crash_fingerprint fingerprint) const
        -> std::optional<base::node_id>
{
    const std::lock_guard lock(m_mutex);
    return ownerOf(fingerprint, m_nodes);
}

auto crash_tracker::tryStart(crash_fingerprint fingerprint, base::time_point now) -> bool
{
    const std::lock_guard lock(m_mutex);
    const auto crashes = crashCount(fingerprint, now);
    if (crashes == 0) {
        ++m_runningCounts[fingerprint];
        return true;
    }
    // Attempts that started before the crash report arrived count as running attempts of the
    // suspect.
    const bool isOwnerSettled = m_nodesChangedAt && now - *m_nodesChangedAt >= m_ownerSettleTime;
    const bool isOnlyRunningSuspect = !m_runningSuspect && !m_runningCounts.contains(fingerprint);
    if (crashes >= CRASHES_TO_REFUSE || !isOwnerSettled || !isOnlyRunningSuspect
        || ownerOf(fingerprint, m_nodes) != m_self) {
        return false;
    }
    m_runningSuspect = fingerprint;
    ++m_runningCounts[fingerprint];
    return true;
}

auto crash_tracker::onAttemptEnd(crash_fingerprint fingerprint, bool succeeded,
                                 base::time_point now) -> void
{
    const std::lock_guard lock(m_mutex);
    const auto running = m_runningCounts.find(fingerprint);
    if (running != m_runningCounts.end() && --running->second == 0) {
        m_runningCounts.erase(running);
    }
    if (m_runningSuspect != fingerprint) {
        return;
    }
    m_runningSuspect.reset();
    if (succeeded && crashCount(fingerprint, now) == 1) {
        const auto clearedReport = *m_entries.at(fingerprint).reports.begin();
        publishReport({fingerprint}, clearedReport, now);
    }
}

auto crash_tracker::onUpstreamCrash(const std::vector<crash_fingerprint> &running,
                                    base::time_point now) -> void
{
    const std::lock_guard lock(m_mutex);
    auto suspects = running;
    const bool suspectWasRunning =
            m_runningSuspect
            && std::find(running.begin(), running.end(), *m_runningSuspect) != running.end();
    if (suspectWasRunning) {
        suspects = {*m_runningSuspect};
    }
    std::sort(suspects.begin(), suspects.end());
    suspects.erase(std::unique(suspects.begin(), suspects.end()), suspects.end());
    if (!suspects.empty()) {
        publishReport(std::move(suspects), std::nullopt, now);
    }
}

auto crash_tracker::receive(const base::node_id &from, std::string_view payload,
                            base::time_point now) -> std::vector<base::outgoing_message>
{
    const auto message = base::decodeThrift<wire::crash_message>(payload);
    if (!message || message->service_name != m_service.str()) {
        return {};
    }
    std::vector<crash_fingerprint> fingerprints;
    for (const auto value : message->fingerprints) {
        fingerprints.push_back(static_cast<crash_fingerprint>(value));
    }
    const std::lock_guard lock(m_mutex);
    std::optional<report_id> clearedReport;
    if (!message->cleared_node.empty()) {
        clearedReport = {base::node_id(message->cleared_node), message->cleared_report};
    }
    applyReport({from, message->report}, fingerprints, clearedReport, now);
    return {};
}

auto crash_tracker::tick(base::time_point now) -> std::vector<base::outgoing_message>
{
    const std::lock_guard lock(m_mutex);
    removeExpired(now);
    std::vector<base::outgoing_message> out;
    for (auto &item : m_pendingReports) {
        if (item.nextSendAt > now) {
            continue;
        }
        wire::crash_message message;
        message.service_name = m_service.str();
        message.report = item.number;
        if (item.clearedReport) {
            message.cleared_node = item.clearedReport->first.str();
            message.cleared_report = item.clearedReport->second;
        }
        for (const auto value : item.fingerprints) {
            message.fingerprints.push_back(static_cast<std::int64_t>(value));
        }
        const auto payload = base::encodeThrift(message);
        for (const auto &node : m_nodes) {
            if (node != m_self) {
                out.push_back({node, base::channel::CrashReport, payload});
            }
        }
        --item.remainingSends;
        item.nextSendAt = now + SEND_INTERVAL;
    }
    std::erase_if(m_pendingReports, [](const auto &item) { return item.remainingSends == 0; });
    return out;
}

auto crash_tracker::size() const -> std::size_t
{
    const std::lock_guard lock(m_mutex);
    return m_entries.size();
}

auto crash_tracker::serviceOf(std::string_view payload) -> std::optional<base::service_id>
{
    const auto message = base::decodeThrift<wire::crash_message>(payload);
    if (!message) {
        return std::nullopt;
    }
    return base::service_id(message->service_name);
}

auto crash_tracker::applyReport(const report_id &report,
                                const std::vector<crash_fingerprint> &fingerprints,
                                const std::optional<report_id> &clearedReport, base::time_point now)
        -> void
{
    for (const auto fingerprint : fingerprints) {
        auto &item = m_entries[fingerprint];
        item.lastReportAt = std::max(item.lastReportAt, now);
        if (!clearedReport) {
            if (!item.clearedReports.contains(report)) {
                item.reports.insert(report);
            }
        } else if (item.reports.size() < CRASHES_TO_REFUSE) {
            // A late clearing report does not undo a refusal.
            item.reports.erase(*clearedReport);
            item.clearedReports.insert(*clearedReport);
        }
    }
    removeExpired(now);
}

auto crash_tracker::crashCount(crash_fingerprint fingerprint, base::time_point now) -> std::size_t
{
    const auto item = m_entries.find(fingerprint);
    if (item == m_entries.end() || now - item->second.lastReportAt >= CRASH_RECORD_LIFETIME) {
        return 0;
    }
    return item->second.reports.size();
}

auto crash_tracker::publishReport(std::vector<crash_fingerprint> fingerprints,
                                  const std::optional<report_id> &clearedReport,
                                  base::time_point now) -> void
{
    const auto number = ++m_lastReportNumber;
    applyReport({m_self, number}, fingerprints, clearedReport, now);
    if (m_pendingReports.size() < MAX_PENDING_REPORTS) {
        m_pendingReports.push_back(
                {std::move(fingerprints), clearedReport, number, SENDS_PER_REPORT, now});
    }
}

auto crash_tracker::removeExpired(base::time_point now) -> void
{
    std::erase_if(m_entries, [&](const auto &item) {
        return now - item.second.lastReportAt >= CRASH_RECORD_LIFETIME;
    });
    while (m_entries.size() > MAX_ENTRIES) {
        const auto older = [](const auto &left, const auto &right) {
            return left.second.lastReportAt < right.second.lastReportAt;
        };
        m_entries.erase(std::min_element(m_entries.begin(), m_entries.end(), older));
    }
}

auto crash_tracker::ownerOf(crash_fingerprint fingerprint,
                            const std::vector<base::node_id> &nodes) const
        -> std::optional<base::node_id>
{
    const auto subject = m_service.str() + "/" + std::to_string(fingerprint);
    const auto hasLowerWeight = [&](const base::node_id &left, const base::node_id &right) {
        return base::rendezvousWeight(subject, left.str())
               < base::rendezvousWeight(subject, right.str());
    };
    const auto owner = std::max_element(nodes.begin(), nodes.end(), hasLowerWeight);
    return owner == nodes.end() ? std::nullopt : std::optional(*owner);
}

} // namespace hawthornpick::policy
