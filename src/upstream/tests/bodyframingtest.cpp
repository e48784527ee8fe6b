#include "upstream/bodyframing.h"

#include <CppUTest/TestHarness.h>

using namespace hawthornpick::upstream;

TEST_GROUP(body_framing){};

// Guards against a body that loses bytes where the link splits a data event. An earlier version
// marked the end in the last byte of each event and dropped one byte for each split.
TEST(body_framing, bodyIsRestoredWhateverTheBordersOfEventsAre)
{
    const std::string body = "first part and second part";
    const auto wire = encodeBodyPart(body.substr(0, 10)) + encodeBodyPart(body.substr(10))
                      + encodeBodyPart({});
    for (std::size_t size = 1; size <= wire.size(); ++size) {
        body_decoder decoder;
        std::string got;
        for (std::size_t at = 0; at < wire.size(); at += size) {
            CHECK(!decoder.ended());
            got += decoder.decode(std::string_view(wire).substr(at, size));
        }
        CHECK(decoder.ended());
        STRCMP_EQUAL(body.c_str(), got.c_str());
    }
}

TEST(body_framing, truncatedBodyIsNotTakenForAWholeOne)
{
    const auto wire = encodeBodyPart("part");
    body_decoder decoder;
    decoder.decode(wire);
    CHECK(!decoder.ended());
}
