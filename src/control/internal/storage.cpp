#include "control/storage.h"

#include "base/thriftcodec.h"

namespace hawthornpick::control {

namespace {

// Kind of an item in a record; the numbers are part of the disk format.
enum class item_kind : std::int8_t {
    Disk = 1,
    Vote = 2,
    Entry = 3,
    Snapshot = 4,
};

auto toWireItem(const disk_identity &item) -> wire::record_item
{
    wire::record_item out;
    out.kind = static_cast<std::int8_t>(item_kind::Disk);
    out.disk = static_cast<std::int64_t>(item.diskId);
    return out;
}

auto toWireItem(const term_and_vote &item) -> wire::record_item
{
    wire::record_item out;
    out.kind = static_cast<std::int8_t>(item_kind::Vote);
    out.term = static_cast<std::int64_t>(item.term);
    out.voted_for = item.votedFor;
    return out;
}

auto toWireItem(const log_entry &item) -> wire::record_item
{
    wire::record_item out;
    out.kind = static_cast<std::int8_t>(item_kind::Entry);
    out.log_entry = toWire(item);
    return out;
}

struct storage_item_visitor
{
    stored_state &state;

    auto operator()(const disk_identity &item) const -> void { state.disk = item.diskId; }
    auto operator()(const term_and_vote &item) const -> void
    {
        state.term = item.term;
        state.votedFor = item.votedFor;
    }
    auto operator()(const log_entry &item) const -> void
    {
        while (!state.entries.empty() && state.entries.back().index >= item.index) {
            state.entries.pop_back();
        }
        state.entries.push_back(item);
    }
};

} // namespace

auto applyItem(stored_state &state, const storage_item &item) -> void
{
    std::visit(storage_item_visitor{state}, item);
}

auto encodeItems(const std::vector<storage_item> &items, const std::string &snapshot) -> std::string
{
    wire::record record;
    if (!snapshot.empty()) {
        wire::record_item item;
        item.kind = static_cast<std::int8_t>(item_kind::Snapshot);
        item.snapshot_bytes = snapshot;
        record.items.push_back(std::move(item));
    }
    for (const auto &item : items) {
        record.items.push_back(
                std::visit([](const auto &value) { return toWireItem(value); }, item));
    }
    return base::encodeThrift(record);
}

auto decodeItems(std::string_view bytes, stored_state &state) -> bool
{
    const auto record = base::decodeThrift<wire::record>(bytes);
    if (!record) {
        return false;
    }
    for (const auto &item : record->items) {
        switch (static_cast<item_kind>(item.kind)) {
        case item_kind::Disk:
            state.disk = static_cast<std::uint64_t>(item.disk);
            break;
        case item_kind::Vote:
            state.term = static_cast<std::uint64_t>(item.term);
            state.votedFor = item.voted_for;
            break;
        case item_kind::Entry:
            applyItem(state, fromWire(item.log_entry));
            break;
        case item_kind::Snapshot:
            state.snapshot = item.snapshot_bytes;
            break;
        default:
            return false;
        }
    }
    return true;
}

auto memory_storage::sync(const std::vector<storage_item> &items) -> storage_result<void>
{
    if (m_disk->failsSync) {
        return tl::unexpected(
                storage_error{storage_failure::Io, "sync of the memory storage failed"});
    }
    for (const auto &item : items) {
        applyItem(m_disk->synced, item);
    }
    return {};
}

auto memory_storage::replace(const stored_state &state) -> storage_result<void>
{
    if (m_disk->failsSync) {
        return tl::unexpected(
                storage_error{storage_failure::Io, "sync of the memory storage failed"});
    }
    m_disk->synced = state;
    return {};
}

} // namespace hawthornpick::control
