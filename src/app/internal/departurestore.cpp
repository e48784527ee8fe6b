#include "app/internal/departurestore.h"

#include "base/log.h"

#include <filesystem>

namespace hawthornpick::app {

namespace {

auto logStorageError(const control::storage_error &error) -> void
{
    base::log(base::log_level::Error, "file of departures failed", {{"error", error.detail}});
}

} // namespace

departure_store::departure_store(std::string folder,
                                 std::function<void(std::string content)> onLoaded,
                                 std::function<void(std::uint64_t revision)> onWritten)
    : m_folder(std::move(folder)),
      m_worker({[this] { return load(); },
                [this](const fleet::departure_write &content) { return replace(content); },
                std::move(onLoaded),
                [onWritten = std::move(onWritten)](const fleet::departure_write &content) {
                    onWritten(content.revision);
                }})
{}

auto departure_store::load() -> std::optional<std::string>
{
    if (!reopen()) {
        return std::nullopt;
    }
    auto stored = m_storage->load();
    if (stored) {
        return std::move(stored->snapshot);
    }
    logStorageError(stored.error());
    m_storage.reset();
    return stored.error().kind == control::storage_failure::Io ? std::nullopt
                                                               : std::optional(std::string());
}

auto departure_store::replace(const fleet::departure_write &content) -> bool
{
    if (!m_storage && !reopen()) {
        return false;
    }
    control::stored_state state;
    state.snapshot = content.content;
    if (const auto replaced = m_storage->replace(state); !replaced) {
        logStorageError(replaced.error());
        m_storage.reset();
        return false;
    }
    return true;
}

auto departure_store::reopen() -> bool
{
    m_storage.reset();
    std::error_code ignored;
    std::filesystem::create_directories(m_folder, ignored);
    auto opened = control::file_storage::open(m_folder);
    if (!opened) {
        logStorageError(opened.error());
        return false;
    }
    m_storage.emplace(std::move(*opened));
    return true;
}

} // namespace hawthornpick::app
