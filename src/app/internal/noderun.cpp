#include "app/internal/commands.h"

#include <csignal>
#include <exception>

namespace hawthornpick::app {

auto runNode(base::log_level logLevel, const base::node_id &name,
             const std::function<exit_code()> &run) -> exit_code
{
    base::configureLogging(logLevel, name.str());
    std::signal(SIGPIPE, SIG_IGN);
    try {
        return run();
    } catch (const std::exception &error) {
        base::log(base::log_level::Error, "node can't start", {{"error", error.what()}});
        return exit_code::Failure;
    }
}

} // namespace hawthornpick::app
