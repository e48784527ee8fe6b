#pragma once

#include "app/exitcode.h"

#include <string>
#include <vector>

namespace hawthornpick::app {

//! Parses the arguments and runs one subcommand; writes to standard output and standard error.
//! Thread safety: call once, from the main thread.
auto runCommandLine(int argumentCount, char **arguments) -> exit_code;

} // namespace hawthornpick::app
