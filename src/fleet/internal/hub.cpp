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

auto roundToCount(double nodeCount) -> std::uint32_t
{
    return static_cast<std::uint32_t>(std::lround(nodeCount));
}

} // namespace

hub::hub(hub_options options, reporter &localReporter,
         std::function<bool(base::time_point)> isFresh, near_limit_function isNearLimit)
    : m_options(std::move(options)), m_reporter(localReporter), m_isFresh(std::move(isFresh)),
      m_isNearLimit(std::move(isNearLimit)), m_records(m_options.bootId)
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
        onSyncAnswer(from, *answer, now);
    }
    if (const auto *update = std::get_if<usage_update>(&content)) {
        onUsageUpdate(from, *update);
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
    if (now >= m_nextUsageUpdateAt) {
        m_nextUsageUpdateAt = now + USAGE_UPDATE_INTERVAL;
        out = sendUsageUpdates(now);
        auto pushed = pushTotals(now);
        out.insert(out.end(), pushed.begin(), pushed.end());
    }
    if (now >= m_nextSyncAt) {
        m_nextSyncAt = now + SYNC_INTERVAL;
        expireSilentReporters(now);
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
    auto answer = startAnswer(content, now);
    const auto *known = m_records.find(from);
    if (known != nullptr && known->generation > content.sender.generation) {
        // Generations are wall clock times of process starts: the host's clock was set back before
        // the node restarted.
        answer.knownGeneration = known->generation;
    }
    m_records.merge(content.sender);
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
    m_records.merge(content.sender);
    if (content.sender.entry.region != self().entry.region) {
        const auto sum = regionUsage(now);
        return {toOutgoingMessage(
                from, sync_answer{m_records.cursor(), recordsForOtherRegion(content.cursor),
                                  sum.usages, roundToCount(sum.nodeCount), isDirectoryComplete(now),
                                  newerEvacuations(content.evacuationRevision)})};
    }
    auto &peer = m_peers[from];
    peer.lastRequestAt = now;
    peer.usage = {content.localUsages, static_cast<double>(content.localNodeCount)};
    peer.reporterCount = reporterCounts()[from];
    // A change of the hub in use is announced by that hub alone: if all hubs passed it on, the
    // traffic of an election would grow with the square of their number.
    const auto records = m_records.changedOrReportingTo(self().entry.id, content.cursor);
    const auto evacuations = newerEvacuations(content.evacuationRevision);
    if (records.empty() && !evacuations) {
        return {};
    }
    return {toOutgoingMessage(from, sync_answer{m_records.cursor(), records, std::nullopt, 0,
                                                isDirectoryComplete(now), evacuations})};
}

auto hub::onSyncAnswer(const base::node_id &from, const sync_answer &content, base::time_point now)
        -> void
{
    m_peers[from].cursor = content.cursor;
    if (content.evacuations) {
        m_reporter.learnEvacuations(*content.evacuations);
    }
    const auto region = m_otherRegions.find(regionOf(from));
    if (region != m_otherRegions.end() && region->second.queriedHub == from
        && content.regionUsages) {
        region->second.unansweredRequests = 0;
        region->second.lastAnswerAt = now;
        region->second.usage = {*content.regionUsages,
                                static_cast<double>(content.regionNodeCount)};
    }
    m_hasCompleteDirectory = m_hasCompleteDirectory || content.isDirectoryComplete;
    for (const auto &record : content.records) {
        if (record.entry.id == self().entry.id) {
            m_reporter.supersede(record);
            continue;
        }
        if (m_records.merge(record) && record.reportsTo != self().entry.id) {
            m_reporters.erase(record.entry.id);
        }
    }
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

auto hub::onUsageUpdate(const base::node_id &from, const usage_update &content) -> void
{
    const auto apply = [&content](base::usage_map &usages) {
        for (const auto &[organisation, usage] : content.usages) {
            usages[organisation] = usage;
        }
    };
    if (content.isFromHub) {
        const auto peer = m_peers.find(from);
        if (peer != m_peers.end()) {
            apply(peer->second.usage.usages);
        }
        return;
    }
    const auto sender = m_reporters.find(from);
    if (sender == m_reporters.end()) {
        return;
    }
    apply(sender->second.usages);
    for (const auto &[organisation, usage] : content.usages) {
        m_changedOrganisations.insert(organisation);
    }
}

auto hub::sendUsageUpdates(base::time_point now) -> messages
{
    const auto changed = std::exchange(m_changedOrganisations, {});
    if (changed.empty()) {
        return {};
    }
    auto usages = localUsage(now).usages;
    std::erase_if(usages, [&changed](const auto &item) { return !changed.contains(item.first); });
    const usage_update update{std::move(usages), true};
    messages out;
    for (const auto &[node, peer] : m_peers) {
        if (now - peer.lastRequestAt <= USAGE_TIMEOUT && regionOf(node) == self().entry.region) {
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
    const auto local = localUsage(now);
    messages out;
    for (const auto &target : targets) {
        out.push_back(
                toOutgoingMessage(target, sync_request{self(), m_peers[target].cursor, local.usages,
                                                       roundToCount(local.nodeCount),
                                                       m_reporter.evacuations().revision}));
    }
    for (const auto &[region, candidates] : peers) {
        if (region != self().entry.region) {
            const auto queriedHub = selectQueriedHub(region, candidates, now);
            ++m_otherRegions[region].unansweredRequests;
            out.push_back(
                    toOutgoingMessage(queriedHub, sync_request{self(),
                                                               m_peers[queriedHub].cursor,
                                                               {},
                                                               0,
                                                               m_reporter.evacuations().revision}));
        }
    }
    return out;
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
auto hub::recordsForOtherRegion(const directory_cursor &cursor) const -> std::vector<node_record>
{
    auto records = m_records.allChangedSince(cursor);
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
        if (now - item->second.lastReportAt < NODE_TIMEOUT) {
            ++item;
            continue;
        }
        if (m_options.isDeputy) {
            // A node that no longer reports to a deputy has probably returned to a hub; it is not
            // marked dead.
            item = m_reporters.erase(item);
            continue;
        }
        auto record = *m_records.find(item->first);
        record.entry.state = membership::node_state::Dead;
        ++record.sequence;
        m_records.merge(record);
        item = m_reporters.erase(item);
    }
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
            accumulateUsage(sum.usages, peer.usage.usages, weight);
            sum.nodeCount += weight * peer.usage.nodeCount;
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
            accumulateUsage(sum.usages, state.usage.usages);
            sum.nodeCount += state.usage.nodeCount;
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
