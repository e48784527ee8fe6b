#include "tests/support/childprocess.h"

#include <csignal>
#include <fcntl.h>
#include <fstream>
#include <spawn.h>
#include <string>
#include <sys/wait.h>
#include <system_error>
#include <unistd.h>

namespace hawthornpick::testsupport {

child_process::child_process(const std::string &binary, const std::vector<std::string> &arguments,
                             const std::filesystem::path &log, std::vector<std::string> variables)
{
    std::vector<std::string> words{binary};
    words.insert(words.end(), arguments.begin(), arguments.end());
    std::vector<char *> pointers;
    for (auto &word : words) {
        pointers.push_back(word.data());
    }
    pointers.push_back(nullptr);
    std::vector<char *> environment;
    for (auto &variable : variables) {
        environment.push_back(variable.data());
    }
    for (auto **variable = environ; *variable != nullptr; ++variable) {
        environment.push_back(*variable);
    }
    environment.push_back(nullptr);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    for (const int stream : {STDOUT_FILENO, STDERR_FILENO}) {
        posix_spawn_file_actions_addopen(&actions, stream, log.c_str(),
                                         O_WRONLY | O_CREAT | O_APPEND, 0644);
    }
    // Inherited listening sockets would keep the ports of stand-ins open after their end.
    posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
    const int failure = posix_spawn(&m_id, binary.c_str(), &actions, nullptr, pointers.data(),
                                    environment.data());
    posix_spawn_file_actions_destroy(&actions);
    if (failure != 0) {
        throw std::system_error(failure, std::generic_category(), binary);
    }
}

child_process::~child_process()
{
    if (!m_hasEnded) {
        signal(SIGKILL);
        wait();
    }
}

auto child_process::signal(int number) const -> void
{
    if (!m_hasEnded) {
        ::kill(m_id, number);
    }
}

auto child_process::peakMemoryKb() const -> long
{
    const std::string label = "VmHWM:";
    std::ifstream status("/proc/" + std::to_string(m_id) + "/status");
    for (std::string line; std::getline(status, line);) {
        if (line.starts_with(label)) {
            return std::stol(line.substr(label.size()));
        }
    }
    return 0;
}

auto child_process::takeStatus(int status) -> void
{
    m_hasEnded = true;
    if (WIFEXITED(status)) {
        m_exitStatus = WEXITSTATUS(status);
    }
}

auto child_process::isRunning() -> bool
{
    int status = 0;
    if (!m_hasEnded && waitpid(m_id, &status, WNOHANG) == m_id) {
        takeStatus(status);
    }
    return !m_hasEnded;
}

auto child_process::wait() -> std::optional<int>
{
    int status = 0;
    if (!m_hasEnded && waitpid(m_id, &status, 0) == m_id) {
        takeStatus(status);
    }
    return m_exitStatus;
}

} // namespace hawthornpick::testsupport
