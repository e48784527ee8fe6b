#include "fleet/recordtable.h"

namespace hawthornpick::fleet {

auto record_table::merge(const node_record &record) -> bool
{
    auto &stored = m_records[record.entry.id];
    if (stored.changeNumber != 0 && !record.isNewerThan(stored.record)) {
        return false;
    }
    m_nodeByChangeNumber.erase(stored.changeNumber);
    stored = {record, ++m_lastChangeNumber};
    m_nodeByChangeNumber[stored.changeNumber] = record.entry.id;
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
    const auto lastRead = readerCursor.bootId == m_bootId ? readerCursor.changeNumber : 0;
    std::vector<node_record> changed;
    for (auto change = m_nodeByChangeNumber.upper_bound(lastRead);
         change != m_nodeByChangeNumber.end(); ++change) {
        changed.push_back(m_records.at(change->second).record);
    }
    return changed;
}

} // namespace hawthornpick::fleet
