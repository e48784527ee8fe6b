#include "app/internal/decisionlog.h"

namespace hawthornpick::app {

namespace {

constexpr std::array<std::string_view, LOG_EVENT_COUNT> EVENT_NAMES{
        "request_failed", "request_served", "attempt_placed", "attempt_failed", "attempt_ended"};

auto isFailure(log_event event) -> bool
{
    return event == log_event::RequestFailed || event == log_event::AttemptFailed;
}

auto writeLineToLog(log_event event, std::initializer_list<base::log_field> fields) -> void
{
    base::log(base::log_level::Info, eventName(event), fields);
}

auto writeSummaryToLog(log_event event, std::uint64_t suppressedCount) -> void
{
    base::log(base::log_level::Warning, "lines_suppressed",
              {{"event", eventName(event)}, {"count", suppressedCount}});
}

} // namespace

auto eventName(log_event event) -> std::string_view
{
    return EVENT_NAMES.at(static_cast<std::size_t>(event));
}

decision_log::decision_log() : decision_log(writeLineToLog, writeSummaryToLog) {}

decision_log::decision_log(write_function write, summary_function writeSummary)
    : m_write(std::move(write)), m_writeSummary(std::move(writeSummary))
{}

auto decision_log::write(log_event event, base::time_point now,
                         std::initializer_list<base::log_field> fields) -> void
{
    auto &state = m_eventStates.at(static_cast<std::size_t>(event));
    if (now - state.windowStart >= std::chrono::seconds(1)) {
        if (state.suppressedCount > 0) {
            m_writeSummary(event, state.suppressedCount);
        }
        state = {now, 0, 0};
    }
    if (state.lineCount
        >= (isFailure(event) ? MAX_FAILURE_LINES_PER_SECOND : MAX_OTHER_LINES_PER_SECOND)) {
        ++state.suppressedCount;
        return;
    }
    ++state.lineCount;
    m_write(event, fields);
}

} // namespace hawthornpick::app
