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

auto currentNodeName() -> std::string &
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

auto currentTime() -> std::string
{
    const auto now = std::chrono::system_clock::now();
    const auto seconds = std::chrono::system_clock::to_time_t(now);
    const auto sinceEpoch =
            std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch());
    std::tm parts{};
    gmtime_r(&seconds, &parts);
    std::array<char, 32> text{};
    const auto length = std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%S", &parts);
    std::array<char, 8> fraction{};
    std::snprintf(fraction.data(), fraction.size(), ".%03dZ",
                  static_cast<int>(sinceEpoch.count() % 1000));
    return std::string(text.data(), length) + fraction.data();
}

//! Longest line that a pipe takes whole or not at all.
constexpr std::size_t MAX_LINE_BYTES = 4096;

//! Lines lost because the reader of the log was too slow.
std::atomic<std::uint64_t> lostLines{0};

// A pipe that polls as writable has room for MAX_LINE_BYTES.
auto writeWithoutWaiting(const std::string &line) -> bool
{
    pollfd state{STDOUT_FILENO, POLLOUT, 0};
    if (line.size() > MAX_LINE_BYTES || ::poll(&state, 1, 0) <= 0
        || (state.revents & POLLOUT) == 0) {
        return false;
    }
    return ::write(STDOUT_FILENO, line.data(), line.size()) == static_cast<ssize_t>(line.size());
}

//! Writes each message to standard output with one call, so that lines of several threads do not
//! mix.
class stdout_callback : public el::LogDispatchCallback
{
protected:
    auto handle(const el::LogDispatchData *data) -> void override
    {
        const auto lost = lostLines.load(std::memory_order_relaxed);
        if (lost > 0) {
            const auto notice = formatLogLine(currentTime(), log_level::Warning, currentNodeName(),
                                              "log_lines_lost", {{"count", lost}})
                                + "\n";
            if (writeWithoutWaiting(notice)) {
                lostLines.fetch_sub(lost, std::memory_order_relaxed);
            }
        }
        if (!writeWithoutWaiting(data->logMessage()->message() + "\n")) {
            lostLines.fetch_add(1, std::memory_order_relaxed);
        }
    }
};

struct value_formatter
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
    for (const char item : text) {
        const auto byte = static_cast<unsigned char>(item);
        if (item == '"' || item == '\\') {
            quoted.push_back('\\');
            quoted.push_back(item);
        } else if (byte < 0x20U) {
            std::array<char, 8> escape{};
            std::snprintf(escape.data(), escape.size(), "\\u%04x", byte);
            quoted += escape.data();
        } else {
            quoted.push_back(item);
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
        line += "," + quoteJson(field.name) + ":" + std::visit(value_formatter{}, field.value);
    }
    line += "}";
    return line;
}

auto configureLogging(log_level minimum, std::string_view nodeName) -> void
{
    minimumLevel = minimum;
    currentNodeName() = nodeName;
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
    const auto line = formatLogLine(currentTime(), level, currentNodeName(), message, fields);
    switch (level) {
    // The library drops its own debug level from builds with NDEBUG; the line names the real level.
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
