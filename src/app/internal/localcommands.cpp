#include "app/internal/commands.h"

#include "base/errorkind.h"
#include "config/declaration.h"

#include <fstream>
#include <iostream>
#include <iterator>

namespace hawthornpick::app {

namespace {

//! Random bytes in a generated API key.
constexpr std::size_t KEY_BYTES = 32;

auto printErrors(const std::vector<config::diagnostic> &errors) -> void
{
    for (const auto &error : errors) {
        std::cerr << config::toString(error) << "\n";
    }
}

template <typename Settings>
auto loadSettingsFile(const std::string &path,
                      tl::expected<Settings, std::vector<config::diagnostic>> (*parse)(
                              std::string_view fileName, std::string_view text))
        -> std::optional<Settings>
{
    const auto content = readFile(path);
    if (!content) {
        std::cerr << path << ": the file can't be opened\n";
        return std::nullopt;
    }
    auto parsed = parse(path, *content);
    if (!parsed) {
        printErrors(parsed.error());
        return std::nullopt;
    }
    return std::move(*parsed);
}

auto checkFolder(const std::string &folder) -> exit_code
{
    const auto files = config::readDeclarationFolder(folder);
    if (!files) {
        printErrors(files.error());
        return exit_code::InvalidInput;
    }
    const auto configSet = config::parseDeclaration(*files);
    if (!configSet) {
        printErrors(configSet.error());
        return exit_code::InvalidInput;
    }
    std::cout << configSet->organisations.size() << " organisations, " << configSet->keys.size()
              << " keys, " << configSet->services.size() << " services, "
              << configSet->routes.size() << " routes, digest "
              << base::toHex(config::digestOf(*configSet)) << "\n";
    return exit_code::Success;
}

} // namespace

auto readFile(const std::string &path) -> std::optional<std::string>
{
    std::ifstream stream(path, std::ios::binary);
    if (!stream) {
        return std::nullopt;
    }
    return std::string{std::istreambuf_iterator<char>(stream), {}};
}

auto loadSettings(const std::string &path) -> std::optional<config::settings>
{
    return loadSettingsFile(path, config::parseSettings);
}

auto loadMeshSettings(const std::string &path) -> std::optional<config::mesh_settings>
{
    return loadSettingsFile(path, config::parseMeshSettings);
}

auto runCheck(const command_options &options) -> exit_code
{
    if (options.settingsFile.empty() && options.meshSettingsFile.empty()
        && options.folder.empty()) {
        std::cerr << "hawthornpick check: at least one of --settings, --mesh_settings and --folder "
                     "is required\n";
        return exit_code::Usage;
    }
    if (!options.settingsFile.empty() && !loadSettings(options.settingsFile)) {
        return exit_code::InvalidInput;
    }
    if (!options.meshSettingsFile.empty() && !loadMeshSettings(options.meshSettingsFile)) {
        return exit_code::InvalidInput;
    }
    return options.folder.empty() ? exit_code::Success : checkFolder(options.folder);
}

auto runMakeKey(const command_options &options) -> exit_code
{
    if (options.name.empty() || options.organisation.empty()) {
        std::cerr << "hawthornpick make-key: --name and --organisation are required\n";
        return exit_code::Usage;
    }
    const auto key = "hp_" + base::toHex(base::secureRandomBytes(KEY_BYTES));
    std::cout << "; give this key to the organisation; it is not stored anywhere: " << key << "\n"
              << "[key " << options.name << "]\n"
              << "organisation = " << options.organisation << "\n"
              << "sha256 = " << base::toHex(base::sha256(key)) << "\n";
    return exit_code::Success;
}

auto runErrors(const command_options & /*options*/) -> exit_code
{
    std::cout << "| reason | status | outcome | may retry | meaning |\n"
              << "| --- | --- | --- | --- | --- |\n";
    for (const auto &row : base::errorTable()) {
        std::cout << "| `" << row.reason << "` | " << row.httpStatus << " | "
                  << base::outcomeName(row.result) << " | " << (row.mayRetry ? "yes" : "no")
                  << " | " << row.description << " |\n";
    }
    return exit_code::Success;
}

auto runVersion(const command_options & /*options*/) -> exit_code
{
    std::cout << "hawthornpick " << HAWTHORNPICK_VERSION << "\n";
    return exit_code::Success;
}

} // namespace hawthornpick::app
