#pragma once

#include "fleet/messages.h"

#include <map>

namespace hawthornpick::fleet {

//! Records of all nodes with the order in which they changed here, so that a reader gets only what
//! it lacks. Thread safety of all members: one thread.
class record_table
{
public:
    //! `boot` identifies the process, because the numbers of changes start again with it.
    explicit record_table(std::uint64_t boot) : m_boot(boot) {}

    //! Takes a record if it is newer than the known one; returns true if it was taken.
    auto merge(const node_record &record) -> bool;

    [[nodiscard]] auto find(const base::node_id &node) const -> const node_record *;
    [[nodiscard]] auto mark() const -> directory_mark { return {m_boot, m_lastChange}; }

    //! Returns the records that changed after `known`, or all of them for another process's mark.
    [[nodiscard]] auto changedSince(const directory_mark &known) const -> std::vector<node_record>;

    //! Calls `visit` for each record.
    template <typename Visitor>
    auto forEach(Visitor visit) const -> void
    {
        for (const auto &[node, item] : m_records) {
            visit(item.record);
        }
    }

private:
    struct numbered_record
    {
        node_record record;
        std::uint64_t change = 0;
    };

    std::uint64_t m_boot;
    std::uint64_t m_lastChange = 0;
    std::map<base::node_id, numbered_record> m_records;
    std::map<std::uint64_t, base::node_id> m_byChange;
};

} // namespace hawthornpick::fleet
