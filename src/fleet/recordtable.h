#pragma once

#include "fleet/messages.h"

#include <functional>
#include <map>

namespace hawthornpick::fleet {

//! Records of all nodes in the order in which they changed in this process, so that a reader
//! receives only the changes since its last read. Thread safety of all members: one thread.
class record_table
{
public:
    //! Selects records; `source` is empty if the record wasn't sent like this by one node.
    using record_filter =
            std::function<bool(const node_record &record, const base::node_id &source)>;

    //! `bootId` identifies the process: change numbers start again from 1 after a restart.
    explicit record_table(std::uint64_t bootId) : m_bootId(bootId) {}

    //! Stores `record` if it is newer than the stored record of the same node. Either way, the
    //! upstreams that former processes of the node published are kept until the node lists them:
    //! a process that starts can't know what its predecessor acknowledged. Returns true if the
    //! stored record changed. `source` is the node that sent the record, if it isn't read back.
    auto merge(const node_record &record, const base::node_id &source = {}) -> bool;

    //! Returns the record of a node, or null if the node is unknown. The pointer is valid until
    //! the table is destroyed.
    [[nodiscard]] auto find(const base::node_id &node) const -> const node_record *;
    //! Returns the position of the last change.
    [[nodiscard]] auto cursor() const -> directory_cursor { return {m_bootId, m_lastChangeNumber}; }

    //! Returns true if the cursor is a position in this table.
    [[nodiscard]] auto contains(const directory_cursor &readerCursor) const -> bool
    {
        return readerCursor.bootId == m_bootId && readerCursor.changeNumber <= m_lastChangeNumber;
    }

    //! Returns the records of which more than the hub in use changed after `readerCursor`, or all
    //! records if the table does not contain the cursor.
    [[nodiscard]] auto changedSince(const directory_cursor &readerCursor) const
            -> std::vector<node_record>;

    //! As `changedSince`, with those records of which only the hub in use changed and that
    //! `isWanted` selects, and without those that `reader` sent unless it has no position here.
    [[nodiscard]] auto changedOrWanted(const record_filter &isWanted, const base::node_id &reader,
                                       const directory_cursor &readerCursor) const
            -> std::vector<node_record>;

    //! Returns the records of the live hubs of a region.
    [[nodiscard]] auto aliveHubsIn(const base::region_id &region) const -> std::vector<node_record>;

    //! Returns the records with an upstream that has announced that it leaves.
    [[nodiscard]] auto departures() const -> std::vector<node_record>;

    //! Returns the records in the groups of nodes whose content differs from that of a reader.
    [[nodiscard]] auto differingFrom(const directory_digest &reader) const
            -> std::vector<node_record>;

    [[nodiscard]] auto digest() const -> const directory_digest & { return m_digest; }

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
        //! Number of the last change of anything but the hub in use.
        std::uint64_t contentChangeNumber = 0;
        //! Node that sent exactly this record; empty if it is put together here.
        base::node_id source;
    };

    template <typename Predicate>
    auto changesAfter(std::uint64_t lastRead, Predicate isWanted) const -> std::vector<node_record>
    {
        std::vector<node_record> changes;
        for (auto change = m_nodeByChangeNumber.upper_bound(lastRead);
             change != m_nodeByChangeNumber.end(); ++change) {
            const auto &item = m_records.at(change->second);
            if (isWanted(item)) {
                changes.push_back(item.record);
            }
        }
        return changes;
    }

    auto store(numbered_record &stored, node_record record, const base::node_id &source) -> void;

    [[nodiscard]] auto lastChangeReadBy(const directory_cursor &reader) const -> std::uint64_t
    {
        return contains(reader) ? reader.changeNumber : 0;
    }

    std::uint64_t m_bootId;
    std::uint64_t m_lastChangeNumber = 0;
    std::map<base::node_id, numbered_record> m_records;
    std::map<std::uint64_t, base::node_id> m_nodeByChangeNumber;
    directory_digest m_digest;
};

} // namespace hawthornpick::fleet
