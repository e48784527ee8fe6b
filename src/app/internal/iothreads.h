#pragma once

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <memory>
#include <thread>
#include <vector>

namespace hawthornpick::app {

//! A fixed number of threads, each of which runs its own io_context.
class io_threads
{
public:
    //! Precondition: `count` > 0.
    explicit io_threads(std::size_t count);

    //! Stops and joins all threads.
    ~io_threads();
    io_threads(const io_threads &) = delete;
    auto operator=(const io_threads &) -> io_threads & = delete;

    //! Returns the contexts, always in the same order. Thread safety: any thread.
    [[nodiscard]] auto contexts() const -> std::vector<boost::asio::io_context *>;

    //! Starts the threads. Call once.
    auto start() -> void;

    //! Stops and joins all threads; pending handlers are not run. Idempotent.
    //! Thread safety: not on one of the threads.
    auto stop() -> void;

private:
    using work_guard = boost::asio::executor_work_guard<boost::asio::io_context::executor_type>;

    std::vector<std::unique_ptr<boost::asio::io_context>> m_contexts;
    std::vector<work_guard> m_workGuards;
    std::vector<std::thread> m_threads;
};

} // namespace hawthornpick::app
