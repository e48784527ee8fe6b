#include "config/meshsettings.h"

#include <CppUTest/TestHarness.h>

using namespace hawthornpick;
using std::chrono::milliseconds;

namespace {

const std::string SETTINGS = "[node]\nname = core-a-1\nregion = r\nfailure_domain = r-a\n"
                             "address = 10.0.0.1\npeer_port = 7000\ndata_folder =\n"
                             "stop_time = 6s\n[listen]\ncontrol = 10.0.0.1:8367\ncallers =\n"
                             "[upstream]\nservice = s\naddress = 10.0.0.1:8363\n"
                             "heartbeat = 1500ms\n[fleet]\nfirst_start = true\n"
                             "secret = sixteen-bytes-or-more\nseed = 10.0.0.1:8367\n"
                             "seed = 10.0.0.2:8367\n[repeats]\nshare = 0.2\nslack = 62\n"
                             "window = 10s\n";

} // namespace

TEST_GROUP(mesh_settings){};

// Guards against values of the deployment template that are read into the wrong member or in the
// wrong unit, and against empty values that are taken as set.
TEST(mesh_settings, templateValuesAreParsed)
{
    const auto result = config::parseMeshSettings("f", SETTINGS);
    CHECK(result.has_value());
    CHECK(result->stopTime == milliseconds(6000));
    CHECK(result->heartbeat == milliseconds(1500));
    CHECK(result->dataFolder.empty());
    CHECK(result->callerAddress.address.empty());
    CHECK(result->isFirstStart);
    CHECK_EQUAL(2, result->seeds.size());
    STRCMP_EQUAL("10.0.0.2", result->seeds.back().c_str());
    DOUBLES_EQUAL(62.0, result->repeatSlack, 0.0);
}

// Guards against sections of the deployment that are read, but not kept.
TEST(mesh_settings, topologyAndLoadAreParsed)
{
    const auto result = config::parseMeshSettings(
            "f", SETTINGS
                         + "[topology]\ndomain = r-a:r\ndomain = q-a:q\n[load]\norder = cost\n"
                           "follow_remote_room = yes\n[platform]\noptions = base,drain\n");
    CHECK(result.has_value());
    CHECK_EQUAL(2, result->failureDomains.size());
    STRCMP_EQUAL("q", result->failureDomains.at(base::failure_domain_id("q-a")).str().c_str());
    CHECK(result->order == config::waiting_order::Cost);
    CHECK(result->followsRemoteRoom);
    CHECK_EQUAL(2, result->platformOptions.size());
}

TEST(mesh_settings, domainWithoutRegionIsAnError)
{
    const auto result = config::parseMeshSettings("f", SETTINGS + "[topology]\ndomain = r-a\n");
    CHECK(!result.has_value());
    CHECK_EQUAL(1, result.error().size());
}

// Guards against a parser that reports only the first error of a file.
TEST(mesh_settings, allErrorsAreReportedAtOnce)
{
    const auto result = config::parseMeshSettings(
            "f", "[node]\nname = a\nregion = r\nfailure_domain = d\naddress = nowhere\n"
                 "peer_port = 70000\nstop_time = soon\nunknown = 1\n[listen]\ncontrol = x\n");
    CHECK(!result.has_value());
    CHECK_EQUAL(6, result.error().size());
}

TEST(mesh_settings, repeatedAndUnknownSectionsAreErrors)
{
    const auto result =
            config::parseMeshSettings("f", SETTINGS + "[node]\nname = a\n[nodes]\nname = a\n");
    CHECK(!result.has_value());
    CHECK_EQUAL(2, result.error().size());
    STRCMP_EQUAL("f:25: [node] section is repeated or unknown; allowed, once each, are [node], "
                 "[listen], [upstream], [fleet], [repeats], [topology], [load] and [platform]",
                 toString(result.error().front()).c_str());
    STRCMP_EQUAL("f:27: [nodes] section is repeated or unknown; allowed, once each, are [node], "
                 "[listen], [upstream], [fleet], [repeats], [topology], [load] and [platform]",
                 toString(result.error().back()).c_str());
}
