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

ABSL_FLAG(std::string, settings, "", "settings file of the node");
ABSL_FLAG(std::string, mesh_settings, "", "settings file of a mesh node");
ABSL_FLAG(std::string, folder, "", "folder with the *.ini files of the configuration");
ABSL_FLAG(std::string, operator_address, "127.0.0.1:7002", "operator address of any node");
ABSL_FLAG(std::string, operator_key_file, "", "file with the operator key");
ABSL_FLAG(std::string, change_id, "", "id of a change; `apply` generates one if it is empty");
ABSL_FLAG(int64_t, base_version, -1, "version that the change is based on; -1 selects the newest");
ABSL_FLAG(std::string, name, "", "name of the new API key");
ABSL_FLAG(std::string, organisation, "", "organisation of the new API key");
ABSL_FLAG(std::string, removed, "", "controller to remove");
ABSL_FLAG(std::string, added, "", "controller to add");
ABSL_FLAG(std::string, domain, "", "failure domain to evacuate");
ABSL_FLAG(bool, end, false, "end the evacuation instead of starting it");
ABSL_FLAG(uint64_t, timeout_ms, 30000, "timeout for a response in milliseconds");

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

auto allCommands(const adapter_factory &makeAdapter) -> std::vector<subcommand>
{
    static const std::vector<std::string_view> operatorFlags{"operator_address",
                                                             "operator_key_file", "timeout_ms"};
    const auto withOperatorFlags = [](std::vector<std::string_view> extra) {
        extra.insert(extra.end(), operatorFlags.begin(), operatorFlags.end());
        return extra;
    };
    return {
            {"serve", "run a node", {"settings"}, runServe},
            {"mesh",
             "run a node of a fleet whose nodes discover each other",
             {"settings"},
             [makeAdapter](const command_options &options) {
                 return runMesh(options, makeAdapter());
             }},
            {"check",
             "validate settings files or a configuration folder",
             {"settings", "mesh_settings", "folder"},
             runCheck},
            {"apply", "apply a folder of files as one configuration",
             withOperatorFlags({"folder", "change_id", "base_version"}), runApply},
            {"evacuate", "send no requests to a failure domain until the order is ended",
             withOperatorFlags({"domain", "end", "change_id"}), runEvacuate},
            {"change", "show the result of a change", withOperatorFlags({"change_id"}), runChange},
            {"status",
             "show the configuration version in force and the state of the replicated log",
             withOperatorFlags({}), runStatus},
            {"members", "show the nodes of the fleet", withOperatorFlags({}), runMembers},
            {"upstreams", "show the upstreams and whether they are ejected", withOperatorFlags({}),
             runUpstreams},
            {"history", "show the accepted configuration versions and their differences",
             withOperatorFlags({}), runHistory},
            {"replace-controller", "replace one controller by another node",
             withOperatorFlags({"removed", "added"}), runReplaceController},
            {"make-key",
             "generate an API key and the section that declares it",
             {"name", "organisation"},
             runMakeKey},
            {"errors", "print the table of error kinds", {}, runErrors},
            {"version", "print the version", {}, runVersion},
    };
}

auto usage(const std::vector<subcommand> &commands) -> std::string
{
    std::string text = "usage: hawthornpick SUBCOMMAND [--FLAG=VALUE ...]\n\nsubcommands:\n";
    for (const auto &command : commands) {
        text += "  " + std::string(command.name) + std::string(20 - command.name.size(), ' ')
                + std::string(command.summary) + "\n";
    }
    return text + "\n`hawthornpick SUBCOMMAND --help` lists the flags.\n";
}

auto commandUsage(const subcommand &command) -> std::string
{
    std::string text = "usage: hawthornpick " + std::string(command.name)
                       + " [--FLAG=VALUE ...]\n  " + std::string(command.summary) + "\n\nflags:\n";
    for (const auto &name : command.flags) {
        const auto *flag = absl::FindCommandLineFlag({name.data(), name.size()});
        text += "  --" + std::string(name) + "  " + flag->Help() + " (default: \""
                + flag->DefaultValue() + "\")\n";
    }
    return text;
}

auto reportUsageError(const std::string &message, const std::vector<subcommand> &commands)
        -> exit_code
{
    std::cerr << "hawthornpick: " << message << "\n" << usage(commands);
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
    options.domain = absl::GetFlag(FLAGS_domain);
    options.end = absl::GetFlag(FLAGS_end);
    options.timeoutMs = absl::GetFlag(FLAGS_timeout_ms);
    return options;
}

} // namespace

auto runCommandLine(int argumentCount, char **arguments, const adapter_factory &makeAdapter)
        -> exit_code
{
    const auto commands = allCommands(makeAdapter);
    if (argumentCount < 2) {
        return reportUsageError("a subcommand is missing", commands);
    }
    const std::string_view name = arguments[1];
    if (name == "--help" || name == "-h" || name == "help") {
        std::cout << usage(commands);
        return exit_code::Success;
    }
    if (name == "--version") {
        return runVersion({});
    }
    const auto command =
            std::find_if(commands.begin(), commands.end(),
                         [name](const subcommand &entry) { return entry.name == name; });
    if (command == commands.end()) {
        return reportUsageError("`" + std::string(name) + "` is not a subcommand", commands);
    }
    std::vector<char *> flagArguments{arguments[0]};
    for (int i = 2; i < argumentCount; ++i) {
        const std::string_view argument = arguments[i];
        if (argument == "--help") {
            std::cout << commandUsage(*command);
            return exit_code::Success;
        }
        const auto flag = flagName(argument);
        const bool isKnownFlag = std::find(command->flags.begin(), command->flags.end(), flag)
                                 != command->flags.end();
        if (argument.starts_with('-') && !isKnownFlag) {
            return reportUsageError("`" + std::string(argument) + "` is not a flag of "
                                            + std::string(name),
                                    commands);
        }
        flagArguments.push_back(arguments[i]);
    }
    const auto positional =
            absl::ParseCommandLine(static_cast<int>(flagArguments.size()), flagArguments.data());
    if (positional.size() > 1) {
        return reportUsageError("unexpected argument `" + std::string(positional[1])
                                        + "`; subcommands accept only flags",
                                commands);
    }
    return command->run(currentOptions());
}

} // namespace hawthornpick::app
