#include "policy/crashtracker.h"

#include "base/digest.h"
#include "base/thriftcodec.h"
#include "policy/generated/policywire_types.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace hawthornpick::policy {

namespace {

//! Maximum time until a new view has reached all nodes.
constexpr base::duration MAX_VIEW_DELAY = std::chrono::seconds(2);
//! Number of times that each report is sent: if one message in ten is lost, one report in a
//! thousand is.
constexpr std::uint32_t SENDS_PER_REPORT = 3;
constexpr base::duration SEND_INTERVAL = std::chrono::milliseconds(100);
constexpr std::size_t MAX_PENDING_REPORTS = 64;
//! Longest refusal if the first one is shorter. Below `CRASH_RECORD_LIFETIME`, so that a request
//! that still crashes upstreams is tried once instead of being forgotten.
constexpr base::duration MAX_REFUSAL_TIME = std::chrono::minutes(8);
//! A refusal lasts up to this ratio longer on some nodes, so that not all try the request at once.
constexpr double REFUSAL_SPREAD = 0.2;

auto toWire(const base::crash_record &record) -> wire::crash_record
{
    wire::crash_record out;
    out.fingerprint = static_cast<std::int64_t>(record.fingerprint);
    out.generation = static_cast<std::int32_t>(record.evidence.generation);
    out.crashes = static_cast<std::int32_t>(record.evidence.crashes);
    return out;
}

auto fromWire(const wire::crash_record &record) -> base::crash_record
{
    return {static_cast<crash_fingerprint>(record.fingerprint),
            {static_cast<std::uint32_t>(record.generation),
             static_cast<std::uint32_t>(record.crashes)}};
}

// Removes the requests with the fewest crashes first, and of these the oldest.
template <typename Map>
auto keepMostImportant(Map &items, std::size_t maxSize) -> void
{
    while (items.size() > maxSize) {
        const auto isLessImportant = [](const auto &left, const auto &right) {
            return std::pair(left.second.evidence.crashes, left.second.changedAt)
                   < std::pair(right.second.evidence.crashes, right.second.changedAt);
        };
        items.erase(std::min_element(items.begin(), items.end(), isLessImportant));
    }
}

} // namespace

auto crashFingerprint(const base::organisation_id &organisation, std::string_view requestDigest)
        -> crash_fingerprint
{
    const auto value = base::hash64(requestDigest, base::hash64(organisation.str(), 1));
    return value == 0 ? 1 : value;
}

crash_tracker::crash_tracker(base::service_id service, base::node_id self,
                             base::duration maxAttemptDuration, const crash_policy &policy)
    : m_service(std::move(service)), m_self(std::move(self)),
      m_ownerSettleTime(maxAttemptDuration + MAX_VIEW_DELAY), m_policy(policy)
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

auto crash_tracker::verdict(crash_fingerprint fingerprint, base::time_point now) const
        -> crash_verdict
{
    const std::lock_guard lock(m_mutex);
    return currentVerdict(fingerprint, now);
}

auto crash_tracker::currentVerdict(crash_fingerprint fingerprint, base::time_point now) const
        -> crash_verdict
{
    if (evidenceOf(fingerprint, now).crashes == 0) {
        return crash_verdict::Run;
    }
    return refusalEnd(fingerprint, now) ? crash_verdict::Refuse : crash_verdict::RunAlone;
}

auto crash_tracker::remainingRefusalTime(crash_fingerprint fingerprint, base::time_point now) const
        -> base::duration
{
    const std::lock_guard lock(m_mutex);
    const auto end = refusalEnd(fingerprint, now);
    return end ? *end - now : base::duration::zero();
}

// Returns nothing if the request isn't refused.
auto crash_tracker::refusalEnd(crash_fingerprint fingerprint, base::time_point now) const
        -> std::optional<base::time_point>
{
    const auto evidence = evidenceOf(fingerprint, now);
    if (evidence.crashes < m_policy.crashesToRefuse) {
        return std::nullopt;
    }
    const auto longest = std::max(m_policy.refusalTime, MAX_REFUSAL_TIME);
    auto time = m_policy.refusalTime;
    for (auto i = m_policy.crashesToRefuse; i < evidence.crashes && time < longest; ++i) {
        time *= 2;
    }
    const auto spread = std::chrono::duration_cast<base::duration>(
            time * (REFUSAL_SPREAD * nodeShare(fingerprint)));
    const auto end = m_entries.at(fingerprint).changedAt + std::min(time, longest) + spread;
    return now < end ? std::optional(end) : std::nullopt;
}

auto crash_tracker::nodeShare(crash_fingerprint fingerprint) const -> double
{
    const auto weight = base::rendezvousWeight(std::to_string(fingerprint), m_self.str());
    return static_cast<double>(weight)
           / static_cast<double>(std::numeric_limits<std::uint64_t>::max());
}

auto crash_tracker::suspectOwner(crash_fingerprint fingerprint) const
        -> std::optional<base::node_id>
{
    const std::lock_guard lock(m_mutex);
    return ownerOf(fingerprint, m_nodes);
}

auto crash_tracker::tryStart(const crash_attempt &attempt, base::time_point now) -> bool
{
    const std::lock_guard lock(m_mutex);
    const auto verdict = currentVerdict(attempt.fingerprint, now);
    if (verdict == crash_verdict::Refuse) {
        return false;
    }
    if (verdict == crash_verdict::RunAlone && m_policy.runsSuspectsOnOwner) {
        if (!mayStartOnOwner(attempt.fingerprint, now)) {
            return false;
        }
        m_runningSuspect = attempt.id;
    }
    m_startedAttempts[attempt.id] = {attempt.fingerprint, evidenceOf(attempt.fingerprint, now)};
    return true;
}

auto crash_tracker::mayStartOnOwner(crash_fingerprint fingerprint, base::time_point now) const
        -> bool
{
    // Attempts that started before the crash report arrived count as running attempts of the
    // suspect.
    const bool isRunning = std::any_of(
            m_startedAttempts.begin(), m_startedAttempts.end(),
            [fingerprint](const auto &item) { return item.second.fingerprint == fingerprint; });
    const bool isOwnerSettled = m_nodesChangedAt && now - *m_nodesChangedAt >= m_ownerSettleTime;
    return isOwnerSettled && !isRunning && !m_runningSuspect
           && ownerOf(fingerprint, m_nodes) == m_self;
}

auto crash_tracker::onAttemptEnd(const base::attempt_id &attempt, bool succeeded,
                                 base::time_point now) -> void
{
    const std::lock_guard lock(m_mutex);
    const auto position = m_startedAttempts.find(attempt);
    if (position == m_startedAttempts.end()) {
        return;
    }
    const auto started = position->second;
    m_startedAttempts.erase(position);
    if (m_runningSuspect == attempt) {
        m_runningSuspect.reset();
    }
    if (!succeeded) {
        return;
    }
    recordSuccess(started.fingerprint, now);
    if (started.evidence.crashes == 0) {
        return;
    }
    const base::crash_record cleared{started.fingerprint, {started.evidence.generation + 1, 0}};
    if (raise(cleared, true, now)) {
        const auto delay = std::chrono::duration_cast<base::duration>(
                MAX_CLEARING_DELAY * nodeShare(started.fingerprint));
        publish({cleared}, now + delay, now);
    }
}

auto crash_tracker::onUpstreamCrash(const std::vector<crash_attempt> &running, base::time_point now)
        -> void
{
    const std::lock_guard lock(m_mutex);
    std::vector<base::crash_record> suspects;
    for (const auto &attempt : running) {
        if (takeRecentSuccess(attempt.fingerprint, now)) {
            continue;
        }
        const auto started = m_startedAttempts.find(attempt.id);
        const auto evidence = started == m_startedAttempts.end()
                                      ? evidenceOf(attempt.fingerprint, now)
                                      : started->second.evidence;
        suspects.push_back({attempt.fingerprint, evidence});
    }
    const auto hasFewerCrashes = [](const auto &left, const auto &right) {
        return left.evidence.crashes < right.evidence.crashes;
    };
    const auto prime = std::max_element(suspects.begin(), suspects.end(), hasFewerCrashes);
    const auto mostCrashes = prime == suspects.end() ? 0 : prime->evidence.crashes;
    std::vector<base::crash_record> raised;
    for (auto suspect : suspects) {
        if (suspect.evidence.crashes < mostCrashes) {
            continue;
        }
        ++suspect.evidence.crashes;
        if (raise(suspect, true, now)) {
            raised.push_back(suspect);
        }
    }
    if (!raised.empty()) {
        publish(raised, now, now);
    }
}

auto crash_tracker::receive(const base::node_id & /*from*/, std::string_view payload,
                            base::time_point now) -> std::vector<base::outgoing_message>
{
    const auto message = base::decodeThrift<wire::crash_message>(payload);
    if (!message || message->service_name != m_service.str()) {
        return {};
    }
    std::vector<base::crash_record> records;
    for (const auto &record : message->records) {
        records.push_back(fromWire(record));
    }
    merge(records, now);
    return {};
}

auto crash_tracker::tick(base::time_point now) -> std::vector<base::outgoing_message>
{
    const std::lock_guard lock(m_mutex);
    recordReleases(now);
    removeExpired(now);
    std::vector<base::outgoing_message> out;
    for (auto &item : m_pendingReports) {
        if (item.nextSendAt > now) {
            continue;
        }
        wire::crash_message message;
        message.service_name = m_service.str();
        for (const auto &record : item.records) {
            message.records.push_back(toWire(record));
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

auto crash_tracker::publishedRecords(base::time_point now) const -> std::vector<base::crash_record>
{
    const std::lock_guard lock(m_mutex);
    std::vector<base::crash_record> records;
    for (const auto &[fingerprint, item] : m_ownRecords) {
        if (item.publishAt <= now) {
            records.push_back({fingerprint, item.evidence});
        }
    }
    return records;
}

auto crash_tracker::merge(const std::vector<base::crash_record> &records, base::time_point now)
        -> void
{
    const std::lock_guard lock(m_mutex);
    for (const auto &record : records) {
        raise(record, false, now);
        const auto own = m_ownRecords.find(record.fingerprint);
        if (own != m_ownRecords.end() && own->second.publishAt > now
            && own->second.evidence <= record.evidence) {
            m_ownRecords.erase(own);
        }
    }
}

auto crash_tracker::takeChanges() -> std::vector<crash_change>
{
    const std::lock_guard lock(m_mutex);
    return std::exchange(m_changes, {});
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

auto crash_tracker::evidenceOf(crash_fingerprint fingerprint, base::time_point now) const
        -> base::crash_evidence
{
    const auto item = m_entries.find(fingerprint);
    if (item == m_entries.end() || now - item->second.changedAt >= CRASH_RECORD_LIFETIME) {
        return {};
    }
    return item->second.evidence;
}

auto crash_tracker::raise(const base::crash_record &record, bool isLocal, base::time_point now)
        -> bool
{
    if (record.evidence <= evidenceOf(record.fingerprint, now)) {
        return false;
    }
    m_entries[record.fingerprint] = {record.evidence, now, false};
    removeExpired(now);
    auto event = crash_event::Cleared;
    if (record.evidence.crashes > 0) {
        event = record.evidence.crashes < m_policy.crashesToRefuse ? crash_event::Suspected
                                                                   : crash_event::Refused;
    }
    recordChange({event, record, isLocal});
    return true;
}

auto crash_tracker::recordSuccess(crash_fingerprint fingerprint, base::time_point now) -> void
{
    if (m_policy.recentSuccessTime == base::duration::zero()) {
        return;
    }
    if (m_recentSuccesses.size() >= MAX_RECENT_SUCCESSES
        && !m_recentSuccesses.contains(fingerprint)) {
        m_recentSuccesses.clear();
    }
    m_recentSuccesses[fingerprint] = now;
}

auto crash_tracker::takeRecentSuccess(crash_fingerprint fingerprint, base::time_point now) -> bool
{
    const auto position = m_recentSuccesses.find(fingerprint);
    if (position == m_recentSuccesses.end()) {
        return false;
    }
    const bool isRecent = now - position->second < m_policy.recentSuccessTime;
    m_recentSuccesses.erase(position);
    return isRecent;
}

auto crash_tracker::recordReleases(base::time_point now) -> void
{
    for (auto &[fingerprint, item] : m_entries) {
        if (item.isReleased || item.evidence.crashes < m_policy.crashesToRefuse
            || refusalEnd(fingerprint, now)) {
            continue;
        }
        item.isReleased = true;
        recordChange({crash_event::Released, {fingerprint, item.evidence}, false});
    }
}

auto crash_tracker::recordChange(const crash_change &change) -> void
{
    if (m_changes.size() < MAX_CHANGES) {
        m_changes.push_back(change);
    }
}

auto crash_tracker::publish(const std::vector<base::crash_record> &records,
                            base::time_point publishAt, base::time_point now) -> void
{
    for (const auto &record : records) {
        m_ownRecords[record.fingerprint] = {record.evidence, now, publishAt};
    }
    keepMostImportant(m_ownRecords, MAX_PUBLISHED);
    if (m_pendingReports.size() < MAX_PENDING_REPORTS) {
        m_pendingReports.push_back({records, SENDS_PER_REPORT, now});
    }
}

auto crash_tracker::removeExpired(base::time_point now) -> void
{
    const auto isExpired = [now](const auto &item) {
        return now - item.second.changedAt >= CRASH_RECORD_LIFETIME;
    };
    std::erase_if(m_entries, isExpired);
    std::erase_if(m_ownRecords, isExpired);
    keepMostImportant(m_entries, MAX_ENTRIES);
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
