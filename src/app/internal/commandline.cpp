#include "app/commandline.h"

#include "app/internal/commands.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/reflection.h>
#include <algorithm>
#include <array>
#include <functional>
#include <iostream>
#include <string_view>

ABSL_FLAG(std::string, settings, "", "settings file of the process");
ABSL_FLAG(std::string, mesh_settings, "", "settings file of a mesh process");
ABSL_FLAG(std::string, folder, "", "folder with the declarative *.ini files");
ABSL_FLAG(std::string, operator_address, "127.0.0.1:7002", "operator address of any node");
ABSL_FLAG(std::string, operator_key_file, "", "file with the operator key");
ABSL_FLAG(std::string, change_id, "", "id of a change; `apply` makes one if it is empty");
ABSL_FLAG(int64_t, base_version, -1, "version that the change is based on; -1 asks for the newest");
ABSL_FLAG(std::string, name, "", "name of the new key");
ABSL_FLAG(std::string, organisation, "", "organisation of the new key");
ABSL_FLAG(std::string, removed, "", "controller to remove");
ABSL_FLAG(std::string, added, "", "controller to add");
ABSL_FLAG(uint64_t, timeout_ms, 30000, "longest wait for an answer in milliseconds");

namespace hawthornpick::app {

namespace {

using run_function = std::function<exit_code(const command_options &)>;

struct subcommand
{
    std::string_view name;
    std::string_view summary;
    std::vector<std::string_view> flags;
    run_function run;
};

auto subcommands(const adapter_factory &makeAdapter) -> std::vector<subcommand>
{
    static const std::vector<std::string_view> operatorFlags{"operator_address",
                                                             "operator_key_file", "timeout_ms"};
    const auto withOperator = [](std::vector<std::string_view> extra) {
        extra.insert(extra.end(), operatorFlags.begin(), operatorFlags.end());
        return extra;
    };
    return {
            {"serve", "run a process", {"settings"}, runServe},
            {"mesh",
             "run a process of a fleet whose nodes discover each other",
             {"settings"},
             [makeAdapter](const command_options &options) {
                 return runMesh(options, makeAdapter());
             }},
            {"check",
             "validate a settings file or a folder",
             {"settings", "mesh_settings", "folder"},
             runCheck},
            {"apply", "apply a folder of files as one set",
             withOperator({"folder", "change_id", "base_version"}), runApply},
            {"change", "tell the result of a change", withOperator({"change_id"}), runChange},
            {"status", "show the version in force and the state of the log", withOperator({}),
             runStatus},
            {"members", "show the nodes of the fleet", withOperator({}), runMembers},
            {"upstreams", "show the upstreams and which are ejected", withOperator({}),
             runUpstreams},
            {"history", "show the accepted versions and their differences", withOperator({}),
             runHistory},
            {"replace-controller", "replace one controller by another node",
             withOperator({"removed", "added"}), runReplaceController},
            {"make-key",
             "make a key and the section that declares it",
             {"name", "organisation"},
             runMakeKey},
            {"errors", "print the table of error kinds", {}, runErrors},
            {"version", "print the version", {}, runVersion},
    };
}

auto usage(const std::vector<subcommand> &table) -> std::string
{
    std::string text = "usage: hawthornpick SUBCOMMAND [--FLAG=VALUE ...]\n\nsubcommands:\n";
    for (const auto &item : table) {
        text += "  " + std::string(item.name) + std::string(20 - item.name.size(), ' ')
                + std::string(item.summary) + "\n";
    }
    return text + "\n`hawthornpick SUBCOMMAND --help` lists the flags.\n";
}

auto usageOf(const subcommand &item) -> std::string
{
    std::string text = "usage: hawthornpick " + std::string(item.name) + " [--FLAG=VALUE ...]\n  "
                       + std::string(item.summary) + "\n\nflags:\n";
    for (const auto &name : item.flags) {
        const auto *flag = absl::FindCommandLineFlag({name.data(), name.size()});
        text += "  --" + std::string(name) + "  " + flag->Help() + " (default: \""
                + flag->DefaultValue() + "\")\n";
    }
    return text;
}

auto fail(const std::string &message, const std::vector<subcommand> &table) -> exit_code
{
    std::cerr << "hawthornpick: " << message << "\n" << usage(table);
    return exit_code::Usage;
}

auto flagName(std::string_view argument) -> std::string_view
{
    const auto start = argument.find_first_not_of('-');
    if (start == std::string_view::npos) {
        return {};
    }
    return argument.substr(start, argument.find('=') - start);
}

auto currentOptions() -> command_options
{
    command_options options;
    options.settingsFile = absl::GetFlag(FLAGS_settings);
    options.meshSettingsFile = absl::GetFlag(FLAGS_mesh_settings);
    options.folder = absl::GetFlag(FLAGS_folder);
    options.operatorAddress = absl::GetFlag(FLAGS_operator_address);
    options.operatorKeyFile = absl::GetFlag(FLAGS_operator_key_file);
    options.changeId = absl::GetFlag(FLAGS_change_id);
    if (absl::GetFlag(FLAGS_base_version) >= 0) {
        options.baseVersion = static_cast<std::uint64_t>(absl::GetFlag(FLAGS_base_version));
    }
    options.name = absl::GetFlag(FLAGS_name);
    options.organisation = absl::GetFlag(FLAGS_organisation);
    options.removed = absl::GetFlag(FLAGS_removed);
    options.added = absl::GetFlag(FLAGS_added);
    options.timeoutMs = absl::GetFlag(FLAGS_timeout_ms);
    return options;
}

} // namespace

auto runCommandLine(int argumentCount, char **arguments, const adapter_factory &makeAdapter)
        -> exit_code
{
    const auto table = subcommands(makeAdapter);
    if (argumentCount < 2) {
        return fail("a subcommand is missing", table);
    }
    const std::string_view name = arguments[1];
    if (name == "--help" || name == "-h" || name == "help") {
        std::cout << usage(table);
        return exit_code::Success;
    }
    if (name == "--version") {
        return runVersion({});
    }
    const auto item = std::find_if(table.begin(), table.end(),
                                   [name](const subcommand &entry) { return entry.name == name; });
    if (item == table.end()) {
        return fail("`" + std::string(name) + "` is not a subcommand", table);
    }
    std::vector<char *> rest{arguments[0]};
    for (int i = 2; i < argumentCount; ++i) {
        const std::string_view argument = arguments[i];
        if (argument == "--help") {
            std::cout << usageOf(*item);
            return exit_code::Success;
        }
        const auto flag = flagName(argument);
        const bool known =
                std::find(item->flags.begin(), item->flags.end(), flag) != item->flags.end();
        if (argument.starts_with('-') && !known) {
            return fail("`" + std::string(argument) + "` is not a flag of " + std::string(name),
                        table);
        }
        rest.push_back(arguments[i]);
    }
    const auto positional = absl::ParseCommandLine(static_cast<int>(rest.size()), rest.data());
    if (positional.size() > 1) {
        return fail("argument `" + std::string(positional[1]) + "` is not expected", table);
    }
    return item->run(currentOptions());
}

} // namespace hawthornpick::app
