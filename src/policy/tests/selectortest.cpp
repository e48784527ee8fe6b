#include "policy/selector.h"

#include "src/policy/tests/seeds.h"

#include <CppUTest/TestHarness.h>
#include <map>
#include <string>

using namespace hawthornpick;
using namespace hawthornpick::policy;
using namespace std::chrono_literals;

namespace {

const base::service_id SERVICE("cocina");
const base::organisation_id ORGANISATION("large");

auto nodeOf(const std::string &name, const std::string &region, std::uint32_t slots = 5)
        -> membership::node_entry
{
    membership::node_entry node;
    node.id = base::node_id(name);
    node.region = base::region_id(region);
    node.upstreams = {{base::upstream_id(name + "/u"), SERVICE, slots,
                       membership::upstream_state::Ready, false, 1, 1}};
    return node;
}

} // namespace

TEST_GROUP(selector)
{
    selector nodeSelector{
            {base::node_id("entry"), base::region_id("norte"), 24, 8, 1000, 0.01, 0.0}, 1};
    std::vector<membership::node_entry> nodes;
    std::uint64_t version = 0;
    std::unique_ptr<membership::view> view;
    base::time_point now{1h};
    selection_request request{SERVICE, ORGANISATION, 5000ms, true, 100, {}};

    void setup() override
    {
        for (const auto *name : {"n1", "n2", "n3", "n4"}) {
            nodes.push_back(nodeOf(name, "norte"));
        }
        nodes.push_back(nodeOf("b1", "bajio"));
        nodes.push_back(nodeOf("b2", "bajio"));
        publish();
    }

    auto publish()->void
    {
        view = std::make_unique<membership::view>(++version, nodes);
    }

    auto choose()->base::result<selection>
    {
        return nodeSelector.choose(*view, request, now);
    }

    //! Chooses `count` times, with a response of an idle node each time; returns the count per
    //! node.
    auto countChoices(int count)->std::map<std::string, int>
    {
        std::map<std::string, int> chosen;
        for (int i = 0; i < count; ++i) {
            const auto target = choose().value();
            ++chosen[target.node->id.str()];
            nodeSelector.onAnswer(SERVICE, target.node->id, {5, 0, 0, 10ms}, now);
        }
        return chosen;
    }

    auto eject(const std::string &name, bool ejected)->void
    {
        for (auto &node : nodes) {
            if (node.id.str() == name) {
                node.upstreams.front().ejected = ejected;
            }
        }
        publish();
    }
};

// Guards against use of the metered link while the own region has free slots, and against an uneven
// distribution.
TEST(selector, distributesRequestsOverOwnRegion)
{
    const auto chosen = countChoices(4000);
    CHECK_EQUAL(4U, chosen.size());
    for (const auto &[name, count] : chosen) {
        CHECK_EQUAL('n', name.front());
        CHECK(count > 800 && count < 1200);
    }
    CHECK_EQUAL(0U, nodeSelector.chargedRegionLinkBytes());
}

// Guards against a queue that grows on one node while other nodes have free slots.
TEST(selector, prefersShorterExpectedWait)
{
    (void)countChoices(100);
    for (int i = 0; i < 100; ++i) {
        nodeSelector.onAnswer(SERVICE, base::node_id("n1"), {5, 5, 20, 10ms}, now);
        const auto target = choose().value();
        CHECK(target.node->id.str() != "n1");
        nodeSelector.onAnswer(SERVICE, target.node->id, {5, 1, 0, 10ms}, now);
    }
}

// Guards against a second attempt at a node that has refused the request, and against retries when
// a service is full on all nodes.
TEST(selector, avoidsExcludedAndFullNodes)
{
    nodes.resize(4);
    publish();
    const std::vector<base::node_id> excludedNodes{base::node_id("n1"), base::node_id("n2")};
    request.excludedNodes = excludedNodes;
    nodeSelector.choose(*view, request, now).value();
    nodeSelector.onRefusal(SERVICE, base::node_id("n3"), ORGANISATION, base::error_kind::QueueFull,
                           now);
    for (int i = 0; i < 20; ++i) {
        CHECK_EQUAL(std::string("n4"), choose().value().node->id.str());
    }
    nodeSelector.onRefusal(SERVICE, base::node_id("n4"), ORGANISATION, base::error_kind::QueueFull,
                           now);
    CHECK(choose().error().kind == base::error_kind::QueueFull);
    now += 100ms;
    CHECK(choose().has_value());
}

// Guards against refusals of all organisations because the queues are full for one that floods
// them.
TEST(selector, queueFullForOneOrganisationAcceptsOthers)
{
    for (const auto &node : nodes) {
        nodeSelector.onRefusal(SERVICE, node.id, ORGANISATION, base::error_kind::QueueFull, now);
    }
    (void)choose();
    for (const auto &node : nodes) {
        nodeSelector.onRefusal(SERVICE, node.id, ORGANISATION, base::error_kind::QueueFull, now);
    }
    CHECK(choose().error().kind == base::error_kind::QueueFull);
    request.organisation = base::organisation_id("small");
    CHECK(choose().has_value());
}

// Guards against refusals after a region lost its capacity, and against use of the link above its
// byte budget.
TEST(selector, usesOtherRegionWithinByteBudget)
{
    for (auto &node : nodes) {
        const bool own = node.region.str() == "norte";
        node.upstreams.front().state =
                own ? membership::upstream_state::Draining : membership::upstream_state::Ready;
    }
    publish();
    for (int i = 0; i < 10; ++i) {
        CHECK(choose().value().isOtherRegion);
    }
    CHECK(choose().error().kind == base::error_kind::RegionLinkBusy);
    CHECK_EQUAL(1000U, nodeSelector.chargedRegionLinkBytes());
    now += 500ms;
    CHECK(choose().value().isOtherRegion);
}

// Guards against overload of the own region while another one has free slots.
TEST(selector, usesOtherRegionIfOwnRegionIsOverloaded)
{
    (void)countChoices(100);
    for (const auto *name : {"n1", "n2", "n3", "n4"}) {
        nodeSelector.onAnswer(SERVICE, base::node_id(name), {5, 5, 5, 10ms}, now);
    }
    CHECK(choose().value().isOtherRegion);
}

// Guards against overloading an upstream right after its start.
TEST(selector, newUpstreamWarmsUp)
{
    (void)countChoices(10);
    nodes.push_back(nodeOf("n5", "norte"));
    publish();
    int cold = 0;
    int warm = 0;
    for (int i = 0; i < 400; ++i) {
        cold += choose().value().node->id.str() == "n5" ? 1 : 0;
    }
    for (const auto &node : nodes) {
        for (int i = 0; i < 500; ++i) {
            nodeSelector.onAnswer(SERVICE, node.id, {5, 0, 0, 10ms}, now);
        }
    }
    now += 5s;
    warm = countChoices(400)["n5"];
    CHECK(cold < warm / 2);
    CHECK(warm > 40);
}

// Guards against requests to ejected upstreams beyond the share of probes.
TEST(selector, ejectedUpstreamGetsOnlyIdempotentProbes)
{
    eject("n1", true);
    const int probes = countChoices(4000)["n1"];
    CHECK(probes > 10 && probes < 90);
    request.idempotent = false;
    CHECK_EQUAL(0, countChoices(1000)["n1"]);
}

// Guards against an error that does not tell an operator why no upstream takes requests.
TEST(selector, errorNamesReasonWithoutUsableUpstream)
{
    request.idempotent = false;
    for (const auto *name : {"n1", "n2", "n3", "n4", "b1", "b2"}) {
        eject(name, true);
    }
    CHECK(choose().error().kind == base::error_kind::UpstreamEjected);
    nodes.clear();
    publish();
    CHECK(choose().error().kind == base::error_kind::NoUpstream);
}

// Guards against a network hop for each request although the own upstream is free, and against
// overloading the own upstream.
TEST(selector, prefersOwnUpstreamAtLowLoad)
{
    nodes.push_back(nodeOf("entry", "norte"));
    publish();
    CHECK_EQUAL(200, countChoices(200)["entry"]);
    for (int i = 0; i < 50; ++i) {
        nodeSelector.onAnswer(SERVICE, base::node_id("entry"), {5, 5, 5, 10ms}, now);
        const auto target = choose().value().node->id;
        CHECK(target.str() != "entry");
        nodeSelector.onAnswer(SERVICE, target, {5, 0, 0, 10ms}, now);
    }
}

// Guards against organisations that are served by one upstream only, so that a failing upstream
// can't be told from a failing organisation.
TEST(selector, sendsComparisonShareToOtherUpstreams)
{
    nodes.push_back(nodeOf("entry", "norte"));
    publish();
    selector comparingSelector{
            {base::node_id("entry"), base::region_id("norte"), 24, 8, 1000, 0.01}, 1};
    int elsewhere = 0;
    for (int i = 0; i < 2000; ++i) {
        const auto target = comparingSelector.choose(*view, request, now).value();
        elsewhere += target.node->id.str() == "entry" ? 0 : 1;
        comparingSelector.onAnswer(SERVICE, target.node->id, {5, 0, 0, 10ms}, now);
    }
    // A quarter of the requests may be sent to other upstreams, less those for which the own
    // upstream is drawn.
    CHECK(elsewhere > 200 && elsewhere < 600);
}

// Guards against an order that differs between runs or changes when an unrelated node leaves.
TEST(selector, rendezvousOrderIsStable)
{
    std::vector<base::node_id> ids;
    for (int i = 0; i < 50; ++i) {
        ids.emplace_back("node" + std::to_string(i));
    }
    const auto full = rendezvousOrder("subject", ids);
    CHECK(full == rendezvousOrder("subject", {ids.rbegin(), ids.rend()}));
    std::erase(ids, full.at(7));
    auto expected = full;
    expected.erase(expected.begin() + 7);
    CHECK(rendezvousOrder("subject", ids) == expected);
}
