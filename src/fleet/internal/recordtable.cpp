#include "fleet/recordtable.h"

namespace hawthornpick::fleet {

namespace {

auto hasSameContent(const node_record &left, const node_record &right) -> bool
{
    return left.entry == right.entry && left.generation == right.generation
           && left.isHub == right.isHub;
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
        m_nodeByContentChangeNumber.erase(stored.contentChangeNumber);
        stored.contentChangeNumber = stored.changeNumber;
        m_nodeByContentChangeNumber[stored.contentChangeNumber] = record.entry.id;
    }
    stored.record = record;
    return true;
}

auto record_table::find(const base::node_id &node) const -> const node_record *
{
    const auto found = m_records.find(node);
    return found == m_records.end() ? nullptr : &found->second.record;
}

auto record_table::changedSince(const directory_cursor &readerCursor) const
        -> std::vector<node_record>
{
    std::vector<node_record> changed;
    for (auto change = m_nodeByContentChangeNumber.upper_bound(lastChangeReadBy(readerCursor));
         change != m_nodeByContentChangeNumber.end(); ++change) {
        changed.push_back(m_records.at(change->second).record);
    }
    return changed;
}

auto record_table::movedSince(const directory_cursor &readerCursor) const
        -> std::vector<node_record>
{
    const auto lastRead = lastChangeReadBy(readerCursor);
    std::vector<node_record> moved;
    for (auto change = m_nodeByChangeNumber.upper_bound(lastRead);
         change != m_nodeByChangeNumber.end(); ++change) {
        const auto &item = m_records.at(change->second);
        if (item.contentChangeNumber <= lastRead) {
            moved.push_back(item.record);
        }
    }
    return moved;
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
