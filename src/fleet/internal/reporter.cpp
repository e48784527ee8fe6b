#include "fleet/reporter.h"

#include "base/digest.h"
#include "fleet/deputies.h"

#include <algorithm>
#include <set>
#include <tuple>

namespace hawthornpick::fleet {

namespace {

//! Number of hubs and deputies whose positions are kept: those of a fleet, and some that are gone.
constexpr std::size_t MAX_KNOWN_POSITIONS = 64;
//! Number of hubs that are asked to store a record at the same time: one more than must do so.
constexpr std::size_t MAX_STORE_REQUESTS = reporter::STORE_COPIES + 1;

} // namespace

reporter::reporter(node_record self, std::vector<base::node_id> contacts,
                   reporter_callbacks callbacks)
    : m_self(std::move(self)), m_contacts(std::move(contacts)), m_callbacks(std::move(callbacks))
{
    m_records.merge(m_self);
}

auto reporter::receive(const base::node_id &from, const message &content, base::time_point now)
        -> messages
{
    if (const auto *answer = std::get_if<report_answer>(&content)) {
        return onReportAnswer(from, *answer, now);
    }
    if (const auto *answer = std::get_if<store_answer>(&content)) {
        onStoreAnswer(from, *answer);
    }
    if (const auto *notice = std::get_if<config_notice>(&content)) {
        learnEvacuations(notice->evacuations);
        applyDocument(notice->document);
    }
    if (const auto *pushed = std::get_if<usage_totals>(&content);
        pushed != nullptr && from == m_hub) {
        m_callbacks.onTotalsNearLimit(pushed->totals, coverageShare(pushed->coveredNodeCount));
    }
    return {};
}

auto reporter::tick(base::time_point now) -> messages
{
    m_startedAt = m_startedAt.value_or(now);
    auto out = advance(now);
    if (now < m_storeRequestsEnd && now >= m_nextStoreRequestAt && !isStored(m_self.sequence)) {
        auto requests = sendStoreRequests(now);
        out.insert(out.end(), requests.begin(), requests.end());
    }
    return out;
}

auto reporter::advance(base::time_point now) -> messages
{
    if (!m_probedHub.empty() && now - m_probeSentAt >= PROBE_TIMEOUT) {
        return probeNextHub(now);
    }
    if (m_isAwaitingAnswer && now - m_reportSentAt >= ANSWER_TIMEOUT) {
        m_isAwaitingAnswer = false;
        m_heldRecord.reset();
        ++m_unansweredReports;
        if (m_unansweredReports >= MAX_UNANSWERED_REPORTS || m_failedHubCount > 0) {
            markHubFailed(now);
        }
        m_nextReportAt = now;
    }
    if (m_usesDeputy && m_probedHub.empty()) {
        return probeNextHub(now);
    }
    return now < m_nextReportAt ? sendUsageUpdate(now) : sendReport(now);
}

auto reporter::sendUsageUpdate(base::time_point now) -> messages
{
    if (now < m_nextUsageUpdateAt || m_hub.empty()) {
        return {};
    }
    auto usages = m_callbacks.changedUsages();
    if (usages.empty()) {
        return {};
    }
    m_nextUsageUpdateAt = now + USAGE_UPDATE_INTERVAL;
    return {toOutgoingMessage(m_hub, usage_update{{std::move(usages)}, false})};
}

auto reporter::requestStorage(base::time_point now) -> messages
{
    m_storeRequestsEnd = now + STORE_TIMEOUT;
    m_storeRequestRound = 0;
    return sendStoreRequests(now);
}

// Each round starts with another hub, because some of them may be unreachable.
auto reporter::sendStoreRequests(base::time_point now) -> messages
{
    m_nextStoreRequestAt = now + STORE_INTERVAL;
    auto hubs = hubsByPreference(now);
    std::erase_if(hubs, [this](const base::node_id &hub) {
        const auto stored = m_storedSequences.find(hub);
        return stored != m_storedSequences.end() && stored->second >= m_self.sequence;
    });
    messages out;
    for (std::size_t i = 0; i < std::min(hubs.size(), MAX_STORE_REQUESTS); ++i) {
        const auto &hub = hubs.at((m_storeRequestRound + i) % hubs.size());
        out.push_back(toOutgoingMessage(hub, store_request{m_self}));
    }
    ++m_storeRequestRound;
    return out;
}

auto reporter::isStored(std::uint64_t sequence) const -> bool
{
    const auto copies =
            std::count_if(m_storedSequences.begin(), m_storedSequences.end(),
                          [sequence](const auto &item) { return item.second >= sequence; });
    return copies > 0
           && static_cast<std::size_t>(copies) >= std::min(STORE_COPIES, candidateHubs().size());
}

auto reporter::onStoreAnswer(const base::node_id &from, const store_answer &answer) -> void
{
    supersede(answer.generation);
    if (answer.generation != m_self.generation) {
        return;
    }
    auto &stored = m_storedSequences[from];
    stored = std::max(stored, answer.sequence);
    m_callbacks.onStored();
}

auto reporter::setUpstreams(std::vector<membership::upstream_entry> upstreams) -> void
{
    if (m_self.entry.upstreams == upstreams) {
        return;
    }
    m_self.entry.upstreams = std::move(upstreams);
    onSelfChanged();
}

auto reporter::setCrashRecords(std::vector<base::crash_record> records) -> void
{
    if (m_self.crashRecords == records) {
        return;
    }
    m_self.crashRecords = std::move(records);
    onSelfChanged();
}

auto reporter::setState(membership::node_state state) -> void
{
    m_self.entry.state = state;
    onSelfChanged();
}

auto reporter::supersede(const node_record &record) -> void
{
    if (record.generation > m_self.generation) {
        supersede(record.generation);
        return;
    }
    // A hub that didn't hear this process for long has marked it dead.
    if (record.version() >= m_self.version() && record.entry != m_self.entry) {
        m_self.sequence = record.sequence;
        onSelfChanged();
    }
}

auto reporter::supersede(std::uint64_t generation) -> void
{
    if (generation > m_self.generation) {
        m_self.generation = generation + 1;
        onSelfChanged();
    }
}

auto reporter::setContacts(std::vector<base::node_id> contacts) -> void
{
    m_contacts = std::move(contacts);
}

auto reporter::onSelfChanged() -> void
{
    ++m_self.sequence;
    m_records.merge(m_self);
    m_nextReportAt = {};
    publishView();
}

auto reporter::onReportAnswer(const base::node_id &from, const report_answer &answer,
                              base::time_point now) -> messages
{
    // Whatever the answer is worth otherwise, its evacuations and its document are committed.
    if (answer.evacuations) {
        learnEvacuations(*answer.evacuations);
    }
    if (answer.document) {
        applyDocument(*answer.document);
    }
    confirmVersion(from, answer);
    if (isForFormerProcess(answer)) {
        m_callbacks.onLateAnswer(from, now - answer.reportSentAt);
        return {};
    }
    if (from != m_hub) {
        return onAnswerOfOtherHub(from, answer, now);
    }
    // The hub has restarted and needs the digest of the directory, or it knows nearer hubs.
    const bool mustReportAgain =
            answer.cursor.bootId == 0 && (m_cursors[from].bootId != 0 || !m_reportedAsDistant);
    m_isAwaitingAnswer = false;
    m_unansweredReports = 0;
    m_failedHubCount = 0;
    m_heldRecord = answer.stored;
    m_evacuationRevisionOfHub = answer.evacuationRevision;
    applyAnswer(answer);
    m_callbacks.onTotals(answer.usageTotals, coverageShare(answer.coveredNodeCount));
    if (mustReportAgain && !m_usesDeputy) {
        return sendReport(now);
    }
    if (m_usesDeputy) {
        return {};
    }
    if (answer.isFresh) {
        m_probedHub = {};
        m_previouslyProbed.clear();
        return {};
    }
    return m_probedHub.empty() ? probeNextHub(now) : messages{};
}

// Answers to probes come from hubs that are not in use; so do answers to reports that came after
// the node had given up the hub.
auto reporter::onAnswerOfOtherHub(const base::node_id &from, const report_answer &answer,
                                  base::time_point now) -> messages
{
    const bool isProbing = !m_probedHub.empty() || !m_previouslyProbed.empty();
    const bool isExpected = from == m_probedHub;
    if (!isExpected) {
        m_callbacks.onLateAnswer(from, now - answer.reportSentAt);
    }
    const bool isRecent = now - answer.reportSentAt <= MAX_ANSWER_AGE;
    const bool isUsable =
            (m_usesDeputy || (isProbing && answer.isFresh)) && candidateHubs().contains(from);
    if (isRecent && isUsable) {
        return returnToHub(from, now);
    }
    return isExpected ? probeNextHub(now) : messages{};
}

// The hubs probed before this one are stale or did not answer, and the hub in use is stale or a
// deputy.
auto reporter::returnToHub(const base::node_id &hub, base::time_point now) -> messages
{
    m_previouslyProbed.insert(m_hub);
    for (const auto &probed : m_previouslyProbed) {
        m_backoffUntil[probed] = now + FAILED_HUB_BACKOFF;
    }
    m_backoffUntil.erase(hub);
    m_usesDeputy = false;
    switchHub(hub);
    return sendReport(now);
}

// A hub that has just started knows only the few nodes that have reported to it. The share
// therefore refers to the live entry nodes that this node knows.
auto reporter::coverageShare(std::uint32_t coveredNodeCount) const -> double
{
    double knownNodeCount = 0.0;
    m_records.forEach([&knownNodeCount](const node_record &record) {
        knownNodeCount += record.isAliveEntryNode() ? 1.0 : 0.0;
    });
    return knownNodeCount <= 0.0 ? 1.0 : std::min(1.0, coveredNodeCount / knownNodeCount);
}

auto reporter::applyAnswer(const report_answer &answer) -> void
{
    m_cursors[m_hub] = answer.cursor;
    bool hasChanged = false;
    for (const auto &record : answer.records) {
        if (record.entry.id == m_self.entry.id) {
            applyOwnRecord(record);
            continue;
        }
        if (!m_records.merge(record)) {
            continue;
        }
        hasChanged = true;
        if (!record.crashRecords.empty()) {
            m_callbacks.onCrashRecords(record.crashRecords);
        }
    }
    supersede(answer.knownGeneration);
    // Without a position, the answer doesn't contain the directory.
    const bool hasDirectory = answer.cursor.bootId != 0;
    if (hasDirectory && !answer.isDirectoryComplete && !m_usesDeputy) {
        // A node that knows the departures tells them at once; the others wait for those that do.
        m_mustTellDepartures = m_hasCompleteDirectory;
        m_nextReportAt = m_hasCompleteDirectory ? m_reportSentAt
                                                : m_reportSentAt + INCOMPLETE_REPORT_INTERVAL;
    }
    if (hasDirectory && answer.isDirectoryComplete
        && !std::exchange(m_hasCompleteDirectory, true)) {
        m_callbacks.onDirectoryComplete();
    }
    if (hasChanged) {
        publishView();
    }
}

// Such an answer has only the records that the former process lacked, and its position would hide
// the others. Times are sent in milliseconds; hubs of former versions don't repeat them.
auto reporter::isForFormerProcess(const report_answer &answer) const -> bool
{
    const bool hasTime = answer.reportSentAt != base::time_point{};
    return hasTime && m_startedAt && *m_startedAt - answer.reportSentAt >= base::milliseconds(1);
}

// An answer may leave out the document although the hub has a newer one.
auto reporter::confirmVersion(const base::node_id &from, const report_answer &answer) -> void
{
    if (answer.isFresh && answer.hubVersion <= m_configVersion
        && answer.reportSentAt > m_confirmation.time) {
        m_confirmation = {answer.reportSentAt, from};
    }
}

// The hub's record of this node tells what former processes published, whose promises bind this
// one.
auto reporter::applyOwnRecord(const node_record &record) -> void
{
    if (record.generation == m_self.generation) {
        supersede(record);
    }
    auto former = record.formerUpstreams;
    if (record.generation != m_self.generation) {
        former.insert(former.end(), record.entry.upstreams.begin(), record.entry.upstreams.end());
    }
    if (!former.empty()) {
        m_callbacks.onFormerUpstreams(std::move(former));
    }
}

auto reporter::learnEvacuations(const base::evacuation_list &evacuations) -> void
{
    if (evacuations.revision > m_evacuations.revision) {
        m_evacuations = evacuations;
        m_callbacks.onEvacuations(m_evacuations);
    }
}

// Ignores versions that are not newer, so that an answer from a lagging hub does not roll back the
// configuration.
auto reporter::applyDocument(const config_document &document) -> void
{
    if (document.version > m_configVersion) {
        m_configVersion = document.version;
        m_callbacks.onDocument(document);
    }
}

auto reporter::sendReport(base::time_point now) -> messages
{
    m_nextReportAt = now + REPORT_INTERVAL;
    selectHub(now);
    if (m_hub.empty()) {
        return {};
    }
    m_reportSentAt = now;
    m_isAwaitingAnswer = true;
    report nodeReport{m_self, m_cursors[m_hub], m_configVersion, m_callbacks.currentUsages(),
                      false};
    if (m_heldRecord && m_heldRecord->generation == m_self.generation
        && m_heldRecord->sequence >= m_self.sequence) {
        nodeReport.sender = {};
        nodeReport.senderVersion = m_self.version();
    }
    if (nodeReport.cursor.bootId == 0) {
        nodeReport.directoryDigest = m_records.digest();
    }
    nodeReport.usesDistantHub =
            distanceTo(m_hub) > 1 && !m_records.aliveHubsIn(m_self.entry.region).empty();
    m_reportedAsDistant = nodeReport.usesDistantHub;
    if (std::exchange(m_mustTellDepartures, false) && !m_usesDeputy) {
        nodeReport.knownDepartures = m_records.departures();
        nodeReport.tellsDepartures = true;
    }
    nodeReport.sentAt = now;
    nodeReport.evacuationRevision = m_evacuations.revision;
    if (m_evacuations.revision > m_evacuationRevisionOfHub) {
        nodeReport.evacuations = m_evacuations;
    }
    return {toOutgoingMessage(m_hub, nodeReport)};
}

auto reporter::distanceTo(const base::node_id &node) const -> int
{
    const auto *record = m_records.find(node);
    if (record == nullptr || record->entry.region != m_self.entry.region) {
        return 2;
    }
    return record->entry.failureDomain == m_self.entry.failureDomain ? 0 : 1;
}

// Returns the contacts and the hubs of the directory without those that are known not to be live
// hubs.
auto reporter::candidateHubs() const -> std::set<base::node_id>
{
    std::set<base::node_id> candidates(m_contacts.begin(), m_contacts.end());
    m_records.forEach([&candidates](const node_record &record) {
        if (record.isAliveHub()) {
            candidates.insert(record.entry.id);
        } else {
            candidates.erase(record.entry.id);
        }
    });
    return candidates;
}

// Hubs that failed recently come last, those with the earliest end of their backoff first. The
// others are ordered by distance; rendezvous hashing spreads nodes over equally distant hubs.
auto reporter::hubsByPreference(base::time_point now) const -> std::vector<base::node_id>
{
    const auto candidates = candidateHubs();
    const auto preference = [this, now](const base::node_id &node) {
        const auto backoff = m_backoffUntil.find(node);
        const bool isInBackoff = backoff != m_backoffUntil.end() && backoff->second > now;
        return std::tuple(isInBackoff, isInBackoff ? backoff->second : base::time_point{},
                          distanceTo(node),
                          base::rendezvousWeight(m_self.entry.id.str(), node.str()));
    };
    std::vector<base::node_id> hubs(candidates.begin(), candidates.end());
    std::sort(hubs.begin(), hubs.end(),
              [&preference](const base::node_id &left, const base::node_id &right) {
                  return preference(left) < preference(right);
              });
    return hubs;
}

auto reporter::selectHub(base::time_point now) -> void
{
    const auto hubs = hubsByPreference(now);
    const auto preferredHub = hubs.empty() ? base::node_id() : hubs.front();
    const auto selected = m_usesDeputy ? preferredDeputy(now) : preferredHub;
    if (selected != m_hub) {
        switchHub(selected);
    }
}

// Returns the first deputy of the region that has not failed recently, or the first one if all
// have. The order is the same on all nodes of a region, so that they use the same deputy.
auto reporter::preferredDeputy(base::time_point now) const -> base::node_id
{
    const auto deputies = deputiesByRegion(m_records);
    const auto ownRegion = deputies.find(m_self.entry.region);
    if (ownRegion == deputies.end()) {
        return {};
    }
    const auto isInBackoff = [this, now](const base::node_id &node) {
        const auto backoff = m_backoffUntil.find(node);
        return backoff != m_backoffUntil.end() && backoff->second > now;
    };
    const auto first =
            std::find_if_not(ownRegion->second.begin(), ownRegion->second.end(), isInBackoff);
    return first == ownRegion->second.end() ? ownRegion->second.front() : *first;
}

auto reporter::switchHub(const base::node_id &hub) -> void
{
    m_hub = hub;
    if (m_cursors.size() > MAX_KNOWN_POSITIONS) {
        m_cursors.clear();
    }
    m_probedHub = {};
    m_previouslyProbed.clear();
    m_isAwaitingAnswer = false;
    m_unansweredReports = 0;
    m_heldRecord.reset();
    m_evacuationRevisionOfHub = 0;
    // The record tells the previous hub that the node now reports elsewhere.
    m_self.reportsTo = hub;
    ++m_self.sequence;
    m_records.merge(m_self);
    m_callbacks.onHubChanged(m_hub, m_usesDeputy);
}

// Probes without waiting for the next report: with half of the hubs cut off from the leader, one
// report interval per stale hub would exceed the time within which a version must reach each node.
// If all hubs are stale, the next round of probes starts with the next report.
auto reporter::probeNextHub(base::time_point now) -> messages
{
    if (!m_probedHub.empty()) {
        m_previouslyProbed.insert(m_probedHub);
        m_probedHub = {};
    }
    for (const auto &hub : hubsByPreference(now)) {
        if (hub != m_hub && !m_previouslyProbed.contains(hub)) {
            m_probedHub = hub;
            m_probeSentAt = now;
            report probe{m_self, {}, m_configVersion, {}, true};
            probe.sentAt = now;
            probe.evacuationRevision = m_evacuations.revision;
            return {toOutgoingMessage(hub, probe)};
        }
    }
    m_previouslyProbed.clear();
    return {};
}

auto reporter::markHubFailed(base::time_point now) -> void
{
    m_unansweredReports = 0;
    m_backoffUntil[m_hub] = now + FAILED_HUB_BACKOFF;
    ++m_failedHubCount;
    m_usesDeputy = m_usesDeputy || m_failedHubCount >= MAX_FAILED_HUBS;
}

auto reporter::publishView() -> void
{
    std::vector<membership::node_entry> nodes;
    m_records.forEach([&nodes](const node_record &record) { nodes.push_back(record.entry); });
    m_callbacks.onView(std::make_shared<const membership::view>(++m_viewVersion, std::move(nodes)));
}

} // namespace hawthornpick::fleet
