#pragma once

#include <filesystem>
#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace hawthornpick::testsupport {

//! A program that a test started. The destructor kills it. Thread safety of all members: one
//! thread.
class child_process
{
public:
    //! Starts `binary`; both output streams are appended to `log`. `variables` ("NAME=value") are
    //! added to the environment. Throws std::system_error.
    child_process(const std::string &binary, const std::vector<std::string> &arguments,
                  const std::filesystem::path &log, std::vector<std::string> variables = {});
    ~child_process();
    child_process(const child_process &) = delete;
    auto operator=(const child_process &) -> child_process & = delete;

    auto signal(int number) const -> void;

    //! True if the process has not ended; does not wait.
    auto isRunning() -> bool;

    //! Largest amount of memory that the process has used so far; 0 if it has ended.
    [[nodiscard]] auto peakMemoryKb() const -> long;

    //! Waits for the end; returns the exit status, or nothing after a signal.
    auto wait() -> std::optional<int>;

private:
    auto takeStatus(int status) -> void;

    pid_t m_id = 0;
    bool m_hasEnded = false;
    std::optional<int> m_exitStatus;
};

} // namespace hawthornpick::testsupport
