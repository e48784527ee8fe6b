#include "fleet/recordtable.h"

namespace hawthornpick::fleet {

namespace {

auto hasSameContent(const node_record &left, const node_record &right) -> bool
{
    return left.entry == right.entry && left.generation == right.generation
           && left.isHub == right.isHub && left.crashRecords == right.crashRecords;
}

} // namespace

auto record_table::merge(const node_record &record) -> bool
{
    auto &stored = m_records[record.entry.id];
    const bool isNew = stored.changeNumber == 0;
    if (!isNew && !record.isNewerThan(stored.record)) {
        return false;
    }
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
    stored.record = record;
    return true;
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

auto record_table::allChangedSince(const directory_cursor &readerCursor) const
        -> std::vector<node_record>
{
    return changesAfter(lastChangeReadBy(readerCursor),
                        [](const numbered_record &) { return true; });
}

auto record_table::changedSince(const directory_cursor &readerCursor) const
        -> std::vector<node_record>
{
    const auto lastRead = lastChangeReadBy(readerCursor);
    return changesAfter(lastRead, [lastRead](const numbered_record &item) {
        return item.contentChangeNumber > lastRead;
    });
}

auto record_table::changedOrReportingTo(const base::node_id &hub,
                                        const directory_cursor &readerCursor) const
        -> std::vector<node_record>
{
    const auto lastRead = lastChangeReadBy(readerCursor);
    return changesAfter(lastRead, [lastRead, &hub](const numbered_record &item) {
        return item.contentChangeNumber > lastRead || item.record.reportsTo == hub;
    });
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
