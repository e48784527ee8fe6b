#include "base/time.h"

#include <CppUTest/TestHarness.h>

using namespace hawthornpick::base;

TEST_GROUP(time_span){};

// Guards against a duration that is parsed in the wrong unit.
TEST(time_span, millisecondsAndSecondsAreParsed)
{
    DOUBLES_EQUAL(1500.0, *parseTimeSpan("1500ms"), 1e-9);
    DOUBLES_EQUAL(2500.0, *parseTimeSpan("2.5s"), 1e-9);
    DOUBLES_EQUAL(-20.0, *parseTimeSpan("-20ms"), 1e-9);
}

// Guards against accepting texts of which only a prefix is a duration, or that are not finite.
TEST(time_span, malformedTextsAreRejected)
{
    for (const auto *text :
         {"", "s", "ms", "12", "1 s", "1sx", "1.5.2s", "infs", "nanms", "1e999s"}) {
        CHECK_FALSE(parseTimeSpan(text).has_value());
    }
}

// Guards against a wrong factor between seconds and the unit of the clock.
TEST(time_span, secondsAreConvertedToClockDuration)
{
    CHECK(fromSeconds(0.25) == milliseconds(250));
}
