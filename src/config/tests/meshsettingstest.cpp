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

// Guards against values of the template that end in the wrong place or unit, and against empty ones
// that count as given.
TEST(mesh_settings, readsWhatTheTemplateWrites)
{
    const auto read = config::parseMeshSettings("f", SETTINGS);
    CHECK(read.has_value());
    CHECK(read->stopTime == milliseconds(6000));
    CHECK(read->heartbeat == milliseconds(1500));
    CHECK(read->dataFolder.empty());
    CHECK(read->callerAddress.address.empty());
    CHECK(read->isFirstStart);
    CHECK_EQUAL(2, read->seeds.size());
    STRCMP_EQUAL("10.0.0.2", read->seeds.back().c_str());
    DOUBLES_EQUAL(62.0, read->repeatSlack, 0.0);
}

// Guards against settings of which only the first error is told.
TEST(mesh_settings, tellsAllErrorsAtOnce)
{
    const auto read = config::parseMeshSettings(
            "f", "[node]\nname = a\nregion = r\nfailure_domain = d\naddress = nowhere\n"
                 "peer_port = 70000\nstop_time = soon\nunknown = 1\n[listen]\ncontrol = x\n");
    CHECK(!read.has_value());
    CHECK_EQUAL(6, read.error().size());
}
