#include "upstream/bodyframing.h"

#include <CppUTest/TestHarness.h>

using namespace hawthornpick::upstream;

TEST_GROUP(body_framing){};

// Guards against the loss of body bytes where the link splits a data event. An end-of-body flag in
// the last byte of each event loses one byte for each split.
TEST(body_framing, bodyIsDecodedForEverySplitIntoDataEvents)
{
    const std::string body = "first part and second part";
    const auto encoded = encodeBodyPart(body.substr(0, 10)) + encodeBodyPart(body.substr(10))
                         + encodeBodyPart({});
    for (std::size_t eventSize = 1; eventSize <= encoded.size(); ++eventSize) {
        body_decoder decoder;
        std::string decoded;
        for (std::size_t offset = 0; offset < encoded.size(); offset += eventSize) {
            CHECK(!decoder.ended());
            decoded += decoder.decode(std::string_view(encoded).substr(offset, eventSize));
        }
        CHECK(decoder.ended());
        STRCMP_EQUAL(body.c_str(), decoded.c_str());
    }
}

TEST(body_framing, truncatedBodyIsNotReportedAsEnded)
{
    const auto encoded = encodeBodyPart("part");
    body_decoder decoder;
    decoder.decode(encoded);
    CHECK(!decoder.ended());
}
