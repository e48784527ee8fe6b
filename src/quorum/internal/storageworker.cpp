#include "quorum/storageworker.h"

#include "base/log.h"
#include "control/storage.h"

#include <charconv>
#include <filesystem>

namespace hawthornpick::quorum {

namespace {

//! Sum of the document sizes of the writes since the last full rewrite. Above it, the next write
//! replaces the file by one that contains only the newest state.
constexpr std::size_t COMPACTION_THRESHOLD_BYTES = 4UL * 1024 * 1024;
//! Index of the only log entry: the storage keeps a log, while the register has a single value.
constexpr std::uint64_t VALUE_ENTRY_INDEX = 1;
constexpr char DISK_ID_SEPARATOR = '#';

auto formatVote(const member &item) -> std::string
{
    if (item.node.empty()) {
        return {};
    }
    return item.node.str() + DISK_ID_SEPARATOR + std::to_string(item.diskId);
}

auto parseVote(const std::string &text) -> member
{
    const auto separator = text.rfind(DISK_ID_SEPARATOR);
    if (separator == std::string::npos) {
        return {};
    }
    std::uint64_t diskId = 0;
    std::from_chars(text.data() + separator + 1, text.data() + text.size(), diskId);
    return {base::node_id(text.substr(0, separator)), diskId};
}

auto toLogEntry(const durable_state &state) -> control::log_entry
{
    return {VALUE_ENTRY_INDEX, 0, encodeValue(*state.value)};
}

auto toStored(const durable_state &state) -> control::stored_state
{
    control::stored_state out;
    out.disk = state.diskId;
    out.term = state.term;
    out.votedFor = formatVote(state.votedFor);
    if (state.value) {
        out.entries.push_back(toLogEntry(state));
    }
    return out;
}

auto fromStored(const control::stored_state &stored) -> durable_state
{
    durable_state out{stored.disk, stored.term, parseVote(stored.votedFor), nullptr};
    if (!stored.entries.empty()) {
        out.value = decodeValue(stored.entries.back().command);
    }
    return out;
}

auto toStorageItems(const storage_job &job) -> std::vector<control::storage_item>
{
    std::vector<control::storage_item> items{
            control::disk_identity{job.state.diskId},
            control::term_and_vote{job.state.term, formatVote(job.state.votedFor)}};
    if (job.hasNewValue && job.state.value) {
        items.emplace_back(toLogEntry(job.state));
    }
    return items;
}

auto logStorageError(const control::storage_error &error) -> void
{
    base::log(base::log_level::Error, "data folder failed", {{"error", error.detail}});
}

} // namespace

//! Durable state in the files of one folder. Reopens the files after each failure.
class state_file
{
public:
    explicit state_file(std::string folder) : m_folder(std::move(folder)) {}

    //! Returns nothing if the folder can't be read; the caller tries again. Damaged content is
    //! deleted and counts as an empty disk.
    auto load() -> std::optional<durable_state>
    {
        if (!reopen()) {
            return std::nullopt;
        }
        const auto stored = m_storage->load();
        if (stored) {
            return fromStored(*stored);
        }
        logStorageError(stored.error());
        m_storage.reset();
        if (stored.error().kind == control::storage_failure::Io) {
            return std::nullopt;
        }
        // Values and votes that were acknowledged from the damaged file are lost, so the replica
        // must start with a new disk identity.
        std::error_code ignored;
        std::filesystem::remove(m_folder + "/log", ignored);
        return durable_state{};
    }

    //! Returns false if the write failed; the caller tries again.
    auto write(const storage_job &job) -> bool
    {
        const bool isReopened = !m_storage;
        if (isReopened && !reopen()) {
            return false;
        }
        const bool isFullRewrite =
                isReopened || m_contentBytesSinceRewrite > COMPACTION_THRESHOLD_BYTES;
        const auto result = isFullRewrite ? m_storage->replace(toStored(job.state))
                                          : m_storage->sync(toStorageItems(job));
        if (!result) {
            logStorageError(result.error());
            m_storage.reset();
            return false;
        }
        m_contentBytesSinceRewrite = isFullRewrite ? 0 : m_contentBytesSinceRewrite;
        m_contentBytesSinceRewrite += job.state.value ? job.state.value->content.size() : 0;
        return true;
    }

private:
    auto reopen() -> bool
    {
        m_storage.reset();
        auto opened = control::file_storage::open(m_folder);
        if (!opened) {
            logStorageError(opened.error());
            return false;
        }
        m_storage.emplace(std::move(*opened));
        return true;
    }

    std::string m_folder;
    std::optional<control::file_storage> m_storage;
    std::size_t m_contentBytesSinceRewrite = 0;
};

storage_worker::storage_worker(std::string folder, loaded_function onLoaded,
                               written_function onWritten)
    : m_file(std::make_unique<state_file>(std::move(folder))),
      m_worker({[this] { return m_file->load(); },
                [this](const storage_job &job) { return m_file->write(job); }, std::move(onLoaded),
                [onWritten = std::move(onWritten)](const storage_job &job) {
                    onWritten(job.revision);
                }})
{}

storage_worker::~storage_worker() = default;

auto storage_worker::write(storage_job job) -> void
{
    m_worker.write(std::move(job));
}

} // namespace hawthornpick::quorum
