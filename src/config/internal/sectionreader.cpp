#include "config/internal/sectionreader.h"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace hawthornpick::config {

namespace {

template <typename Number>
auto parseNumber(std::string_view text) -> std::optional<Number>
{
    Number value{};
    const auto *end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, value);
    if (parsed.ec != std::errc() || parsed.ptr != end) {
        return std::nullopt;
    }
    return value;
}

auto formatNumber(double value) -> std::string
{
    auto text = std::to_string(value);
    text.erase(text.find_last_not_of('0') + 1);
    if (text.ends_with('.')) {
        text.pop_back();
    }
    return text;
}

auto quoted(const std::string &text) -> std::string
{
    return "`" + text + "`";
}

template <typename Texts>
auto quotedList(const Texts &texts) -> std::string
{
    std::string list;
    for (const auto &text : texts) {
        list += (list.empty() ? "" : ", ") + quoted(text);
    }
    return list;
}

} // namespace

auto isName(std::string_view text) -> bool
{
    if (text.empty() || text.size() > MAX_NAME_BYTES) {
        return false;
    }
    return std::all_of(text.begin(), text.end(), [](char character) {
        return (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z')
               || (character >= '0' && character <= '9') || character == '-' || character == '_'
               || character == '.';
    });
}

section_reader::section_reader(const std::string &file, const ini_section &section,
                               std::vector<diagnostic> &errors)
    : m_file(file), m_section(section), m_errors(errors)
{}

auto section_reader::find(std::string_view key) -> const ini_entry *
{
    m_knownKeys.emplace(key);
    const ini_entry *found = nullptr;
    for (const auto &entry : m_section.entries) {
        if (entry.key != key) {
            continue;
        }
        if (found != nullptr) {
            m_errors.push_back({m_file, entry.line, m_section.name, entry.key,
                                "key is already set in line " + std::to_string(found->line)
                                        + "; it may be set only once in a section"});
            return found;
        }
        found = &entry;
    }
    return found;
}

auto section_reader::text(std::string_view key) -> std::optional<std::string>
{
    const auto *entry = find(key);
    if (entry == nullptr) {
        return std::nullopt;
    }
    return entry->value;
}

auto section_reader::requiredText(std::string_view key) -> std::string
{
    auto value = text(key);
    if (!value || value->empty()) {
        reject(key, "value is missing; the key is required");
        return {};
    }
    return *value;
}

auto section_reader::requiredName(std::string_view key) -> std::string
{
    auto value = text(key);
    if (!value) {
        reject(key, "value is missing; the key is required");
        return {};
    }
    if (!isName(*value)) {
        reject(key, quoted(*value)
                            + " is not a valid name; allowed are 1 to 64 letters, digits, '-', '_' "
                              "and '.'");
        return {};
    }
    return *value;
}

auto section_reader::repeatedEntries(std::string_view key) -> std::vector<ini_entry>
{
    m_knownKeys.emplace(key);
    std::vector<ini_entry> found;
    std::copy_if(m_section.entries.begin(), m_section.entries.end(), std::back_inserter(found),
                 [key](const ini_entry &entry) { return entry.key == key; });
    return found;
}

auto section_reader::wholeNumber(std::string_view key, std::uint64_t fallback,
                                 std::uint64_t minimum, std::uint64_t maximum) -> std::uint64_t
{
    const auto *entry = find(key);
    if (entry == nullptr) {
        return fallback;
    }
    const auto value = parseNumber<std::uint64_t>(entry->value);
    if (!value || *value < minimum || *value > maximum) {
        reject(key, quoted(entry->value) + " is not a whole number from " + std::to_string(minimum)
                            + " to " + std::to_string(maximum));
        return fallback;
    }
    return *value;
}

auto section_reader::decimal(std::string_view key, double fallback, double minimum, double maximum)
        -> double
{
    const auto *entry = find(key);
    if (entry == nullptr) {
        return fallback;
    }
    const auto value = parseNumber<double>(entry->value);
    if (!value || !std::isfinite(*value) || *value < minimum || *value > maximum) {
        reject(key, quoted(entry->value) + " is not a number from " + formatNumber(minimum) + " to "
                            + formatNumber(maximum));
        return fallback;
    }
    return *value;
}

auto section_reader::wholeMilliseconds(std::string_view key, base::milliseconds fallback,
                                       base::milliseconds minimum, base::milliseconds maximum)
        -> base::milliseconds
{
    return base::milliseconds(wholeNumber(key, static_cast<std::uint64_t>(fallback.count()),
                                          static_cast<std::uint64_t>(minimum.count()),
                                          static_cast<std::uint64_t>(maximum.count())));
}

auto section_reader::duration(std::string_view key, base::milliseconds fallback,
                              base::milliseconds minimum, base::milliseconds maximum)
        -> base::milliseconds
{
    const auto *entry = find(key);
    if (entry == nullptr) {
        return fallback;
    }
    const auto parsedMilliseconds = base::parseTimeSpan(entry->value);
    const auto minimumMilliseconds = static_cast<double>(minimum.count());
    const auto maximumMilliseconds = static_cast<double>(maximum.count());
    if (!parsedMilliseconds || *parsedMilliseconds < minimumMilliseconds
        || *parsedMilliseconds > maximumMilliseconds) {
        reject(key, quoted(entry->value) + " is not a time from " + std::to_string(minimum.count())
                            + "ms to " + std::to_string(maximum.count())
                            + "ms with the unit `ms` or `s`");
        return fallback;
    }
    return base::milliseconds(std::llround(*parsedMilliseconds));
}

auto section_reader::flag(std::string_view key, bool fallback) -> bool
{
    return choice(key, {"no", "yes"}, fallback ? 1 : 0) == 1;
}

auto section_reader::choice(std::string_view key, const std::vector<std::string> &allowed,
                            std::size_t fallback) -> std::size_t
{
    const auto *entry = find(key);
    if (entry == nullptr) {
        return fallback;
    }
    const auto position = std::find(allowed.begin(), allowed.end(), entry->value);
    if (position != allowed.end()) {
        return static_cast<std::size_t>(position - allowed.begin());
    }
    reject(key, quoted(entry->value) + " is not one of " + quotedList(allowed));
    return fallback;
}

auto section_reader::logLevel() -> base::log_level
{
    return static_cast<base::log_level>(choice("log_level", {"debug", "info", "warning", "error"},
                                               static_cast<std::size_t>(base::log_level::Info)));
}

auto section_reader::endpoint(std::string_view key, bool required) -> membership::endpoint
{
    const auto *entry = find(key);
    if (entry == nullptr) {
        if (required) {
            reject(key, "value is missing; the key is required");
        }
        return {};
    }
    const auto value = membership::parseEndpoint(entry->value);
    if (!value) {
        reject(key, quoted(entry->value)
                            + " is not an IP address with a port, such as "
                              "192.0.2.1:7000");
        return {};
    }
    return *value;
}

auto section_reader::reject(std::string_view key, std::string message) -> void
{
    const auto entry = std::find_if(m_section.entries.begin(), m_section.entries.end(),
                                    [key](const ini_entry &item) { return item.key == key; });
    const int line = entry == m_section.entries.end() ? m_section.line : entry->line;
    m_errors.push_back({m_file, line, m_section.name, std::string(key), std::move(message)});
}

auto section_reader::rejectUnknownKeys() -> void
{
    for (const auto &entry : m_section.entries) {
        if (!m_knownKeys.contains(entry.key)) {
            m_errors.push_back({m_file, entry.line, m_section.name, entry.key,
                                m_knownKeys.empty()
                                        ? "key is ignored because the section name is invalid"
                                        : "key is unknown; keys allowed in this section: "
                                                  + quotedList(m_knownKeys)});
        }
    }
}

} // namespace hawthornpick::config
