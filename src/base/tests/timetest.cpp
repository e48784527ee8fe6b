#include "base/time.h"

#include <CppUTest/TestHarness.h>

using namespace hawthornpick::base;

TEST_GROUP(time_span){};

// Guards against a time that is read in the wrong unit.
TEST(time_span, unitsAreRead)
{
    DOUBLES_EQUAL(1500.0, *parseTimeSpan("1500ms"), 1e-9);
    DOUBLES_EQUAL(2500.0, *parseTimeSpan("2.5s"), 1e-9);
    DOUBLES_EQUAL(-20.0, *parseTimeSpan("-20ms"), 1e-9);
}

// Guards against half-read texts that pass for a time.
TEST(time_span, otherTextsAreRejected)
{
    for (const auto *text :
         {"", "s", "ms", "12", "1 s", "1sx", "1.5.2s", "infs", "nanms", "1e999s"}) {
        CHECK_FALSE(parseTimeSpan(text).has_value());
    }
}

// Guards against errors of scale between seconds and the clock's unit.
TEST(time_span, secondsAreConverted)
{
    CHECK(fromSeconds(0.25) == milliseconds(250));
}
