#pragma once

#include "base/log.h"
#include "base/time.h"

#include <array>
#include <cstdint>
#include <functional>
#include <initializer_list>
#include <string_view>

namespace hawthornpick::app {

//! Closed list of the events that a mesh node logs for requests and beliefs (docs/LOGS.md).
enum class log_event : std::uint8_t {
    RequestFailed,
    RequestServed,
    AttemptPlaced,
    AttemptFailed,
    AttemptEnded,
};

inline constexpr std::size_t LOG_EVENT_COUNT =
        static_cast<std::size_t>(log_event::AttemptEnded) + 1;

//! Name of the event in the member `event` of its lines. Thread safety: pure.
auto eventName(log_event event) -> std::string_view;

//! Writes the lines of events within a budget a second for each event, so that load does not
//! multiply the log. What exceeds the budget is counted and reported in one line.
//! Thread safety of all members: one thread.
class decision_log
{
public:
    using write_function =
            std::function<void(log_event event, std::initializer_list<base::log_field> fields)>;
    using summary_function = std::function<void(log_event event, std::uint64_t suppressed)>;

    //! Lines of one event in one second. Failures are worth more than what went well.
    static constexpr std::uint32_t FAILURE_LINES = 100;
    static constexpr std::uint32_t OTHER_LINES = 40;

    //! Writes to the process log.
    decision_log();
    decision_log(write_function write, summary_function summarize);

    auto write(log_event event, base::time_point now, std::initializer_list<base::log_field> fields)
            -> void;

private:
    struct event_state
    {
        base::time_point second{};
        std::uint32_t lines = 0;
        std::uint64_t suppressed = 0;
    };

    write_function m_write;
    summary_function m_summarize;
    std::array<event_state, LOG_EVENT_COUNT> m_states;
};

} // namespace hawthornpick::app
