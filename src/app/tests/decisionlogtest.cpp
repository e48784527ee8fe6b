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
    std::map<log_event, std::uint64_t> m_written;
    std::map<log_event, std::uint64_t> m_suppressed;
    decision_log m_log{[this](log_event event, auto /*fields*/) { ++m_written[event]; },
                       [this](log_event event, std::uint64_t count) {
                           m_suppressed[event] += count;
                       }};
};

// Guards against a log that grows with the load, and against lines that vanish uncounted.
TEST(decision_log, boundsTheLinesOfASecondAndCountsTheRest)
{
    base::time_point now{std::chrono::seconds(100)};
    for (int i = 0; i < 10'000; ++i) {
        m_log.write(log_event::RequestServed, now, {});
        m_log.write(log_event::RequestFailed, now, {});
    }
    CHECK_EQUAL(decision_log::OTHER_LINES, m_written[log_event::RequestServed]);
    CHECK_EQUAL(decision_log::FAILURE_LINES, m_written[log_event::RequestFailed]);
    now += std::chrono::seconds(1);
    m_log.write(log_event::RequestServed, now, {});
    CHECK_EQUAL(10'000 - decision_log::OTHER_LINES, m_suppressed[log_event::RequestServed]);
    CHECK_EQUAL(decision_log::OTHER_LINES + 1, m_written[log_event::RequestServed]);
}

// Guards against an event without a name or with that of another one.
TEST(decision_log, namesEachEventOnce)
{
    std::map<std::string_view, int> names;
    for (std::size_t i = 0; i < app::LOG_EVENT_COUNT; ++i) {
        ++names[app::eventName(static_cast<log_event>(i))];
    }
    CHECK_EQUAL(app::LOG_EVENT_COUNT, names.size());
}

// Guards against a page for those on call that lacks an event.
TEST(decision_log, documentationNamesEachEvent)
{
    std::ifstream page(HAWTHORNPICK_SOURCE_DIR "/docs/LOGS.md");
    const std::string text{std::istreambuf_iterator<char>(page), {}};
    for (std::size_t i = 0; i < app::LOG_EVENT_COUNT; ++i) {
        const auto name = std::string(app::eventName(static_cast<log_event>(i)));
        CHECK_TEXT(text.find("`" + name + "`") != std::string::npos, name.c_str());
    }
}
