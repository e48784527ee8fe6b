#include "config/settings.h"

#include <CppUTest/TestHarness.h>

using namespace hawthornpick;
using namespace hawthornpick::config;

namespace {

const std::string VALID = "[node]\n"
                          "name = n1\n"
                          "host = h1\n"
                          "region = norte\n"
                          "failure_domain = norte-mty\n"
                          "data_folder = data\n"
                          "profile = fast-detection\n"
                          "[listen]\n"
                          "callers = 127.0.0.1:8080\n"
                          "peers = 127.0.0.1:7000\n"
                          "announce = 127.0.0.1:7001\n"
                          "operators = 127.0.0.1:7002\n"
                          "platform = 127.0.0.1:7003\n"
                          "[fleet]\n"
                          "secret = 0123456789abcdef\n"
                          "operator_key = fedcba9876543210\n"
                          "seed = n2@127.0.0.2:7000\n"
                          "controller = n1@127.0.0.1:7000\n"
                          "[witnesses norte]\n"
                          "witness = n1@127.0.0.1:7000\n"
                          "witness = n2@127.0.0.2:7000\n";

auto withoutLine(const std::string &line) -> std::string
{
    auto text = VALID;
    text.erase(text.find(line), line.size() + 1);
    return text;
}

auto firstError(const std::string &text) -> std::string
{
    const auto result = parseSettings("node.ini", text);
    return result ? "" : toString(result.error().front());
}

} // namespace

TEST_GROUP(settings_test){};

TEST(settings_test, validFileIsParsed)
{
    const auto result = parseSettings("node.ini", VALID);
    CHECK(result.has_value());
    CHECK(result->node == base::node_id("n1"));
    CHECK_EQUAL(7000, result->advertisedPeerAddress.port);
    CHECK(result->profile == policy_profile::FastDetection);
    CHECK_EQUAL(2U, result->witnesses.at(base::region_id("norte")).size());
}

TEST(settings_test, missingValuesAndIncompleteRolesAreErrors)
{
    STRCMP_CONTAINS("[node] host: value is missing; the key is required",
                    firstError(withoutLine("host = h1")).c_str());
    STRCMP_CONTAINS("node `n1` is listed as a controller, which requires a data folder",
                    firstError(withoutLine("data_folder = data")).c_str());
    STRCMP_CONTAINS("[fleet] secret: value is missing; the key is required",
                    firstError(withoutLine("secret = 0123456789abcdef")).c_str());
    STRCMP_CONTAINS("region `norte` of this node has no witness",
                    firstError(VALID.substr(0, VALID.find("[witnesses"))).c_str());
}

// Guards against a fleet secret that is short enough to be guessed.
TEST(settings_test, shortSecretIsAnError)
{
    auto text = VALID;
    text.replace(text.find("0123456789abcdef"), 16, "short");
    STRCMP_CONTAINS("value has 5 bytes; at least 16 are required", firstError(text).c_str());
}

TEST(settings_test, hostNamesAreNotAcceptedAsAddresses)
{
    auto text = VALID;
    text.replace(text.find("127.0.0.1:8080"), 14, "localhost:8080");
    STRCMP_CONTAINS("callers: `localhost:8080` is not an IP address", firstError(text).c_str());
}

TEST(settings_test, repeatedAndUnknownSectionsAreErrors)
{
    STRCMP_CONTAINS("node.ini:22: [node] section is repeated; each section may appear only once",
                    firstError(VALID + "[node]\nname = n2\n").c_str());
    STRCMP_CONTAINS(
            "node.ini:22: [nodes] section is unknown; allowed are [node], [listen], [fleet] "
            "and [witnesses REGION]",
            firstError(VALID + "[nodes]\n").c_str());
}

TEST(settings_test, invalidRegionNameOfWitnessesIsAnError)
{
    STRCMP_CONTAINS("[witnesses a b] witness: `a b` is not a valid region name",
                    firstError(VALID + "[witnesses a b]\nwitness = n1@127.0.0.1:7000\n").c_str());
}
