#include "app/internal/commands.h"

namespace hawthornpick::app {

auto runServe(const command_options &options) -> exit_code
{
    const auto settings = loadSettings(options.settingsFile);
    if (!settings) {
        return exit_code::InvalidInput;
    }
    return exit_code::Failure;
}

} // namespace hawthornpick::app
