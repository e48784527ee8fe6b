#include "policy/placement.h"

#include <CppUTest/TestHarness.h>
#include <map>

using namespace hawthornpick;
using policy::placement;
using std::chrono::milliseconds;

namespace {

const base::service_id SERVICE("s");
const base::route_id ROUTE("r");

auto nodeOf(int index) -> base::node_id
{
    return base::node_id("n" + std::to_string(index));
}

auto entryOf(int index, const std::string &region) -> membership::node_entry
{
    membership::node_entry node;
    node.id = nodeOf(index);
    node.region = base::region_id(region);
    node.failureDomain = base::failure_domain_id(region + "-a");
    membership::upstream_entry upstream;
    upstream.id = base::upstream_id("u" + std::to_string(index));
    upstream.service = SERVICE;
    upstream.slots = 5;
    upstream.state = membership::upstream_state::Ready;
    node.upstreams = {upstream};
    return node;
}

auto loadOf(std::uint32_t busy, double health) -> policy::service_load
{
    return {5, busy, 0, milliseconds(300), health, 1.0};
}

} // namespace

TEST_GROUP(placement)
{
    base::time_point m_now{std::chrono::seconds(100)};
    placement m_placement{{nodeOf(0), base::region_id("near"), base::failure_domain_id("near-a")},
                          1};
    membership::view m_view{
            1, {entryOf(0, "near"), entryOf(1, "near"), entryOf(2, "near"), entryOf(3, "far")}};

    auto request(bool idempotent) const->policy::placement_request
    {
        policy::placement_request result;
        result.service = SERVICE;
        result.route = ROUTE;
        result.idempotent = idempotent;
        result.target = m_now + milliseconds(800);
        result.deadline = m_now + milliseconds(2000);
        result.expectedServiceTime = milliseconds(300);
        return result;
    }

    auto report(int node, std::uint32_t busy, double health)->void
    {
        m_placement.onLoad(nodeOf(node), SERVICE, loadOf(busy, health), m_now);
    }

    //! Counts the nodes that requests are sent to; each request ends at once.
    auto countPlacements(int count, bool idempotent)->std::map<base::node_id, int>
    {
        std::map<base::node_id, int> countByNode;
        for (int i = 0; i < count; ++i) {
            const auto chosen = m_placement.choose(m_view, request(idempotent), m_now);
            if (chosen) {
                ++countByNode[chosen->node->id];
                m_placement.onAttemptEnd(chosen->node->id, SERVICE, base::error_kind::CallerGone,
                                         {}, m_now);
            }
        }
        return countByNode;
    }
};

// Guards against requests to an upstream that hangs with high probability while others are free.
TEST(placement, avoidsUpstreamWithLowHealth)
{
    report(0, 1, 0.97);
    report(1, 1, 0.28);
    report(2, 1, 0.97);
    report(3, 1, 0.97);
    CHECK_EQUAL(0, countPlacements(200, true)[nodeOf(1)]);
}

// Guards against the loss of a request that is not idempotent: it is refused if no upstream is
// likely to respond.
TEST(placement, refusesNonIdempotentRequestIfAllUpstreamsHaveLowHealth)
{
    for (int node = 0; node < 4; ++node) {
        report(node, 0, 0.27);
    }
    const auto nonIdempotent = m_placement.choose(m_view, request(false), m_now);
    CHECK(!nonIdempotent);
    CHECK(nonIdempotent.error().kind == base::error_kind::Overloaded);
    CHECK(m_placement.choose(m_view, request(true), m_now).has_value());
}

// Guards against large responses from another region whose transfer costs more than the response is
// worth.
TEST(placement, keepsLargeResponsesInTheRegion)
{
    for (int i = 0; i < 50; ++i) {
        m_placement.onResponseBytes(ROUTE, 90'000);
    }
    for (int node = 0; node < 3; ++node) {
        report(node, 5, 0.9);
    }
    report(3, 0, 0.97);
    CHECK_EQUAL(0, countPlacements(100, true)[nodeOf(3)]);
}

// Guards against transfer costs while the own region has free slots.
TEST(placement, usesOtherRegionForSmallResponsesOnlyUnderLoad)
{
    for (int i = 0; i < 50; ++i) {
        m_placement.onResponseBytes(ROUTE, 400);
    }
    for (int node = 0; node < 3; ++node) {
        report(node, 1, 0.97);
    }
    report(3, 1, 0.97);
    const int remoteAtLowLoad = countPlacements(200, true)[nodeOf(3)];
    for (int node = 0; node < 3; ++node) {
        report(node, 5, 0.97);
    }
    report(3, 0, 0.97);
    CHECK(countPlacements(200, true)[nodeOf(3)] > remoteAtLowLoad);
}

// Guards against requests on a path that is cut for this node only: the path is avoided with an
// exponential backoff and used again once it responds.
TEST(placement, avoidsFailedPathWithExponentialBackoff)
{
    for (int node = 0; node < 4; ++node) {
        report(node, 1, 0.97);
    }
    m_placement.onAttemptEnd(nodeOf(1), SERVICE, base::error_kind::PeerUnreachable, {}, m_now);
    CHECK_EQUAL(0, countPlacements(100, true)[nodeOf(1)]);
    m_now += placement::FIRST_PATH_BACKOFF;
    for (int node = 0; node < 4; ++node) {
        report(node, 1, 0.97);
    }
    CHECK(countPlacements(100, true)[nodeOf(1)] > 0);
    m_placement.onAttemptEnd(nodeOf(1), SERVICE, base::error_kind::PeerUnreachable, {}, m_now);
    m_now += placement::FIRST_PATH_BACKOFF;
    for (int node = 0; node < 4; ++node) {
        report(node, 1, 0.97);
    }
    CHECK_EQUAL(0, countPlacements(100, true)[nodeOf(1)]);
}

// Guards against an upstream that gets no more requests after it stopped responding: the nodes
// together send each candidate several trial requests in ten seconds.
TEST(placement, sendsTrialsToUpstreamsWithLowHealth)
{
    m_placement.onResponseBytes(ROUTE, 500);
    int trials = 0;
    for (int i = 0; i < 100; ++i) {
        m_now += milliseconds(100);
        report(0, 1, 0.97);
        report(1, 1, 0.28);
        report(2, 1, 0.97);
        report(3, 1, 0.97);
        countPlacements(1, true);
        const auto *node = m_placement.chooseTrial(m_view, request(true), 1, m_now);
        if (node != nullptr) {
            STRCMP_EQUAL(nodeOf(1).str().c_str(), node->id.str().c_str());
            ++trials;
        }
    }
    CHECK_TEXT(trials >= 2 && trials <= 20, std::to_string(trials).c_str());
}

// Guards against a wave of requests to upstreams that have just started: the work of a failure
// domain returns, and each node sends a cold upstream its share of the cold rate only while warm
// ones have room.
TEST(placement, sendsColdUpstreamsTheirShareWhileOthersHaveRoom)
{
    constexpr int ENTRY_NODES = 10;
    constexpr double COLD_RATE = 5.0;
    constexpr int SECONDS = 40;
    auto item = request(true);
    item.entryNodeCount = ENTRY_NODES;
    int coldCount = 0;
    for (int step = 0; step < SECONDS * 50; ++step) {
        m_now += milliseconds(20);
        item.target = m_now + milliseconds(800);
        item.deadline = m_now + milliseconds(2000);
        for (int node : {0, 3}) {
            report(node, 4, 0.9);
        }
        for (int node : {1, 2}) {
            auto cold = loadOf(0, 0.97);
            cold.startRate = COLD_RATE;
            m_placement.onLoad(nodeOf(node), SERVICE, cold, m_now);
        }
        const auto placed = m_placement.choose(m_view, item, m_now);
        CHECK(placed.has_value());
        const auto id = placed->node->id;
        coldCount += id == nodeOf(1) || id == nodeOf(2) ? 1 : 0;
        m_placement.onAttemptEnd(id, SERVICE, base::error_kind::CallerGone, {}, m_now);
    }
    const double share = 2.0 * COLD_RATE / ENTRY_NODES * SECONDS;
    CHECK_TEXT(coldCount > share / 2 && coldCount <= share + 2, std::to_string(coldCount).c_str());
}

// Guards against requests that are refused here although a cold upstream would take them, and
// against further ones to an upstream that has just refused one as cold.
TEST(placement, usesColdUpstreamsBeyondTheShareOnlyAsLastResort)
{
    auto item = request(true);
    item.entryNodeCount = 1000;
    for (int node = 0; node < 4; ++node) {
        auto load = loadOf(node == 1 ? 0 : 5, 0.97);
        load.startRate = node == 1 ? 2.0 : -1.0;
        m_placement.onLoad(nodeOf(node), SERVICE, load, m_now);
    }
    STRCMP_EQUAL("n1", m_placement.choose(m_view, item, m_now)->node->id.str().c_str());
    m_placement.onAttemptEnd(nodeOf(1), SERVICE, base::error_kind::UpstreamCold, {}, m_now);
    CHECK(m_placement.choose(m_view, item, m_now)->node->id != nodeOf(1));
    item.excludedNodes = {nodeOf(0), nodeOf(2), nodeOf(3)};
    CHECK(m_placement.choose(m_view, item, m_now).error().kind == base::error_kind::UpstreamCold);
    m_now += milliseconds(500);
    CHECK(m_placement.choose(m_view, item, m_now).has_value());
}

// Guards against a refusal that calls an upstream cold that names a limit.
TEST(placement, refusalNamesTheLimitOfUpstreams)
{
    auto item = request(true);
    for (int node = 0; node < 4; ++node) {
        auto load = loadOf(0, 0.97);
        load.startRate = 2.0;
        m_placement.onLoad(nodeOf(node), SERVICE, load, m_now);
        m_placement.onAttemptEnd(nodeOf(node), SERVICE, base::error_kind::UpstreamLimited, {},
                                 m_now);
    }
    const auto placed = m_placement.choose(m_view, item, m_now);
    CHECK(!placed && placed.error().kind == base::error_kind::UpstreamLimited);
}
