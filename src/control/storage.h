#pragma once

#include "control/logentry.h"

#include <cstdint>
#include <memory>
#include <string>
#include <tl/expected.hpp>
#include <variant>
#include <vector>

namespace hawthornpick::control {

enum class storage_failure : std::uint8_t {
    //! Another process uses the data folder.
    Locked,
    //! A damaged record is followed by valid ones, so data that was synced is lost.
    Corrupt,
    //! The files were written by another version of the format.
    UnsupportedFormat,
    //! The operating system reported an error, for example a full disk or a failed fsync.
    Io,
};

struct storage_error
{
    storage_failure kind = storage_failure::Io;
    std::string detail;

    auto operator<=>(const storage_error &) const = default;
};

template <typename T>
using storage_result = tl::expected<T, storage_error>;

//! All that a controller keeps on disk.
struct stored_state
{
    //! Identity of the data folder; 0 for an empty one.
    std::uint64_t disk = 0;
    std::uint64_t term = 0;
    //! Candidate that got the vote of `term`; empty if none did.
    std::string votedFor;
    //! Encoded wire::snapshot; empty if there is none.
    std::string snapshot;
    std::vector<log_entry> entries;

    auto operator<=>(const stored_state &) const = default;
};

//! Change to the stored state. An entry replaces those with the same or a higher index.
struct disk_identity
{
    std::uint64_t disk = 0;
};
struct term_and_vote
{
    std::uint64_t term = 0;
    std::string votedFor;
};
using storage_item = std::variant<disk_identity, term_and_vote, log_entry>;

//! Changes `state` as `item` says. Thread safety: pure.
auto applyItem(stored_state &state, const storage_item &item) -> void;

//! Encodes items as one record and reverses it. Thread safety: pure.
auto encodeItems(const std::vector<storage_item> &items, const std::string &snapshot)
        -> std::string;
auto decodeItems(std::string_view bytes, stored_state &state) -> bool;

//! What a virtual disk holds across the restarts of a `memory_storage`.
struct memory_disk
{
    stored_state synced;
    bool failsSync = false;
};

//! Storage of tests: what was not synced is lost with the object.
//! Thread safety of all members: control thread.
class memory_storage
{
public:
    explicit memory_storage(std::shared_ptr<memory_disk> disk) : m_disk(std::move(disk)) {}

    auto load() -> storage_result<stored_state> { return m_disk->synced; }
    auto sync(const std::vector<storage_item> &items) -> storage_result<void>;
    auto replace(const stored_state &state) -> storage_result<void>;

private:
    std::shared_ptr<memory_disk> m_disk;
};

//! Storage in one folder: `lock`, held while the object lives, and `log`, a sequence of records
//! with a format version and a checksum. One `sync` writes one record, so that a torn write damages
//! only the last record. `replace` writes a new file and renames it. Thread safety of all members:
//! control thread.
class file_storage
{
public:
    //! Creates the folder if needed and takes its lock.
    static auto open(const std::string &folder) -> storage_result<file_storage>;

    file_storage(file_storage &&other) noexcept;
    auto operator=(file_storage &&other) noexcept -> file_storage &;
    ~file_storage();

    //! Reads the log; removes a damaged record at its end and refuses damage anywhere else.
    auto load() -> storage_result<stored_state>;

    //! Writes the items and syncs the file. After an error the object must not be used again: the
    //! operating system may have dropped the unwritten pages.
    auto sync(const std::vector<storage_item> &items) -> storage_result<void>;

    //! Replaces everything by `state`, atomically and durably.
    auto replace(const stored_state &state) -> storage_result<void>;

private:
    file_storage(std::string folder, int lock) : m_folder(std::move(folder)), m_lock(lock) {}
    auto closeAll() -> void;
    auto openLog() -> storage_result<void>;

    std::string m_folder;
    int m_lock = -1;
    int m_log = -1;
};

using storage = std::variant<memory_storage, file_storage>;

} // namespace hawthornpick::control
