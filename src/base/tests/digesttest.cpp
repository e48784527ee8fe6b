#include "base/digest.h"
#include "base/random.h"

#include <CppUTest/TestHarness.h>

using namespace hawthornpick::base;

TEST_GROUP(digest){};

// Guards against a digest that differs from standard SHA-256: the digests of keys made with other
// tools would not match.
TEST(digest, sha256MatchesPublishedVector)
{
    STRCMP_EQUAL("ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad",
                 toHex(sha256("abc")).c_str());
}

TEST(digest, hexAndBytesRoundTripAndRejectMalformedInput)
{
    const auto value = sha256("key");
    CHECK(digestFromHex(toHex(value)) == value);
    CHECK(!digestFromHex("zz"));
    CHECK(!digestFromHex(std::string(64, 'g')));
    CHECK(!digestFromHex(toHex(value) + "00"));
    CHECK(digestFromBytes(toBytes(value)) == value);
    CHECK(!digestFromBytes("short"));
}

TEST(digest, constantTimeComparisonDetectsChangeInAnyByte)
{
    const auto value = sha256("key");
    CHECK(equalConstantTime(value, value));
    for (auto &byte : value.bytes) {
        auto changed = value;
        changed.bytes.at(static_cast<std::size_t>(&byte - value.bytes.data())) ^= 1U;
        CHECK(!equalConstantTime(value, changed));
    }
}

// Guards against an ignored seed: failing randomised test runs could not be reproduced.
TEST(digest, equalSeedsGiveEqualRandomNumbers)
{
    random_source first(7);
    random_source second(7);
    random_source third(8);
    const auto value = first.bits();
    CHECK_EQUAL(value, second.bits());
    CHECK(value != third.bits());
}
