#include "policy/placement.h"
#include "policy/selector.h"

#include "src/policy/tests/seeds.h"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <string>

using namespace hawthornpick;
using namespace hawthornpick::policy;
using std::chrono::milliseconds;

namespace {

const base::service_id SERVICE("s");
const base::route_id ROUTE("r");
constexpr int REGION_COUNT = 4;
constexpr int DOMAINS_PER_REGION = 2;
constexpr int STEPS = 300;

auto regionOf(std::uint64_t number) -> base::region_id
{
    return base::region_id("region" + std::to_string(number));
}

//! A fleet whose upstreams, loads, paths, allowed regions and evacuations change at random.
class changing_world
{
public:
    explicit changing_world(std::uint64_t seed) : m_random(seed)
    {
        const auto count = 2 + m_random.below(40);
        for (std::uint64_t i = 0; i < count; ++i) {
            membership::node_entry node;
            node.id = base::node_id("n" + std::to_string(i));
            const auto region = m_random.below(REGION_COUNT);
            node.region = regionOf(region);
            node.failureDomain = base::failure_domain_id(
                    node.region.str() + "-" + std::to_string(m_random.below(DOMAINS_PER_REGION)));
            membership::upstream_entry upstream;
            upstream.id = base::upstream_id("u" + std::to_string(i));
            upstream.service = SERVICE;
            upstream.slots = 3;
            node.upstreams = {upstream};
            m_nodes.push_back(node);
        }
        change();
    }

    auto change() -> void
    {
        for (auto &node : m_nodes) {
            node.upstreams.front().state = m_random.chance(0.8)
                                                   ? membership::upstream_state::Ready
                                                   : membership::upstream_state::Draining;
        }
        m_view = std::make_unique<membership::view>(++m_version, m_nodes);
        m_route.allowedRegions = randomRegions();
        m_organisation.allowedRegions = randomRegions();
        m_evacuations.items.clear();
        for (const auto &node : m_nodes) {
            if (m_random.chance(0.05) && !m_evacuations.contains(node.failureDomain)) {
                m_evacuations.items.push_back({node.failureDomain, 1});
            }
        }
    }

    auto random() -> base::random_source & { return m_random; }
    [[nodiscard]] auto view() const -> const membership::view & { return *m_view; }
    auto anyNode() -> const membership::node_entry &
    {
        return m_view->nodes().at(m_random.below(m_view->nodes().size()));
    }
    [[nodiscard]] auto scope() const -> placement_scope
    {
        return {&m_route, &m_organisation, m_evacuations};
    }

    [[nodiscard]] auto mayExecute(const membership::node_entry &node) const -> bool
    {
        return isRegionAllowed(node) && !m_evacuations.contains(node.failureDomain);
    }

    //! Returns the error for a request that no ready upstream may execute, or nothing if one may
    //! or none is ready.
    [[nodiscard]] auto expectedRefusal() const -> std::optional<base::error_kind>
    {
        std::optional<base::error_kind> refusal;
        for (const auto &node : m_view->nodes()) {
            if (node.upstreams.front().state != membership::upstream_state::Ready) {
                continue;
            }
            if (mayExecute(node)) {
                return std::nullopt;
            }
            if (isRegionAllowed(node)) {
                refusal = base::error_kind::UpstreamEvacuated;
            }
            refusal = refusal.value_or(base::error_kind::NoAllowedRegion);
        }
        return refusal;
    }

private:
    //! Names a region that doesn't exist now and then.
    auto randomRegions() -> std::vector<base::region_id>
    {
        std::vector<base::region_id> regions;
        for (std::uint64_t i = 0; i <= REGION_COUNT && m_random.chance(0.7); ++i) {
            if (m_random.chance(0.4)) {
                regions.push_back(regionOf(i));
            }
        }
        return regions;
    }

    [[nodiscard]] auto isRegionAllowed(const membership::node_entry &node) const -> bool
    {
        const auto allows = [&](const std::vector<base::region_id> &regions) {
            return regions.empty() || std::count(regions.begin(), regions.end(), node.region) > 0;
        };
        return allows(m_route.allowedRegions) && allows(m_organisation.allowedRegions);
    }

    base::random_source m_random;
    std::vector<membership::node_entry> m_nodes;
    std::unique_ptr<membership::view> m_view;
    std::uint64_t m_version = 0;
    config::route m_route;
    config::organisation m_organisation;
    base::evacuation_list m_evacuations;
};

auto isScopeError(base::error_kind kind) -> bool
{
    return kind == base::error_kind::NoAllowedRegion || kind == base::error_kind::UpstreamEvacuated;
}

//! Checks a choice, or its error, against the places that the request may use.
auto checkChoice(const changing_world &world, const membership::node_entry *chosen,
                 base::error_kind kind, std::uint64_t seed) -> void
{
    const auto text = testsupport::seedText(seed, "choice out of scope or wrong refusal");
    const auto expected = world.expectedRefusal();
    if (chosen != nullptr) {
        CHECK_TEXT(world.mayExecute(*chosen), text.asCharString());
        return;
    }
    if (expected) {
        CHECK_TEXT(kind == *expected, text.asCharString());
    } else {
        CHECK_TEXT(!isScopeError(kind), text.asCharString());
    }
}

auto randomLoad(base::random_source &random) -> service_load
{
    service_load load{
            3,  static_cast<std::uint32_t>(random.below(4)), 0, milliseconds(200), random.unit(),
            1.0};
    load.startRate = random.chance(0.2) ? 4.0 * random.unit() : -1.0;
    return load;
}

} // namespace

TEST_GROUP(residency){};

// Guards against a first attempt, retry, hedge or trial at a place where the request may not be
// executed, and against a refusal for its region while an allowed upstream is ready.
TEST(residency, placementNeverLeavesTheScope)
{
    testsupport::forEachSeed(60, [](std::uint64_t seed) {
        changing_world world(seed);
        auto &random = world.random();
        const auto self = world.anyNode();
        placement subject({self.id, self.region, self.failureDomain}, seed);
        subject.onResponseBytes(ROUTE, 100);
        base::time_point now{std::chrono::seconds(100)};
        for (int step = 0; step < STEPS; ++step) {
            now += milliseconds(random.below(200));
            if (random.chance(0.1)) {
                world.change();
            }
            subject.onLoad(world.anyNode().id, SERVICE, randomLoad(random), now);
            placement_request request;
            request.service = SERVICE;
            request.route = ROUTE;
            request.idempotent = random.chance(0.5);
            request.target = now + milliseconds(500);
            request.deadline = now + milliseconds(1000);
            request.expectedServiceTime = milliseconds(200);
            request.needsFreeSlot = random.chance(0.3);
            request.scope = world.scope();
            request.entryNodeCount = 1 + random.below(50);
            for (auto excluded = random.below(3); excluded > 0; --excluded) {
                request.excludedNodes.push_back(world.anyNode().id);
            }
            const auto placed = subject.choose(world.view(), request, now);
            checkChoice(world, placed ? placed->node : nullptr,
                        placed ? base::error_kind::NoUpstream : placed.error().kind, seed);
            const auto *trial =
                    subject.chooseTrial(world.view(), request, request.entryNodeCount, now);
            if (trial != nullptr) {
                checkChoice(world, trial, base::error_kind::NoUpstream, seed);
            }
            if (placed && random.chance(0.7)) {
                const auto failure = random.chance(0.3) ? std::optional(
                                             random.chance(0.5) ? base::error_kind::UpstreamCold
                                                                : base::error_kind::PeerUnreachable)
                                                        : std::nullopt;
                subject.onAttemptEnd(placed->node->id, SERVICE, failure, {}, now);
            }
        }
    });
}

// Guards against the same for declared fleets, also if the allowed region is not among the few
// nodes of other regions that a node uses by default.
TEST(residency, selectorNeverLeavesTheScope)
{
    testsupport::forEachSeed(60, [](std::uint64_t seed) {
        changing_world world(seed);
        auto &random = world.random();
        const auto self = world.anyNode();
        selector subject({self.id, self.region, 24, 3}, seed);
        base::time_point now{std::chrono::seconds(100)};
        for (int step = 0; step < STEPS; ++step) {
            now += milliseconds(random.below(200));
            if (random.chance(0.1)) {
                world.change();
            }
            selection_request request;
            request.service = SERVICE;
            request.idempotent = random.chance(0.5);
            request.scope = world.scope();
            const auto chosen = subject.choose(world.view(), request, now);
            checkChoice(world, chosen ? chosen->node : nullptr,
                        chosen ? base::error_kind::NoUpstream : chosen.error().kind, seed);
            if (chosen) {
                subject.onAnswer(SERVICE, chosen->node->id, randomLoad(random), now);
            }
        }
    });
}
