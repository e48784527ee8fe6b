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

TEST(declaration, validSetIsParsed)
{
    const auto result = parse(VALID);
    CHECK(result.has_value());
    CHECK_EQUAL(5.5, result->organisations.at(0).rate);
    CHECK_EQUAL(2U, result->routes.size());
    CHECK(!result->routes.at(0).idempotent);
    CHECK(result->routes.at(0).idempotencyKey == idempotency_key_use::Required);
    CHECK(result->routes.at(1).idempotent);
}

// Guards against a parser that stops at the first error; operators would then need one run for each
// error.
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
    CHECK(hasError(result,
                   "set.ini:4: [organisation a] colour: key is unknown; keys allowed in this "
                   "section: `burst`, `priority`, `rate`, `regions`, `weight`"));
    CHECK(hasError(result, "[key k] organisation: organisation `nobody` is not declared"));
    CHECK(hasError(result, "set.ini:7: [key k] sha256:"));
    CHECK(hasError(result, "[route r] service: service `gone` is not declared"));
    CHECK(hasError(result, "set.ini:10: [route r] access:"));
    CHECK(hasError(result, "set.ini:11: [thing x]"));
}

// Guards against two files that declare the same item, where the later file would silently override
// the earlier one.
TEST(declaration, sectionInTwoFilesIsAnError)
{
    const auto result = parseDeclaration(
            {{"a.ini", VALID}, {"b.ini", "[organisation north]\nrate = 1\nburst = 1\n"}});
    CHECK(hasError(result, "b.ini:1: [organisation north] section is already declared in a.ini:1; "
                           "each section may be declared only once"));
}

TEST(declaration, overlappingRoutesAndSharedDigestsAreErrors)
{
    CHECK(hasError(parse(VALID
                         + "[route other]\npath = /recipes\nservice = kitchen\n"
                           "methods = GET\n"),
                   "route `other` already matches any host and path `/recipes` for GET"));
    CHECK(hasError(parse(VALID + "[key north-2]\norganisation = north\nsha256 = "
                         + base::toHex(base::sha256("north key")) + "\n"),
                   "digest is already used by key `north-1`"));
}

TEST(declaration, repeatedValueAndValueOutsideSectionAreErrors)
{
    CHECK(hasError(parse("rate = 1\n" + VALID),
                   "set.ini:1: rate: key appears before the first section"));
    CHECK(hasError(
            parse("[organisation a]\nrate = 1\nrate = 2\nburst = 1\n"),
            "set.ini:3: [organisation a] rate: key is already set in line 2; it may be set only "
            "once in a section"));
}

// Guards against a route with large bodies that loses this property in the file or in the encoding.
TEST(declaration, largeBodiesAreDeclaredAndEncoded)
{
    const auto result = parse(VALID + "large_bodies = yes\n");
    CHECK(result.has_value());
    CHECK(result->routes.at(0).hasLargeBodies);
    CHECK(!result->routes.at(1).hasLargeBodies);
    CHECK(decode(encode(*result)) == *result);
    CHECK(hasError(parse(VALID + "large_bodies = huge\n"), "large_bodies"));
}

// Guards against lists of allowed regions that are lost, unsorted or silently corrected.
TEST(declaration, allowedRegionsAreDeclaredAndChecked)
{
    const auto result = parse(VALID
                              + "regions = south,  east\n[organisation far]\nrate = 1\n"
                                "burst = 1\nregions = west\n");
    CHECK(result.has_value());
    CHECK((result->routes.at(0).allowedRegions
           == std::vector{base::region_id("east"), base::region_id("south")}));
    CHECK(result->routes.at(1).allowedRegions.empty());
    CHECK((result->organisations.at(0).allowedRegions == std::vector{base::region_id("west")}));
    CHECK(decode(encode(*result)) == *result);
    CHECK(hasError(parse(VALID + "regions = east, south, east\n"),
                   "[route pay] regions: region `east` is repeated"));
    CHECK(hasError(parse(VALID + "regions = east,,south\n"), "regions: `` is not a region name"));
    CHECK(hasError(parse(VALID + "regions =\n"), "regions"));
    CHECK(hasError(parse(VALID + "regions = a b\n"), "regions: `a b` is not a region name"));
}

// Guards against an encoding that depends on the order of the files. Equal sets would then have
// different digests, and a concurrent resend would be taken for a different change.
TEST(declaration, encodingIsCanonicalAndReversible)
{
    const auto fromOneFile = parse(VALID);
    const auto splitPosition = VALID.find("[service");
    const auto fromTwoFiles = parseDeclaration(
            {{"b.ini", VALID.substr(splitPosition)}, {"a.ini", VALID.substr(0, splitPosition)}});
    CHECK(fromOneFile.has_value() && fromTwoFiles.has_value());
    CHECK(encode(*fromOneFile) == encode(*fromTwoFiles));
    CHECK(decode(encode(*fromOneFile)) == *fromOneFile);
    CHECK(!decode(encode(*fromOneFile) + "x"));
    CHECK(!decode(encode(*fromOneFile).substr(0, encode(*fromOneFile).size() - 1)));
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

// Guards against crashes and endless loops of the parser on malformed files.
TEST(declaration, malformedTextNeverCrashesTheParser)
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

TEST(declaration, overlongLineIsReportedWithItsLineNumber)
{
    CHECK(hasError(parse(VALID + "; " + std::string(400, 'x') + "\n"),
                   "set.ini:18: line has 402 bytes; at most 198 are allowed"));
}

// Guards against evacuations that are lost between nodes, change the digest of sets without any, or
// don't show up in the history.
TEST(declaration, evacuationsArePartOfTheSet)
{
    const auto plain = *parse(VALID);
    const auto evacuated = *parse(VALID + "[evacuation d2]\n[evacuation d1]\n");
    CHECK_EQUAL(2, evacuated.evacuations.size());
    CHECK(*decode(encode(evacuated)) == evacuated);
    CHECK(digestOf(plain) != digestOf(evacuated));
    CHECK(describeDifference(plain, evacuated)
          == (std::vector<std::string>{"+ evacuation d1", "+ evacuation d2"}));
    CHECK(evacuationsOf(evacuated, 3).contains(base::failure_domain_id("d2")));
    const auto domain = base::failure_domain_id("d1");
    const auto half = withEvacuation(evacuated, domain, false);
    CHECK_EQUAL(1, half.evacuations.size());
    CHECK(withEvacuation(withEvacuation(half, domain, true), domain, true) == evacuated);
    CHECK(hasError(parse(VALID + "[evacuation d1]\nsince = 1\n"), "since"));
}
