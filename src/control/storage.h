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
    //! The log contains a damaged record before its last valid one or a record that cannot be
    //! decoded, so synced data is lost.
    Corrupt,
    //! The log has a record of a format version that this program does not support.
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

//! Durable state of a controller.
struct stored_state
{
    //! Identity of the data folder; 0 for an empty one.
    std::uint64_t disk = 0;
    std::uint64_t term = 0;
    //! Candidate that was given the vote of `term`; empty if none was.
    std::string votedFor;
    //! Encoded wire::snapshot; empty if there is none.
    std::string snapshot;
    std::vector<log_entry> entries;

    auto operator<=>(const stored_state &) const = default;
};

//! Sets the identity of the data folder.
struct disk_identity
{
    std::uint64_t diskId = 0;
};
//! Sets the term and the vote of the term.
struct term_and_vote
{
    std::uint64_t term = 0;
    std::string votedFor;
};
//! Change of the stored state. A log entry replaces those with the same or a higher index.
using storage_item = std::variant<disk_identity, term_and_vote, log_entry>;

//! Applies one change to `state`. Thread safety: pure.
auto applyItem(stored_state &state, const storage_item &item) -> void;

//! Encodes changes as the payload of one record; a snapshot that is not empty comes first.
//! Thread safety: pure.
auto encodeItems(const std::vector<storage_item> &items, const std::string &snapshot)
        -> std::string;
//! Decodes the payload of a record and applies its changes to `state`. Returns false if the payload
//! cannot be decoded; `state` may be partly changed then. Thread safety: pure.
auto decodeItems(std::string_view bytes, stored_state &state) -> bool;

//! Content of a virtual disk. It outlives the `memory_storage` objects that use it, as a disk
//! outlives restarts.
struct memory_disk
{
    stored_state synced;
    //! Makes `sync` and `replace` fail.
    bool failsSync = false;
};

//! Storage in memory for tests.
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

//! Storage in one folder with two files: `lock`, which is locked while the object exists, and
//! `log`, a sequence of records with a format version and a checksum. Each `sync` appends one
//! record, so that a torn write damages only the last record. `replace` writes a new file and
//! renames it to `log`. Thread safety of all members: control thread.
class file_storage
{
public:
    //! Creates the folder if it does not exist and locks it. Errors: `Locked`, `Io`.
    static auto open(const std::string &folder) -> storage_result<file_storage>;

    file_storage(file_storage &&other) noexcept;
    auto operator=(file_storage &&other) noexcept -> file_storage &;
    ~file_storage();

    //! Reads the log. Truncates a damaged record at its end, which a torn write leaves, and reports
    //! damage anywhere else as an error. Errors: `Corrupt`, `UnsupportedFormat`, `Io`.
    auto load() -> storage_result<stored_state>;

    //! Appends the items as one record and syncs the file. After an error the object must not be
    //! used again: the operating system may have dropped the unwritten pages, so that a later sync
    //! would report success without the data. Precondition: `load` or `replace` succeeded.
    auto sync(const std::vector<storage_item> &items) -> storage_result<void>;

    //! Replaces the stored state by `state`, atomically and durably.
    auto replace(const stored_state &state) -> storage_result<void>;

private:
    file_storage(std::string folder, int lockFile)
        : m_folder(std::move(folder)), m_lockFile(lockFile)
    {}
    auto closeFiles() -> void;
    auto openLog() -> storage_result<void>;

    std::string m_folder;
    // File descriptors, -1 if closed.
    int m_lockFile = -1;
    int m_logFile = -1;
};

//! Storage of a controller: of a file system, or of tests.
using storage = std::variant<memory_storage, file_storage>;

} // namespace hawthornpick::control
