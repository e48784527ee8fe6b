#include "fleet/messages.h"

#include "base/digest.h"
#include "base/thriftcodec.h"
#include "fleet/generated/fleetwire_types.h"

#include <algorithm>
#include <cmath>

namespace hawthornpick::fleet {

namespace {

//! Demand is sent as an integer in units of 1/256 request per second. This resolution is exact
//! enough for a rate of one request in several minutes, and the demand of most organisations takes
//! two bytes.
constexpr double DEMAND_UNITS_PER_RPS = 256.0;
constexpr std::int32_t MAX_UPSTREAM_SLOTS = 100'000;

auto toWire(const membership::upstream_entry &item) -> wire::upstream
{
    wire::upstream out;
    out.id = item.id.str();
    out.service_name = item.service.str();
    out.slots = static_cast<std::int32_t>(item.slots);
    out.state = static_cast<std::int8_t>(item.state);
    out.incarnation = static_cast<std::int64_t>(item.incarnation);
    if (item.isLeaving) {
        out.__set_leaving(true);
    }
    return out;
}

auto fromWire(const wire::upstream &item) -> membership::upstream_entry
{
    membership::upstream_entry out;
    out.id = base::upstream_id(item.id);
    out.service = base::service_id(item.service_name);
    out.slots = static_cast<std::uint32_t>(item.slots);
    out.state = static_cast<membership::upstream_state>(item.state);
    out.incarnation = static_cast<base::incarnation>(item.incarnation);
    out.isLeaving = item.leaving;
    return out;
}

auto toWire(const base::crash_record &item) -> wire::crash_record
{
    wire::crash_record out;
    out.fingerprint = static_cast<std::int64_t>(item.fingerprint);
    out.generation = static_cast<std::int32_t>(item.evidence.generation);
    out.crashes = static_cast<std::int32_t>(item.evidence.crashes);
    return out;
}

// Leaves out records with values that no node sends.
auto fromWire(const std::vector<wire::crash_record> &items) -> std::vector<base::crash_record>
{
    std::vector<base::crash_record> out;
    for (const auto &item : items) {
        if (out.size() < node_record::MAX_CRASH_RECORDS && item.generation >= 0
            && item.crashes >= 0) {
            out.push_back({static_cast<std::uint64_t>(item.fingerprint),
                           {static_cast<std::uint32_t>(item.generation),
                            static_cast<std::uint32_t>(item.crashes)}});
        }
    }
    return out;
}

auto toWire(const node_record &item) -> wire::node_record
{
    wire::node_record out;
    out.node = item.entry.id.str();
    out.generation = static_cast<std::int64_t>(item.generation);
    out.sequence = static_cast<std::int64_t>(item.sequence);
    out.host = item.entry.host;
    out.region = item.entry.region.str();
    out.failure_domain = item.entry.failureDomain.str();
    out.state = static_cast<std::int8_t>(item.entry.state);
    out.hub = item.isHub;
    out.reports_to = item.reportsTo.str();
    for (const auto &upstream : item.entry.upstreams) {
        out.upstreams.push_back(toWire(upstream));
    }
    for (const auto &record : item.crashRecords) {
        out.crash_records.push_back(toWire(record));
        out.__isset.crash_records = true;
    }
    for (const auto &upstream : item.formerUpstreams) {
        out.former_upstreams.push_back(toWire(upstream));
        out.__isset.former_upstreams = true;
    }
    return out;
}

auto fromWire(const wire::node_record &item) -> node_record
{
    node_record out;
    out.entry.id = base::node_id(item.node);
    out.entry.host = item.host;
    out.entry.region = base::region_id(item.region);
    out.entry.failureDomain = base::failure_domain_id(item.failure_domain);
    // The id of a node in the directory is its peer address.
    out.entry.peerAddress = membership::parseEndpoint(item.node).value_or(membership::endpoint{});
    out.entry.state = static_cast<membership::node_state>(item.state);
    for (const auto &upstream : item.upstreams) {
        out.entry.upstreams.push_back(fromWire(upstream));
    }
    out.generation = static_cast<std::uint64_t>(item.generation);
    out.sequence = static_cast<std::uint64_t>(item.sequence);
    out.isHub = item.hub;
    out.reportsTo = base::node_id(item.reports_to);
    out.crashRecords = fromWire(item.crash_records);
    for (const auto &upstream : item.former_upstreams) {
        if (out.formerUpstreams.size() < node_record::MAX_FORMER_UPSTREAMS) {
            out.formerUpstreams.push_back(fromWire(upstream));
        }
    }
    return out;
}

auto toWire(const std::vector<node_record> &items) -> std::vector<wire::node_record>
{
    std::vector<wire::node_record> out;
    out.reserve(items.size());
    for (const auto &item : items) {
        out.push_back(toWire(item));
    }
    return out;
}

auto isValid(const wire::upstream &item) -> bool
{
    const auto lastState = static_cast<std::int8_t>(membership::upstream_state::Gone);
    return !item.id.empty() && item.slots >= 0 && item.slots <= MAX_UPSTREAM_SLOTS
           && item.state >= 0 && item.state <= lastState;
}

auto areValid(const std::vector<wire::upstream> &items) -> bool
{
    return std::all_of(items.begin(), items.end(),
                       [](const wire::upstream &item) { return isValid(item); });
}

// A record of another writer, or of a newer version, may hold values that this version can't use.
auto isValid(const wire::node_record &item) -> bool
{
    const auto address = membership::parseEndpoint(item.node);
    const auto lastState = static_cast<std::int8_t>(membership::node_state::Dead);
    return address && address->port != 0 && item.state >= 0 && item.state <= lastState
           && areValid(item.upstreams) && areValid(item.former_upstreams);
}

auto fromWire(const std::vector<wire::node_record> &items) -> std::vector<node_record>
{
    std::vector<node_record> out;
    out.reserve(items.size());
    for (const auto &item : items) {
        if (isValid(item)) {
            out.push_back(fromWire(item));
        }
    }
    return out;
}

auto toWire(const base::usage_map &items) -> std::vector<wire::usage>
{
    std::vector<wire::usage> out;
    out.reserve(items.size());
    for (const auto &[organisation, usage] : items) {
        wire::usage item;
        item.organisation = organisation.str();
        item.demand_256ths =
                static_cast<std::int32_t>(std::lround(usage.demand * DEMAND_UNITS_PER_RPS));
        item.admitted = static_cast<std::int32_t>(std::lround(usage.admitted));
        out.push_back(std::move(item));
    }
    return out;
}

auto fromWire(const std::vector<wire::usage> &items) -> base::usage_map
{
    base::usage_map out;
    for (const auto &item : items) {
        out[base::organisation_id(item.organisation)] = {item.demand_256ths / DEMAND_UNITS_PER_RPS,
                                                         static_cast<double>(item.admitted)};
    }
    return out;
}

auto toWire(const base::evacuation_list &list) -> wire::evacuation_list
{
    wire::evacuation_list out;
    out.revision = static_cast<std::int64_t>(list.revision);
    for (const auto &item : list.items) {
        wire::evacuation entry;
        entry.failure_domain = item.failureDomain.str();
        entry.since = static_cast<std::int64_t>(item.since);
        out.items.push_back(std::move(entry));
    }
    return out;
}

auto fromWire(const wire::evacuation_list &in) -> base::evacuation_list
{
    base::evacuation_list list;
    list.revision = static_cast<std::uint64_t>(in.revision);
    for (const auto &item : in.items) {
        list.items.push_back({base::failure_domain_id(item.failure_domain),
                              static_cast<std::uint64_t>(item.since)});
    }
    return list;
}

// Sets the members for evacuations of a message; they are left out before the first order.
template <typename Wire, typename Content>
auto writeEvacuations(Wire &encoded, const Content &content) -> void
{
    if constexpr (requires { content.evacuationRevision; }) {
        if (content.evacuationRevision > 0) {
            encoded.__set_evacuation_revision(
                    static_cast<std::int64_t>(content.evacuationRevision));
        }
    }
    if constexpr (requires { content.evacuations; }) {
        if (content.evacuations) {
            encoded.__set_evacuations(toWire(*content.evacuations));
        }
    }
}

template <typename Wire>
auto evacuationsFromWire(const Wire &encoded) -> std::optional<base::evacuation_list>
{
    return encoded.__isset.evacuations ? std::optional(fromWire(encoded.evacuations))
                                       : std::nullopt;
}

auto toWire(const record_version &version) -> wire::record_version
{
    wire::record_version out;
    out.generation = static_cast<std::int64_t>(version.generation);
    out.sequence = static_cast<std::int64_t>(version.sequence);
    return out;
}

auto versionFromWire(bool isSet, const wire::record_version &version)
        -> std::optional<record_version>
{
    return isSet ? std::optional(record_version{static_cast<std::uint64_t>(version.generation),
                                                static_cast<std::uint64_t>(version.sequence)})
                 : std::nullopt;
}

auto spanOf(const usage_changes &changes) -> wire::usage_span
{
    wire::usage_span out;
    out.boot = static_cast<std::int64_t>(changes.until.bootId);
    out.since = static_cast<std::int64_t>(changes.since);
    out.last = static_cast<std::int64_t>(changes.until.number);
    return out;
}

// Former versions set no span and send all usages.
auto changesFromWire(const std::vector<wire::usage> &usages, const wire::usage_span &span)
        -> usage_changes
{
    return {fromWire(usages),
            {static_cast<std::uint64_t>(span.boot), static_cast<std::uint64_t>(span.last)},
            static_cast<std::uint64_t>(span.since)};
}

auto toWire(const region_usage &item) -> wire::region_usage
{
    wire::region_usage out;
    out.region = item.region.str();
    out.source = item.source.str();
    out.span = spanOf(item.changes);
    out.usages = toWire(item.changes.usages);
    out.nodes = static_cast<std::int32_t>(item.nodeCount);
    out.age_ms = static_cast<std::int32_t>(item.age.count());
    return out;
}

auto cursorFromWire(std::int64_t bootId, std::int64_t changeNumber) -> directory_cursor
{
    return {static_cast<std::uint64_t>(bootId), static_cast<std::uint64_t>(changeNumber)};
}

auto timeToWire(base::time_point time) -> std::int64_t
{
    return base::toMilliseconds(time.time_since_epoch());
}

auto timeFromWire(std::int64_t milliseconds) -> base::time_point
{
    return base::time_point(base::milliseconds(milliseconds));
}

auto nodeCountFromWire(std::int32_t count) -> std::uint32_t
{
    return static_cast<std::uint32_t>(std::max(0, count));
}

auto fromWire(const wire::region_usage &item) -> region_usage
{
    return {base::region_id(item.region), base::node_id(item.source),
            changesFromWire(item.usages, item.span), nodeCountFromWire(item.nodes),
            base::milliseconds(std::max(0, item.age_ms))};
}

auto digestFromWire(bool isSet, const std::string &bytes) -> std::optional<directory_digest>
{
    return isSet ? directory_digest::fromBytes(bytes) : std::nullopt;
}

auto groupOf(const base::node_id &node) -> std::size_t
{
    return base::hash64(node.str()) % directory_digest::GROUP_COUNT;
}

struct kind_namer
{
    auto operator()(const report &content) const -> std::string_view
    {
        return content.isProbe ? "probe" : "report";
    }
    auto operator()(const report_answer & /*content*/) const -> std::string_view
    {
        return "report_answer";
    }
    auto operator()(const sync_request & /*content*/) const -> std::string_view
    {
        return "sync_request";
    }
    auto operator()(const sync_answer & /*content*/) const -> std::string_view
    {
        return "sync_answer";
    }
    auto operator()(const config_notice & /*content*/) const -> std::string_view
    {
        return "config_notice";
    }
    auto operator()(const usage_update & /*content*/) const -> std::string_view
    {
        return "usage_update";
    }
    auto operator()(const usage_totals & /*content*/) const -> std::string_view
    {
        return "usage_totals";
    }
    auto operator()(const store_request & /*content*/) const -> std::string_view
    {
        return "store_request";
    }
    auto operator()(const store_answer & /*content*/) const -> std::string_view
    {
        return "store_answer";
    }
};

struct message_writer
{
    wire::message &out;

    auto operator()(const report &content) const -> void
    {
        wire::report encoded;
        if (content.senderVersion) {
            encoded.__set_sender_version(toWire(*content.senderVersion));
        } else {
            encoded.sender = toWire(content.sender);
        }
        encoded.boot = static_cast<std::int64_t>(content.cursor.bootId);
        encoded.change = static_cast<std::int64_t>(content.cursor.changeNumber);
        encoded.version = static_cast<std::int64_t>(content.configVersion);
        encoded.usages = toWire(content.usages);
        encoded.probe = content.isProbe;
        encoded.distant = content.usesDistantHub;
        if (content.directoryDigest) {
            encoded.__set_directory_digest(content.directoryDigest->toBytes());
        }
        if (!content.knownDepartures.empty()) {
            encoded.__set_known_departures(toWire(content.knownDepartures));
        }
        if (content.tellsDepartures) {
            encoded.__set_tells_departures(true);
        }
        encoded.__set_sent_at(timeToWire(content.sentAt));
        writeEvacuations(encoded, content);
        out.__set_node_report(encoded);
    }
    auto operator()(const report_answer &content) const -> void
    {
        wire::report_answer encoded;
        encoded.boot = static_cast<std::int64_t>(content.cursor.bootId);
        encoded.change = static_cast<std::int64_t>(content.cursor.changeNumber);
        encoded.records = toWire(content.records);
        encoded.fresh = content.isFresh;
        if (content.document) {
            encoded.__set_version(static_cast<std::int64_t>(content.document->version));
            encoded.__set_content(content.document->content);
        }
        encoded.totals = toWire(content.usageTotals);
        encoded.known_generation = static_cast<std::int64_t>(content.knownGeneration);
        encoded.covered_nodes = static_cast<std::int32_t>(content.coveredNodeCount);
        encoded.__set_complete(content.isDirectoryComplete);
        encoded.__set_report_sent_at(timeToWire(content.reportSentAt));
        encoded.__set_hub_version(static_cast<std::int64_t>(content.hubVersion));
        if (content.stored) {
            encoded.__set_stored(toWire(*content.stored));
        }
        writeEvacuations(encoded, content);
        out.__set_answer(encoded);
    }
    auto operator()(const sync_request &content) const -> void
    {
        wire::sync_request encoded;
        if (content.senderVersion) {
            encoded.__set_sender_version(toWire(*content.senderVersion));
        } else {
            encoded.sender = toWire(content.sender);
        }
        encoded.boot = static_cast<std::int64_t>(content.cursor.bootId);
        encoded.change = static_cast<std::int64_t>(content.cursor.changeNumber);
        encoded.usages = toWire(content.localUsages.usages);
        encoded.nodes = static_cast<std::int32_t>(content.localNodeCount);
        if (content.localUsages.until.bootId != 0) {
            encoded.__set_span(spanOf(content.localUsages));
        }
        if (content.knownUsage) {
            wire::usage_position position;
            position.boot = static_cast<std::int64_t>(content.knownUsage->bootId);
            position.number = static_cast<std::int64_t>(content.knownUsage->number);
            encoded.__set_usages_known(position);
        }
        if (content.stored) {
            encoded.__set_stored(toWire(*content.stored));
        }
        for (const auto &region : content.wantedRegions) {
            encoded.wanted_regions.push_back(region.str());
            encoded.__isset.wanted_regions = true;
        }
        writeEvacuations(encoded, content);
        out.__set_sync(encoded);
    }
    auto operator()(const sync_answer &content) const -> void
    {
        wire::sync_answer encoded;
        encoded.boot = static_cast<std::int64_t>(content.cursor.bootId);
        encoded.change = static_cast<std::int64_t>(content.cursor.changeNumber);
        encoded.records = toWire(content.records);
        if (content.regionUsages) {
            encoded.__set_region_usages(toWire(content.regionUsages->usages));
            encoded.__set_span(spanOf(*content.regionUsages));
        }
        encoded.region_nodes = static_cast<std::int32_t>(content.regionNodeCount);
        encoded.__set_complete(content.isDirectoryComplete);
        for (const auto &item : content.otherRegions) {
            encoded.other_regions.push_back(toWire(item));
            encoded.__isset.other_regions = true;
        }
        if (content.sinceChange) {
            encoded.__set_since_change(static_cast<std::int64_t>(*content.sinceChange));
        }
        if (content.stored) {
            encoded.__set_stored(toWire(*content.stored));
        }
        if (content.needsAll) {
            encoded.__set_needs_all(true);
        }
        writeEvacuations(encoded, content);
        out.__set_synced(encoded);
    }
    auto operator()(const config_notice &content) const -> void
    {
        wire::config_notice encoded;
        encoded.version = static_cast<std::int64_t>(content.document.version);
        encoded.content = content.document.content;
        if (content.evacuations.revision > 0) {
            encoded.__set_evacuations(toWire(content.evacuations));
        }
        out.__set_notice(encoded);
    }
    auto operator()(const usage_update &content) const -> void
    {
        wire::usage_update encoded;
        encoded.usages = toWire(content.usages.usages);
        encoded.from_hub = content.isFromHub;
        if (content.usages.until.bootId != 0) {
            encoded.__set_span(spanOf(content.usages));
        }
        out.__set_usage_change(encoded);
    }
    auto operator()(const usage_totals &content) const -> void
    {
        wire::usage_totals encoded;
        encoded.totals = toWire(content.totals);
        encoded.covered_nodes = static_cast<std::int32_t>(content.coveredNodeCount);
        out.__set_usage_total(encoded);
    }
    auto operator()(const store_request &content) const -> void
    {
        wire::store_request encoded;
        encoded.sender = toWire(content.sender);
        out.__set_store(encoded);
    }
    auto operator()(const store_answer &content) const -> void
    {
        wire::store_answer encoded;
        encoded.generation = static_cast<std::int64_t>(content.generation);
        encoded.sequence = static_cast<std::int64_t>(content.sequence);
        out.__set_stored(encoded);
    }
};

auto reportAnswerFromWire(wire::report_answer &encoded) -> report_answer
{
    report_answer answer;
    answer.cursor = cursorFromWire(encoded.boot, encoded.change);
    answer.records = fromWire(encoded.records);
    answer.isFresh = encoded.fresh;
    if (encoded.__isset.version && encoded.__isset.content) {
        answer.document = config_document{static_cast<base::config_version>(encoded.version),
                                          std::move(encoded.content)};
    }
    answer.usageTotals = fromWire(encoded.totals);
    answer.knownGeneration = static_cast<std::uint64_t>(encoded.known_generation);
    answer.coveredNodeCount = nodeCountFromWire(encoded.covered_nodes);
    answer.isDirectoryComplete = encoded.complete;
    answer.reportSentAt = timeFromWire(encoded.report_sent_at);
    answer.hubVersion = static_cast<base::config_version>(encoded.hub_version);
    answer.evacuationRevision = static_cast<std::uint64_t>(encoded.evacuation_revision);
    answer.evacuations = evacuationsFromWire(encoded);
    answer.stored = versionFromWire(encoded.__isset.stored, encoded.stored);
    return answer;
}

auto syncRequestFromWire(const wire::sync_request &encoded) -> sync_request
{
    sync_request request;
    if (!encoded.__isset.sender_version) {
        request.sender = fromWire(encoded.sender);
    }
    request.cursor = cursorFromWire(encoded.boot, encoded.change);
    request.localUsages = changesFromWire(encoded.usages, encoded.span);
    request.localNodeCount = nodeCountFromWire(encoded.nodes);
    request.senderVersion = versionFromWire(encoded.__isset.sender_version, encoded.sender_version);
    if (encoded.__isset.usages_known) {
        request.knownUsage =
                usage_position{static_cast<std::uint64_t>(encoded.usages_known.boot),
                               static_cast<std::uint64_t>(encoded.usages_known.number)};
    }
    request.stored = versionFromWire(encoded.__isset.stored, encoded.stored);
    request.evacuationRevision = static_cast<std::uint64_t>(encoded.evacuation_revision);
    for (const auto &region : encoded.wanted_regions) {
        request.wantedRegions.emplace_back(region);
    }
    return request;
}

auto syncAnswerFromWire(const wire::sync_answer &encoded) -> sync_answer
{
    sync_answer answer{cursorFromWire(encoded.boot, encoded.change), fromWire(encoded.records),
                       std::nullopt, nodeCountFromWire(encoded.region_nodes)};
    if (encoded.__isset.region_usages) {
        answer.regionUsages = changesFromWire(encoded.region_usages, encoded.span);
    }
    answer.isDirectoryComplete = encoded.complete;
    for (const auto &item : encoded.other_regions) {
        answer.otherRegions.push_back(fromWire(item));
    }
    if (encoded.__isset.since_change) {
        answer.sinceChange = static_cast<std::uint64_t>(encoded.since_change);
    }
    answer.stored = versionFromWire(encoded.__isset.stored, encoded.stored);
    answer.needsAll = encoded.needs_all;
    answer.evacuations = evacuationsFromWire(encoded);
    return answer;
}

} // namespace

auto node_record::hasDeparture() const -> bool
{
    const auto isLeaving = [](const membership::upstream_entry &item) {
        return item.isLeaving;
    };
    return std::any_of(entry.upstreams.begin(), entry.upstreams.end(), isLeaving)
           || std::any_of(formerUpstreams.begin(), formerUpstreams.end(), isLeaving);
}

// Leaves out the sequence and the hub in use, which change without a change that matters to other
// nodes.
auto directory_digest::toggle(const node_record &record) -> void
{
    auto content = toWire(record);
    content.sequence = 0;
    content.reports_to.clear();
    m_groups.at(groupOf(record.entry.id)) ^=
            static_cast<std::uint32_t>(base::hash64(base::encodeThrift(content)));
}

auto directory_digest::agreesOn(const base::node_id &node, const directory_digest &other) const
        -> bool
{
    const auto group = groupOf(node);
    return m_groups.at(group) == other.m_groups.at(group);
}

auto directory_digest::toBytes() const -> std::string
{
    std::string bytes;
    bytes.reserve(GROUP_COUNT * sizeof(std::uint32_t));
    for (const auto group : m_groups) {
        for (unsigned shift = 0; shift < 32; shift += 8) {
            bytes.push_back(static_cast<char>(static_cast<unsigned char>(group >> shift)));
        }
    }
    return bytes;
}

auto directory_digest::fromBytes(std::string_view bytes) -> std::optional<directory_digest>
{
    if (bytes.size() != GROUP_COUNT * sizeof(std::uint32_t)) {
        return std::nullopt;
    }
    directory_digest digest;
    for (std::size_t i = 0; i < bytes.size(); ++i) {
        const auto byte = static_cast<std::uint32_t>(static_cast<unsigned char>(bytes.at(i)));
        digest.m_groups.at(i / sizeof(std::uint32_t)) |= byte << (8 * (i % sizeof(std::uint32_t)));
    }
    return digest;
}

auto kindName(const message &content) -> std::string_view
{
    return std::visit(kind_namer{}, content);
}

auto encodeMessage(const message &content) -> std::string
{
    wire::message out;
    std::visit(message_writer{out}, content);
    return base::encodeThrift(out);
}

auto decodeMessage(std::string_view bytes) -> std::optional<message>
{
    auto decoded = base::decodeThrift<wire::message>(bytes);
    if (!decoded) {
        return std::nullopt;
    }
    if (decoded->__isset.node_report) {
        const auto &encoded = decoded->node_report;
        const bool hasVersionOnly = encoded.__isset.sender_version;
        if (!hasVersionOnly && !isValid(encoded.sender)) {
            return std::nullopt;
        }
        return report{hasVersionOnly ? node_record() : fromWire(encoded.sender),
                      cursorFromWire(encoded.boot, encoded.change),
                      static_cast<base::config_version>(encoded.version),
                      fromWire(encoded.usages),
                      encoded.probe,
                      digestFromWire(encoded.__isset.directory_digest, encoded.directory_digest),
                      encoded.distant,
                      fromWire(encoded.known_departures),
                      encoded.tells_departures,
                      timeFromWire(encoded.sent_at),
                      versionFromWire(hasVersionOnly, encoded.sender_version),
                      static_cast<std::uint64_t>(encoded.evacuation_revision),
                      evacuationsFromWire(encoded)};
    }
    if (decoded->__isset.answer) {
        return reportAnswerFromWire(decoded->answer);
    }
    if (decoded->__isset.sync) {
        if (!decoded->sync.__isset.sender_version && !isValid(decoded->sync.sender)) {
            return std::nullopt;
        }
        return syncRequestFromWire(decoded->sync);
    }
    if (decoded->__isset.synced) {
        return syncAnswerFromWire(decoded->synced);
    }
    if (decoded->__isset.notice) {
        return config_notice{{static_cast<base::config_version>(decoded->notice.version),
                              std::move(decoded->notice.content)},
                             fromWire(decoded->notice.evacuations)};
    }
    if (decoded->__isset.usage_change) {
        const auto &encoded = decoded->usage_change;
        return usage_update{changesFromWire(encoded.usages, encoded.span), encoded.from_hub};
    }
    if (decoded->__isset.usage_total) {
        return usage_totals{fromWire(decoded->usage_total.totals),
                            nodeCountFromWire(decoded->usage_total.covered_nodes)};
    }
    if (decoded->__isset.store) {
        if (!isValid(decoded->store.sender)) {
            return std::nullopt;
        }
        return store_request{fromWire(decoded->store.sender)};
    }
    if (decoded->__isset.stored) {
        return store_answer{static_cast<std::uint64_t>(decoded->stored.generation),
                            static_cast<std::uint64_t>(decoded->stored.sequence)};
    }
    return std::nullopt;
}

auto toOutgoingMessage(const base::node_id &to, const message &content) -> base::outgoing_message
{
    return {to, base::channel::Directory, encodeMessage(content), kindName(content)};
}

auto encodeRecords(const std::vector<node_record> &records) -> std::string
{
    wire::departure_file file;
    file.records = toWire(records);
    return base::encodeThrift(file);
}

auto decodeRecords(std::string_view bytes) -> std::vector<node_record>
{
    const auto file = base::decodeThrift<wire::departure_file>(bytes);
    return file ? fromWire(file->records) : std::vector<node_record>();
}

auto nodeIdOf(const membership::endpoint &peerAddress) -> base::node_id
{
    return base::node_id(membership::toString(peerAddress));
}

} // namespace hawthornpick::fleet
