#include "membership/internal/members.h"

#include "base/digest.h"

#include <algorithm>
#include <set>
#include <tuple>

namespace hawthornpick::membership {

namespace {

auto precedenceKey(const wire::status &status)
        -> std::tuple<std::uint64_t, std::int64_t, std::int8_t>
{
    return {static_cast<std::uint64_t>(status.incarnation), status.refutation, status.condition};
}

auto livenessFrom(std::int8_t wireValue) -> liveness_state
{
    return wireValue <= 0   ? liveness_state::Alive
           : wireValue == 1 ? liveness_state::Suspect
                            : liveness_state::Dead;
}

auto upstreamFrom(const base::node_id &node, const wire::upstream &source) -> upstream_entry
{
    upstream_entry entry;
    entry.id = base::upstream_id(node.str() + "/" + source.name);
    entry.service = base::service_id(source.service_name);
    entry.slots = static_cast<std::uint32_t>(source.slots);
    entry.state = static_cast<upstream_state>(std::clamp<std::int8_t>(source.state, 0, 3));
    entry.ejected = source.ejected;
    entry.incarnation = static_cast<base::incarnation>(source.incarnation);
    entry.sequence = static_cast<std::uint64_t>(source.sequence);
    return entry;
}

//! Digest of the state on which all nodes eventually agree. Excludes suspicion, which is
//! short-lived, and withdrawn upstreams, which nodes delete at different times.
auto digestOf(const member &value) -> std::uint32_t
{
    if (value.liveness == liveness_state::Dead) {
        return 0;
    }
    std::uint64_t hash = base::hash64(value.entry.id.str(), value.entry.incarnation);
    hash = base::hash64(value.isLeaving ? "leaving" : "", hash ^ value.refutation);
    for (const auto &[name, upstream] : value.upstreams) {
        if (upstream.state != upstream_state::Gone) {
            hash += base::hash64(name, upstream.sequence);
        }
    }
    return static_cast<std::uint32_t>(hash ^ (hash >> 32U));
}

} // namespace

auto member_table::find(const base::node_id &id) -> member *
{
    const auto position = m_members.find(id);
    return position == m_members.end() ? nullptr : &position->second;
}

auto member_table::find(const base::node_id &id) const -> const member *
{
    const auto position = m_members.find(id);
    return position == m_members.end() ? nullptr : &position->second;
}

auto member_table::insertOrReplace(member value) -> member &
{
    const auto id = value.entry.id;
    auto &stored = m_members[id];
    value.digest = stored.digest;
    stored = std::move(value);
    m_tombstones.erase(id);
    updateDigest(stored);
    return stored;
}

auto member_table::remove(const base::node_id &id, base::time_point now) -> void
{
    auto *known = find(id);
    if (known == nullptr) {
        return;
    }
    m_tombstones[id] = {statusOf(*known), now};
    known->liveness = liveness_state::Dead;
    updateDigest(*known);
    m_members.erase(id);
}

auto member_table::expireTombstones(base::time_point removedBefore) -> void
{
    std::erase_if(m_tombstones, [removedBefore](const auto &item) {
        return item.second.removedAt < removedBefore;
    });
}

auto member_table::findTombstone(const base::node_id &id) const -> const wire::status *
{
    const auto position = m_tombstones.find(id);
    return position == m_tombstones.end() ? nullptr : &position->second.lastStatus;
}

auto member_table::mergeRecord(const wire::record &record, base::time_point now) -> merge_result
{
    const base::node_id id(record.state.node);
    auto *known = find(id);
    const auto *tombstoneStatus = findTombstone(id);
    if (known == nullptr && tombstoneStatus != nullptr
        && !isNewer(record.state, *tombstoneStatus)) {
        return {.isSenderOutdated = true};
    }
    const auto incarnation = static_cast<base::incarnation>(record.state.incarnation);
    if (known == nullptr || known->entry.incarnation < incarnation) {
        auto added = memberFrom(record);
        added.livenessSince = now;
        insertOrReplace(std::move(added));
        return {.isChanged = true};
    }
    if (incarnation < known->entry.incarnation) {
        return {.isSenderOutdated = true};
    }
    return mergeKnownRecord(*known, record);
}

auto member_table::mergeKnownRecord(member &known, const wire::record &record) -> merge_result
{
    merge_result result;
    result.isChanged = mergeUpstreams(known, record);
    if (record.leaving && !known.isLeaving) {
        known.isLeaving = true;
        result.isChanged = true;
    }
    if (result.isChanged) {
        updateDigest(known);
    }
    return result;
}

auto member_table::mergeUpstreams(member &known, const wire::record &record) -> bool
{
    bool isChanged = false;
    std::set<std::string> listedNames;
    for (const auto &source : record.upstreams) {
        listedNames.insert(source.name);
        const auto position = known.upstreams.find(source.name);
        const auto sequence = static_cast<std::uint64_t>(source.sequence);
        const auto knownSequence =
                position == known.upstreams.end() ? known.completeUpTo : position->second.sequence;
        if (sequence > knownSequence) {
            known.upstreams[source.name] = upstreamFrom(known.entry.id, source);
            isChanged = true;
        }
    }
    const auto completeUpTo = static_cast<std::uint64_t>(record.complete);
    if (completeUpTo > known.completeUpTo) {
        known.completeUpTo = completeUpTo;
        isChanged |= std::erase_if(known.upstreams,
                                   [&](const auto &item) {
                                       return item.second.sequence <= completeUpTo
                                              && !listedNames.contains(item.first);
                                   })
                     > 0;
    }
    return isChanged;
}

auto member_table::mergeChange(const wire::change &change) -> merge_result
{
    auto *known = find(base::node_id(change.node));
    const auto incarnation = static_cast<base::incarnation>(change.incarnation);
    if (known == nullptr || known->entry.incarnation != incarnation) {
        return {};
    }
    merge_result result;
    if (change.leaving && !known->isLeaving) {
        known->isLeaving = true;
        result.isChanged = true;
    }
    if (change.__isset.entry) {
        const auto position = known->upstreams.find(change.entry.name);
        const auto knownSequence = position == known->upstreams.end() ? known->completeUpTo
                                                                      : position->second.sequence;
        const auto sequence = static_cast<std::uint64_t>(change.entry.sequence);
        if (sequence > knownSequence) {
            known->upstreams[change.entry.name] = upstreamFrom(known->entry.id, change.entry);
            result.isChanged = true;
        }
    }
    if (result.isChanged) {
        updateDigest(*known);
    }
    return result;
}

auto member_table::mergeStatus(const wire::status &status, base::time_point now) -> merge_result
{
    auto *known = find(base::node_id(status.node));
    if (known == nullptr
        || known->entry.incarnation != static_cast<base::incarnation>(status.incarnation)) {
        return {};
    }
    const auto current = statusOf(*known);
    if (!isNewer(status, current)) {
        return {.isSenderOutdated =
                        known->liveness == liveness_state::Dead && isNewer(current, status)};
    }
    known->refutation = static_cast<std::uint64_t>(status.refutation);
    known->liveness = livenessFrom(status.condition);
    known->livenessSince = now;
    known->suspicionChecks = 0;
    updateDigest(*known);
    return {.isChanged = true};
}

auto member_table::updateDigest(member &value) -> void
{
    auto &bucketDigest = m_buckets.at(bucketOf(value.entry.id));
    bucketDigest ^= value.digest;
    value.digest = digestOf(value);
    bucketDigest ^= value.digest;
}

auto member_table::digest() const -> std::uint32_t
{
    std::uint32_t combined = 0;
    for (std::size_t i = 0; i < DIGEST_BUCKETS; ++i) {
        combined = combined * 31 + m_buckets.at(i);
    }
    return combined;
}

auto member_table::bucketOf(const base::node_id &id) -> std::size_t
{
    return base::hash64(id.str()) % DIGEST_BUCKETS;
}

auto statusOf(const member &value) -> wire::status
{
    wire::status status;
    status.node = value.entry.id.str();
    status.incarnation = static_cast<std::int64_t>(value.entry.incarnation);
    status.refutation = static_cast<std::int64_t>(value.refutation);
    status.condition = static_cast<std::int8_t>(value.liveness);
    return status;
}

auto recordOf(const member &value) -> wire::record
{
    wire::record record;
    record.state = statusOf(value);
    record.leaving = value.isLeaving;
    record.host = value.entry.host;
    record.region = value.entry.region.str();
    record.failure_domain = value.entry.failureDomain.str();
    record.address = value.entry.peerAddress.address;
    record.port = value.entry.peerAddress.port;
    record.complete = static_cast<std::int64_t>(value.completeUpTo);
    for (const auto &[name, upstream] : value.upstreams) {
        record.upstreams.push_back(toWireUpstream(name, upstream));
    }
    return record;
}

auto memberFrom(const wire::record &record) -> member
{
    member value;
    value.entry.id = base::node_id(record.state.node);
    value.entry.incarnation = static_cast<base::incarnation>(record.state.incarnation);
    value.entry.host = record.host;
    value.entry.region = base::region_id(record.region);
    value.entry.failureDomain = base::failure_domain_id(record.failure_domain);
    value.entry.peerAddress = {record.address, static_cast<std::uint16_t>(record.port)};
    value.refutation = static_cast<std::uint64_t>(record.state.refutation);
    value.liveness = livenessFrom(record.state.condition);
    value.isLeaving = record.leaving;
    value.completeUpTo = static_cast<std::uint64_t>(record.complete);
    for (const auto &source : record.upstreams) {
        value.upstreams[source.name] = upstreamFrom(value.entry.id, source);
    }
    return value;
}

auto toWireUpstream(const std::string &name, const upstream_entry &entry) -> wire::upstream
{
    wire::upstream result;
    result.name = name;
    result.service_name = entry.service.str();
    result.slots = static_cast<std::int32_t>(entry.slots);
    result.state = static_cast<std::int8_t>(entry.state);
    result.ejected = entry.ejected;
    result.incarnation = static_cast<std::int64_t>(entry.incarnation);
    result.sequence = static_cast<std::int64_t>(entry.sequence);
    return result;
}

auto isNewer(const wire::status &left, const wire::status &right) -> bool
{
    return precedenceKey(left) > precedenceKey(right);
}

auto localName(const base::node_id &node, const base::upstream_id &id) -> std::string
{
    const auto prefix = node.str() + "/";
    return id.str().starts_with(prefix) ? id.str().substr(prefix.size()) : id.str();
}

} // namespace hawthornpick::membership
