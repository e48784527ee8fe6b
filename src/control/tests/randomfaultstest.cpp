#include "src/control/tests/controlfleet.h"

#include <CppUTest/TestHarness.h>
#include <cstdio>
#include <cstdlib>

using namespace hawthornpick;
using namespace hawthornpick::control;

namespace {

constexpr std::uint64_t DEFAULT_SEED_COUNT = 12;

auto numberFromEnvironment(const char *variable, std::uint64_t defaultValue) -> std::uint64_t
{
    const char *text = std::getenv(variable);
    return text == nullptr ? defaultValue : std::strtoull(text, nullptr, 10);
}

// One run: a fleet with random operators' requests and random faults, all determined by the seed.
class random_run
{
public:
    explicit random_run(std::uint64_t seed) : m_fleet(seed, optionsFor(seed)) {}

    auto run() -> void
    {
        m_fleet.run(base::milliseconds(4000));
        for (int i = 0; i < 100 && m_fleet.violations().empty(); ++i) {
            requestRandomChanges();
            injectRandomFault();
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
    [[nodiscard]] auto recoveryFailure() const -> const std::string & { return m_recoveryFailure; }

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

    auto randomNode() -> base::node_id
    {
        return m_fleet.nodeIds()[random().below(m_fleet.nodeIds().size())];
    }

    auto randomController() -> base::node_id
    {
        return m_fleet.controllerIds()[random().below(m_fleet.controllerIds().size())];
    }

    auto newChange() -> std::string
    {
        m_changeIds.push_back("change-" + std::to_string(m_changeIds.size() + 1));
        m_baseVersions.push_back(m_fleet.newestAccepted());
        return m_changeIds.back();
    }

    auto requestRandomChanges() -> void
    {
        if (random().chance(0.3)) {
            const auto first = newChange();
            m_fleet.apply(randomNode(), first, m_baseVersions.back());
            // A second operator requests a change with the same base version at the same time.
            if (random().chance(0.4)) {
                const auto second = newChange();
                m_fleet.apply(randomNode(), second, m_baseVersions.back());
            }
        }
        if (!m_changeIds.empty() && random().chance(0.2)) {
            const auto index = random().below(m_changeIds.size());
            if (random().chance(0.5)) {
                m_fleet.apply(randomNode(), m_changeIds[index], m_baseVersions[index]);
            } else {
                m_fleet.requestResult(randomNode(), m_changeIds[index]);
            }
        }
    }

    auto injectRandomFault() -> void
    {
        const auto node = randomNode();
        switch (random().below(24)) {
        case 0:
        case 1:
            m_fleet.network().cut(node, randomNode());
            break;
        case 2:
            m_fleet.isolate(node);
            break;
        case 3:
            m_fleet.disconnectRegions();
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
            restartNode(node);
            break;
        case 14:
            restartNode(randomController());
            break;
        case 15:
            m_fleet.crash(node);
            break;
        case 16:
        case 17:
        case 18:
            startAllNodes();
            break;
        case 19:
            failRandomDisk();
            break;
        case 20:
            wipeRandomDisk();
            break;
        case 21:
            isolateLeader();
            break;
        default:
            break;
        }
        if (!m_wipedController.empty() && random().chance(0.3)) {
            requestReplacement();
        }
    }

    auto restartNode(const base::node_id &id) -> void
    {
        m_fleet.crash(id);
        m_fleet.start(id);
    }

    auto startAllNodes() -> void
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

    auto failRandomDisk() -> void
    {
        // A disk fails until its node restarts, so only one is failed at a time to leave a majority
        // of three.
        const auto id = randomController();
        if (m_fleet.isUp(id)) {
            m_fleet.failDisk(id);
        }
    }

    // Wipes one disk at a time, as no protocol can recover the data of two wiped disks out of
    // three.
    auto wipeRandomDisk() -> void
    {
        if (!m_wipedController.empty() || !m_fleet.hasLeader()) {
            return;
        }
        m_wipedController = randomController();
        m_replacementChangeId = "replace-" + std::to_string(++m_replacementCount);
        m_fleet.wipeDisk(m_wipedController);
        m_fleet.start(m_wipedController);
    }

    auto requestReplacement() -> void
    {
        m_fleet.replaceController(randomNode(), m_wipedController, m_wipedController,
                                  m_replacementChangeId);
        const auto answer = m_fleet.answer(m_replacementChangeId);
        if (answer && std::holds_alternative<in_force>(*answer)) {
            m_wipedController = {};
        }
    }

    auto finishReplacements() -> void
    {
        for (int i = 0; i < 60 && !m_wipedController.empty(); ++i) {
            requestReplacement();
            m_fleet.run(base::milliseconds(500));
        }
    }

    // Checks that a new change comes into force on every node after the faults have ended.
    auto checkRecovery() -> void
    {
        m_fleet.run(base::milliseconds(10000));
        const auto changeId = newChange();
        m_fleet.apply(m_fleet.nodeIds().front(), changeId, m_baseVersions.back());
        m_fleet.run(base::milliseconds(6000));
        const auto answer = m_fleet.answer(changeId);
        if (!m_wipedController.empty()) {
            m_recoveryFailure =
                    "the replacement of the controller with the wiped disk was not completed";
        } else if (!answer || !std::holds_alternative<in_force>(*answer)) {
            m_recoveryFailure = "a new change did not come into force after the faults had ended";
        } else if (!m_fleet.isInForceEverywhere(m_fleet.newestAccepted())) {
            m_recoveryFailure =
                    "a node does not serve the newest version after the faults have ended";
        }
    }

    control_fleet m_fleet;
    std::vector<std::string> m_changeIds;
    std::vector<base::config_version> m_baseVersions;
    base::node_id m_wipedController;
    std::string m_replacementChangeId;
    int m_replacementCount = 0;
    std::string m_recoveryFailure;
};

} // namespace

TEST_GROUP(random_faults_test){};

// Checks the invariants of control_fleet under message loss, duplication and reordering, one-way
// connection failures, pauses, crashes, failed syncs, wiped disks and clocks with different rates.
// HAWTHORNPICK_SEEDS sets the number of seeds and HAWTHORNPICK_FIRST_SEED the first seed.
TEST(random_faults_test, invariantsHoldAndTheFleetRecovers)
{
    const auto first = numberFromEnvironment("HAWTHORNPICK_FIRST_SEED", 1);
    const auto count = numberFromEnvironment("HAWTHORNPICK_SEEDS", DEFAULT_SEED_COUNT);
    std::size_t failedRuns = 0;
    for (std::uint64_t seed = first; seed < first + count; ++seed) {
        random_run run(seed);
        run.run();
        for (const auto &text : run.violations()) {
            std::printf("seed %lu: %s\n", seed, text.c_str());
        }
        if (!run.recoveryFailure().empty()) {
            std::printf("seed %lu: %s\n", seed, run.recoveryFailure().c_str());
        }
        failedRuns += run.violations().empty() && run.recoveryFailure().empty() ? 0 : 1;
    }
    std::printf("seeds %lu to %lu: %zu failed\n", first, first + count - 1, failedRuns);
    LONGS_EQUAL(0, failedRuns);
}
