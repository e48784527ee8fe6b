#include "policy/placementlimit.h"

#include <CppUTest/TestHarness.h>

using namespace hawthornpick;
using namespace hawthornpick::policy;
using std::chrono::milliseconds;

namespace {

const base::service_id SERVICE("s");
const base::region_id NEAR("near");
const base::region_id FAR("far");

auto rooms(const base::region_id &region, int count, double freeSlots, base::duration age)
        -> std::vector<upstream_room>
{
    return std::vector<upstream_room>(static_cast<std::size_t>(count),
                                      upstream_room{region, 8, freeSlots, age});
}

auto beliefOf(std::vector<upstream_room> near, const std::vector<upstream_room> &far)
        -> service_belief
{
    near.insert(near.end(), far.begin(), far.end());
    return service_belief(near);
}

} // namespace

TEST_GROUP(placement_limit)
{
    base::time_point m_now{std::chrono::seconds(100)};
    placement_limit m_limit{NEAR};

    auto limits(const service_belief &belief) const->placement_limits
    {
        return m_limit.limitsFor(SERVICE, belief, 0, m_now);
    }

    auto isFarOpen(const service_belief &belief) const->bool
    {
        return limits(belief).closedRegions.empty();
    }
};

// Guards against work that leaves a region with room, or goes to one without.
TEST(placement_limit, sendsWorkWhereRoomIs)
{
    const auto nearFull = rooms(NEAR, 4, -1.0, milliseconds(100));
    const auto nearFree = rooms(NEAR, 4, 4.0, milliseconds(100));
    const auto farFull = rooms(FAR, 4, 0.0, milliseconds(100));
    const auto farFree = rooms(FAR, 4, 4.0, milliseconds(100));
    CHECK(!isFarOpen(beliefOf(nearFree, farFree)));
    CHECK(m_limit.limitsFor(SERVICE, beliefOf(nearFree, farFree),
                            placement_limit::OWN_REGION_ATTEMPTS, m_now)
                  .closedRegions.empty());
    CHECK(isFarOpen(beliefOf(nearFull, farFree)));
    CHECK(!isFarOpen(beliefOf(nearFull, farFull)));
    CHECK_EQUAL(placement_limit::MAX_ATTEMPTS_WITH_ROOM,
                limits(beliefOf(nearFree, farFull)).maxAttempts);
    CHECK_EQUAL(placement_limit::MAX_ATTEMPTS, limits(beliefOf(nearFull, farFull)).maxAttempts);
}

// Guards against requests that are refused, or sent nowhere, for more than a second after the last
// sign that the own region was full, and against a service without upstreams in the own region that
// is limited.
TEST(placement_limit, forgetsFullUpstreamsWithinASecond)
{
    const auto old = rooms(NEAR, 4, 0.0, service_belief::MAX_FULL_AGE);
    CHECK(beliefOf(old, {}).roomIn(NEAR) == region_room::Unknown);
    const auto farFull = rooms(FAR, 4, 0.0, milliseconds(100));
    CHECK(isFarOpen(beliefOf({}, farFull)));
}

// Guards against work for a region that went silent: it is asked once in a while, or before a
// request is refused, and used again when it answers.
TEST(placement_limit, silentRegionsFadeToNearOnly)
{
    const auto nearFull = rooms(NEAR, 4, 0.0, milliseconds(100));
    const auto silent = beliefOf(nearFull, rooms(FAR, 4, 8.0, service_belief::MAX_FREE_AGE));
    CHECK(silent.roomIn(FAR) == region_room::Unknown);
    CHECK(isFarOpen(silent));
    m_limit.onSent(SERVICE, FAR, m_now);
    CHECK(!isFarOpen(silent));
    for (int i = 0; i < 10; ++i) {
        m_limit.onEnd(SERVICE, FAR, true);
    }
    m_now += placement_limit::MAX_EXPLORATION_INTERVAL - milliseconds(1);
    CHECK(!isFarOpen(silent));
    CHECK(m_limit.limitsFor(SERVICE, silent, placement_limit::MAX_ATTEMPTS - 1, m_now)
                  .closedRegions.empty());
    m_now += milliseconds(1);
    CHECK(isFarOpen(silent));
    m_limit.onSent(SERVICE, FAR, m_now);
    m_limit.onEnd(SERVICE, FAR, false);
    m_now += placement_limit::MIN_EXPLORATION_INTERVAL;
    CHECK(isFarOpen(silent));
    m_limit.onSent(SERVICE, FAR, m_now);
    CHECK(isFarOpen(beliefOf(nearFull, rooms(FAR, 4, 4.0, milliseconds(10)))));
}

// Guards against a region that counts as having room because one slot has just become free, and
// against one that counts as full because of one upstream.
TEST(placement_limit, singleUpstreamsDecideNothing)
{
    auto near = rooms(NEAR, 15, 0.0, milliseconds(100));
    near.push_back({NEAR, 8, 1.0, milliseconds(0)});
    CHECK(beliefOf(near, {}).roomIn(NEAR) == region_room::Full);
    std::vector<upstream_room> unknown(4, upstream_room{NEAR, 8});
    unknown.push_back({NEAR, 8, 0.0, milliseconds(0)});
    CHECK(beliefOf(unknown, {}).roomIn(NEAR) == region_room::Unknown);
}
