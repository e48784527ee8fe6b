#include "config/declaration.h"
#include "base/random.h"
#include "config/internal/inidocument.h"

#include <CppUTest/TestHarness.h>
#include <filesystem>
#include <fstream>

using namespace hawthornpick;
using namespace hawthornpick::config;

namespace {

const std::string VALID = "[organisation north]\n"
                          "rate = 5.5\n"
                          "burst = 10\n"
                          "[key north-1]\n"
                          "organisation = north\n"
                          "sha256 = "
                          + base::toHex(base::sha256("north key"))
                          + "\n"
                            "[service kitchen]\n"
                            "floor = 0.5\n"
                            "[route read]\n"
                            "path = /recipes\n"
                            "methods = GET HEAD\n"
                            "service = kitchen\n"
                            "[route pay]\n"
                            "path = /payments\n"
                            "methods = POST\n"
                            "service = kitchen\n"
                            "idempotency_key = required\n";

auto parse(const std::string &text) -> declaration_result
{
    return parseDeclaration({{"set.ini", text}});
}

auto hasError(const declaration_result &result, const std::string &text) -> bool
{
    if (result) {
        return false;
    }
    for (const auto &item : result.error()) {
        if (toString(item).find(text) != std::string::npos) {
            return true;
        }
    }
    return false;
}

} // namespace

TEST_GROUP(declaration){};

TEST(declaration, validSetIsRead)
{
    const auto result = parse(VALID);
    CHECK(result.has_value());
    CHECK_EQUAL(5.5, result->organisations.at(0).rate);
    CHECK_EQUAL(2U, result->routes.size());
    CHECK(!result->routes.at(0).idempotent);
    CHECK(result->routes.at(0).idempotencyKey == idempotency_key_use::Required);
    CHECK(result->routes.at(1).idempotent);
}

// Guards against a loader that stops at the first error, which costs operators a round for each.
TEST(declaration, allErrorsAreReportedWithFileLineSectionAndKey)
{
    const auto result = parse("[organisation a]\n"
                              "rate = fast\n"
                              "burst = 0\n"
                              "colour = red\n"
                              "[key k]\n"
                              "organisation = nobody\n"
                              "sha256 = 12\n"
                              "[route r]\n"
                              "service = gone\n"
                              "access = public\n"
                              "[thing x]\n");
    CHECK(hasError(result, "set.ini:2: [organisation a] rate: `fast` is not a number"));
    CHECK(hasError(result, "set.ini:3: [organisation a] burst:"));
    CHECK(hasError(result, "set.ini:4: [organisation a] colour: key is not known here"));
    CHECK(hasError(result, "[key k] organisation: organisation `nobody` is not declared"));
    CHECK(hasError(result, "set.ini:7: [key k] sha256:"));
    CHECK(hasError(result, "[route r] service: service `gone` is not declared"));
    CHECK(hasError(result, "set.ini:10: [route r] access:"));
    CHECK(hasError(result, "set.ini:11: [thing x]"));
}

// Guards against two files that name the same thing, where the later one would silently win.
TEST(declaration, sectionInTwoFilesIsAnError)
{
    const auto result = parseDeclaration(
            {{"a.ini", VALID}, {"b.ini", "[organisation north]\nrate = 1\nburst = 1\n"}});
    CHECK(hasError(result, "b.ini:1: [organisation north] section stands already in a.ini:1"));
}

TEST(declaration, overlappingRoutesAndSharedDigestsAreErrors)
{
    CHECK(hasError(parse(VALID
                         + "[route other]\npath = /recipes\nservice = kitchen\n"
                           "methods = GET\n"),
                   "route `other` matches the same host and path for GET"));
    CHECK(hasError(parse(VALID + "[key north-2]\norganisation = north\nsha256 = "
                         + base::toHex(base::sha256("north key")) + "\n"),
                   "digest is the same as that of key `north-1`"));
}

TEST(declaration, repeatedValueAndValueOutsideSectionAreErrors)
{
    CHECK(hasError(parse("rate = 1\n" + VALID),
                   "set.ini:1: rate: value stands before any section"));
    CHECK(hasError(parse("[organisation a]\nrate = 1\nrate = 2\nburst = 1\n"),
                   "set.ini:3: [organisation a] rate: value is given twice, first in line 2"));
}

// Guards against a canonical form that depends on the order of files, which would make equal sets
// look different and a racing resend look like another change.
TEST(declaration, encodingIsCanonicalAndReversible)
{
    const auto whole = parse(VALID);
    const auto split = VALID.find("[service");
    const auto parts =
            parseDeclaration({{"b.ini", VALID.substr(split)}, {"a.ini", VALID.substr(0, split)}});
    CHECK(whole.has_value() && parts.has_value());
    CHECK(encode(*whole) == encode(*parts));
    CHECK(decode(encode(*whole)) == *whole);
    CHECK(!decode(encode(*whole) + "x"));
    CHECK(!decode(encode(*whole).substr(0, encode(*whole).size() - 1)));
}

TEST(declaration, differenceListsAddedRemovedAndChangedItems)
{
    const auto older = parse(VALID);
    auto newer = *older;
    newer.organisations.at(0).rate = 9;
    newer.keys.clear();
    newer.services.push_back({base::service_id("zoo")});
    const std::vector<std::string> expected{"~ organisation north", "- key north-1",
                                            "+ service zoo"};
    CHECK(describeDifference(*older, newer) == expected);
    CHECK(describeDifference(*older, *older).empty());
}

TEST(declaration, unreadableFolderIsAnError)
{
    const auto missing = readDeclarationFolder("/nonexistent/folder");
    CHECK(!missing.has_value());
    CHECK(toString(missing.error().at(0)).find("can't be read") != std::string::npos);
}

// Guards against crashes and endless loops of the loader on damaged files.
TEST(declaration, damagedTextNeverCrashesTheLoader)
{
    constexpr std::uint64_t SEED = 20261204;
    constexpr int ROUNDS = 3000;
    base::random_source random(SEED);
    for (int round = 0; round < ROUNDS; ++round) {
        auto text = VALID;
        const auto edits = 1 + random.below(8);
        for (std::uint64_t i = 0; i < edits; ++i) {
            const auto position = random.below(text.size());
            switch (random.below(3)) {
            case 0:
                text[position] = static_cast<char>(random.below(256));
                break;
            case 1:
                text.erase(position, random.below(20));
                break;
            default:
                text.insert(position, std::string(random.below(300), '['));
            }
            text += '\n';
        }
        const auto result = parse(text);
        if (!result) {
            CHECK(!result.error().empty());
        }
    }
}

TEST(declaration, tooLongLineIsReportedWithItsNumber)
{
    CHECK(hasError(parse(VALID + "; " + std::string(400, 'x') + "\n"),
                   "line is longer than 198 bytes"));
}
