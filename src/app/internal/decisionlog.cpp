#include "app/internal/decisionlog.h"

namespace hawthornpick::app {

namespace {

constexpr std::array<std::string_view, LOG_EVENT_COUNT> NAMES{
        "request_failed", "request_served", "attempt_placed", "attempt_failed", "attempt_ended"};

auto isFailure(log_event event) -> bool
{
    return event == log_event::RequestFailed || event == log_event::AttemptFailed;
}

auto writeLine(log_event event, std::initializer_list<base::log_field> fields) -> void
{
    base::log(base::log_level::Info, eventName(event), fields);
}

auto writeSummary(log_event event, std::uint64_t suppressed) -> void
{
    base::log(base::log_level::Warning, "lines_suppressed",
              {{"event", eventName(event)}, {"count", suppressed}});
}

} // namespace

auto eventName(log_event event) -> std::string_view
{
    return NAMES.at(static_cast<std::size_t>(event));
}

decision_log::decision_log() : decision_log(writeLine, writeSummary) {}

decision_log::decision_log(write_function write, summary_function summarize)
    : m_write(std::move(write)), m_summarize(std::move(summarize))
{}

auto decision_log::write(log_event event, base::time_point now,
                         std::initializer_list<base::log_field> fields) -> void
{
    auto &state = m_states.at(static_cast<std::size_t>(event));
    if (now - state.second >= std::chrono::seconds(1)) {
        if (state.suppressed > 0) {
            m_summarize(event, state.suppressed);
        }
        state = {now, 0, 0};
    }
    if (state.lines >= (isFailure(event) ? FAILURE_LINES : OTHER_LINES)) {
        ++state.suppressed;
        return;
    }
    ++state.lines;
    m_write(event, fields);
}

} // namespace hawthornpick::app
