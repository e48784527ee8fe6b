#include "limits/tests/limitsfleet.h"

#include <CppUTest/TestHarness.h>

using namespace hawthornpick;
using namespace hawthornpick::limits;
using namespace hawthornpick::limits::testing;

namespace {

const base::organisation_id ORGANISATION("acme");

// A fleet of two regions with one organisation, without faults unless a test adds them.
class share_run
{
public:
    share_run(double rate, std::uint32_t burst) : m_fleet(7, 2, 3, {0.0, 0.0, 200us, 2ms}, false)
    {
        config::organisation item;
        item.id = ORGANISATION;
        item.rate = rate;
        item.burst = burst;
        m_fleet.accept({{item}, {}, {}, {}});
        m_fleet.deliverConfigurationToAll();
        m_fleet.network().run(3s);
        m_fleet.network().run(base::duration(
                std::chrono::milliseconds(static_cast<std::int64_t>(1100.0 * burst / rate))));
    }

    auto fleet() -> limits_fleet & { return m_fleet; }

    // Sends requests at even distances to the nodes of one region; returns those admitted.
    auto send(std::size_t region, int count, base::duration distance) -> int
    {
        m_admitted = 0;
        for (int i = 0; i < count; ++i) {
            auto &node = m_fleet.nodes()[region + 2 * m_fleet.random().below(3)];
            const auto count = [this](admission_result result) {
                m_admitted += result.verdict == admission::Admitted ? 1 : 0;
            };
            const auto now = node.module->tokens().take(ORGANISATION, m_fleet.clockOf(node), count);
            if (now) {
                count(*now);
            }
            m_fleet.network().run(distance);
        }
        m_fleet.network().run(500ms);
        return m_admitted;
    }

private:
    limits_fleet m_fleet;
    int m_admitted = 0;
};

} // namespace

TEST_GROUP(share_test){};

// Guards against a burst of 1 that no region can use because it is divided between them.
TEST(share_test, burstOfOneIsUsableInEitherRegion)
{
    share_run run(1.0, 1);
    LONGS_EQUAL(20, run.send(0, 20, 1200ms));
    CHECK(run.send(1, 20, 1200ms) >= 19);
    CHECK(run.send(0, 20, 1200ms) >= 19);
}

// Guards against refusals when all demand is in one region.
TEST(share_test, shareFollowsDemand)
{
    share_run run(100.0, 50);
    run.send(0, 200, 12ms);
    LONGS_EQUAL(1000, run.send(0, 1000, 12ms));
    run.send(1, 400, 12ms);
    LONGS_EQUAL(1000, run.send(1, 1000, 12ms));
}

// Guards against a share that falls back while the regions have no contact.
TEST(share_test, shareStaysWithDemandDuringACut)
{
    share_run run(100.0, 50);
    run.send(1, 400, 12ms);
    run.fleet().cutRegions(run.fleet().regions()[0], run.fleet().regions()[1]);
    run.fleet().cutRegions(run.fleet().regions()[1], run.fleet().regions()[0]);
    LONGS_EQUAL(10000, run.send(1, 10000, 12ms));
}

// Guards against state and messages for organisations without requests.
TEST(share_test, idleOrganisationHasNoStateAndNoMessages)
{
    share_run run(100.0, 50);
    run.send(0, 200, 12ms);
    run.fleet().network().run(std::chrono::minutes(7));
    for (const auto &node : run.fleet().nodes()) {
        CHECK_EQUAL(0U, node.module->tokens().size());
        CHECK_EQUAL(0U, node.module->allocatorSize());
    }
    const auto before = run.fleet().network().sentMessages();
    run.fleet().network().run(10s);
    CHECK_EQUAL(before, run.fleet().network().sentMessages());
}

// Guards against an entry node that uses a grant which ended while it was paused.
TEST(share_test, pausedEntryNodeDoesNotUseAnExpiredGrant)
{
    share_run run(100.0, 200);
    auto &fleet = run.fleet();
    run.send(0, 300, 10ms);
    auto &node = fleet.nodes()[0];
    const auto ignore = [](admission_result) {
    };
    bool instant = false;
    for (int i = 0; i < 100 && !instant; ++i) {
        instant = node.module->tokens().take(ORGANISATION, fleet.clockOf(node), ignore).has_value();
        fleet.network().run(3ms);
    }
    CHECK(instant);
    for (auto &each : fleet.nodes()) {
        fleet.network().pause(each.id);
    }
    fleet.network().run(600ms);
    CHECK_FALSE(node.module->tokens().take(ORGANISATION, fleet.clockOf(node), ignore).has_value());
}
