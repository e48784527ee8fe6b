#include "fleet/recordtable.h"

namespace hawthornpick::fleet {

auto record_table::merge(const node_record &record) -> bool
{
    auto &known = m_records[record.entry.id];
    if (known.change != 0 && !record.isNewerThan(known.record)) {
        return false;
    }
    m_byChange.erase(known.change);
    known = {record, ++m_lastChange};
    m_byChange[known.change] = record.entry.id;
    return true;
}

auto record_table::find(const base::node_id &node) const -> const node_record *
{
    const auto position = m_records.find(node);
    return position == m_records.end() ? nullptr : &position->second.record;
}

auto record_table::changedSince(const directory_mark &known) const -> std::vector<node_record>
{
    const auto first = known.boot == m_boot ? known.change : 0;
    std::vector<node_record> out;
    for (auto item = m_byChange.upper_bound(first); item != m_byChange.end(); ++item) {
        out.push_back(m_records.at(item->second).record);
    }
    return out;
}

} // namespace hawthornpick::fleet
