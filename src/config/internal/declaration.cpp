#include "config/declaration.h"

#include "config/internal/sectionreader.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>
#include <map>
#include <sstream>

namespace hawthornpick::config {

namespace {

using namespace std::chrono_literals;

//! Maximum timeout, deadline and target latency in a declarative file.
constexpr base::milliseconds MAX_DECLARED_TIMEOUT = 5min;
constexpr base::milliseconds MAX_RECORD_LIFE = 24h;
constexpr double MAX_REQUESTS_PER_SECOND = 1'000'000.0;
constexpr std::uint64_t MAX_BURST = 1'000'000;
constexpr std::uint64_t MAX_PRIORITY = 1000;
constexpr std::uint64_t MAX_SPLIT_WEIGHT = 1'000'000;
//! Maximum deadline of a route in any set, whether it was read from files or not.
constexpr base::milliseconds MAX_ROUTE_DEADLINE = 10min;

struct source_location
{
    std::string file;
    int line = 0;
    std::string section;
};

//! Collects the items of all files and the file and line at which each is declared.
class declaration_parser
{
public:
    auto parseFile(const declaration_file &file) -> void
    {
        const auto document = parseIni(file.name, file.text, m_errors);
        for (const auto &section : document.sections) {
            parseSection(document.file, section);
        }
    }

    auto finish() -> declaration_result
    {
        sortById(m_set.organisations);
        sortById(m_set.keys);
        sortById(m_set.services);
        sortById(m_set.routes);
        sortById(m_set.evacuations);
        for (auto item : validate(m_set)) {
            addLocation(item);
            m_errors.push_back(std::move(item));
        }
        if (!m_errors.empty()) {
            return tl::unexpected(std::move(m_errors));
        }
        return std::move(m_set);
    }

private:
    template <typename Item>
    static auto sortById(std::vector<Item> &items) -> void
    {
        std::sort(items.begin(), items.end(),
                  [](const Item &left, const Item &right) { return left.id < right.id; });
    }

    auto addLocation(diagnostic &item) const -> void
    {
        const auto position = m_sectionLocations.find(item.section);
        if (position != m_sectionLocations.end()) {
            item.file = position->second.file;
            item.line = position->second.line;
        }
    }

    auto parseSection(const std::string &file, const ini_section &section) -> void
    {
        const auto space = section.name.find(' ');
        const auto kind = section.name.substr(0, space);
        const auto id = space == std::string::npos ? "" : section.name.substr(space + 1);
        if (!isKnownKind(kind)) {
            m_errors.push_back(
                    {file,
                     section.line,
                     section.name,
                     {},
                     "section is unknown; allowed are `[organisation NAME]`, `[key NAME]`, "
                     "`[service NAME]`, `[route NAME]` and `[evacuation FAILURE-DOMAIN]`"});
            return;
        }
        if (!isName(id)) {
            m_errors.push_back({file,
                                section.line,
                                section.name,
                                {},
                                "section needs the form `[" + kind
                                        + " NAME]`, where NAME has 1 to 64 letters, digits, '-', "
                                          "'_' and '.'"});
            return;
        }
        const auto [previous, isNew] = m_sectionLocations.emplace(
                section.name, source_location{file, section.line, section.name});
        if (!isNew) {
            m_errors.push_back({file,
                                section.line,
                                section.name,
                                {},
                                "section is already declared in " + previous->second.file + ":"
                                        + std::to_string(previous->second.line)
                                        + "; each section may be declared only once"});
            return;
        }
        section_reader reader(file, section, m_errors);
        parseItem(kind, id, reader);
        reader.rejectUnknownKeys();
    }

    static auto isKnownKind(std::string_view kind) -> bool
    {
        return kind == "organisation" || kind == "key" || kind == "service" || kind == "route"
               || kind == "evacuation";
    }

    auto parseItem(std::string_view kind, const std::string &id, section_reader &reader) -> void
    {
        if (kind == "organisation") {
            m_set.organisations.push_back(readOrganisation(id, reader));
        } else if (kind == "key") {
            m_set.keys.push_back(readKey(id, reader));
        } else if (kind == "service") {
            m_set.services.push_back(readService(id, reader));
        } else if (kind == "evacuation") {
            m_set.evacuations.push_back({base::failure_domain_id(id)});
        } else {
            m_set.routes.push_back(readRoute(id, reader));
        }
    }

    static auto readOrganisation(const std::string &id, section_reader &reader) -> organisation
    {
        organisation item;
        item.id = base::organisation_id(id);
        reader.requiredText("rate");
        reader.requiredText("burst");
        item.rate = reader.decimal("rate", 1.0, 0.001, MAX_REQUESTS_PER_SECOND);
        item.burst = static_cast<std::uint32_t>(reader.wholeNumber("burst", 1, 1, MAX_BURST));
        item.weight = static_cast<std::uint32_t>(reader.wholeNumber("weight", 1, 1, 100));
        item.priority =
                static_cast<std::uint32_t>(reader.wholeNumber("priority", 0, 0, MAX_PRIORITY));
        item.allowedRegions = readRegions(reader);
        return item;
    }

    static auto readKey(const std::string &id, section_reader &reader) -> key
    {
        key item;
        item.id = base::key_id(id);
        item.organisation = base::organisation_id(reader.requiredName("organisation"));
        const auto text = reader.requiredText("sha256");
        const auto digest = base::digestFromHex(text);
        if (digest) {
            item.digest = *digest;
        } else if (!text.empty()) {
            reader.reject(
                    "sha256",
                    "value of " + std::to_string(text.size())
                            + " characters is not a SHA-256 digest; 64 hexadecimal digits are "
                              "required");
        }
        return item;
    }

    static auto readService(const std::string &id, section_reader &reader) -> service
    {
        service item;
        item.id = base::service_id(id);
        item.floor = reader.decimal("floor", item.floor, 0.0, 1.0);
        item.timeout =
                reader.wholeMilliseconds("timeout_ms", item.timeout, 1ms, MAX_DECLARED_TIMEOUT);
        item.connectTimeout =
                reader.wholeMilliseconds("connect_timeout_ms", item.connectTimeout, 1ms, 30s);
        item.queuePerSlot = static_cast<std::uint32_t>(
                reader.wholeNumber("queue_per_slot", item.queuePerSlot, 0, 1000));
        item.retryPercent = static_cast<std::uint32_t>(
                reader.wholeNumber("retry_percent", item.retryPercent, 0, 100));
        item.maxAttempts = static_cast<std::uint32_t>(
                reader.wholeNumber("max_attempts", item.maxAttempts, 1, 10));
        item.warmUp = reader.wholeMilliseconds("warm_up_ms", item.warmUp, 0ms, 10min);
        return item;
    }

    static auto readRoute(const std::string &id, section_reader &reader) -> route
    {
        route item;
        item.id = base::route_id(id);
        item.host = readHost(reader);
        item.pathPrefix = readPathPrefix(reader);
        item.methods = readMethods(reader);
        item.split = readSplit(reader);
        item.service = item.split.empty() ? base::service_id(reader.requiredName("service"))
                                          : item.split.front().service;
        item.access = static_cast<route_access>(reader.choice("access", {"keyed", "open"}, 0));
        item.idempotent = reader.flag("idempotent", defaultIdempotence(item.methods));
        item.idempotencyKey = static_cast<idempotency_key_use>(
                reader.choice("idempotency_key", {"optional", "required"}, 0));
        if (item.idempotent && item.idempotencyKey == idempotency_key_use::Required) {
            reader.reject("idempotency_key", "`required` is allowed only with `idempotent = no`");
        }
        item.recordLife =
                reader.wholeMilliseconds("record_life_ms", item.recordLife, 1min, MAX_RECORD_LIFE);
        item.deadline =
                reader.wholeMilliseconds("deadline_ms", item.deadline, 1ms, MAX_DECLARED_TIMEOUT);
        item.maxBodyBytes = reader.wholeNumber("max_body_bytes", item.maxBodyBytes, 0, 1ULL << 32U);
        item.hasLargeBodies = reader.flag("large_bodies", item.hasLargeBodies);
        item.targetLatency = reader.wholeMilliseconds("target_latency_ms", item.targetLatency, 0ms,
                                                      MAX_DECLARED_TIMEOUT);
        item.priority =
                static_cast<std::uint32_t>(reader.wholeNumber("priority", 0, 0, MAX_PRIORITY));
        item.maxAttempts = static_cast<std::uint32_t>(reader.wholeNumber("max_attempts", 0, 0, 10));
        item.allowedRegions = readRegions(reader);
        return item;
    }

    // Names separated by commas.
    static auto readRegions(section_reader &reader) -> std::vector<base::region_id>
    {
        const auto text = reader.text("regions");
        if (!text) {
            return {};
        }
        std::vector<base::region_id> regions;
        for (std::size_t begin = 0; begin <= text->size();) {
            const auto end = std::min(text->find(',', begin), text->size());
            const auto name = withoutOuterSpaces(text->substr(begin, end - begin));
            begin = end + 1;
            if (!isName(name)) {
                reader.reject("regions",
                              "`" + name
                                      + "` is not a region name; region names of 1 to 64 letters, "
                                        "digits, '-', '_' and '.' are required, separated by "
                                        "commas");
                return {};
            }
            regions.emplace_back(name);
        }
        std::sort(regions.begin(), regions.end());
        const auto repeated = std::adjacent_find(regions.begin(), regions.end());
        if (repeated != regions.end()) {
            reader.reject("regions", "region `" + repeated->str()
                                             + "` is repeated; each region may be named only once");
        }
        return regions;
    }

    static auto withoutOuterSpaces(const std::string &text) -> std::string
    {
        const auto first = text.find_first_not_of(" \t");
        const auto last = text.find_last_not_of(" \t");
        return first == std::string::npos ? std::string() : text.substr(first, last - first + 1);
    }

    // Each entry `split = SERVICE:WEIGHT` adds one weighted service.
    static auto readSplit(section_reader &reader) -> std::vector<weighted_service>
    {
        std::vector<weighted_service> parts;
        for (const auto &entry : reader.repeatedEntries("split")) {
            const auto colon = std::min(entry.value.rfind(':'), entry.value.size());
            const auto name = entry.value.substr(0, colon);
            const auto text = entry.value.substr(std::min(colon + 1, entry.value.size()));
            std::uint32_t weight = 0;
            const auto [end, error] =
                    std::from_chars(text.data(), text.data() + text.size(), weight);
            if (!isName(name) || error != std::errc{} || end != text.data() + text.size()
                || weight > MAX_SPLIT_WEIGHT) {
                reader.reject(
                        "split",
                        "`" + entry.value
                                + "` is not of the form SERVICE:WEIGHT with a weight from 0 to "
                                + std::to_string(MAX_SPLIT_WEIGHT));
                continue;
            }
            parts.push_back({base::service_id(name), weight});
        }
        return parts;
    }

    static auto readHost(section_reader &reader) -> std::string
    {
        auto host = reader.text("host").value_or("");
        std::transform(host.begin(), host.end(), host.begin(), [](char character) {
            return static_cast<char>(std::tolower(static_cast<unsigned char>(character)));
        });
        if (!host.empty() && !isName(host)) {
            reader.reject("host", "`" + host
                                          + "` is not a valid host name; allowed are 1 to 64 "
                                            "letters, digits, '-', '_' and '.', without a port");
        }
        return host;
    }

    static auto readPathPrefix(section_reader &reader) -> std::string
    {
        auto path = reader.text("path").value_or("/");
        const bool isPrintable = std::all_of(path.begin(), path.end(), [](char character) {
            return character > ' ' && character < 0x7f;
        });
        if (!path.starts_with('/') || !isPrintable || path.find('?') != std::string::npos) {
            reader.reject("path",
                          "`" + path
                                  + "` is not an absolute path; it must start with '/' and consist "
                                    "of printable ASCII characters without space and '?'");
        }
        return path;
    }

    static auto readMethods(section_reader &reader) -> std::vector<std::string>
    {
        std::vector<std::string> methods;
        std::istringstream words(reader.text("methods").value_or(""));
        for (std::string word; words >> word;) {
            const bool isValid = std::all_of(word.begin(), word.end(), [](char character) {
                return character >= 'A' && character <= 'Z';
            });
            if (!isValid) {
                reader.reject("methods", "`" + word
                                                 + "` is not an HTTP method; only capital letters "
                                                   "A to Z are allowed, such as GET");
            }
            methods.push_back(word);
        }
        std::sort(methods.begin(), methods.end());
        methods.erase(std::unique(methods.begin(), methods.end()), methods.end());
        return methods;
    }

    // A route is idempotent by default only if HTTP defines all its methods as idempotent. A route
    // that accepts POST, PATCH or any method must be declared idempotent explicitly.
    static auto defaultIdempotence(const std::vector<std::string> &methods) -> bool
    {
        constexpr std::array<std::string_view, 6> IDEMPOTENT{"DELETE",  "GET", "HEAD",
                                                             "OPTIONS", "PUT", "TRACE"};
        return !methods.empty()
               && std::all_of(methods.begin(), methods.end(), [&](const std::string &method) {
                      return std::find(IDEMPOTENT.begin(), IDEMPOTENT.end(), method)
                             != IDEMPOTENT.end();
                  });
    }

    config_set m_set;
    std::map<std::string, source_location> m_sectionLocations;
    std::vector<diagnostic> m_errors;
};

auto sectionName(std::string_view kind, const std::string &id) -> std::string
{
    return std::string(kind) + " " + id;
}

auto checkCount(std::string_view itemKind, std::size_t count, std::size_t maximum,
                std::vector<diagnostic> &errors) -> void
{
    if (count > maximum) {
        errors.push_back({{},
                          0,
                          {},
                          {},
                          "configuration has " + std::to_string(count) + " " + std::string(itemKind)
                                  + "; at most " + std::to_string(maximum) + " are allowed"});
    }
}

auto checkKeys(const config_set &set, std::vector<diagnostic> &errors) -> void
{
    std::map<base::digest256, std::string> keyIdsByDigest;
    for (const auto &item : set.keys) {
        const auto section = sectionName("key", item.id.str());
        if (!item.organisation.empty() && findOrganisation(set, item.organisation) == nullptr) {
            errors.push_back({{},
                              0,
                              section,
                              "organisation",
                              "organisation `" + item.organisation.str()
                                      + "` is not declared; a section [organisation "
                                      + item.organisation.str() + "] is required"});
        }
        const auto [owner, isNew] = keyIdsByDigest.emplace(item.digest, item.id.str());
        if (!isNew) {
            errors.push_back({{},
                              0,
                              section,
                              "sha256",
                              "digest is already used by key `" + owner->second
                                      + "`; each key needs a digest of its own"});
        }
    }
}

auto checkRouteServices(const config_set &set, const route &item, std::vector<diagnostic> &errors)
        -> void
{
    std::uint64_t totalWeight = 0;
    for (const auto &part : targetServices(item)) {
        totalWeight += part.weight;
        if (!part.service.empty() && findService(set, part.service) == nullptr) {
            errors.push_back({{},
                              0,
                              sectionName("route", item.id.str()),
                              item.split.empty() ? "service" : "split",
                              "service `" + part.service.str()
                                      + "` is not declared; a section [service "
                                      + part.service.str() + "] is required"});
        }
    }
    if (totalWeight == 0) {
        errors.push_back({{},
                          0,
                          sectionName("route", item.id.str()),
                          "split",
                          "all weights of the route are 0; at least one must be greater than 0"});
    }
}

auto checkDeadline(const route &item, std::vector<diagnostic> &errors) -> void
{
    if (item.deadline > base::milliseconds(0) && item.deadline <= MAX_ROUTE_DEADLINE) {
        return;
    }
    errors.push_back({{},
                      0,
                      sectionName("route", item.id.str()),
                      "deadline_ms",
                      "deadline of " + std::to_string(item.deadline.count())
                              + " ms is not between 1 ms and "
                              + std::to_string(MAX_ROUTE_DEADLINE.count()) + " ms"});
}

auto checkRoutes(const config_set &set, std::vector<diagnostic> &errors) -> void
{
    using match_key = std::tuple<std::string, std::string, std::string>;
    std::map<match_key, std::string> routeIdsByMatch;
    for (const auto &item : set.routes) {
        const auto section = sectionName("route", item.id.str());
        checkRouteServices(set, item, errors);
        checkDeadline(item, errors);
        auto methods = item.methods;
        if (methods.empty()) {
            methods.emplace_back("any method");
        }
        for (const auto &method : methods) {
            const auto [owner, isNew] = routeIdsByMatch.emplace(
                    match_key{item.host, item.pathPrefix, method}, item.id.str());
            if (!isNew) {
                errors.push_back(
                        {{},
                         0,
                         section,
                         "path",
                         "route `" + owner->second + "` already matches "
                                 + (item.host.empty() ? "any host" : "host `" + item.host + "`")
                                 + " and path `" + item.pathPrefix + "` for " + method});
            }
        }
    }
}

} // namespace

auto validate(const config_set &set) -> std::vector<diagnostic>
{
    std::vector<diagnostic> errors;
    checkCount("organisations", set.organisations.size(), MAX_ORGANISATIONS, errors);
    checkCount("keys", set.keys.size(), MAX_KEYS, errors);
    checkCount("services", set.services.size(), MAX_SERVICES, errors);
    checkCount("routes", set.routes.size(), MAX_ROUTES, errors);
    checkKeys(set, errors);
    checkRoutes(set, errors);
    return errors;
}

auto parseDeclaration(const std::vector<declaration_file> &files) -> declaration_result
{
    declaration_parser parser;
    for (const auto &file : files) {
        parser.parseFile(file);
    }
    return parser.finish();
}

} // namespace hawthornpick::config
