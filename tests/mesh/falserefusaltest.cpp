#include "tests/mesh/changingfleet.h"
#include "tests/mesh/meshcaller.h"

#include <CppUTest/TestHarness.h>
#include <iostream>

using namespace hawthornpick;
using meshtest::changing_fleet;
using meshtest::mesh_caller;

namespace {

constexpr testsupport::fleet_size FLEET_SIZE{3, 6};
constexpr int ROUNDS = 5;
//! Time after a restart in which the hubs learn of the nodes.
constexpr base::milliseconds OBSERVATION_TIME{3000};
constexpr unsigned TOO_MANY_REQUESTS = 429;

} // namespace

TEST_GROUP(false_refusals){};

// Guards against a node that refuses an organisation far below its limit, because a hub that has
// just started knows no node yet.
TEST(false_refusals, organisationFarBelowItsLimitIsAdmittedAfterRestarts)
{
    changing_fleet fleet("restart", FLEET_SIZE);
    auto &nodes = fleet.nodes();
    int refused = 0;
    for (int round = 0; round < ROUNDS; ++round) {
        for (int node = 0; node < FLEET_SIZE.cores + FLEET_SIZE.edges / 2; ++node) {
            nodes.kill(node);
        }
        for (int node = 0; node < FLEET_SIZE.cores + FLEET_SIZE.edges / 2; ++node) {
            nodes.start(node);
        }
        mesh_caller caller(nodes);
        const auto end = base::clock::now() + OBSERVATION_TIME;
        for (int i = 0; base::clock::now() < end; ++i) {
            const auto answer = caller.sendTo(i % FLEET_SIZE.edges, "GET", "/r/1");
            refused += answer && answer->status == TOO_MANY_REQUESTS ? 1 : 0;
        }
    }
    CHECK_EQUAL(0, refused);
}
