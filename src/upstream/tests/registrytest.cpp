#include "upstream/registry.h"

#include <CppUTest/TestHarness.h>

using namespace hawthornpick;
using membership::upstream_state;
using upstream::announce_result;
using upstream::upstream_registry;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const base::time_point START{seconds(1000)};
const base::node_id NODE("node");
const base::service_id UNKNOWN_SERVICE("unknown");

auto announcementOf(const std::string &name, upstream_state state, base::incarnation incarnation,
                    std::uint64_t sequence) -> upstream::announcement
{
    return {name,    base::service_id("service"), {"127.0.0.1", 8080}, 4, state, incarnation,
            sequence};
}

//! Registry of one process of the node.
class process
{
public:
    explicit process(upstream::initial_use use)
        : m_registry(
                NODE,
                [](const base::service_id &service) {
                    return service == UNKNOWN_SERVICE ? std::nullopt : std::optional(2U);
                },
                {}, upstream_registry::ANNOUNCEMENT_LIFE, policy::queue_order::Urgency, use)
    {}

    auto operator->() -> upstream_registry * { return &m_registry; }

    auto stateOf(const std::string &name) -> upstream_state
    {
        for (const auto &entry : m_registry.entries()) {
            if (entry.id.str() == NODE.str() + "/" + name) {
                return entry.state;
            }
        }
        return upstream_state::Gone;
    }

    auto announce(upstream_state state, base::incarnation incarnation, std::uint64_t sequence = 1,
                  const std::string &name = "u", base::time_point now = START) -> announce_result
    {
        return m_registry.announce(announcementOf(name, state, incarnation, sequence), now);
    }

    //! Checks that no announcement of the incarnation makes the upstream usable.
    auto checkHasLeft(base::incarnation incarnation) -> void
    {
        for (const std::uint64_t sequence : {0U, 1U, 100U}) {
            for (const auto state : {upstream_state::Starting, upstream_state::Ready}) {
                CHECK(announce(state, incarnation, sequence) == announce_result::Outdated);
            }
        }
        CHECK(stateOf("u") != upstream_state::Ready);
    }

private:
    upstream_registry m_registry;
};

//! A process that ends after it has told other nodes of its upstreams.
class former_process : public process
{
public:
    former_process() : process(upstream::initial_use::Allowed) {}
};

} // namespace

TEST_GROUP(upstream_registry){};

// Guards against use of an upstream before the node knows what its predecessor acknowledged.
TEST(upstream_registry, withholdsUpstreamsUntilUseIsAllowed)
{
    process successor(upstream::initial_use::Withheld);
    CHECK(successor.announce(upstream_state::Ready, 5) == announce_result::Accepted);
    CHECK(successor.stateOf("u") == upstream_state::Starting);
    successor->allowUse();
    CHECK(successor.stateOf("u") == upstream_state::Ready);
    CHECK(successor.announce(upstream_state::Ready, 5, 2) == announce_result::Accepted);
    CHECK(successor.stateOf("u") == upstream_state::Ready);
}

// Guards against an announcement of a service that doesn't exist, which puts the upstream at its
// address out of use for good, whether it comes before or after those of the upstream.
TEST(upstream_registry, unknownServiceDisplacesNoUpstream)
{
    for (const bool isFirst : {true, false}) {
        process node(upstream::initial_use::Allowed);
        auto odd = announcementOf("odd", upstream_state::Ready, 9, 1);
        odd.service = UNKNOWN_SERVICE;
        if (!isFirst) {
            CHECK(node.announce(upstream_state::Ready, 5) == announce_result::Accepted);
        }
        (void)node->announce(odd, START);
        CHECK(node.announce(upstream_state::Ready, 5, 2) == announce_result::Accepted);
        CHECK(node.stateOf("u") == upstream_state::Ready);
        CHECK(node.announce(upstream_state::Ready, 7, 1, "successor") == announce_result::Accepted);
        CHECK(node.stateOf("u") == upstream_state::Gone);
        CHECK(node.stateOf("successor") == upstream_state::Ready);
    }
}

// Guards against a late announcement that puts an upstream back into use after it left.
TEST(upstream_registry, rejectsUpstreamsThatLeftAFormerProcess)
{
    for (const bool isDrain : {false, true}) {
        former_process former;
        former.announce(upstream_state::Ready, 5, 10);
        if (isDrain) {
            former.announce(upstream_state::Draining, 5, 11);
        } else {
            former->withdraw("u", START);
        }
        process successor(upstream::initial_use::Withheld);
        successor->restore(former->entries(), START);
        successor->allowUse();
        successor.checkHasLeft(5);
        successor.checkHasLeft(4);
        CHECK(successor.announce(upstream_state::Ready, 6) == announce_result::Accepted);
        CHECK(successor.stateOf("u") == upstream_state::Ready);
    }
}

// Guards against the same if the late announcement arrives before the news of the departure.
TEST(upstream_registry, endsUseOfAnUpstreamWhoseDepartureIsLearnedLater)
{
    former_process former;
    former.announce(upstream_state::Ready, 5, 10);
    former->withdraw("u", START);
    process successor(upstream::initial_use::Allowed);
    CHECK(successor.announce(upstream_state::Ready, 5, 9) == announce_result::Accepted);
    successor->restore(former->entries(), START);
    successor.checkHasLeft(5);
}

// Guards against a drain that is forgotten once the upstream has been silent for long.
TEST(upstream_registry, drainHoldsAfterItsAnnouncementExpired)
{
    former_process current;
    current.announce(upstream_state::Ready, 5, 0);
    current.announce(upstream_state::Draining, 5, 0);
    current->expire(START + upstream_registry::ANNOUNCEMENT_LIFE + seconds(1));
    current.checkHasLeft(5);
}

// Guards against upstreams that are lost by the restart of their node although they didn't leave.
TEST(upstream_registry, acceptsUpstreamsThatDidNotLeaveAFormerProcess)
{
    former_process former;
    former.announce(upstream_state::Ready, 5, 10);
    former.announce(upstream_state::Ready, 8, 10, "silent");
    former->expire(START + upstream_registry::ANNOUNCEMENT_LIFE + seconds(1));
    process successor(upstream::initial_use::Withheld);
    successor->restore(former->entries(), START);
    successor->allowUse();
    CHECK(successor.stateOf("u") == upstream_state::Gone);
    CHECK(successor.announce(upstream_state::Ready, 5, 11) == announce_result::Accepted);
    CHECK(successor.stateOf("u") == upstream_state::Ready);
}

// Guards against a withdrawal that is acknowledged and has no effect, because the node has just
// started and not heard of the upstream yet.
TEST(upstream_registry, withdrawalOfAnUnknownUpstreamHolds)
{
    former_process former;
    former.announce(upstream_state::Ready, 5, 10);
    process successor(upstream::initial_use::Withheld);
    CHECK(successor->withdraw("u", START) == upstream::withdraw_result::Unknown);
    successor.checkHasLeft(5);
    successor->restore(former->entries(), START);
    successor->allowUse();
    successor.checkHasLeft(5);
    CHECK(successor.announce(upstream_state::Ready, 6) == announce_result::Accepted);

    process unrelated(upstream::initial_use::Allowed);
    unrelated->withdraw("u", START);
    unrelated.checkHasLeft(5);
    const auto end = START + upstream_registry::UNKNOWN_WITHDRAWAL_LIFE;
    CHECK(unrelated.announce(upstream_state::Ready, 6, 1, "u", end) == announce_result::Accepted);
}

// Guards against a departure that is said in an answer and undone by a heartbeat, that binds
// another incarnation, or that ends with the process.
TEST(upstream_registry, departureSaidInAnAnswerHolds)
{
    former_process node;
    const base::upstream_id id(NODE.str() + "/u");
    CHECK(node.announce(upstream_state::Ready, 5) == announce_result::Accepted);
    node->markLeaving(id, 4);
    CHECK(node.stateOf("u") == upstream_state::Ready);
    node->markLeaving(id, 5);
    CHECK(node.stateOf("u") == upstream_state::Draining);
    node.checkHasLeft(5);
    node->allowUse();
    CHECK(node.stateOf("u") == upstream_state::Draining);

    process successor(upstream::initial_use::Withheld);
    successor->restore(node->entries(), START);
    successor->allowUse();
    successor.checkHasLeft(5);
    CHECK(successor.announce(upstream_state::Ready, 6) == announce_result::Accepted);
    CHECK(successor.stateOf("u") == upstream_state::Ready);
}
