#include "base/log.h"

#include <array>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <ctime>
#include <easylogging++.h>
#include <poll.h>
#include <unistd.h>

INITIALIZE_EASYLOGGINGPP

namespace hawthornpick::base {

namespace {

std::atomic<log_level> minimumLevel{log_level::Info};

auto loggedNodeName() -> std::string &
{
    static std::string name;
    return name;
}

auto levelName(log_level level) -> std::string_view
{
    switch (level) {
    case log_level::Debug:
        return "debug";
    case log_level::Info:
        return "info";
    case log_level::Warning:
        return "warning";
    case log_level::Error:
        return "error";
    }
    return "info";
}

auto currentUtcTimestamp() -> std::string
{
    const auto now = std::chrono::system_clock::now();
    const auto seconds = std::chrono::system_clock::to_time_t(now);
    const auto sinceEpoch =
            std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch());
    std::tm utcTime{};
    gmtime_r(&seconds, &utcTime);
    std::array<char, 32> text{};
    const auto length = std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%S", &utcTime);
    std::array<char, 8> millisecondsText{};
    std::snprintf(millisecondsText.data(), millisecondsText.size(), ".%03dZ",
                  static_cast<int>(sinceEpoch.count() % 1000));
    return std::string(text.data(), length) + millisecondsText.data();
}

//! Largest write to a pipe that is atomic (PIPE_BUF on Linux).
constexpr std::size_t MAX_LINE_BYTES = 4096;

//! Lines dropped since the last report, because standard output was not writable or because they
//! were longer than MAX_LINE_BYTES.
std::atomic<std::uint64_t> unreportedLostLines{0};

//! Writes `line` if that is possible without blocking; returns false if it was not written whole.
//! A pipe that polls as writable has room for MAX_LINE_BYTES.
auto tryWriteLine(const std::string &line) -> bool
{
    pollfd pollState{STDOUT_FILENO, POLLOUT, 0};
    if (line.size() > MAX_LINE_BYTES || ::poll(&pollState, 1, 0) <= 0
        || (pollState.revents & POLLOUT) == 0) {
        return false;
    }
    return ::write(STDOUT_FILENO, line.data(), line.size()) == static_cast<ssize_t>(line.size());
}

//! Writes each line to standard output with a single call, so that lines of different threads are
//! not interleaved.
class stdout_callback : public el::LogDispatchCallback
{
protected:
    auto handle(const el::LogDispatchData *data) -> void override
    {
        const auto lostLines = unreportedLostLines.load(std::memory_order_relaxed);
        if (lostLines > 0) {
            const auto lostLinesReport =
                    formatLogLine(currentUtcTimestamp(), log_level::Warning, loggedNodeName(),
                                  "log_lines_lost", {{"count", lostLines}})
                    + "\n";
            if (tryWriteLine(lostLinesReport)) {
                unreportedLostLines.fetch_sub(lostLines, std::memory_order_relaxed);
            }
        }
        if (!tryWriteLine(data->logMessage()->message() + "\n")) {
            unreportedLostLines.fetch_add(1, std::memory_order_relaxed);
        }
    }
};

struct field_value_formatter
{
    auto operator()(const std::string &text) const -> std::string { return quoteJson(text); }
    auto operator()(std::int64_t number) const -> std::string { return std::to_string(number); }
    auto operator()(double number) const -> std::string { return std::to_string(number); }
    auto operator()(bool flag) const -> std::string { return flag ? "true" : "false"; }
};

} // namespace

auto quoteJson(std::string_view text) -> std::string
{
    std::string quoted = "\"";
    for (const char character : text) {
        const auto byte = static_cast<unsigned char>(character);
        if (character == '"' || character == '\\') {
            quoted.push_back('\\');
            quoted.push_back(character);
        } else if (byte < 0x20U) {
            std::array<char, 8> escapeSequence{};
            std::snprintf(escapeSequence.data(), escapeSequence.size(), "\\u%04x", byte);
            quoted += escapeSequence.data();
        } else {
            quoted.push_back(character);
        }
    }
    quoted.push_back('"');
    return quoted;
}

auto formatLogLine(std::string_view time, log_level level, std::string_view nodeName,
                   std::string_view message, std::initializer_list<log_field> fields) -> std::string
{
    std::string line = "{\"time\":" + quoteJson(time) + ",\"level\":" + quoteJson(levelName(level));
    if (!nodeName.empty()) {
        line += ",\"node\":" + quoteJson(nodeName);
    }
    line += ",\"message\":" + quoteJson(message);
    for (const auto &field : fields) {
        line += "," + quoteJson(field.name) + ":"
                + std::visit(field_value_formatter{}, field.value);
    }
    line += "}";
    return line;
}

auto configureLogging(log_level minimum, std::string_view nodeName) -> void
{
    minimumLevel = minimum;
    loggedNodeName() = nodeName;
    el::Configurations configuration;
    configuration.setToDefault();
    configuration.setGlobally(el::ConfigurationType::Format, "%msg");
    configuration.setGlobally(el::ConfigurationType::ToFile, "false");
    configuration.setGlobally(el::ConfigurationType::ToStandardOutput, "false");
    el::Loggers::reconfigureAllLoggers(configuration);
    el::Helpers::uninstallLogDispatchCallback<el::base::DefaultLogDispatchCallback>(
            "DefaultLogDispatchCallback");
    el::Helpers::installLogDispatchCallback<stdout_callback>("stdout_callback");
}

auto logLevelFromName(std::string_view name) -> log_level
{
    for (const auto level :
         {log_level::Debug, log_level::Info, log_level::Warning, log_level::Error}) {
        if (levelName(level) == name) {
            return level;
        }
    }
    return log_level::Info;
}

auto log(log_level level, std::string_view message, std::initializer_list<log_field> fields) -> void
{
    if (level < minimumLevel.load(std::memory_order_relaxed)) {
        return;
    }
    const auto line =
            formatLogLine(currentUtcTimestamp(), level, loggedNodeName(), message, fields);
    switch (level) {
    // Easylogging++ discards its debug level in builds with NDEBUG, so debug lines use its info
    // level. The level in the line itself is still "debug".
    case log_level::Debug:
    case log_level::Info:
        LOG(INFO) << line;
        return;
    case log_level::Warning:
        LOG(WARNING) << line;
        return;
    case log_level::Error:
        LOG(ERROR) << line;
        return;
    }
}

} // namespace hawthornpick::base
