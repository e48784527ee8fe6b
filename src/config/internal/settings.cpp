#include "config/settings.h"

#include "config/internal/sectionreader.h"

#include <algorithm>
#include <set>

namespace hawthornpick::config {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t MIN_SECRET_BYTES = 16;

auto parseNamedNode(const ini_entry &entry, section_reader &reader) -> named_node
{
    const auto separator = entry.value.find('@');
    const auto id = entry.value.substr(0, separator);
    const auto address = separator == std::string::npos
                                 ? std::nullopt
                                 : membership::parseEndpoint(entry.value.substr(separator + 1));
    if (!isName(id) || !address) {
        reader.reject(
                entry.key,
                "`" + entry.value
                        + "` is not of the form NODE@ADDRESS:PORT, such as node-1@192.0.2.1:7000");
        return {};
    }
    return {base::node_id(id), *address};
}

auto readNamedNodes(std::string_view key, section_reader &reader) -> std::vector<named_node>
{
    std::vector<named_node> nodes;
    std::set<base::node_id> nodeIds;
    for (const auto &entry : reader.repeatedEntries(key)) {
        auto item = parseNamedNode(entry, reader);
        if (!item.id.empty() && !nodeIds.insert(item.id).second) {
            reader.reject(key, "node `" + item.id.str()
                                       + "` is listed more than once; list each node once");
        }
        nodes.push_back(std::move(item));
    }
    return nodes;
}

auto readSecret(std::string_view key, bool required, section_reader &reader) -> std::string
{
    auto value = required ? reader.requiredText(key) : reader.text(key).value_or("");
    if (!value.empty() && value.size() < MIN_SECRET_BYTES) {
        reader.reject(key, "value has " + std::to_string(value.size()) + " bytes; at least "
                                   + std::to_string(MIN_SECRET_BYTES) + " are required");
    }
    return value;
}

auto readNode(section_reader &reader, settings &out) -> void
{
    out.node = base::node_id(reader.requiredName("name"));
    out.host = reader.requiredName("host");
    out.region = base::region_id(reader.requiredName("region"));
    out.failureDomain = base::failure_domain_id(reader.requiredName("failure_domain"));
    out.dataFolder = reader.text("data_folder").value_or("");
    out.ioThreads =
            static_cast<std::uint32_t>(reader.wholeNumber("io_threads", out.ioThreads, 1, 64));
    out.maxCallerConnections = static_cast<std::uint32_t>(
            reader.wholeNumber("max_caller_connections", out.maxCallerConnections, 1, 100'000));
    out.regionLinkBytesPerSecond = reader.wholeNumber(
            "region_link_bytes_per_second", out.regionLinkBytesPerSecond, 1000, 1ULL << 40U);
    out.shutdownLimit = reader.wholeMilliseconds("shutdown_limit_ms", out.shutdownLimit, 0ms, 1h);
    out.profile = static_cast<policy_profile>(
            reader.choice("profile", {"balanced", "fast-detection", "few-false-ejections"}, 0));
    out.logLevel = reader.logLevel();
}

auto readListen(section_reader &reader, settings &out) -> void
{
    out.callerAddress = reader.endpoint("callers", true);
    out.peerAddress = reader.endpoint("peers", true);
    out.advertisedPeerAddress = reader.endpoint("advertised_peers", false);
    if (out.advertisedPeerAddress.address.empty()) {
        out.advertisedPeerAddress = out.peerAddress;
    }
    out.announceAddress = reader.endpoint("announce", true);
    out.operatorAddress = reader.endpoint("operators", true);
    out.statusAddress = reader.endpoint("platform", true);
}

auto readFleet(section_reader &reader, settings &out) -> void
{
    out.seeds = readNamedNodes("seed", reader);
    out.controllers = readNamedNodes("controller", reader);
    out.fleetSecret = readSecret("secret", true, reader);
    out.operatorKey = readSecret("operator_key", false, reader);
    if (out.controllers.empty()) {
        reader.reject("controller", "no controller is listed; at least one `controller = "
                                    "NODE@ADDRESS:PORT` is required");
    }
}

auto readWitnesses(const std::string &region, section_reader &reader, settings &out) -> void
{
    if (!isName(region)) {
        reader.reject(
                "witness",
                "`" + region
                        + "` is not a valid region name in [witnesses REGION]; allowed are 1 to "
                          "64 letters, digits, '-', '_' and '.'");
        return;
    }
    out.witnesses[base::region_id(region)] = readNamedNodes("witness", reader);
}

auto checkRoles(const std::string &file, const settings &out, std::vector<diagnostic> &errors)
        -> void
{
    const auto isController =
            std::any_of(out.controllers.begin(), out.controllers.end(),
                        [&out](const named_node &item) { return item.id == out.node; });
    if (isController && out.dataFolder.empty()) {
        errors.push_back({file, 0, "node", "data_folder",
                          "node `" + out.node.str()
                                  + "` is listed as a controller, which requires a data folder"});
    }
    const auto ownWitnesses = out.witnesses.find(out.region);
    if (!out.region.empty()
        && (ownWitnesses == out.witnesses.end() || ownWitnesses->second.empty())) {
        errors.push_back({file, 0, "witnesses " + out.region.str(), "witness",
                          "region `" + out.region.str()
                                  + "` of this node has no witness; at least one `witness = "
                                    "NODE@ADDRESS:PORT` is required in this section"});
    }
}

} // namespace

auto parseSettings(std::string_view fileName, std::string_view text)
        -> tl::expected<settings, std::vector<diagnostic>>
{
    std::vector<diagnostic> errors;
    const auto document = parseIni(fileName, text, errors);
    settings out;
    std::set<std::string> parsedSections;
    for (const auto &section : document.sections) {
        if (!parsedSections.insert(section.name).second) {
            errors.push_back({document.file,
                              section.line,
                              section.name,
                              {},
                              "section is repeated; each section may appear only once"});
            continue;
        }
        section_reader reader(document.file, section, errors);
        if (section.name == "node") {
            readNode(reader, out);
        } else if (section.name == "listen") {
            readListen(reader, out);
        } else if (section.name == "fleet") {
            readFleet(reader, out);
        } else if (section.name.starts_with("witnesses ")) {
            readWitnesses(section.name.substr(10), reader, out);
        } else {
            errors.push_back({document.file,
                              section.line,
                              section.name,
                              {},
                              "section is unknown; allowed are [node], [listen], [fleet] and "
                              "[witnesses REGION]"});
            continue;
        }
        reader.rejectUnknownKeys();
    }
    for (const auto *name : {"node", "listen", "fleet"}) {
        if (!parsedSections.contains(name)) {
            errors.push_back({document.file, 0, name, {}, "section is missing; it is required"});
        }
    }
    if (errors.empty()) {
        checkRoles(document.file, out, errors);
    }
    if (!errors.empty()) {
        return tl::unexpected(std::move(errors));
    }
    return out;
}

} // namespace hawthornpick::config
