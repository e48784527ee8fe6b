#pragma once

#include "base/time.h"

#include <condition_variable>
#include <functional>
#include <mutex>
#include <optional>
#include <thread>
#include <utility>

namespace hawthornpick::control {

//! Accesses to one file, which a `disk_worker` makes on its thread. None may be empty.
template <typename State, typename Job>
struct disk_operations
{
    //! Returns nothing if the file can't be read; it is called again then.
    std::function<std::optional<State>()> load;
    //! Returns false if the write failed; it is called again then.
    std::function<bool(const Job &job)> write;
    std::function<void(State state)> onLoaded;
    std::function<void(const Job &job)> onWritten;
};

//! Loads a state and writes jobs on a separate thread, because a sync may block for seconds. A
//! failed access is repeated until it succeeds.
template <typename State, typename Job>
class disk_worker
{
public:
    //! Delay before the next attempt after a failed disk access.
    static constexpr base::milliseconds RETRY_DELAY{250};

    //! Starts the thread, which first loads the state.
    explicit disk_worker(disk_operations<State, Job> operations)
        : m_operations(std::move(operations)), m_thread([this] { run(); })
    {}

    //! Waits for the disk access in progress, then ends the thread. A job whose write has not
    //! succeeded is dropped.
    ~disk_worker()
    {
        {
            const std::lock_guard lock(m_mutex);
            m_isStopping = true;
        }
        m_wake.notify_all();
        m_thread.join();
    }
    disk_worker(const disk_worker &) = delete;
    auto operator=(const disk_worker &) -> disk_worker & = delete;

    //! Starts the write of a job. Precondition: `onWritten` was called for the previous job.
    //! Thread safety: any thread.
    auto write(Job job) -> void
    {
        {
            const std::lock_guard lock(m_mutex);
            m_job = std::move(job);
        }
        m_wake.notify_all();
    }

private:
    auto run() -> void
    {
        auto loaded = m_operations.load();
        while (!loaded) {
            if (!waitBeforeRetry()) {
                return;
            }
            loaded = m_operations.load();
        }
        m_operations.onLoaded(std::move(*loaded));
        while (const auto job = waitForJob()) {
            while (!m_operations.write(*job)) {
                if (!waitBeforeRetry()) {
                    return;
                }
            }
            m_operations.onWritten(*job);
        }
    }

    auto waitForJob() -> std::optional<Job>
    {
        std::unique_lock lock(m_mutex);
        m_wake.wait(lock, [this] { return m_job || m_isStopping; });
        if (m_isStopping) {
            return std::nullopt;
        }
        return std::exchange(m_job, std::nullopt);
    }

    // Waits for `RETRY_DELAY`; returns false if the worker is stopping.
    auto waitBeforeRetry() -> bool
    {
        std::unique_lock lock(m_mutex);
        m_wake.wait_for(lock, RETRY_DELAY, [this] { return m_isStopping; });
        return !m_isStopping;
    }

    disk_operations<State, Job> m_operations;
    std::mutex m_mutex;
    std::condition_variable m_wake;
    std::optional<Job> m_job;
    bool m_isStopping = false;
    std::thread m_thread;
};

} // namespace hawthornpick::control
