#include "policy/servicesplit.h"

#include "src/policy/tests/seeds.h"

#include <CppUTest/TestHarness.h>
#include <cmath>
#include <string>
#include <vector>

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

// Guards against a small part that is flooded or starved for a while although its share is right on
// average: requests arrive at 80 nodes at random, and the weights change.
TEST(service_split, keepsWeightsInEachWindow)
{
    constexpr std::size_t NODES = 80;
    constexpr int WINDOW = 300;
    constexpr int WINDOWS = 40;
    constexpr double MAX_DEVIATION = 0.05;
    double squares = 0.0;
    double squaresOfLots = 0.0;
    testsupport::forEachSeed(10, [&](std::uint64_t seed) {
        base::random_source random(seed);
        std::vector<policy::service_split> nodes;
        for (std::size_t node = 0; node < NODES; ++node) {
            nodes.emplace_back(seed * NODES + node);
        }
        for (int window = 0; window < WINDOWS; ++window) {
            auto route = dividedRoute();
            route.split.at(0).weight = window % 2 == 0 ? 85 : 170;
            const double share = window % 2 == 0 ? 0.85 : 170.0 / 185.0;
            int count = 0;
            for (int i = 0; i < WINDOW; ++i) {
                auto &node = nodes.at(random.below(NODES));
                count += node.choose(route) == base::service_id("a") ? 1 : 0;
            }
            const double deviation = static_cast<double>(count) / WINDOW - share;
            CHECK_TEXT(
                    std::abs(deviation) <= MAX_DEVIATION,
                    testsupport::seedText(seed, std::to_string(deviation).c_str()).asCharString());
            squares += deviation * deviation;
            squaresOfLots += share * (1.0 - share) / WINDOW;
        }
    });
    CHECK_TEXT(squares < 0.75 * squaresOfLots, std::to_string(squares / squaresOfLots).c_str());
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
