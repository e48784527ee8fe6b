#include "fleet/recordtable.h"

#include <algorithm>

namespace hawthornpick::fleet {

namespace {

auto hasSameContent(const node_record &left, const node_record &right) -> bool
{
    return left.entry == right.entry && left.generation == right.generation
           && left.isHub == right.isHub && left.crashRecords == right.crashRecords
           && left.formerUpstreams == right.formerUpstreams;
}

using upstream_entries = std::vector<membership::upstream_entry>;

// Returns true if `listed` tells at least as much as `former` about the same upstream.
auto covers(const membership::upstream_entry &listed, const membership::upstream_entry &former)
        -> bool
{
    if (listed.id != former.id || listed.incarnation < former.incarnation) {
        return false;
    }
    return listed.incarnation > former.incarnation || listed.isLeaving || !former.isLeaving;
}

auto addFormerUpstreams(upstream_entries &known, const upstream_entries &listed,
                        const upstream_entries &added) -> void
{
    for (const auto &item : added) {
        const auto coversItem = [&item](const membership::upstream_entry &other) {
            return covers(other, item);
        };
        if (std::any_of(listed.begin(), listed.end(), coversItem)
            || std::any_of(known.begin(), known.end(), coversItem)) {
            continue;
        }
        std::erase_if(known, [&item](const membership::upstream_entry &other) {
            return covers(item, other);
        });
        known.push_back(item);
    }
}

// Returns the upstreams of former processes that the two records of one node tell of and that the
// newer one doesn't list.
auto formerUpstreamsOf(const node_record &newer, const node_record &older) -> upstream_entries
{
    upstream_entries former;
    const auto &listed = newer.entry.upstreams;
    addFormerUpstreams(former, listed, newer.formerUpstreams);
    addFormerUpstreams(former, listed, older.formerUpstreams);
    if (newer.generation != older.generation) {
        addFormerUpstreams(former, listed, older.entry.upstreams);
    }
    std::sort(former.begin(), former.end(), [](const auto &left, const auto &right) {
        return std::tuple(right.isLeaving, right.incarnation, left.id)
               < std::tuple(left.isLeaving, left.incarnation, right.id);
    });
    if (former.size() > node_record::MAX_FORMER_UPSTREAMS) {
        former.resize(node_record::MAX_FORMER_UPSTREAMS);
    }
    return former;
}

} // namespace

auto record_table::merge(const node_record &record, const base::node_id &source) -> bool
{
    auto &stored = m_records[record.entry.id];
    const bool isNew = stored.changeNumber == 0;
    if (isNew) {
        store(stored, record, source);
        return true;
    }
    const bool isNewer = record.isNewerThan(stored.record);
    auto merged = isNewer ? record : stored.record;
    merged.formerUpstreams = isNewer ? formerUpstreamsOf(record, stored.record)
                                     : formerUpstreamsOf(stored.record, record);
    if (!isNewer && merged.formerUpstreams == stored.record.formerUpstreams) {
        return false;
    }
    const bool isAsSent = isNewer && merged.formerUpstreams == record.formerUpstreams;
    store(stored, std::move(merged), isAsSent ? source : base::node_id());
    return true;
}

auto record_table::store(numbered_record &stored, node_record record, const base::node_id &source)
        -> void
{
    const bool isNew = stored.changeNumber == 0;
    m_nodeByChangeNumber.erase(stored.changeNumber);
    stored.changeNumber = ++m_lastChangeNumber;
    m_nodeByChangeNumber[stored.changeNumber] = record.entry.id;
    if (isNew || !hasSameContent(stored.record, record)) {
        if (!isNew) {
            m_digest.toggle(stored.record);
        }
        m_digest.toggle(record);
        stored.contentChangeNumber = stored.changeNumber;
    }
    stored.record = std::move(record);
    stored.source = source;
}

auto record_table::find(const base::node_id &node) const -> const node_record *
{
    const auto found = m_records.find(node);
    return found == m_records.end() ? nullptr : &found->second.record;
}

auto record_table::aliveHubsIn(const base::region_id &region) const -> std::vector<node_record>
{
    std::vector<node_record> hubs;
    forEach([&](const node_record &record) {
        if (record.isAliveHub() && record.entry.region == region) {
            hubs.push_back(record);
        }
    });
    return hubs;
}

auto record_table::changedSince(const directory_cursor &readerCursor) const
        -> std::vector<node_record>
{
    const auto lastRead = lastChangeReadBy(readerCursor);
    return changesAfter(lastRead, [lastRead](const numbered_record &item) {
        return item.contentChangeNumber > lastRead;
    });
}

auto record_table::changedOrWanted(const record_filter &isWanted, const base::node_id &reader,
                                   const directory_cursor &readerCursor) const
        -> std::vector<node_record>
{
    const auto lastRead = lastChangeReadBy(readerCursor);
    return changesAfter(lastRead, [&](const numbered_record &item) {
        const bool isReadBack = lastRead > 0 && !item.source.empty() && item.source == reader;
        return !isReadBack
               && (item.contentChangeNumber > lastRead || isWanted(item.record, item.source));
    });
}

auto record_table::departures() const -> std::vector<node_record>
{
    std::vector<node_record> found;
    forEach([&found](const node_record &record) {
        if (record.hasDeparture()) {
            found.push_back(record);
        }
    });
    return found;
}

auto record_table::differingFrom(const directory_digest &reader) const -> std::vector<node_record>
{
    std::vector<node_record> differing;
    for (const auto &[node, item] : m_records) {
        if (!m_digest.agreesOn(node, reader)) {
            differing.push_back(item.record);
        }
    }
    return differing;
}

} // namespace hawthornpick::fleet
