#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <type_traits>
#include <variant>

namespace hawthornpick::base {

enum class log_level : std::uint8_t {
    Debug,
    Info,
    Warning,
    Error,
};

//! Member of the JSON object of a log line.
struct log_field
{
    using value_type = std::variant<std::string, std::int64_t, double, bool>;

    log_field(std::string_view fieldName, std::string_view text)
        : name(fieldName), value(std::string(text))
    {}
    log_field(std::string_view fieldName, const char *text)
        : name(fieldName), value(std::string(text))
    {}
    log_field(std::string_view fieldName, const std::string &text) : name(fieldName), value(text) {}
    log_field(std::string_view fieldName, bool flag) : name(fieldName), value(flag) {}
    log_field(std::string_view fieldName, double number) : name(fieldName), value(number) {}
    template <typename Integer>
    requires std::is_integral_v<Integer> log_field(std::string_view fieldName, Integer number)
        : name(fieldName), value(static_cast<std::int64_t>(number))
    {}

    std::string_view name;
    value_type value;
};

//! Writes log lines of at least the level `minimum` to standard output as JSON. Writing never
//! blocks: lines are dropped if standard output is not writable or if they are longer than 4096
//! bytes, and a later line reports how many. Precondition: called once, at the start of the
//! process. Thread safety: before other threads start.
auto configureLogging(log_level minimum, std::string_view nodeName) -> void;

//! Parses "debug", "info", "warning" or "error"; returns `Info` for any other text. Thread safety:
//! pure.
auto logLevelFromName(std::string_view name) -> log_level;

//! Writes a log line if `level` is enabled. Fields must not contain an API key.
//! Thread safety: any thread.
auto log(log_level level, std::string_view message, std::initializer_list<log_field> fields = {})
        -> void;

//! Returns a log line as a JSON object, without a line feed. An empty `nodeName` is left out.
//! Thread safety: pure.
auto formatLogLine(std::string_view time, log_level level, std::string_view nodeName,
                   std::string_view message, std::initializer_list<log_field> fields)
        -> std::string;

//! Returns `text` as a JSON string in quotation marks. Thread safety: pure.
auto quoteJson(std::string_view text) -> std::string;

} // namespace hawthornpick::base
