#include "app/internal/decisionlog.h"

// Before CppUTest, which redefines `new`.
#include <fstream>
#include <iterator>
#include <map>
#include <string>

#include <CppUTest/TestHarness.h>

using namespace hawthornpick;
using app::decision_log;
using app::log_event;

TEST_GROUP(decision_log)
{
    std::map<log_event, std::uint64_t> m_writtenCounts;
    std::map<log_event, std::uint64_t> m_suppressedCounts;
    decision_log m_log{[this](log_event event, auto /*fields*/) { ++m_writtenCounts[event]; },
                       [this](log_event event, std::uint64_t count) {
                           m_suppressedCounts[event] += count;
                       }};
};

// Guards against a log whose size grows with the load, and against suppressed lines that are not
// counted.
TEST(decision_log, limitsLinesPerSecondAndCountsSuppressedOnes)
{
    base::time_point now{std::chrono::seconds(100)};
    for (int i = 0; i < 10'000; ++i) {
        m_log.write(log_event::RequestServed, now, {});
        m_log.write(log_event::RequestFailed, now, {});
    }
    CHECK_EQUAL(decision_log::MAX_OTHER_LINES_PER_SECOND,
                m_writtenCounts[log_event::RequestServed]);
    CHECK_EQUAL(decision_log::MAX_FAILURE_LINES_PER_SECOND,
                m_writtenCounts[log_event::RequestFailed]);
    now += std::chrono::seconds(1);
    m_log.write(log_event::RequestServed, now, {});
    CHECK_EQUAL(10'000 - decision_log::MAX_OTHER_LINES_PER_SECOND,
                m_suppressedCounts[log_event::RequestServed]);
    CHECK_EQUAL(decision_log::MAX_OTHER_LINES_PER_SECOND + 1,
                m_writtenCounts[log_event::RequestServed]);
}

// Guards against events that have no name or the name of another event.
TEST(decision_log, givesEachEventAUniqueName)
{
    std::map<std::string_view, int> names;
    for (std::size_t i = 0; i < app::LOG_EVENT_COUNT; ++i) {
        ++names[app::eventName(static_cast<log_event>(i))];
    }
    CHECK_EQUAL(app::LOG_EVENT_COUNT, names.size());
}

// Guards against events that are missing from the documentation for operators.
TEST(decision_log, documentationListsEachEvent)
{
    std::ifstream document(HAWTHORNPICK_SOURCE_DIR "/docs/LOGS.md");
    const std::string text{std::istreambuf_iterator<char>(document), {}};
    for (std::size_t i = 0; i < app::LOG_EVENT_COUNT; ++i) {
        const auto name = std::string(app::eventName(static_cast<log_event>(i)));
        CHECK_TEXT(text.find("`" + name + "`") != std::string::npos, name.c_str());
    }
}
