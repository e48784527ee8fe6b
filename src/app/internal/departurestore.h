#pragma once

#include "control/diskworker.h"
#include "control/storage.h"
#include "fleet/departurejournal.h"

#include <functional>
#include <optional>
#include <string>

namespace hawthornpick::app {

//! File of departures of a hub, accessed on a separate thread.
class departure_store
{
public:
    //! Starts the thread, which first loads the file from `folder`. The functions are called on
    //! that thread; a damaged file counts as empty.
    departure_store(std::string folder, std::function<void(std::string content)> onLoaded,
                    std::function<void(std::uint64_t revision)> onWritten);

    //! Replaces the content of the file. Precondition: `onWritten` was called for the previous
    //! write. Thread safety: any thread.
    auto write(fleet::departure_write content) -> void { m_worker.write(std::move(content)); }

private:
    auto load() -> std::optional<std::string>;
    auto replace(const fleet::departure_write &content) -> bool;
    auto reopen() -> bool;

    std::string m_folder;
    std::optional<control::file_storage> m_storage;
    // The last member, so that its thread ends before the other members are destroyed.
    control::disk_worker<std::string, fleet::departure_write> m_worker;
};

} // namespace hawthornpick::app
