#pragma once

#include "app/exitcode.h"
#include "app/meshadapter.h"

#include <string>
#include <vector>

namespace hawthornpick::app {

//! Creates the adapter to the platform that the subcommand `mesh` runs on.
using adapter_factory = std::function<mesh_adapter()>;

//! Parses the arguments, runs one subcommand and returns its exit code. Writes to standard output
//! and standard error. Thread safety: call once, from the main thread.
auto runCommandLine(int argumentCount, char **arguments, const adapter_factory &makeAdapter)
        -> exit_code;

} // namespace hawthornpick::app
