#pragma once

#include "app/exitcode.h"
#include "app/meshadapter.h"
#include "config/settings.h"

#include <functional>
#include <optional>
#include <string>

namespace hawthornpick::app {

//! Values of the command line flags. A subcommand uses only the flags that it accepts.
struct command_options
{
    std::string settingsFile;
    std::string meshSettingsFile;
    std::string folder;
    std::string operatorAddress;
    std::string operatorKeyFile;
    std::string changeId;
    std::optional<std::uint64_t> baseVersion;
    std::string name;
    std::string organisation;
    std::string removed;
    std::string added;
    std::string domain;
    bool end = false;
    std::uint64_t timeoutMs = 30000;

    auto operator<=>(const command_options &) const = default;
};

//! Run one subcommand each and return the exit code of the program. Thread safety of all: main
//! thread.
auto runServe(const command_options &options) -> exit_code;
auto runMesh(const command_options &options, mesh_adapter adapter) -> exit_code;
auto runCheck(const command_options &options) -> exit_code;
auto runApply(const command_options &options) -> exit_code;
auto runEvacuate(const command_options &options) -> exit_code;
auto runChange(const command_options &options) -> exit_code;
auto runStatus(const command_options &options) -> exit_code;
auto runMembers(const command_options &options) -> exit_code;
auto runUpstreams(const command_options &options) -> exit_code;
auto runHistory(const command_options &options) -> exit_code;
auto runReplaceController(const command_options &options) -> exit_code;
auto runMakeKey(const command_options &options) -> exit_code;
auto runErrors(const command_options &options) -> exit_code;
auto runVersion(const command_options &options) -> exit_code;

//! Configures the log, ignores SIGPIPE and calls `run`. An exception from `run` is logged and
//! returns `Failure`.
auto runNode(base::log_level logLevel, const base::node_id &name,
             const std::function<exit_code()> &run) -> exit_code;

//! Returns the content of a file; nothing if it can't be opened.
auto readFile(const std::string &path) -> std::optional<std::string>;

//! Reads and parses a settings file. Prints errors to standard error and returns nothing if there
//! are any.
auto loadSettings(const std::string &path) -> std::optional<config::settings>;
auto loadMeshSettings(const std::string &path) -> std::optional<config::mesh_settings>;

} // namespace hawthornpick::app
