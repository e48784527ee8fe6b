#include "limits/tests/limitsfleet.h"

#include <CppUTest/TestHarness.h>

using namespace hawthornpick;
using namespace hawthornpick::limits;
using namespace hawthornpick::limits::testing;

namespace {

const base::organisation_id ORGANISATION("acme");

// A fleet of two regions with one organisation, without faults unless a test injects them.
class two_region_run
{
public:
    two_region_run(double rate, std::uint32_t burst)
        : m_fleet(7, 2, 3, {0.0, 0.0, 200us, 2ms}, false)
    {
        config::organisation organisation;
        organisation.id = ORGANISATION;
        organisation.rate = rate;
        organisation.burst = burst;
        m_fleet.accept({{organisation}, {}, {}, {}});
        m_fleet.deliverConfigurationToAll();
        m_fleet.network().run(3s);
        m_fleet.network().run(base::duration(
                std::chrono::milliseconds(static_cast<std::int64_t>(1100.0 * burst / rate))));
    }

    auto fleet() -> limits_fleet & { return m_fleet; }

    // Sends requests at a fixed interval to random nodes of one region. Returns the number
    // admitted.
    auto sendRequests(std::size_t region, int count, base::duration interval) -> int
    {
        m_admittedCount = 0;
        for (int i = 0; i < count; ++i) {
            auto &node = m_fleet.nodes()[region + 2 * m_fleet.random().below(3)];
            const auto countAdmitted = [this](admission_result result) {
                m_admittedCount += result.verdict == admission::Admitted ? 1 : 0;
            };
            const auto immediateResult = node.module->tokenCache().take(
                    ORGANISATION, m_fleet.clockOf(node), countAdmitted);
            if (immediateResult) {
                countAdmitted(*immediateResult);
            }
            m_fleet.network().run(interval);
        }
        m_fleet.network().run(500ms);
        return m_admittedCount;
    }

private:
    limits_fleet m_fleet;
    int m_admittedCount = 0;
};

} // namespace

TEST_GROUP(share_test){};

// Guards against a burst of 1 that no region can use because it is divided between the regions.
TEST(share_test, burstOfOneIsUsableInEitherRegion)
{
    two_region_run run(1.0, 1);
    LONGS_EQUAL(20, run.sendRequests(0, 20, 1200ms));
    CHECK(run.sendRequests(1, 20, 1200ms) >= 19);
    CHECK(run.sendRequests(0, 20, 1200ms) >= 19);
}

// Guards against refusals within the limit when all demand is in one region.
TEST(share_test, shareFollowsDemand)
{
    two_region_run run(100.0, 50);
    run.sendRequests(0, 200, 12ms);
    LONGS_EQUAL(1000, run.sendRequests(0, 1000, 12ms));
    run.sendRequests(1, 400, 12ms);
    LONGS_EQUAL(1000, run.sendRequests(1, 1000, 12ms));
}

// Guards against a borrowed share that expires while a partition separates the regions, although
// its demand stays.
TEST(share_test, shareStaysWithDemandDuringPartition)
{
    two_region_run run(100.0, 50);
    run.sendRequests(1, 400, 12ms);
    run.fleet().cutRegions(run.fleet().regions()[0], run.fleet().regions()[1]);
    run.fleet().cutRegions(run.fleet().regions()[1], run.fleet().regions()[0]);
    LONGS_EQUAL(10000, run.sendRequests(1, 10000, 12ms));
}

// Guards against state that is kept and messages that are sent for organisations without requests.
TEST(share_test, idleOrganisationHasNoStateAndNoMessages)
{
    two_region_run run(100.0, 50);
    run.sendRequests(0, 200, 12ms);
    run.fleet().network().run(std::chrono::minutes(7));
    for (const auto &node : run.fleet().nodes()) {
        CHECK_EQUAL(0U, node.module->tokenCache().size());
        CHECK_EQUAL(0U, node.module->allocatorSize());
    }
    const auto messagesBefore = run.fleet().network().sentMessages();
    run.fleet().network().run(10s);
    CHECK_EQUAL(messagesBefore, run.fleet().network().sentMessages());
}

// Guards against an entry node that uses a grant that expired while the node was paused.
TEST(share_test, pausedEntryNodeDoesNotUseAnExpiredGrant)
{
    two_region_run run(100.0, 200);
    auto &fleet = run.fleet();
    run.sendRequests(0, 300, 10ms);
    auto &node = fleet.nodes()[0];
    const auto ignoreResult = [](admission_result) {
    };
    bool isAnsweredAtOnce = false;
    for (int i = 0; i < 100 && !isAnsweredAtOnce; ++i) {
        isAnsweredAtOnce = node.module->tokenCache()
                                   .take(ORGANISATION, fleet.clockOf(node), ignoreResult)
                                   .has_value();
        fleet.network().run(3ms);
    }
    CHECK(isAnsweredAtOnce);
    for (auto &other : fleet.nodes()) {
        fleet.network().pause(other.id);
    }
    fleet.network().run(600ms);
    CHECK_FALSE(node.module->tokenCache()
                        .take(ORGANISATION, fleet.clockOf(node), ignoreResult)
                        .has_value());
}
