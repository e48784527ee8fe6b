#include "config/meshsettings.h"

#include "config/internal/sectionreader.h"

#include <algorithm>
#include <map>
#include <set>
#include <sstream>

namespace hawthornpick::config {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t MIN_SECRET_BYTES = 16;

auto readNode(section_reader &reader, mesh_settings &out) -> void
{
    out.name = base::node_id(reader.requiredName("name"));
    out.region = base::region_id(reader.requiredName("region"));
    out.failureDomain = base::failure_domain_id(reader.requiredName("failure_domain"));
    out.address = reader.requiredText("address");
    if (!out.address.empty() && !membership::parseEndpoint(out.address + ":1")) {
        reader.reject("address",
                      "`" + out.address
                              + "` is not an IP address without a port, such as 192.0.2.1");
    }
    reader.requiredText("peer_port");
    out.peerPort = static_cast<std::uint16_t>(reader.wholeNumber("peer_port", 0, 1, 65535));
    out.dataFolder = reader.text("data_folder").value_or("");
    out.stopTime = reader.duration("stop_time", out.stopTime, 0ms, 1h);
    out.logLevel = reader.logLevel();
}

auto readListen(section_reader &reader, mesh_settings &out) -> void
{
    out.controlAddress = reader.endpoint("control", true);
    out.callerAddress = reader.endpoint("callers", false);
    out.readyAddress = reader.endpoint("ready", false);
    out.statusAddress = reader.endpoint("status", false);
    out.peerListenAddress = reader.endpoint("peers", false);
    out.maxCallerConnections = static_cast<std::uint32_t>(
            reader.wholeNumber("max_caller_connections", out.maxCallerConnections, 1, 100'000));
}

auto readUpstream(section_reader &reader, mesh_settings &out) -> void
{
    out.service = base::service_id(reader.text("service").value_or(""));
    out.upstreamAddress = reader.endpoint("address", false);
    out.heartbeat = reader.duration("heartbeat", out.heartbeat, 10ms, 10min);
    out.coldOverage = reader.decimal("cold_overage", out.coldOverage, 0.0, 100.0);
}

auto readFleet(section_reader &reader, mesh_settings &out) -> void
{
    for (const auto &entry : reader.repeatedEntries("seed")) {
        const auto seed = membership::parseEndpoint(entry.value);
        if (!seed) {
            reader.reject("seed",
                          "`" + entry.value
                                  + "` is not an IP address with a port, such as 192.0.2.1:7000");
            continue;
        }
        out.seeds.push_back(seed->address);
    }
    const auto firstStartIndex = reader.choice("first_start", {"false", "true"}, 0);
    out.isFirstStart = firstStartIndex == 1;
    out.fleetSecret = reader.requiredText("secret");
    if (!out.fleetSecret.empty() && out.fleetSecret.size() < MIN_SECRET_BYTES) {
        reader.reject("secret", "value has " + std::to_string(out.fleetSecret.size())
                                        + " bytes; at least " + std::to_string(MIN_SECRET_BYTES)
                                        + " are required");
    }
}

auto readRepeats(section_reader &reader, mesh_settings &out) -> void
{
    out.repeatShare = reader.decimal("share", out.repeatShare, 0.0, 10.0);
    out.repeatSlack = reader.decimal("slack", out.repeatSlack, 0.0, 1'000'000.0);
    out.repeatWindow = reader.duration("window", out.repeatWindow, 100ms, 1h);
}

// Each entry `domain = NAME:REGION` names a failure domain of the fleet.
auto readTopology(section_reader &reader, mesh_settings &out) -> void
{
    for (const auto &entry : reader.repeatedEntries("domain")) {
        const auto colon = std::min(entry.value.find(':'), entry.value.size());
        const auto domain = entry.value.substr(0, colon);
        const auto region = entry.value.substr(std::min(colon + 1, entry.value.size()));
        if (!isName(domain) || !isName(region)) {
            reader.reject("domain", "`" + entry.value + "` is not of the form NAME:REGION");
            continue;
        }
        out.failureDomains.emplace(domain, region);
    }
}

auto readLoad(section_reader &reader, mesh_settings &out) -> void
{
    out.order = reader.choice("order", {"urgency", "cost"}, 0) == 1 ? waiting_order::Cost
                                                                    : waiting_order::Urgency;
    out.followsRemoteRoom = reader.flag("follow_remote_room", out.followsRemoteRoom);
}

auto readPlatform(section_reader &reader, mesh_settings &out) -> void
{
    std::istringstream names(reader.text("options").value_or(""));
    for (std::string name; std::getline(names, name, ',');) {
        out.platformOptions.push_back(name);
    }
}

using read_function = void (*)(section_reader &, mesh_settings &);

auto sectionReaders() -> const std::map<std::string, read_function> &
{
    static const std::map<std::string, read_function> readers{
            {"node", readNode},   {"listen", readListen},    {"upstream", readUpstream},
            {"fleet", readFleet}, {"repeats", readRepeats},  {"topology", readTopology},
            {"load", readLoad},   {"platform", readPlatform}};
    return readers;
}

} // namespace

auto parseMeshSettings(std::string_view fileName, std::string_view text)
        -> tl::expected<mesh_settings, std::vector<diagnostic>>
{
    std::vector<diagnostic> errors;
    auto document = parseIni(fileName, text, errors);
    mesh_settings out;
    std::set<std::string> parsedSections;
    for (auto &section : document.sections) {
        std::erase_if(section.entries, [](const ini_entry &entry) { return entry.value.empty(); });
        const auto position = sectionReaders().find(section.name);
        if (position == sectionReaders().end() || !parsedSections.insert(section.name).second) {
            errors.push_back({document.file,
                              section.line,
                              section.name,
                              {},
                              "section is repeated or unknown; allowed, once each, are [node], "
                              "[listen], [upstream], [fleet], [repeats], [topology], [load] and "
                              "[platform]"});
            continue;
        }
        section_reader reader(document.file, section, errors);
        position->second(reader, out);
        reader.rejectUnknownKeys();
    }
    for (const auto *name : {"node", "listen", "fleet"}) {
        if (!parsedSections.contains(name)) {
            errors.push_back({document.file, 0, name, {}, "section is missing; it is required"});
        }
    }
    if (!errors.empty()) {
        return tl::unexpected(std::move(errors));
    }
    if (out.peerListenAddress.address.empty()) {
        out.peerListenAddress = {out.address, out.peerPort};
    }
    return out;
}

} // namespace hawthornpick::config
