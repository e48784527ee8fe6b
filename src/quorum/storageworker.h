#pragma once

#include "quorum/replica.h"

#include <condition_variable>
#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <thread>

namespace hawthornpick::quorum {

//! Writes the state of a replica on a thread of its own, because a sync may hang for seconds. A
//! failed write is repeated until it succeeds; the replica answers nothing meanwhile.
class storage_worker
{
public:
    //! Called on the worker's thread.
    using loaded_function = std::function<void(durable_state state)>;
    using written_function = std::function<void(std::uint64_t ticket)>;

    //! Starts the thread, which reads the folder first. A damaged folder counts as empty.
    storage_worker(std::string folder, loaded_function onLoaded, written_function onWritten);

    //! Ends the thread after the write under way.
    ~storage_worker();
    storage_worker(const storage_worker &) = delete;
    auto operator=(const storage_worker &) -> storage_worker & = delete;

    //! Writes a state. Precondition: no other write is under way. Thread safety: any thread.
    auto write(storage_job job) -> void;

private:
    auto run() -> void;
    auto waitForJob() -> std::optional<storage_job>;
    auto pause() -> bool;

    std::string m_folder;
    loaded_function m_onLoaded;
    written_function m_onWritten;
    std::mutex m_mutex;
    std::condition_variable m_wake;
    std::optional<storage_job> m_job;
    bool m_isStopping = false;
    std::thread m_thread;
};

} // namespace hawthornpick::quorum
