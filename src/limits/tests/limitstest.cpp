#include "limits/tests/limitsfleet.h"

#include <CppUTest/TestHarness.h>
#include <array>
#include <cstdlib>

using namespace hawthornpick;
using namespace hawthornpick::limits;
using namespace hawthornpick::limits::testing;

namespace {

auto seedFrom(const char *variable, std::uint64_t fallback) -> std::uint64_t
{
    const auto *text = std::getenv(variable);
    return text == nullptr ? fallback : std::strtoull(text, nullptr, 10);
}

auto organisationOf(const std::string &name, double rate, std::uint32_t burst)
        -> config::organisation
{
    config::organisation item;
    item.id = base::organisation_id(name);
    item.rate = rate;
    item.burst = burst;
    return item;
}

// Random requests at random nodes under all faults, with the invariant checked at each admission.
class limits_run
{
public:
    explicit limits_run(std::uint64_t seed)
        : m_fleet(seed, 2 + seed % 2, 3, {0.05, 0.05, 200us, 60ms}, true)
    {
        m_set.organisations = {organisationOf("one", 1.0, 1), organisationOf("small", 3.0, 4),
                               organisationOf("middle", 40.0, 20),
                               organisationOf("large", 300.0, 600)};
        acceptSet();
        m_fleet.deliverConfigurationToAll();
        updateTerms();
    }

    auto run() -> void
    {
        m_fleet.network().run(4s);
        for (int i = 0; i < 400; ++i) {
            m_fleet.network().run(m_fleet.random().below(60) * 1ms);
            if (m_fleet.random().chance(0.12)) {
                fault();
            }
            requests();
        }
        resumeAll();
        m_fleet.network().healAll();
        m_fleet.network().run(3s);
        CHECK_EQUAL(m_asked, m_answered);
        CHECK(m_admitted > 0);
    }

private:
    auto requests() -> void
    {
        auto &random = m_fleet.random();
        if (random.chance(0.02)) {
            m_focus = random.below(m_fleet.nodes().size() + 1);
        }
        if (random.chance(0.05)) {
            // Quiet times fill the buckets, busy ones leave unused tokens on grant.
            constexpr std::array<std::uint64_t, 4> LOADS{1, 4, 12, 80};
            m_load = LOADS.at(random.below(LOADS.size()));
        }
        const auto names = {"one", "small", "middle", "large"};
        const auto count = random.below(m_load);
        for (std::uint64_t i = 0; i < count; ++i) {
            const auto index = random.chance(0.5) && m_focus < m_fleet.nodes().size()
                                       ? m_focus
                                       : random.below(m_fleet.nodes().size());
            auto &node = m_fleet.nodes()[index];
            if (!node.down && !node.paused) {
                request(node, *(names.begin() + random.below(names.size())));
            }
        }
    }

    auto request(limits_fleet::node &node, const std::string &name) -> void
    {
        const base::organisation_id id(name);
        if (node.configuration->organisationById(id) == nullptr) {
            return;
        }
        ++m_asked;
        // A restarted node calls nobody back.
        auto *module = node.module.get();
        m_open[module] += 1;
        const auto answered = node.module->tokens().take(
                id, m_fleet.clockOf(node), [this, name, module](admission_result result) {
                    m_open[module] -= 1;
                    answer(name, result);
                });
        if (answered) {
            m_open[module] -= 1;
            answer(name, *answered);
        }
    }

    auto answer(const std::string &name, admission_result result) -> void
    {
        ++m_answered;
        if (result.verdict != admission::Admitted) {
            return;
        }
        ++m_admitted;
        auto &check = m_checks[name];
        check.admit(m_fleet.network().now());
        CHECK_TEXT(check.excess() <= 1e-6, name.c_str());
    }

    auto fault() -> void
    {
        auto &random = m_fleet.random();
        auto &node = m_fleet.nodes()[random.below(m_fleet.nodes().size())];
        switch (random.below(10)) {
        case 0:
            restart(node);
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
            changeSet();
            break;
        case 8:
            m_fleet.deliverConfigurationToAll();
            updateTerms();
            break;
        default:
            m_fleet.network().cut(node.id, m_fleet.nodes()[random.below(3)].id);
        }
    }

    auto restart(limits_fleet::node &node) -> void
    {
        m_answered += m_open[node.module.get()];
        m_open.erase(node.module.get());
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

    // Changes rate and burst of one organisation, or removes it or adds it again. Some nodes get
    // the set at once, the others later.
    auto changeSet() -> void
    {
        auto &random = m_fleet.random();
        auto &organisations = m_set.organisations;
        if (organisations.size() == 4 && random.chance(0.5)) {
            organisations.erase(organisations.begin()
                                + static_cast<std::ptrdiff_t>(random.below(4)));
        } else if (organisations.size() < 4) {
            m_set.organisations = {organisationOf("one", 1.0, 1), organisationOf("small", 3.0, 4),
                                   organisationOf("middle", 40.0, 20),
                                   organisationOf("large", 300.0, 600)};
        } else {
            auto &item = organisations[random.below(4)];
            item.burst = 1 + static_cast<std::uint32_t>(random.below(2ULL * item.burst));
            item.rate *= 0.5 + random.unit();
        }
        acceptSet();
        for (auto &node : m_fleet.nodes()) {
            if (random.chance(0.5)) {
                m_fleet.deliverConfiguration(node);
            }
        }
        updateTerms();
    }

    auto acceptSet() -> void
    {
        std::sort(m_set.organisations.begin(), m_set.organisations.end());
        m_fleet.accept(m_set);
    }

    // While several versions are in force the largest rate and burst of them apply. A removed
    // organisation keeps its terms: adding it again must not give it a second burst.
    auto updateTerms() -> void
    {
        for (const auto *name : {"one", "small", "middle", "large"}) {
            double rate = 0.0;
            double burst = 0.0;
            for (const auto &node : m_fleet.nodes()) {
                const auto *terms =
                        node.configuration->organisationById(base::organisation_id(name));
                if (terms != nullptr) {
                    rate = std::max(rate, terms->rate);
                    burst = std::max(burst, static_cast<double>(terms->burst));
                }
            }
            if (burst > 0.0) {
                m_checks[name].setTerms(rate, burst, m_fleet.network().now());
            }
        }
    }

    limits_fleet m_fleet;
    config::config_set m_set;
    std::map<std::string, window_check> m_checks;
    std::map<const limits_module *, int> m_open;
    std::size_t m_focus = 0;
    std::uint64_t m_load = 12;
    int m_asked = 0;
    int m_answered = 0;
    int m_admitted = 0;
};

} // namespace

TEST_GROUP(limits_test){};

// Guards against more admissions than rate * t + burst in any window, whatever fails.
TEST(limits_test, randomFaultsNeverExceedRateAndBurst)
{
    const auto first = seedFrom("HAWTHORNPICK_FIRST_SEED", 1);
    const auto count = seedFrom("HAWTHORNPICK_SEEDS", 12);
    for (std::uint64_t seed = first; seed < first + count; ++seed) {
        UT_PRINT(("seed " + std::to_string(seed)).c_str());
        limits_run(seed).run();
    }
}
