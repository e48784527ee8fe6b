#include "lease/leaseholder.h"
#include "lease/timing.h"
#include "lease/witness.h"
#include "tests/support/virtualnetwork.h"

#include <CppUTest/TestHarness.h>
#include <cstdlib>
#include <memory>

using namespace hawthornpick;
using namespace hawthornpick::lease;

namespace {

const std::vector<std::string> LEASE_NAMES{"rate/r/1", "rate/r/2"};

struct witness_fixture
{
    transfer::content_store store;
    transfer::content_exchange exchange{store, base::random_source(1)};
    std::unique_ptr<witness> instance;
};

// Simulates five witnesses and three nodes that compete for two named leases, with network faults,
// paused and restarted nodes, and clocks of different rates.
class lease_simulation
{
public:
    explicit lease_simulation(std::uint64_t seed)
        : m_network(seed, {.loss = 0.05, .duplication = 0.05}), m_random(seed * 31 + 7)
    {
        for (int i = 1; i <= 5; ++i) {
            m_witnessIds.emplace_back("w" + std::to_string(i));
        }
        for (const auto &id : m_witnessIds) {
            startWitness(id);
        }
        for (const char *id : {"h1", "h2", "h3"}) {
            startHolder(base::node_id(id));
        }
    }

    auto run(int stepCount) -> void
    {
        for (int i = 0; i < stepCount; ++i) {
            injectRandomFault();
            m_network.run(base::milliseconds(200), [this] { checkMutualExclusion(); });
        }
        // After the faults have ended, each lease is acquired again.
        m_network.healAll();
        m_network.setFaults({});
        for (const auto &[id, holder] : m_holders) {
            m_network.resume(id);
        }
        m_network.run(base::milliseconds(12000), [this] { checkMutualExclusion(); });
        for (const auto &name : LEASE_NAMES) {
            CHECK(countHolders(name) == 1);
        }
    }

private:
    // The clock rates of two nodes differ by about 4% at most, less than the 5% in
    // `GRANT_DURATION`.
    auto localTime(const base::node_id &id, base::time_point now) -> base::time_point
    {
        const auto [clockRate, isNew] = m_clockRates.try_emplace(id, 0.0);
        if (isNew) {
            clockRate->second = 0.98 + 0.04 * m_random.unit();
        }
        const auto localTicks =
                clockRate->second * static_cast<double>(now.time_since_epoch().count());
        return base::time_point(base::duration(static_cast<base::duration::rep>(localTicks)));
    }

    auto startWitness(const base::node_id &id) -> void
    {
        auto &fixture = m_witnesses[id];
        fixture = std::make_shared<witness_fixture>();
        fixture->instance =
                std::make_unique<witness>(witness_place{id,
                                                        base::region_id("r"),
                                                        ++m_lastIncarnation,
                                                        m_witnessIds,
                                                        {base::node_id("c")}},
                                          fixture->exchange, localTime(id, m_network.now()));
        // Answer of a controller, with which the witness recovers at once: the controllers are
        // always reachable in this test.
        wire::controller_answer answer;
        answer.region = "r";
        answer.asked_incarnation = static_cast<std::int64_t>(m_lastIncarnation);
        const auto payload =
                toMessage(id, base::channel::Currency, message_kind::ControllerAnswer, answer)
                        .payload;
        fixture->instance->receive(base::node_id("c"), payload, localTime(id, m_network.now()));
        m_network.attach(
                id,
                [this, fixture, id](const auto &from, auto, auto payload, auto now) {
                    return fixture->instance->receiveLease(from, payload, localTime(id, now));
                },
                [](auto) { return std::vector<base::outgoing_message>{}; });
    }

    auto startHolder(const base::node_id &id) -> void
    {
        const auto holder = std::make_shared<lease_holder>(
                node_place{id, base::region_id("r"), ++m_lastIncarnation, m_witnessIds},
                base::random_source(m_random.bits()));
        m_holders[id] = holder;
        for (const auto &name : LEASE_NAMES) {
            holder->want(name);
        }
        m_network.attach(
                id,
                [this, holder, id](const auto &from, auto, auto payload, auto now) {
                    return holder->receive(from, payload, localTime(id, now));
                },
                [this, holder, id](auto now) { return holder->tick(localTime(id, now)); });
    }

    auto injectRandomFault() -> void
    {
        const auto holderId = base::node_id("h" + std::to_string(1 + m_random.below(3)));
        const auto witnessId = m_witnessIds[m_random.below(m_witnessIds.size())];
        switch (m_random.below(8)) {
        case 0:
            m_network.cut(holderId, witnessId);
            break;
        case 1:
            m_network.cut(witnessId, holderId);
            break;
        case 2:
            m_network.healAll();
            break;
        case 3:
            m_network.pause(holderId);
            break;
        case 4:
            m_network.resume(holderId);
            break;
        case 5:
            startWitness(witnessId);
            break;
        case 6:
            startHolder(holderId);
            break;
        default:
            releaseAndReacquire(holderId);
            break;
        }
    }

    auto releaseAndReacquire(const base::node_id &id) -> void
    {
        const auto &name = LEASE_NAMES[m_random.below(LEASE_NAMES.size())];
        m_holders[id]->release(name);
        m_holders[id]->want(name);
    }

    auto countHolders(const std::string &name) -> int
    {
        int count = 0;
        for (const auto &[id, holder] : m_holders) {
            count += holder->holds(name, localTime(id, m_network.now())) ? 1 : 0;
        }
        return count;
    }

    auto checkMutualExclusion() -> void
    {
        for (const auto &name : LEASE_NAMES) {
            CHECK(countHolders(name) <= 1);
        }
    }

    testsupport::virtual_network m_network;
    base::random_source m_random;
    base::incarnation m_lastIncarnation = 0;
    std::vector<base::node_id> m_witnessIds;
    std::map<base::node_id, std::shared_ptr<witness_fixture>> m_witnesses;
    std::map<base::node_id, std::shared_ptr<lease_holder>> m_holders;
    std::map<base::node_id, double> m_clockRates;
};

} // namespace

TEST_GROUP(lease_holder_test){};

// Guards against two holders of one lease at the same time, and against a lease that no node
// acquires after the faults have ended. The environment variable HAWTHORNPICK_SEEDS sets the number
// of seeds.
TEST(lease_holder_test, leaseHasAtMostOneHolderAndIsAcquiredAfterFaults)
{
    const char *seedCountText = std::getenv("HAWTHORNPICK_SEEDS");
    const std::uint64_t seedCount =
            seedCountText == nullptr ? 20 : std::strtoull(seedCountText, nullptr, 10);
    for (std::uint64_t seed = 1; seed <= seedCount; ++seed) {
        UT_PRINT(("seed " + std::to_string(seed)).c_str());
        lease_simulation simulation(seed);
        simulation.run(200);
    }
}

// Guards against a lease that outlasts its grants: witnesses grant the first claim of the former
// process of a node, and the grants come late and are counted for the first claim of the new one.
TEST(lease_holder_test, grantsToAFormerProcessAreNotCounted)
{
    const base::node_id self("h");
    const std::vector<base::node_id> witnesses{base::node_id("w1"), base::node_id("w2"),
                                               base::node_id("w3")};
    const base::time_point start{std::chrono::hours(1)};
    lease_holder former({self, base::region_id("r"), 1, witnesses}, base::random_source(3));
    lease_holder restarted({self, base::region_id("r"), 2, witnesses}, base::random_source(4));
    former.want(LEASE_NAMES.front());
    restarted.want(LEASE_NAMES.front());
    const auto claims = former.tick(start);
    const auto restartedAt = start + base::milliseconds(200);
    restarted.tick(restartedAt);
    for (const auto &claim : claims) {
        auto payload = std::string_view(claim.payload);
        takeKind(payload);
        const auto request = base::decodeThrift<wire::lease_request>(payload);
        wire::lease_answer answer;
        for (const auto &item : request->items) {
            wire::lease_result result;
            result.name = item.name;
            result.epoch = item.epoch;
            result.round = item.round;
            result.granted = true;
            answer.results.push_back(result);
        }
        const auto grant = toMessage(self, base::channel::Lease, message_kind::LeaseAnswer, answer);
        former.receive(claim.to, grant.payload, restartedAt);
        restarted.receive(claim.to, grant.payload, restartedAt);
    }
    CHECK(former.holds(LEASE_NAMES.front(), restartedAt));
    CHECK(!restarted.holds(LEASE_NAMES.front(), restartedAt));
}
