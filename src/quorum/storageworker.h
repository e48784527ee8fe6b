#pragma once

#include "control/diskworker.h"
#include "quorum/replica.h"

#include <functional>
#include <memory>
#include <string>

namespace hawthornpick::quorum {

class state_file;

//! Loads and writes the durable state of a replica on a separate thread, because a sync may block
//! for seconds. A failed write is repeated until it succeeds; until then the replica acknowledges
//! nothing that depends on it.
class storage_worker
{
public:
    //! Called on the worker's thread.
    using loaded_function = std::function<void(durable_state state)>;
    using written_function = std::function<void(std::uint64_t revision)>;

    //! Starts the thread, which first loads the state from `folder` and retries until the folder is
    //! readable. A folder with damaged content counts as empty.
    storage_worker(std::string folder, loaded_function onLoaded, written_function onWritten);

    //! Waits for the disk access in progress, then ends the thread. A job whose write has not
    //! succeeded is dropped.
    ~storage_worker();
    storage_worker(const storage_worker &) = delete;
    auto operator=(const storage_worker &) -> storage_worker & = delete;

    //! Starts the write of a state. Precondition: `onWritten` was called for the previous job.
    //! Thread safety: any thread.
    auto write(storage_job job) -> void;

private:
    std::unique_ptr<state_file> m_file;
    // The last member, so that its thread ends before the file is destroyed.
    control::disk_worker<durable_state, storage_job> m_worker;
};

} // namespace hawthornpick::quorum
