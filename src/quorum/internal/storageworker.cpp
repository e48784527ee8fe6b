#include "quorum/storageworker.h"

#include "base/log.h"
#include "control/storage.h"

#include <charconv>
#include <filesystem>

namespace hawthornpick::quorum {

namespace {

//! Pause after a failed access to the disk.
constexpr base::milliseconds RETRY_PAUSE{250};
//! Bytes of records after which the file is written anew with the newest state only.
constexpr std::size_t COMPACT_BYTES = 4UL * 1024 * 1024;
//! The storage keeps entries by number; a register has one.
constexpr std::uint64_t VALUE_ENTRY = 1;
constexpr char DISK_SEPARATOR = '#';

auto voteText(const member &item) -> std::string
{
    if (item.node.empty()) {
        return {};
    }
    return item.node.str() + DISK_SEPARATOR + std::to_string(item.disk);
}

auto parseVote(const std::string &text) -> member
{
    const auto separator = text.rfind(DISK_SEPARATOR);
    if (separator == std::string::npos) {
        return {};
    }
    std::uint64_t disk = 0;
    std::from_chars(text.data() + separator + 1, text.data() + text.size(), disk);
    return {base::node_id(text.substr(0, separator)), disk};
}

auto valueEntry(const durable_state &state) -> control::log_entry
{
    return {VALUE_ENTRY, 0, encodeValue(*state.value)};
}

auto toStored(const durable_state &state) -> control::stored_state
{
    control::stored_state out;
    out.disk = state.disk;
    out.term = state.term;
    out.votedFor = voteText(state.votedFor);
    if (state.value) {
        out.entries.push_back(valueEntry(state));
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

auto itemsOf(const storage_job &job) -> std::vector<control::storage_item>
{
    std::vector<control::storage_item> items{
            control::disk_identity{job.state.disk},
            control::term_and_vote{job.state.term, voteText(job.state.votedFor)}};
    if (job.hasNewValue && job.state.value) {
        items.emplace_back(valueEntry(job.state));
    }
    return items;
}

auto logFailure(const control::storage_error &error) -> void
{
    base::log(base::log_level::Error, "data folder failed", {{"error", error.detail}});
}

//! The files of one folder, opened again after each failure.
class state_file
{
public:
    explicit state_file(std::string folder) : m_folder(std::move(folder)) {}

    //! Nothing if the folder can't be read at present.
    auto load() -> std::optional<durable_state>
    {
        if (!reopen()) {
            return std::nullopt;
        }
        const auto stored = m_storage->load();
        if (stored) {
            return fromStored(*stored);
        }
        logFailure(stored.error());
        m_storage.reset();
        if (stored.error().kind == control::storage_failure::Io) {
            return std::nullopt;
        }
        // What the file confirmed is lost, so this counts as a new disk.
        std::error_code ignored;
        std::filesystem::remove(m_folder + "/log", ignored);
        return durable_state{};
    }

    auto write(const storage_job &job) -> bool
    {
        const bool isFresh = !m_storage;
        if (isFresh && !reopen()) {
            return false;
        }
        const bool isWhole = isFresh || m_written > COMPACT_BYTES;
        const auto done =
                isWhole ? m_storage->replace(toStored(job.state)) : m_storage->sync(itemsOf(job));
        if (!done) {
            logFailure(done.error());
            m_storage.reset();
            return false;
        }
        m_written = isWhole ? 0 : m_written;
        m_written += job.state.value ? job.state.value->content.size() : 0;
        return true;
    }

private:
    auto reopen() -> bool
    {
        m_storage.reset();
        auto opened = control::file_storage::open(m_folder);
        if (!opened) {
            logFailure(opened.error());
            return false;
        }
        m_storage.emplace(std::move(*opened));
        return true;
    }

    std::string m_folder;
    std::optional<control::file_storage> m_storage;
    std::size_t m_written = 0;
};

} // namespace

storage_worker::storage_worker(std::string folder, loaded_function onLoaded,
                               written_function onWritten)
    : m_folder(std::move(folder)), m_onLoaded(std::move(onLoaded)),
      m_onWritten(std::move(onWritten)), m_thread([this] { run(); })
{}

storage_worker::~storage_worker()
{
    {
        const std::lock_guard lock(m_mutex);
        m_isStopping = true;
    }
    m_wake.notify_all();
    m_thread.join();
}

auto storage_worker::write(storage_job job) -> void
{
    {
        const std::lock_guard lock(m_mutex);
        m_job = std::move(job);
    }
    m_wake.notify_all();
}

auto storage_worker::run() -> void
{
    state_file file(m_folder);
    auto loaded = file.load();
    while (!loaded) {
        if (!pause()) {
            return;
        }
        loaded = file.load();
    }
    m_onLoaded(std::move(*loaded));
    while (const auto job = waitForJob()) {
        while (!file.write(*job)) {
            if (!pause()) {
                return;
            }
        }
        m_onWritten(job->ticket);
    }
}

auto storage_worker::waitForJob() -> std::optional<storage_job>
{
    std::unique_lock lock(m_mutex);
    m_wake.wait(lock, [this] { return m_job || m_isStopping; });
    if (m_isStopping) {
        return std::nullopt;
    }
    return std::exchange(m_job, std::nullopt);
}

// Returns false if the worker is to end.
auto storage_worker::pause() -> bool
{
    std::unique_lock lock(m_mutex);
    m_wake.wait_for(lock, RETRY_PAUSE, [this] { return m_isStopping; });
    return !m_isStopping;
}

} // namespace hawthornpick::quorum
