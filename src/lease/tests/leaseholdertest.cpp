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

const std::vector<std::string> NAMES{"rate/r/1", "rate/r/2"};

struct witness_host
{
    transfer::content_store store;
    transfer::content_exchange exchange{store, base::random_source(1)};
    std::unique_ptr<witness> role;
};

// Five witnesses and three candidates for two names, with faults and clocks of different rates.
class lease_fleet
{
public:
    explicit lease_fleet(std::uint64_t seed)
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

    auto run(int steps) -> void
    {
        for (int i = 0; i < steps; ++i) {
            disturb();
            m_network.run(base::milliseconds(200), [this] { check(); });
        }
        // A lease is found again after the faults ended.
        m_network.healAll();
        m_network.setFaults({});
        for (const auto &[id, holder] : m_holders) {
            m_network.resume(id);
        }
        m_network.run(base::milliseconds(12000), [this] { check(); });
        for (const auto &name : NAMES) {
            CHECK(countHolders(name) == 1);
        }
    }

private:
    // Rates differ by at most 4%, less than the 5% that the granter allows.
    auto localTime(const base::node_id &id, base::time_point now) -> base::time_point
    {
        const auto [rate, isNew] = m_rates.try_emplace(id, 0.0);
        if (isNew) {
            rate->second = 0.98 + 0.04 * m_random.unit();
        }
        const auto local = rate->second * static_cast<double>(now.time_since_epoch().count());
        return base::time_point(base::duration(static_cast<base::duration::rep>(local)));
    }

    auto startWitness(const base::node_id &id) -> void
    {
        auto &host = m_witnesses[id];
        host = std::make_shared<witness_host>();
        host->role = std::make_unique<witness>(
                witness_place{
                        id, base::region_id("r"), ++m_life, m_witnessIds, {base::node_id("c")}},
                host->exchange, localTime(id, m_network.now()));
        // Stands for the controllers, which are always there in this test.
        wire::controller_answer answer;
        answer.region = "r";
        answer.asked_incarnation = static_cast<std::int64_t>(m_life);
        const auto payload =
                toMessage(id, base::channel::Currency, message_kind::ControllerAnswer, answer)
                        .payload;
        host->role->receive(base::node_id("c"), payload, localTime(id, m_network.now()));
        m_network.attach(
                id,
                [this, host, id](const auto &from, auto, auto payload, auto now) {
                    return host->role->receiveLease(from, payload, localTime(id, now));
                },
                [](auto) { return std::vector<base::outgoing_message>{}; });
    }

    auto startHolder(const base::node_id &id) -> void
    {
        const auto holder = std::make_shared<lease_holder>(
                node_place{id, base::region_id("r"), ++m_life, m_witnessIds},
                base::random_source(m_random.bits()));
        m_holders[id] = holder;
        for (const auto &name : NAMES) {
            holder->want(name);
        }
        m_network.attach(
                id,
                [this, holder, id](const auto &from, auto, auto payload, auto now) {
                    return holder->receive(from, payload, localTime(id, now));
                },
                [this, holder, id](auto now) { return holder->tick(localTime(id, now)); });
    }

    auto disturb() -> void
    {
        const auto holder = base::node_id("h" + std::to_string(1 + m_random.below(3)));
        const auto witness = m_witnessIds[m_random.below(m_witnessIds.size())];
        switch (m_random.below(8)) {
        case 0:
            m_network.cut(holder, witness);
            break;
        case 1:
            m_network.cut(witness, holder);
            break;
        case 2:
            m_network.healAll();
            break;
        case 3:
            m_network.pause(holder);
            break;
        case 4:
            m_network.resume(holder);
            break;
        case 5:
            startWitness(witness);
            break;
        case 6:
            startHolder(holder);
            break;
        default:
            releaseOne(holder);
            break;
        }
    }

    auto releaseOne(const base::node_id &id) -> void
    {
        const auto &name = NAMES[m_random.below(NAMES.size())];
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

    auto check() -> void
    {
        for (const auto &name : NAMES) {
            CHECK(countHolders(name) <= 1);
        }
    }

    testsupport::virtual_network m_network;
    base::random_source m_random;
    base::incarnation m_life = 0;
    std::vector<base::node_id> m_witnessIds;
    std::map<base::node_id, std::shared_ptr<witness_host>> m_witnesses;
    std::map<base::node_id, std::shared_ptr<lease_holder>> m_holders;
    std::map<base::node_id, double> m_rates;
};

} // namespace

TEST_GROUP(lease_holder_test){};

// Guards against two holders of one name at the same time, and against a name that no candidate
// gets after the faults ended. HAWTHORNPICK_SEEDS sets the number of seeds.
TEST(lease_holder_test, atMostOneHolderAtAnyTime)
{
    const char *count = std::getenv("HAWTHORNPICK_SEEDS");
    const std::uint64_t seeds = count == nullptr ? 20 : std::strtoull(count, nullptr, 10);
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        UT_PRINT(("seed " + std::to_string(seed)).c_str());
        lease_fleet fleet(seed);
        fleet.run(200);
    }
}
