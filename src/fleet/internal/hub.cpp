#include "fleet/hub.h"

#include "base/digest.h"
#include "fleet/deputies.h"

#include <algorithm>
#include <cmath>

namespace hawthornpick::fleet {

namespace {

auto accumulateUsage(base::usage_map &sum, const base::usage_map &added, double weight = 1.0)
        -> void
{
    for (const auto &[organisation, usage] : added) {
        auto &total = sum[organisation];
        total.demand += weight * usage.demand;
        total.admitted += weight * usage.admitted;
    }
}

//! Usage that reaches a limit when it grows by this factor is sent exactly: at the age that totals
//! have, small changes matter only there.
constexpr double NEAR_LIMIT_MARGIN = 1.25;

//! Moves a position forward; answers may arrive in another order.
auto advance(directory_cursor &position, const directory_cursor &reached) -> void
{
    position = position.bootId == reached.bootId ? std::max(position, reached) : reached;
}

auto roundToCount(double nodeCount) -> std::uint32_t
{
    return static_cast<std::uint32_t>(std::lround(nodeCount));
}

} // namespace

hub::hub(hub_options options, reporter &localReporter,
         std::function<bool(base::time_point)> isFresh, near_limit_function isNearLimit)
    : m_options(std::move(options)), m_reporter(localReporter), m_isFresh(std::move(isFresh)),
      m_isNearLimit(std::move(isNearLimit)), m_records(m_options.bootId),
      m_gateways(localReporter.self().entry.id, localReporter.self().entry.region),
      m_localTable(m_options.bootId), m_regionTable(m_options.bootId)
{
    m_records.merge(self());
    if (m_options.keepsDepartures) {
        m_journal.emplace();
    }
}

auto hub::receive(const base::node_id &from, const message &content, base::time_point now)
        -> messages
{
    if (const auto *nodeReport = std::get_if<report>(&content)) {
        return onReport(from, *nodeReport, now);
    }
    if (const auto *request = std::get_if<sync_request>(&content)) {
        return onSyncRequest(from, *request, now);
    }
    if (const auto *answer = std::get_if<sync_answer>(&content)) {
        return onSyncAnswer(from, *answer, now);
    }
    if (const auto *update = std::get_if<usage_update>(&content)) {
        return onUsageUpdate(from, *update);
    }
    if (const auto *request = std::get_if<store_request>(&content)) {
        return onStoreRequest(from, *request, now);
    }
    return {};
}

auto hub::tick(base::time_point now) -> messages
{
    m_firstTickAt = m_firstTickAt.value_or(now);
    messages out;
    const bool isSyncDue = now >= m_nextSyncAt;
    if (now >= m_nextUsageUpdateAt) {
        m_nextUsageUpdateAt = now + USAGE_UPDATE_INTERVAL;
        if (!isSyncDue) {
            out = sendUsageUpdates(now);
        }
        auto pushed = pushTotals(now);
        out.insert(out.end(), pushed.begin(), pushed.end());
    }
    if (isSyncDue) {
        m_nextSyncAt = now + SYNC_INTERVAL;
        expireSilentReporters(now);
        expireMissingReporters(now);
        if (m_journal) {
            m_journal->update(m_records, now);
        }
        auto requests = sendSyncRequests(now);
        out.insert(out.end(), requests.begin(), requests.end());
    }
    return out;
}

auto hub::publish(config_document document, base::time_point now) -> messages
{
    m_document = std::move(document);
    return push({m_document, m_reporter.evacuations()}, now);
}

auto hub::publishEvacuations(base::time_point now) const -> messages
{
    return push({{}, m_reporter.evacuations()}, now);
}

auto hub::push(const config_notice &notice, base::time_point now) const -> messages
{
    messages out;
    for (const auto &[node, reporterState] : m_reporters) {
        if (now - reporterState.lastReportAt <= PUSH_MAX_REPORT_AGE) {
            out.push_back(toOutgoingMessage(node, notice));
        }
    }
    return out;
}

auto hub::leave(base::time_point now) -> messages
{
    return sendSyncRequests(now);
}

auto hub::onReport(const base::node_id &from, const report &content, base::time_point now)
        -> messages
{
    if (content.evacuations) {
        m_reporter.learnEvacuations(*content.evacuations);
    }
    if (content.isProbe) {
        return answerProbe(from, content, now);
    }
    if (content.senderVersion) {
        return onShortReport(from, content, now);
    }
    auto answer = startAnswer(content, now);
    const auto *known = m_records.find(from);
    if (known != nullptr && known->generation > content.sender.generation) {
        // Generations are wall clock times of process starts: the host's clock was set back before
        // the node restarted.
        answer.knownGeneration = known->generation;
    }
    m_records.merge(content.sender, from);
    answer.stored = storedVersion(from);
    mergeDepartures(content.knownDepartures);
    m_hasCompleteDirectory = m_hasCompleteDirectory || content.tellsDepartures;
    m_reporters[from] = {now, content.usages};
    answer.records = nearerHubsFor(content);
    if (answer.records.empty()) {
        addDirectoryChanges(answer, content);
        answer.document = newerDocument(content.configVersion);
    }
    const auto &sum = recentFleetUsage(now);
    answer.coveredNodeCount = roundToCount(sum.nodeCount);
    answer.isDirectoryComplete = isDirectoryComplete(now);
    answer.usageTotals = totalsFor(content.usages, sum.usages);
    return {toOutgoingMessage(from, answer)};
}

// Without the record, the answer has no position, so that the node reports again at once.
auto hub::onShortReport(const base::node_id &from, const report &content, base::time_point now)
        -> messages
{
    auto whole = content;
    whole.senderVersion.reset();
    if (const auto *sender = storedSender(from, *content.senderVersion)) {
        whole.sender = *sender;
        return onReport(from, whole, now);
    }
    auto answer = startAnswer(content, now);
    const auto &sum = recentFleetUsage(now);
    answer.coveredNodeCount = roundToCount(sum.nodeCount);
    answer.usageTotals = totalsFor(content.usages, sum.usages);
    return {toOutgoingMessage(from, answer)};
}

// Returns the hubs of the sender's region if it should report to one of them: it has just started
// and knows this hub from its settings only. The directory and documents are then left to that hub,
// so that they don't cross regions once for each node.
auto hub::nearerHubsFor(const report &content) const -> std::vector<node_record>
{
    const auto &region = content.sender.entry.region;
    if (m_options.isDeputy || content.usesDistantHub || region == self().entry.region) {
        return {};
    }
    return m_records.aliveHubsIn(region);
}

// Without the directory, because a node that hears no hub probes all hubs in turn, and hubs that
// hear the probes may be unable to answer it.
auto hub::answerProbe(const base::node_id &from, const report &content, base::time_point now) const
        -> messages
{
    auto answer = startAnswer(content, now);
    answer.cursor = content.cursor;
    if (answer.isFresh) {
        answer.document = newerDocument(content.configVersion);
    }
    return {toOutgoingMessage(from, answer)};
}

auto hub::startAnswer(const report &content, base::time_point now) const -> report_answer
{
    report_answer answer;
    answer.reportSentAt = content.sentAt;
    answer.isFresh = m_isFresh(now);
    answer.hubVersion = m_document.version;
    answer.evacuationRevision = m_reporter.evacuations().revision;
    answer.evacuations = newerEvacuations(content.evacuationRevision);
    return answer;
}

auto hub::newerEvacuations(std::uint64_t revision) const -> std::optional<base::evacuation_list>
{
    const auto &known = m_reporter.evacuations();
    return known.revision > revision ? std::optional(known) : std::nullopt;
}

auto hub::newerDocument(base::config_version version) const -> std::optional<config_document>
{
    return m_document.version > version ? std::optional(m_document) : std::nullopt;
}

// A reader whose position is unknown here gets the records that differ from its directory, not all
// of them: after the loss of a hub or an election, many nodes change hubs at the same time.
auto hub::addDirectoryChanges(report_answer &answer, const report &content) const -> void
{
    if (m_records.contains(content.cursor)) {
        answer.records = m_records.changedSince(content.cursor);
    } else if (content.directoryDigest) {
        answer.records = m_records.differingFrom(*content.directoryDigest);
    } else if (content.cursor.bootId != 0) {
        // The empty position in the answer makes the reader send the digest.
        return;
    } else {
        answer.records = m_records.changedSince({});
    }
    answer.cursor = m_records.cursor();
}

auto hub::onSyncRequest(const base::node_id &from, const sync_request &content,
                        base::time_point now) -> messages
{
    sync_answer answer;
    if (!content.senderVersion) {
        mergeRecord(content.sender, from);
    } else if (storedSender(from, *content.senderVersion) == nullptr) {
        answer.needsAll = true;
        return {toOutgoingMessage(from, answer)};
    }
    onHeard(from, now);
    auto &peer = m_peers[from];
    peer.heldRecord = content.stored;
    answer.stored = storedVersion(from);
    answer.isDirectoryComplete = isDirectoryComplete(now);
    answer.evacuations = newerEvacuations(content.evacuationRevision);
    peer.evacuationRevision = content.evacuationRevision;
    if (m_records.contains(content.cursor)) {
        answer.sinceChange = content.cursor.changeNumber;
    }
    if (regionOf(from) != self().entry.region) {
        const auto sum = regionUsage(now);
        const auto isExact = [&](const base::organisation_id &organisation) {
            const auto &totals = recentFleetUsage(now).usages;
            const auto total = totals.find(organisation);
            return total == totals.end()
                   || m_isNearLimit(organisation, {total->second.demand * NEAR_LIMIT_MARGIN,
                                                   total->second.admitted * NEAR_LIMIT_MARGIN});
        };
        m_regionTable.update(sum.usages, isExact, now);
        answer.cursor = m_records.cursor();
        answer.records = recordsForOtherRegion(from, content.cursor);
        answer.regionUsages =
                m_regionTable.changesSince(content.knownUsage.value_or(usage_position{}));
        answer.regionNodeCount = roundToCount(sum.nodeCount);
        return {toOutgoingMessage(from, answer)};
    }
    peer.lastRequestAt = now;
    peer.isCurrent = content.knownUsage.has_value();
    if (!content.knownUsage || content.knownUsage->bootId != m_options.bootId) {
        peer.sentUsage = {};
    }
    answer.needsAll = !peer.usage.apply(content.localUsages);
    if (!answer.needsAll) {
        peer.nodeCount = content.localNodeCount;
        peer.reporterCount = reporterCounts()[from];
    }
    answer.records = recordsForPeer(from, content.cursor);
    answer.otherRegions = wantedUsages(content.wantedRegions, now);
    peer.sentChange = content.cursor.changeNumber;
    answer.cursor = content.cursor;
    if (!answer.records.empty()) {
        answer.cursor = m_records.cursor();
        peer.sentChange = answer.cursor.changeNumber;
    } else if (!answer.needsAll && answer.otherRegions.empty() && !answer.evacuations) {
        return {};
    }
    return {toOutgoingMessage(from, answer)};
}

// A change of the hub in use is announced by that hub alone, or by the hub that learned of it from
// another region: if all hubs passed it on, the traffic of an election would grow with the square
// of their number.
auto hub::recordsForPeer(const base::node_id &peer, const directory_cursor &cursor) const
        -> std::vector<node_record>
{
    const auto isAnnouncedHere = [this](const node_record &record, const base::node_id &source) {
        return record.reportsTo == self().entry.id
               || (isServedByOtherRegion(record.reportsTo)
                   && regionOf(source) != self().entry.region);
    };
    return m_records.changedOrWanted(isAnnouncedHere, peer, cursor);
}

auto hub::wantedUsages(const std::vector<base::region_id> &regions, base::time_point now) const
        -> std::vector<region_usage>
{
    std::vector<region_usage> usages;
    for (const auto &region : regions) {
        const auto found = m_otherRegions.find(region);
        if (found == m_otherRegions.end()) {
            continue;
        }
        const auto &state = found->second;
        const auto age = now - state.lastAnswerAt;
        if (age <= USAGE_TIMEOUT) {
            usages.push_back({region, state.source, state.usage.all(),
                              roundToCount(state.nodeCount),
                              std::chrono::duration_cast<base::milliseconds>(age)});
        }
    }
    return usages;
}

auto hub::onSyncAnswer(const base::node_id &from, const sync_answer &content, base::time_point now)
        -> messages
{
    if (content.evacuations) {
        m_reporter.learnEvacuations(*content.evacuations);
    }
    auto &peer = m_peers[from];
    peer.heldRecord = content.stored;
    const bool isComplete = !content.needsAll
                            && (!content.sinceChange
                                || (peer.cursor.bootId == content.cursor.bootId
                                    && peer.cursor.changeNumber >= *content.sinceChange));
    if (isComplete) {
        advance(peer.cursor, content.cursor);
        m_hasCompleteDirectory = m_hasCompleteDirectory || content.isDirectoryComplete;
    }
    for (const auto &record : content.records) {
        if (record.entry.id == self().entry.id) {
            m_reporter.supersede(record);
        } else {
            mergeRecord(record, from);
        }
    }
    onHeard(from, now);
    auto out = onRegionAnswer(from, content, now);
    std::vector<base::region_id> wantedRegions;
    for (const auto &usage : content.otherRegions) {
        if (!onForwardedUsage(from, usage, now)) {
            wantedRegions.push_back(usage.region);
        }
    }
    if (content.needsAll) {
        peer.heldRecord.reset();
        peer.sentUsage = {};
    }
    if (content.needsAll || !wantedRegions.empty()) {
        auto request = syncRequestFor(from);
        request.wantedRegions = std::move(wantedRegions);
        out.push_back(toOutgoingMessage(from, request));
    }
    return out;
}

auto hub::onRegionAnswer(const base::node_id &from, const sync_answer &content,
                         base::time_point now) -> messages
{
    const auto region = m_otherRegions.find(regionOf(from));
    if (region == m_otherRegions.end() || region->second.queriedHub != from
        || !content.regionUsages) {
        return {};
    }
    auto &state = region->second;
    state.unansweredRequests = 0;
    if (!m_gateways.onAnswer(region->first, self().entry.id, now)
        || !state.usage.apply(*content.regionUsages)) {
        return {};
    }
    state.lastAnswerAt = now;
    state.source = from;
    state.nodeCount = content.regionNodeCount;
    return forward({region->first, from, *content.regionUsages, content.regionNodeCount, {}}, now);
}

auto hub::onForwardedUsage(const base::node_id &from, const region_usage &content,
                           base::time_point now) -> bool
{
    if (content.region == self().entry.region || !m_gateways.onAnswer(content.region, from, now)) {
        return true;
    }
    auto &state = m_otherRegions[content.region];
    if (!state.usage.apply(content.changes)) {
        return false;
    }
    state.lastAnswerAt = now - content.age;
    state.source = content.source;
    state.nodeCount = content.nodeCount;
    return true;
}

// Sent also without changes, so that the others know that the gateway works. The records that
// changed here in the meantime come along.
auto hub::forward(const region_usage &usage, base::time_point now) -> messages
{
    messages out;
    if (m_options.isDeputy) {
        return out;
    }
    sync_answer answer;
    answer.cursor = m_records.cursor();
    answer.isDirectoryComplete = isDirectoryComplete(now);
    answer.otherRegions = {usage};
    for (auto &[node, peer] : m_peers) {
        if (!peer.isCurrent || now - peer.lastRequestAt > USAGE_TIMEOUT) {
            continue;
        }
        answer.sinceChange = peer.sentChange;
        answer.records = recordsForPeer(node, {answer.cursor.bootId, peer.sentChange});
        answer.stored = storedVersion(node);
        answer.evacuations = newerEvacuations(peer.evacuationRevision);
        peer.sentChange = answer.cursor.changeNumber;
        out.push_back(toOutgoingMessage(node, answer));
    }
    return out;
}

auto hub::onHeard(const base::node_id &from, base::time_point now) -> void
{
    m_peers[from].lastHeardAt = now;
    if (regionOf(from) == self().entry.region) {
        m_gateways.onHeard(from, now);
    }
}

// A node that has changed to another hub isn't missed here.
auto hub::mergeRecord(const node_record &record, const base::node_id &source) -> void
{
    if (m_records.merge(record, source) && record.reportsTo != self().entry.id) {
        m_reporters.erase(record.entry.id);
    }
}

auto hub::storedVersion(const base::node_id &node) const -> std::optional<record_version>
{
    const auto *record = m_records.find(node);
    return record == nullptr ? std::nullopt : std::optional(record->version());
}

auto hub::storedSender(const base::node_id &from, const record_version &version) const
        -> const node_record *
{
    const auto *record = m_records.find(from);
    const bool isAsNew = record != nullptr && record->generation == version.generation
                         && record->sequence >= version.sequence;
    return isAsNew ? record : nullptr;
}

auto hub::onStoreRequest(const base::node_id &from, const store_request &content,
                         base::time_point now) -> messages
{
    if (m_options.isDeputy) {
        return {};
    }
    m_records.merge(content.sender);
    const auto &stored = *m_records.find(content.sender.entry.id);
    auto answer = toOutgoingMessage(from, store_answer{stored.generation, stored.sequence});
    if (!m_journal) {
        return {std::move(answer)};
    }
    m_journal->update(m_records, now);
    return m_journal->sendWhenDurable(std::move(answer));
}

// A node that hasn't reported here may have ended: its record is stored as dead, and as older than
// any that the node sends.
auto hub::mergeDepartures(const std::vector<node_record> &records) -> void
{
    for (auto record : records) {
        if (m_records.find(record.entry.id) == nullptr) {
            record.entry.state = membership::node_state::Dead;
            record.sequence = 0;
        }
        m_records.merge(record);
    }
}

auto hub::isDirectoryComplete(base::time_point now) const -> bool
{
    const bool isFileMissing = m_journal && !m_journal->isLoaded();
    const auto collectionTime = isFileMissing ? DEPARTURE_LOAD_TIMEOUT : DIRECTORY_COLLECTION_TIME;
    return !m_options.isDeputy
           && (m_hasCompleteDirectory || (m_firstTickAt && now - *m_firstTickAt >= collectionTime));
}

auto hub::onDeparturesLoaded(std::string_view content, base::time_point now) -> void
{
    mergeDepartures(m_journal->onLoaded(content, now));
}

auto hub::takeDepartureWrite() -> std::optional<departure_write>
{
    return m_journal ? m_journal->takeWrite() : std::nullopt;
}

auto hub::onDeparturesWritten(std::uint64_t revision) -> messages
{
    return m_journal->onWritten(revision);
}

auto hub::onUsageUpdate(const base::node_id &from, const usage_update &content) -> messages
{
    if (content.isFromHub) {
        const auto peer = m_peers.find(from);
        if (peer == m_peers.end()) {
            return {};
        }
        auto &usage = peer->second.usage;
        if (content.usages.until.bootId == 0) {
            usage.overlay(content.usages.usages);
        } else if (!usage.apply(content.usages)) {
            sync_answer answer;
            answer.stored = storedVersion(from);
            answer.needsAll = true;
            return {toOutgoingMessage(from, answer)};
        }
        return {};
    }
    const auto sender = m_reporters.find(from);
    if (sender == m_reporters.end()) {
        return {};
    }
    for (const auto &[organisation, usage] : content.usages.usages) {
        sender->second.usages[organisation] = usage;
        m_hasUsageChanges = true;
    }
    return {};
}

auto hub::updateLocalTable(base::time_point now) -> void
{
    const auto local = localUsage(now);
    m_localTable.update(
            local.usages, [](const base::organisation_id &) { return true; }, now);
    m_localNodeCount = local.nodeCount;
}

auto hub::sendUsageUpdates(base::time_point now) -> messages
{
    if (!std::exchange(m_hasUsageChanges, false)) {
        return {};
    }
    updateLocalTable(now);
    messages out;
    for (auto &[node, peer] : m_peers) {
        if (now - peer.lastRequestAt > USAGE_TIMEOUT || regionOf(node) != self().entry.region) {
            continue;
        }
        const usage_update update{takeLocalUsage(peer), true};
        if (!update.usages.usages.empty()) {
            out.push_back(toOutgoingMessage(node, update));
        }
    }
    return out;
}

auto hub::pushTotals(base::time_point now) -> messages
{
    const auto &sum = recentFleetUsage(now);
    base::usage_map nearLimit;
    for (const auto &[organisation, usage] : sum.usages) {
        if (m_isNearLimit(organisation, usage)) {
            nearLimit.emplace(organisation, usage);
        }
    }
    messages out;
    for (const auto &[node, reporterState] : m_reporters) {
        if (nearLimit.empty() || now - reporterState.lastReportAt > USAGE_TIMEOUT) {
            continue;
        }
        usage_totals pushed{{}, roundToCount(sum.nodeCount)};
        for (const auto &[organisation, usage] : reporterState.usages) {
            const auto total = nearLimit.find(organisation);
            if (usage.demand >= MIN_PUSHED_DEMAND && total != nearLimit.end()) {
                pushed.totals.insert(*total);
            }
        }
        if (!pushed.totals.empty()) {
            out.push_back(toOutgoingMessage(node, pushed));
        }
    }
    return out;
}

auto hub::sendSyncRequests(base::time_point now) -> messages
{
    m_records.merge(self());
    auto peers = peersByRegion();
    auto targets = peers[self().entry.region];
    for (const auto &contact : m_options.contacts) {
        // The region of a contact is unknown until its record has been received.
        if (contact != self().entry.id && m_records.find(contact) == nullptr) {
            targets.push_back(contact);
        }
    }
    updateLocalTable(now);
    m_hasUsageChanges = false;
    messages out;
    for (const auto &target : targets) {
        out.push_back(toOutgoingMessage(target, syncRequestFor(target)));
    }
    auto queries = queryRegions(peers, now);
    out.insert(out.end(), queries.begin(), queries.end());
    return out;
}

// Deputies, which are few, ask all regions themselves, and so does a hub that leaves: its state
// must be known in each region at once.
auto hub::queryRegions(const std::map<base::region_id, std::vector<base::node_id>> &peers,
                       base::time_point now) -> messages
{
    const auto ownRegion = peers.find(self().entry.region);
    const bool asksAll = m_options.isDeputy || ownRegion == peers.end()
                         || self().entry.state != membership::node_state::Alive;
    messages out;
    for (const auto &[region, candidates] : peers) {
        if (region == self().entry.region) {
            continue;
        }
        auto &state = m_otherRegions[region];
        const bool mustAsk = m_gateways.mustAsk(
                region, ownRegion == peers.end() ? std::vector<base::node_id>() : ownRegion->second,
                now);
        if (!asksAll && !mustAsk) {
            state.isQueried = false;
            continue;
        }
        if (!std::exchange(state.isQueried, true) && !state.source.empty()) {
            // Either the gateway or the hub that it asked has failed.
            m_peers[state.source].backoffUntil = now + FAILED_HUB_BACKOFF;
            state.queriedHub = {};
        }
        const auto queriedHub = selectQueriedHub(region, candidates, now);
        ++state.unansweredRequests;
        out.push_back(toOutgoingMessage(queriedHub, syncRequestFor(queriedHub)));
    }
    return out;
}

auto hub::syncRequestFor(const base::node_id &target) -> sync_request
{
    auto &peer = m_peers[target];
    sync_request request;
    const auto &held = peer.heldRecord;
    if (held && held->generation == self().generation && held->sequence >= self().sequence) {
        request.senderVersion = self().version();
    } else {
        request.sender = self();
    }
    request.cursor = peer.cursor;
    request.stored = storedVersion(target);
    request.evacuationRevision = m_reporter.evacuations().revision;
    const auto region = m_otherRegions.find(regionOf(target));
    if (region != m_otherRegions.end()) {
        request.knownUsage = region->second.usage.position();
        return request;
    }
    request.knownUsage = peer.usage.position();
    if (!peer.isCurrent) {
        peer.sentUsage = {};
    }
    request.localUsages = takeLocalUsage(peer);
    request.localNodeCount = roundToCount(m_localNodeCount);
    return request;
}

auto hub::takeLocalUsage(peer_state &peer) -> usage_changes
{
    auto changes = m_localTable.changesSince(peer.sentUsage);
    peer.sentUsage = changes.until;
    return changes;
}

auto hub::peersByRegion() const -> std::map<base::region_id, std::vector<base::node_id>>
{
    if (m_options.isDeputy) {
        auto deputies = deputiesByRegion(m_records);
        for (auto &[region, nodes] : deputies) {
            std::erase(nodes, self().entry.id);
        }
        std::erase_if(deputies, [](const auto &item) { return item.second.empty(); });
        return deputies;
    }
    std::map<base::region_id, std::vector<base::node_id>> hubs;
    m_records.forEach([&](const node_record &record) {
        if (record.isAliveHub() && record.entry.id != self().entry.id) {
            hubs[record.entry.region].push_back(record.entry.id);
        }
    });
    return hubs;
}

// Keeps the current hub as long as it answers. Rendezvous hashing spreads the requests of several
// hubs over the hubs of the other region. Precondition: `hubs` is not empty.
auto hub::selectQueriedHub(const base::region_id &region, const std::vector<base::node_id> &hubs,
                           base::time_point now) -> base::node_id
{
    auto &state = m_otherRegions[region];
    const bool isQueriedHubAlive =
            std::find(hubs.begin(), hubs.end(), state.queriedHub) != hubs.end();
    if (isQueriedHubAlive && state.unansweredRequests < MAX_UNANSWERED_REQUESTS) {
        return state.queriedHub;
    }
    if (isQueriedHubAlive) {
        m_peers[state.queriedHub].backoffUntil = now + FAILED_HUB_BACKOFF;
    }
    const auto preference = [&](const base::node_id &node) {
        const auto peer = m_peers.find(node);
        const auto backoffEnd =
                peer == m_peers.end() ? base::time_point{} : peer->second.backoffUntil;
        return std::pair(backoffEnd > now ? backoffEnd : base::time_point{},
                         base::rendezvousWeight(self().entry.id.str(), node.str()));
    };
    state.queriedHub =
            *std::min_element(hubs.begin(), hubs.end(), [&](const auto &left, const auto &right) {
                return preference(left) < preference(right);
            });
    state.unansweredRequests = 0;
    return state.queriedHub;
}

auto hub::regionOf(const base::node_id &node) const -> base::region_id
{
    const auto *record = m_records.find(node);
    return record == nullptr ? base::region_id() : record->entry.region;
}

auto hub::reporterCounts() const -> std::map<base::node_id, std::size_t>
{
    std::map<base::node_id, std::size_t> counts;
    m_records.forEach([&counts](const node_record &record) {
        if (record.isAliveEntryNode()) {
            ++counts[record.reportsTo];
        }
    });
    return counts;
}

// Leaves out nodes that report to a hub of another region: that region gets their records from its
// own hubs, and a third region queries it for them. Records with departures are kept, because the
// hubs of that region may have restarted together with the node. Hubs are never left out: if all
// contacts are in this region, the hubs of another one learn of each other only here.
auto hub::recordsForOtherRegion(const base::node_id &reader, const directory_cursor &cursor) const
        -> std::vector<node_record>
{
    const auto isWanted = [](const node_record & /*record*/, const base::node_id & /*source*/) {
        return true;
    };
    auto records = m_records.changedOrWanted(isWanted, reader, cursor);
    std::erase_if(records, [this](const node_record &record) {
        return !record.isHub && !record.hasDeparture() && isServedByOtherRegion(record.reportsTo);
    });
    return records;
}

auto hub::isServedByOtherRegion(const base::node_id &reportsTo) const -> bool
{
    const auto region = regionOf(reportsTo);
    return !region.empty() && region != self().entry.region;
}

auto hub::expireSilentReporters(base::time_point now) -> void
{
    for (auto item = m_reporters.begin(); item != m_reporters.end();) {
        const auto &node = item->first;
        if (now - std::max(item->second.lastReportAt, lastHeardAt(node)) < NODE_TIMEOUT) {
            ++item;
            continue;
        }
        // A node that no longer reports to a deputy has probably returned to a hub, and one whose
        // record names another hub is missed by that hub; neither is marked dead here.
        if (!m_options.isDeputy && node != self().entry.id
            && m_records.find(node)->reportsTo == self().entry.id) {
            markDead(node);
        }
        item = m_reporters.erase(item);
    }
}

// A node may end after it has chosen this hub and before its first report, or while this hub
// restarts.
auto hub::expireMissingReporters(base::time_point now) -> void
{
    if (m_options.isDeputy) {
        return;
    }
    std::map<base::node_id, base::time_point> missing;
    m_records.forEach([&](const node_record &record) {
        const auto &node = record.entry.id;
        if (record.reportsTo == self().entry.id && node != self().entry.id
            && record.entry.state == membership::node_state::Alive && !m_reporters.contains(node)) {
            const auto known = m_missingReporters.find(node);
            missing[node] = known == m_missingReporters.end() ? now : known->second;
        }
    });
    m_missingReporters = std::move(missing);
    for (const auto &[node, since] : m_missingReporters) {
        if (now - std::max(since, lastHeardAt(node)) >= NODE_TIMEOUT) {
            markDead(node);
        }
    }
}

// A hub may be heard as a peer while its reports go elsewhere.
auto hub::lastHeardAt(const base::node_id &node) const -> base::time_point
{
    const auto peer = m_peers.find(node);
    return peer == m_peers.end() ? base::time_point{} : peer->second.lastHeardAt;
}

auto hub::markDead(const base::node_id &node) -> void
{
    auto record = *m_records.find(node);
    record.entry.state = membership::node_state::Dead;
    ++record.sequence;
    m_records.merge(record);
}

auto hub::localUsage(base::time_point now) const -> usage_sum
{
    usage_sum sum;
    for (const auto &[node, reporterState] : m_reporters) {
        const auto *record = m_records.find(node);
        if (now - reporterState.lastReportAt <= USAGE_TIMEOUT && record != nullptr
            && !record->isHub) {
            accumulateUsage(sum.usages, reporterState.usages);
            sum.nodeCount += 1.0;
        }
    }
    return sum;
}

// The usage of a peer that has stopped counts only in proportion to the nodes whose records still
// name it, because the others have switched to another hub, which counts them.
auto hub::regionUsage(base::time_point now) const -> usage_sum
{
    auto sum = localUsage(now);
    auto counts = reporterCounts();
    for (const auto &[node, peer] : m_peers) {
        if (now - peer.lastRequestAt <= USAGE_TIMEOUT && peer.reporterCount > 0) {
            const auto remaining = static_cast<double>(counts[node]);
            const double weight =
                    std::min(1.0, remaining / static_cast<double>(peer.reporterCount));
            accumulateUsage(sum.usages, peer.usage.usages(), weight);
            sum.nodeCount += weight * peer.nodeCount;
        }
    }
    return sum;
}

// The sum over all organisations costs more than a report, and a hub gets many reports in each
// interval.
auto hub::recentFleetUsage(base::time_point now) -> const usage_sum &
{
    if (now - m_fleetUsageAt >= FLEET_USAGE_MAX_AGE) {
        m_fleetUsage = fleetUsage(now);
        m_fleetUsageAt = now;
    }
    return m_fleetUsage;
}

auto hub::fleetUsage(base::time_point now) const -> usage_sum
{
    auto sum = regionUsage(now);
    for (const auto &[region, state] : m_otherRegions) {
        if (now - state.lastAnswerAt <= USAGE_TIMEOUT) {
            accumulateUsage(sum.usages, state.usage.usages());
            sum.nodeCount += state.nodeCount;
        }
    }
    return sum;
}

// Leaves out organisations that the node did not report, unless they exceed their limit.
auto hub::totalsFor(const base::usage_map &reportedUsages, const base::usage_map &fleetUsages) const
        -> base::usage_map
{
    base::usage_map totals;
    for (const auto &[organisation, usage] : fleetUsages) {
        if (reportedUsages.contains(organisation) || m_isNearLimit(organisation, usage)) {
            totals.emplace(organisation, usage);
        }
    }
    return totals;
}

auto hub::mergeRecords(const record_table &records) -> void
{
    records.forEach([this](const node_record &record) { m_records.merge(record); });
}

} // namespace hawthornpick::fleet
