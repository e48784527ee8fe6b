#include "src/control/tests/controlfleet.h"

#include <CppUTest/TestHarness.h>
#include <cstdio>
#include <cstdlib>

using namespace hawthornpick;
using namespace hawthornpick::control;

namespace {

constexpr std::uint64_t DEFAULT_SEEDS = 12;

auto numberFrom(const char *variable, std::uint64_t otherwise) -> std::uint64_t
{
    const char *text = std::getenv(variable);
    return text == nullptr ? otherwise : std::strtoull(text, nullptr, 10);
}

// Operators and faults of one seed.
class random_run
{
public:
    explicit random_run(std::uint64_t seed) : m_fleet(seed, optionsFor(seed)) {}

    auto run() -> void
    {
        m_fleet.run(base::milliseconds(4000));
        for (int i = 0; i < 100 && m_fleet.violations().empty(); ++i) {
            operate();
            disturb();
            m_fleet.run(base::milliseconds(100 + random().below(500)));
        }
        m_fleet.endAllFaults();
        finishReplacements();
        checkRecovery();
    }

    [[nodiscard]] auto violations() const -> const std::vector<std::string> &
    {
        return m_fleet.violations();
    }
    [[nodiscard]] auto missing() const -> const std::string & { return m_missing; }

private:
    static auto optionsFor(std::uint64_t seed) -> fleet_options
    {
        fleet_options out;
        out.separateControllers = seed % 2 == 0;
        out.nodesPerRegion = out.separateControllers ? 8 : 6;
        out.controllers = seed % 3 == 0 ? 5 : 3;
        out.faults.loss = seed % 4 == 0 ? 0.1 : 0.02;
        out.faults.duplication = 0.03;
        out.faults.maximumDelay = base::milliseconds(seed % 5 == 0 ? 80 : 5);
        return out;
    }

    auto random() -> base::random_source & { return m_fleet.random(); }

    auto anyNode() -> base::node_id
    {
        return m_fleet.nodeIds()[random().below(m_fleet.nodeIds().size())];
    }

    auto anyController() -> base::node_id
    {
        return m_fleet.controllerIds()[random().below(m_fleet.controllerIds().size())];
    }

    auto newChange() -> std::string
    {
        m_changes.push_back("change-" + std::to_string(m_changes.size() + 1));
        m_bases.push_back(m_fleet.newestAccepted());
        return m_changes.back();
    }

    auto operate() -> void
    {
        if (random().chance(0.3)) {
            const auto first = newChange();
            m_fleet.apply(anyNode(), first, m_bases.back());
            // Two operators race under one base version.
            if (random().chance(0.4)) {
                const auto second = newChange();
                m_fleet.apply(anyNode(), second, m_bases.back());
            }
        }
        if (!m_changes.empty() && random().chance(0.2)) {
            const auto which = random().below(m_changes.size());
            if (random().chance(0.5)) {
                m_fleet.apply(anyNode(), m_changes[which], m_bases[which]);
            } else {
                m_fleet.ask(anyNode(), m_changes[which]);
            }
        }
    }

    auto disturb() -> void
    {
        const auto node = anyNode();
        switch (random().below(24)) {
        case 0:
        case 1:
            m_fleet.network().cut(node, anyNode());
            break;
        case 2:
            m_fleet.isolate(node);
            break;
        case 3:
            m_fleet.cutRegions();
            break;
        case 4:
        case 5:
        case 6:
            m_fleet.network().healAll();
            break;
        case 7:
        case 8:
            m_fleet.network().pause(node);
            break;
        case 9:
        case 10:
        case 11:
            for (const auto &id : m_fleet.nodeIds()) {
                m_fleet.network().resume(id);
            }
            break;
        case 12:
        case 13:
            restart(node);
            break;
        case 14:
            restart(anyController());
            break;
        case 15:
            m_fleet.crash(node);
            break;
        case 16:
        case 17:
        case 18:
            startAll();
            break;
        case 19:
            failOneDisk();
            break;
        case 20:
            wipeOne();
            break;
        case 21:
            isolateLeader();
            break;
        default:
            break;
        }
        if (!m_wiped.empty() && random().chance(0.3)) {
            askForReplacement();
        }
    }

    auto restart(const base::node_id &id) -> void
    {
        m_fleet.crash(id);
        m_fleet.start(id);
    }

    auto startAll() -> void
    {
        for (const auto &id : m_fleet.nodeIds()) {
            if (!m_fleet.isUp(id)) {
                m_fleet.start(id);
            }
        }
    }

    auto isolateLeader() -> void
    {
        if (m_fleet.hasLeader()) {
            m_fleet.isolate(m_fleet.leader());
        }
    }

    auto failOneDisk() -> void
    {
        // A disk stays broken until a restart, so one at a time keeps a majority of three.
        const auto id = anyController();
        if (m_fleet.isUp(id)) {
            m_fleet.failDisk(id);
        }
    }

    // One wiped disk at a time: two of three are a loss that no protocol survives.
    auto wipeOne() -> void
    {
        if (!m_wiped.empty() || !m_fleet.hasLeader()) {
            return;
        }
        m_wiped = anyController();
        m_replacement = "replace-" + std::to_string(++m_replacements);
        m_fleet.wipe(m_wiped);
        m_fleet.start(m_wiped);
    }

    auto askForReplacement() -> void
    {
        m_fleet.replace(anyNode(), m_wiped, m_wiped, m_replacement);
        const auto answer = m_fleet.answer(m_replacement);
        if (answer && std::holds_alternative<in_force>(*answer)) {
            m_wiped = {};
        }
    }

    auto finishReplacements() -> void
    {
        for (int i = 0; i < 60 && !m_wiped.empty(); ++i) {
            askForReplacement();
            m_fleet.run(base::milliseconds(500));
        }
    }

    // After the faults ended a new change comes into force on every node.
    auto checkRecovery() -> void
    {
        m_fleet.run(base::milliseconds(10000));
        const auto last = newChange();
        m_fleet.apply(m_fleet.nodeIds().front(), last, m_bases.back());
        m_fleet.run(base::milliseconds(6000));
        const auto answer = m_fleet.answer(last);
        if (!m_wiped.empty()) {
            m_missing = "the replaced controller did not become a voter";
        } else if (!answer || !std::holds_alternative<in_force>(*answer)) {
            m_missing = "no change comes into force after the faults ended";
        } else if (!m_fleet.isInForceEverywhere(m_fleet.newestAccepted())) {
            m_missing = "a node does not serve the newest version after the faults ended";
        }
    }

    control_fleet m_fleet;
    std::vector<std::string> m_changes;
    std::vector<base::config_version> m_bases;
    base::node_id m_wiped;
    std::string m_replacement;
    int m_replacements = 0;
    std::string m_missing;
};

} // namespace

TEST_GROUP(random_faults_test){};

// Guards the invariants that control_fleet lists, under loss, duplication, reordering, one-way
// cuts, pauses, crashes, failed syncs, wiped disks and clocks of different rates.
// HAWTHORNPICK_SEEDS sets the number of seeds and HAWTHORNPICK_FIRST_SEED the first of them.
TEST(random_faults_test, invariantsHoldAndTheFleetRecovers)
{
    const auto first = numberFrom("HAWTHORNPICK_FIRST_SEED", 1);
    const auto count = numberFrom("HAWTHORNPICK_SEEDS", DEFAULT_SEEDS);
    std::size_t failed = 0;
    for (std::uint64_t seed = first; seed < first + count; ++seed) {
        random_run run(seed);
        run.run();
        for (const auto &text : run.violations()) {
            std::printf("seed %lu: %s\n", seed, text.c_str());
        }
        if (!run.missing().empty()) {
            std::printf("seed %lu: %s\n", seed, run.missing().c_str());
        }
        failed += run.violations().empty() && run.missing().empty() ? 0 : 1;
    }
    std::printf("seeds %lu to %lu: %zu failed\n", first, first + count - 1, failed);
    LONGS_EQUAL(0, failed);
}
