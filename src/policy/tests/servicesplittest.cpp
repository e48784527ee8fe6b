#include "policy/servicesplit.h"

#include <CppUTest/TestHarness.h>

using namespace hawthornpick;

namespace {

auto dividedRoute() -> config::route
{
    config::route route;
    route.service = base::service_id("a");
    route.split = {{base::service_id("a"), 85}, {base::service_id("b"), 15}};
    return route;
}

} // namespace

TEST_GROUP(service_split){};

// Guards against a divided route whose requests all go to its first service.
TEST(service_split, keepsWeightsOverManyNodesWithFewRequests)
{
    double firstServiceCount = 0.0;
    constexpr int NODES = 83;
    constexpr int REQUESTS = 12;
    for (int node = 0; node < NODES; ++node) {
        policy::service_split split(static_cast<std::uint64_t>(node) + 1);
        for (int i = 0; i < REQUESTS; ++i) {
            firstServiceCount += split.choose(dividedRoute()) == base::service_id("a") ? 1.0 : 0.0;
        }
    }
    DOUBLES_EQUAL(0.85, firstServiceCount / (NODES * REQUESTS), 0.05);
}

// Guards against requests to a service whose weight operators have set to 0.
TEST(service_split, neverChoosesServiceWithWeightZero)
{
    auto route = dividedRoute();
    route.split.at(1).weight = 0;
    policy::service_split split(1);
    for (int i = 0; i < 1000; ++i) {
        STRCMP_EQUAL("a", split.choose(route).str().c_str());
    }
}

// Guards against a route that loses its service when it is not divided.
TEST(service_split, usesOwnServiceOfUndividedRoute)
{
    auto route = dividedRoute();
    route.split.clear();
    policy::service_split split(1);
    STRCMP_EQUAL("a", split.choose(route).str().c_str());
}
