#include "limits/tests/limitsfleet.h"

#include <CppUTest/TestHarness.h>
#include <array>
#include <cstdlib>

using namespace hawthornpick;
using namespace hawthornpick::limits;
using namespace hawthornpick::limits::testing;

namespace {

auto numberFromEnvironment(const char *variable, std::uint64_t fallback) -> std::uint64_t
{
    const auto *value = std::getenv(variable);
    return value == nullptr ? fallback : std::strtoull(value, nullptr, 10);
}

auto makeOrganisation(const std::string &name, double rate, std::uint32_t burst)
        -> config::organisation
{
    config::organisation organisation;
    organisation.id = base::organisation_id(name);
    organisation.rate = rate;
    organisation.burst = burst;
    return organisation;
}

// Sends random requests to random nodes while faults are injected, and checks the limit at each
// admission. Faults: crashes, pauses, network partitions, message loss and duplication, clock skew
// and configuration changes.
class fault_injection_run
{
public:
    explicit fault_injection_run(std::uint64_t seed)
        : m_fleet(seed, 2 + seed % 2, 3, {0.05, 0.05, 200us, 60ms}, true)
    {
        m_configuration.organisations = {
                makeOrganisation("one", 1.0, 1), makeOrganisation("small", 3.0, 4),
                makeOrganisation("middle", 40.0, 20), makeOrganisation("large", 300.0, 600)};
        acceptConfiguration();
        m_fleet.deliverConfigurationToAll();
        updateChecks();
    }

    auto run() -> void
    {
        m_fleet.network().run(4s);
        for (int i = 0; i < 400; ++i) {
            m_fleet.network().run(m_fleet.random().below(60) * 1ms);
            if (m_fleet.random().chance(0.12)) {
                injectFault();
            }
            sendRequests();
        }
        resumeAll();
        m_fleet.network().healAll();
        m_fleet.network().run(3s);
        CHECK_EQUAL(m_requestCount, m_answerCount);
        CHECK(m_admittedCount > 0);
    }

private:
    auto sendRequests() -> void
    {
        auto &random = m_fleet.random();
        if (random.chance(0.02)) {
            m_focusedNodeIndex = random.below(m_fleet.nodes().size() + 1);
        }
        if (random.chance(0.05)) {
            // Low load fills the buckets; high load leaves granted tokens unused.
            constexpr std::array<std::uint64_t, 4> REQUESTS_PER_STEP{1, 4, 12, 80};
            m_maxRequestsPerStep = REQUESTS_PER_STEP.at(random.below(REQUESTS_PER_STEP.size()));
        }
        const auto names = {"one", "small", "middle", "large"};
        const auto count = random.below(m_maxRequestsPerStep);
        for (std::uint64_t i = 0; i < count; ++i) {
            const auto index = random.chance(0.5) && m_focusedNodeIndex < m_fleet.nodes().size()
                                       ? m_focusedNodeIndex
                                       : random.below(m_fleet.nodes().size());
            auto &node = m_fleet.nodes()[index];
            if (!node.down && !node.paused) {
                sendRequest(node, *(names.begin() + random.below(names.size())));
            }
        }
    }

    auto sendRequest(limits_fleet::node &node, const std::string &name) -> void
    {
        const base::organisation_id id(name);
        if (node.configuration->organisationById(id) == nullptr) {
            return;
        }
        ++m_requestCount;
        // A crashed node never calls back, so its pending requests count as answered when it
        // crashes.
        auto *module = node.module.get();
        m_pendingRequests[module] += 1;
        const auto immediateResult = node.module->tokenCache().take(
                id, m_fleet.clockOf(node), [this, name, module](admission_result result) {
                    m_pendingRequests[module] -= 1;
                    recordAnswer(name, result);
                });
        if (immediateResult) {
            m_pendingRequests[module] -= 1;
            recordAnswer(name, *immediateResult);
        }
    }

    auto recordAnswer(const std::string &name, admission_result result) -> void
    {
        ++m_answerCount;
        if (result.verdict != admission::Admitted) {
            return;
        }
        ++m_admittedCount;
        auto &check = m_windowChecks[name];
        check.admit(m_fleet.network().now());
        CHECK_TEXT(check.excess() <= 1e-6, name.c_str());
    }

    auto injectFault() -> void
    {
        auto &random = m_fleet.random();
        auto &node = m_fleet.nodes()[random.below(m_fleet.nodes().size())];
        switch (random.below(10)) {
        case 0:
            crashAndRestart(node);
            break;
        case 1:
            node.paused = true;
            m_fleet.network().pause(node.id);
            break;
        case 2:
        case 3:
            resumeAll();
            break;
        case 4: {
            const auto &regions = m_fleet.regions();
            m_fleet.cutRegions(regions[random.below(regions.size())],
                               regions[random.below(regions.size())]);
            break;
        }
        case 5:
        case 6:
            m_fleet.network().healAll();
            break;
        case 7:
            changeConfiguration();
            break;
        case 8:
            m_fleet.deliverConfigurationToAll();
            updateChecks();
            break;
        default:
            m_fleet.network().cut(node.id, m_fleet.nodes()[random.below(3)].id);
        }
    }

    auto crashAndRestart(limits_fleet::node &node) -> void
    {
        m_answerCount += m_pendingRequests[node.module.get()];
        m_pendingRequests.erase(node.module.get());
        m_fleet.crash(node);
        m_fleet.updateView();
        m_fleet.network().run(m_fleet.random().below(4000) * 1ms);
        m_fleet.start(node);
        m_fleet.updateView();
    }

    auto resumeAll() -> void
    {
        for (auto &node : m_fleet.nodes()) {
            node.paused = false;
            m_fleet.network().resume(node.id);
        }
    }

    // Changes the rate and burst of an organisation, removes an organisation or restores all of
    // them. Some nodes receive the configuration at once, the others later.
    auto changeConfiguration() -> void
    {
        auto &random = m_fleet.random();
        auto &organisations = m_configuration.organisations;
        if (organisations.size() == 4 && random.chance(0.5)) {
            organisations.erase(organisations.begin()
                                + static_cast<std::ptrdiff_t>(random.below(4)));
        } else if (organisations.size() < 4) {
            m_configuration.organisations = {
                    makeOrganisation("one", 1.0, 1), makeOrganisation("small", 3.0, 4),
                    makeOrganisation("middle", 40.0, 20), makeOrganisation("large", 300.0, 600)};
        } else {
            auto &organisation = organisations[random.below(4)];
            organisation.burst =
                    1 + static_cast<std::uint32_t>(random.below(2ULL * organisation.burst));
            organisation.rate *= 0.5 + random.unit();
        }
        acceptConfiguration();
        for (auto &node : m_fleet.nodes()) {
            if (random.chance(0.5)) {
                m_fleet.deliverConfiguration(node);
            }
        }
        updateChecks();
    }

    auto acceptConfiguration() -> void
    {
        std::sort(m_configuration.organisations.begin(), m_configuration.organisations.end());
        m_fleet.accept(m_configuration);
    }

    // While several configuration versions are in force, the largest rate and burst of them apply.
    // A removed organisation keeps its limit: adding it again must not give it a second burst.
    auto updateChecks() -> void
    {
        for (const auto *name : {"one", "small", "middle", "large"}) {
            double rate = 0.0;
            double burst = 0.0;
            for (const auto &node : m_fleet.nodes()) {
                const auto *limit =
                        node.configuration->organisationById(base::organisation_id(name));
                if (limit != nullptr) {
                    rate = std::max(rate, limit->rate);
                    burst = std::max(burst, static_cast<double>(limit->burst));
                }
            }
            if (burst > 0.0) {
                m_windowChecks[name].setLimit(rate, burst, m_fleet.network().now());
            }
        }
    }

    limits_fleet m_fleet;
    config::config_set m_configuration;
    std::map<std::string, window_check> m_windowChecks;
    std::map<const limits_module *, int> m_pendingRequests;
    std::size_t m_focusedNodeIndex = 0;
    std::uint64_t m_maxRequestsPerStep = 12;
    int m_requestCount = 0;
    int m_answerCount = 0;
    int m_admittedCount = 0;
};

} // namespace

TEST_GROUP(limits_test){};

// Guards against more than rate * t + burst admissions in any window of t seconds under crashes,
// pauses, partitions, lost messages, clock skew and configuration changes.
TEST(limits_test, randomFaultsNeverExceedRateAndBurst)
{
    const auto firstSeed = numberFromEnvironment("HAWTHORNPICK_FIRST_SEED", 1);
    const auto seedCount = numberFromEnvironment("HAWTHORNPICK_SEEDS", 12);
    for (std::uint64_t seed = firstSeed; seed < firstSeed + seedCount; ++seed) {
        UT_PRINT(("seed " + std::to_string(seed)).c_str());
        fault_injection_run(seed).run();
    }
}
