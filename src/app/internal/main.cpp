#include "app/commandline.h"

auto main(int argumentCount, char **arguments) -> int
{
    return static_cast<int>(hawthornpick::app::runCommandLine(argumentCount, arguments));
}
