#pragma once

#include "base/log.h"
#include "base/time.h"

#include <array>
#include <cstdint>
#include <functional>
#include <initializer_list>
#include <string_view>

namespace hawthornpick::app {

//! Events that a mesh node logs for requests and attempts. docs/LOGS.md documents each of them.
enum class log_event : std::uint8_t {
    RequestFailed,
    RequestServed,
    AttemptPlaced,
    AttemptFailed,
    AttemptEnded,
};

inline constexpr std::size_t LOG_EVENT_COUNT =
        static_cast<std::size_t>(log_event::AttemptEnded) + 1;

//! Returns the name of the event as it stands in the log. Thread safety: pure.
auto eventName(log_event event) -> std::string_view;

//! Writes log lines of requests and attempts with a rate limit for each event, so that the size of
//! the log does not grow with the load. Lines above the limit are counted, and the count is logged
//! in one line.
//! Thread safety of all members: one thread.
class decision_log
{
public:
    using write_function =
            std::function<void(log_event event, std::initializer_list<base::log_field> fields)>;
    using summary_function = std::function<void(log_event event, std::uint64_t suppressedCount)>;

    //! Lines of one event in one second. Failures have the higher limit because operators need them
    //! more than successes.
    static constexpr std::uint32_t MAX_FAILURE_LINES_PER_SECOND = 100;
    static constexpr std::uint32_t MAX_OTHER_LINES_PER_SECOND = 40;

    //! Writes to the log of the process.
    decision_log();
    decision_log(write_function write, summary_function writeSummary);

    //! Writes a line, or counts it as suppressed if the event has reached its limit in the current
    //! window of one second. Logs the count of the previous window when a new one starts.
    auto write(log_event event, base::time_point now, std::initializer_list<base::log_field> fields)
            -> void;

private:
    struct event_state
    {
        base::time_point windowStart{};
        std::uint32_t lineCount = 0;
        std::uint64_t suppressedCount = 0;
    };

    write_function m_write;
    summary_function m_writeSummary;
    std::array<event_state, LOG_EVENT_COUNT> m_eventStates;
};

} // namespace hawthornpick::app
