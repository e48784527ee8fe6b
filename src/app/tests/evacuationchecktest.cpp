#include "app/internal/evacuationcheck.h"

#include <CppUTest/TestHarness.h>

using namespace hawthornpick;
using app::evacuation_outcome;

namespace {

auto domain(const std::string &name) -> base::failure_domain_id
{
    return base::failure_domain_id(name);
}

auto makeNode(const std::string &name, const std::string &domainName, const std::string &service,
              membership::upstream_state state = membership::upstream_state::Ready)
        -> membership::node_entry
{
    membership::node_entry node;
    node.id = base::node_id(name);
    node.failureDomain = domain(domainName);
    membership::upstream_entry upstream;
    upstream.id = base::upstream_id(name + "/u");
    upstream.service = base::service_id(service);
    upstream.state = state;
    node.upstreams = {upstream};
    return node;
}

auto checkOn(std::vector<membership::node_entry> nodes, base::evacuation_list inForce = {})
        -> app::evacuation_check
{
    return {std::move(inForce), std::make_shared<const membership::view>(1, std::move(nodes)), {}};
}

auto outcomeOf(const app::evacuation_check &check, const std::string &name, bool starts = true)
        -> evacuation_outcome
{
    const auto refusal = check.refusalOf(domain(name), starts);
    return refusal ? refusal->outcome : evacuation_outcome::Acknowledged;
}

} // namespace

TEST_GROUP(evacuation_check){};

// Guards against orders with a misspelt name that are acknowledged and have no effect.
TEST(evacuation_check, refusesDomainsThatNobodyNames)
{
    auto check = checkOn({makeNode("a", "d1", "s"), makeNode("b", "d2", "s")});
    check.failureDomains[domain("d3")] = base::region_id("r");
    CHECK(outcomeOf(check, "d4") == evacuation_outcome::UnknownDomain);
    CHECK(outcomeOf(check, "d4", false) == evacuation_outcome::UnknownDomain);
    CHECK(outcomeOf(check, "") == evacuation_outcome::UnknownDomain);
    CHECK(outcomeOf(check, "d3") == evacuation_outcome::Acknowledged);
    CHECK(outcomeOf(check, "d1", false) == evacuation_outcome::Acknowledged);
}

// Guards against an order that leaves a service without upstreams: directly, or because the others
// are evacuated, not ready or on nodes that are gone.
TEST(evacuation_check, refusesTheLastDomainOfAService)
{
    CHECK(outcomeOf(checkOn({makeNode("a", "d1", "s"), makeNode("b", "d2", "t")}), "d1")
          == evacuation_outcome::LastDomain);
    CHECK(outcomeOf(checkOn({makeNode("a", "d1", "s"), makeNode("b", "d2", "s")},
                            {1, {{domain("d2"), 0}}}),
                    "d1")
          == evacuation_outcome::LastDomain);
    CHECK(outcomeOf(checkOn({makeNode("a", "d1", "s"),
                             makeNode("b", "d2", "s", membership::upstream_state::Starting)}),
                    "d1")
          == evacuation_outcome::LastDomain);
    auto dead = makeNode("b", "d2", "s");
    dead.state = membership::node_state::Dead;
    CHECK(outcomeOf(checkOn({makeNode("a", "d1", "s"), dead}), "d1")
          == evacuation_outcome::LastDomain);
}

// Guards against refusing a domain whose services have upstreams elsewhere or none that are ready,
// and the repeat or the end of an order in force.
TEST(evacuation_check, allowsOtherOrders)
{
    CHECK(outcomeOf(checkOn({makeNode("a", "d1", "s"), makeNode("b", "d2", "s")}), "d1")
          == evacuation_outcome::Acknowledged);
    CHECK(outcomeOf(checkOn({makeNode("a", "d1", "s", membership::upstream_state::Draining)}), "d1")
          == evacuation_outcome::Acknowledged);
    const auto evacuated = checkOn({makeNode("a", "d1", "s")}, {1, {{domain("d1"), 0}}});
    CHECK(outcomeOf(evacuated, "d1") == evacuation_outcome::Acknowledged);
    CHECK(outcomeOf(evacuated, "d1", false) == evacuation_outcome::Acknowledged);
}
