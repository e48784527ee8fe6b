#pragma once

#include "fleet/messages.h"

#include <map>

namespace hawthornpick::fleet {

//! Records of all nodes in the order in which they changed in this process, so that a reader
//! receives only the changes since its last read. Thread safety of all members: one thread.
class record_table
{
public:
    //! `bootId` identifies the process: change numbers start again from 1 after a restart.
    explicit record_table(std::uint64_t bootId) : m_bootId(bootId) {}

    //! Stores `record` if it is newer than the stored record of the same node; returns true if it
    //! was stored.
    auto merge(const node_record &record) -> bool;

    //! Returns the record of a node, or null if the node is unknown. The pointer is valid until
    //! the table is destroyed.
    [[nodiscard]] auto find(const base::node_id &node) const -> const node_record *;
    //! Returns the position of the last change.
    [[nodiscard]] auto cursor() const -> directory_cursor { return {m_bootId, m_lastChangeNumber}; }

    //! Returns the records that changed after `readerCursor`, or all records if the cursor belongs
    //! to another process.
    [[nodiscard]] auto changedSince(const directory_cursor &readerCursor) const
            -> std::vector<node_record>;

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
        std::uint64_t changeNumber = 0;
    };

    std::uint64_t m_bootId;
    std::uint64_t m_lastChangeNumber = 0;
    std::map<base::node_id, numbered_record> m_records;
    std::map<std::uint64_t, base::node_id> m_nodeByChangeNumber;
};

} // namespace hawthornpick::fleet
