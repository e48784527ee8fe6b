#include "policy/crashtracker.h"

#include "base/digest.h"
#include "base/thriftcodec.h"
#include "policy/generated/policywire_types.h"

#include <algorithm>

namespace hawthornpick::policy {

namespace {

//! A new view reaches all nodes within 2 s.
constexpr base::duration VIEW_DELAY = std::chrono::seconds(2);
//! Each report is sent this often; with one message in ten lost, one report in a thousand is.
constexpr std::uint32_t SENDS = 3;
constexpr base::duration SEND_INTERVAL = std::chrono::milliseconds(100);
constexpr std::size_t CRASHES_TO_REFUSE = 2;
constexpr std::size_t MOST_PENDING = 64;
constexpr unsigned NUMBER_BITS = 20;

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
                             base::incarnation incarnation, base::duration longestRun)
    : m_service(std::move(service)), m_self(std::move(self)),
      m_ownerSettle(longestRun + VIEW_DELAY),
      m_nextNumber(static_cast<std::int64_t>(incarnation << NUMBER_BITS))
{}

auto crash_tracker::setNodes(std::vector<base::node_id> nodes, base::time_point now) -> void
{
    const std::lock_guard lock(m_mutex);
    std::sort(nodes.begin(), nodes.end());
    if (m_nodesSince && nodes == m_nodes) {
        return;
    }
    m_nodes = std::move(nodes);
    m_nodesSince = now;
}

auto crash_tracker::verdict(crash_fingerprint fingerprint, base::time_point now) -> crash_verdict
{
    const std::lock_guard lock(m_mutex);
    const auto crashes = crashesOf(fingerprint, now);
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
    const auto crashes = crashesOf(fingerprint, now);
    if (crashes == 0) {
        ++m_running[fingerprint];
        return true;
    }
    // Runs that began before the crash report came still count as runs of the suspect.
    const bool settled = m_nodesSince && now - *m_nodesSince >= m_ownerSettle;
    const bool alone = !m_runningSuspect && !m_running.contains(fingerprint);
    if (crashes >= CRASHES_TO_REFUSE || !settled || !alone
        || ownerOf(fingerprint, m_nodes) != m_self) {
        return false;
    }
    m_runningSuspect = fingerprint;
    ++m_running[fingerprint];
    return true;
}

auto crash_tracker::finished(crash_fingerprint fingerprint, bool succeeded, base::time_point now)
        -> void
{
    const std::lock_guard lock(m_mutex);
    const auto running = m_running.find(fingerprint);
    if (running != m_running.end() && --running->second == 0) {
        m_running.erase(running);
    }
    if (m_runningSuspect != fingerprint) {
        return;
    }
    m_runningSuspect.reset();
    if (succeeded && crashesOf(fingerprint, now) == 1) {
        const auto cleared = *m_entries.at(fingerprint).reports.begin();
        publish({fingerprint}, cleared, now);
    }
}

auto crash_tracker::upstreamCrashed(const std::vector<crash_fingerprint> &running,
                                    base::time_point now) -> void
{
    const std::lock_guard lock(m_mutex);
    auto counted = running;
    const bool suspectRan =
            m_runningSuspect
            && std::find(running.begin(), running.end(), *m_runningSuspect) != running.end();
    if (suspectRan) {
        counted = {*m_runningSuspect};
    }
    std::sort(counted.begin(), counted.end());
    counted.erase(std::unique(counted.begin(), counted.end()), counted.end());
    if (!counted.empty()) {
        publish(std::move(counted), std::nullopt, now);
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
    std::optional<report_id> clears;
    if (!message->cleared_node.empty()) {
        clears = {base::node_id(message->cleared_node), message->cleared_report};
    }
    apply({from, message->report}, fingerprints, clears, now);
    return {};
}

auto crash_tracker::tick(base::time_point now) -> std::vector<base::outgoing_message>
{
    const std::lock_guard lock(m_mutex);
    forgetOld(now);
    std::vector<base::outgoing_message> out;
    for (auto &item : m_pending) {
        if (item.nextSend > now) {
            continue;
        }
        wire::crash_message message;
        message.service_name = m_service.str();
        message.report = item.number;
        if (item.clears) {
            message.cleared_node = item.clears->first.str();
            message.cleared_report = item.clears->second;
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
        --item.sendsLeft;
        item.nextSend = now + SEND_INTERVAL;
    }
    std::erase_if(m_pending, [](const auto &item) { return item.sendsLeft == 0; });
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

auto crash_tracker::apply(const report_id &report,
                          const std::vector<crash_fingerprint> &fingerprints,
                          const std::optional<report_id> &clears, base::time_point now) -> void
{
    for (const auto fingerprint : fingerprints) {
        auto &item = m_entries[fingerprint];
        item.last = std::max(item.last, now);
        if (!clears) {
            if (!item.cleared.contains(report)) {
                item.reports.insert(report);
            }
        } else if (item.reports.size() < CRASHES_TO_REFUSE) {
            // A late clearance does not undo a refusal.
            item.reports.erase(*clears);
            item.cleared.insert(*clears);
        }
    }
    forgetOld(now);
}

auto crash_tracker::crashesOf(crash_fingerprint fingerprint, base::time_point now) -> std::size_t
{
    const auto item = m_entries.find(fingerprint);
    if (item == m_entries.end() || now - item->second.last >= CRASH_MEMORY) {
        return 0;
    }
    return item->second.reports.size();
}

auto crash_tracker::publish(std::vector<crash_fingerprint> fingerprints,
                            const std::optional<report_id> &clears, base::time_point now) -> void
{
    const auto number = ++m_nextNumber;
    apply({m_self, number}, fingerprints, clears, now);
    if (m_pending.size() < MOST_PENDING) {
        m_pending.push_back({std::move(fingerprints), clears, number, SENDS, now});
    }
}

auto crash_tracker::forgetOld(base::time_point now) -> void
{
    std::erase_if(m_entries,
                  [&](const auto &item) { return now - item.second.last >= CRASH_MEMORY; });
    while (m_entries.size() > MOST_ENTRIES) {
        const auto older = [](const auto &left, const auto &right) {
            return left.second.last < right.second.last;
        };
        m_entries.erase(std::min_element(m_entries.begin(), m_entries.end(), older));
    }
}

auto crash_tracker::ownerOf(crash_fingerprint fingerprint,
                            const std::vector<base::node_id> &nodes) const
        -> std::optional<base::node_id>
{
    const auto subject = m_service.str() + "/" + std::to_string(fingerprint);
    const auto lighter = [&](const base::node_id &left, const base::node_id &right) {
        return base::rendezvousWeight(subject, left.str())
               < base::rendezvousWeight(subject, right.str());
    };
    const auto owner = std::max_element(nodes.begin(), nodes.end(), lighter);
    return owner == nodes.end() ? std::nullopt : std::optional(*owner);
}

} // namespace hawthornpick::policy
