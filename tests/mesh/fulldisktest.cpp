#include "platform/tests/messages.h"
#include "tests/mesh/changingfleet.h"
#include "webapi/client.h"

#include <CppUTest/TestHarness.h>
#include <array>
#include <fstream>
#include <thread>
#include <unistd.h>

using namespace hawthornpick;
using meshtest::changing_fleet;

namespace {

constexpr testsupport::fleet_size FLEET_SIZE{5, 2};
//! Time within which a change is acknowledged while the core is stable.
constexpr base::milliseconds ACKNOWLEDGEMENT_TIME{4000};
//! Time after which an operator tries another node.
constexpr base::milliseconds OPERATOR_PATIENCE{1000};
constexpr base::milliseconds FULL_TIME{600};

//! Makes the disk of one core node full.
class disk_switch
{
public:
    explicit disk_switch(int core)
        : m_path(std::filesystem::temp_directory_path()
                 / ("hawthornpick-full-" + std::to_string(getpid()) + "-" + std::to_string(core)))
    {
        setFull({});
    }
    ~disk_switch() { setFull({}); }
    disk_switch(const disk_switch &) = delete;
    auto operator=(const disk_switch &) -> disk_switch & = delete;

    [[nodiscard]] auto variables() const -> std::vector<std::string>
    {
        return {"LD_PRELOAD=" HAWTHORNPICK_FULL_DISK,
                "HAWTHORNPICK_TEST_FULL_DISK=" + m_path.string()};
    }

    //! `access` names what fails; nothing fails if it is empty.
    auto setFull(const std::string &access) -> void
    {
        std::filesystem::remove(m_path);
        if (!access.empty()) {
            std::ofstream(m_path) << access;
        }
    }

private:
    std::filesystem::path m_path;
};

} // namespace

TEST_GROUP(full_disk){};

// Guards against requests of operators that stay unanswered as long as a node that has just started
// can't read its data folder.
TEST(full_disk, nodeWithoutItsDataFolderRefusesAtOnce)
{
    changing_fleet fleet("full", FLEET_SIZE);
    constexpr int CORE = 1;
    disk_switch disk(CORE);
    disk.setFull("open");
    fleet.nodes().kill(CORE);
    fleet.nodes().start(CORE, disk.variables());
    std::this_thread::sleep_for(changing_fleet::START_TIME);
    const auto address = fleet.nodes().controlAddress(CORE);
    for (const auto *method : {"GET", "PUT"}) {
        const auto answer = webapi::call(
                address,
                {method, "/configuration", {}, {}, platform::messages::configuration(99, 1)},
                OPERATOR_PATIENCE);
        CHECK_TEXT(answer.has_value(), method);
        CHECK_EQUAL(503U, answer->status);
    }
    disk.setFull({});
    CHECK(fleet.addRoute(ACKNOWLEDGEMENT_TIME));
    std::this_thread::sleep_for(changing_fleet::APPLY_TIME);
    const int outdated = fleet.countCoresWithoutVersion();
    CHECK_EQUAL(0, outdated);
}

// Guards against changes that are refused or unanswered long after disks that were full one after
// another have room again, whatever access failed, also if a node restarts meanwhile.
TEST(full_disk, changesAreAcknowledgedAfterDisksWereFullInTurn)
{
    changing_fleet fleet("full", FLEET_SIZE);
    std::vector<std::unique_ptr<disk_switch>> disks;
    for (int core = 0; core < FLEET_SIZE.cores; ++core) {
        disks.push_back(std::make_unique<disk_switch>(core));
        fleet.nodes().kill(core);
        fleet.nodes().start(core, disks.back()->variables());
        std::this_thread::sleep_for(changing_fleet::START_TIME);
    }
    CHECK(fleet.addRoute(ACKNOWLEDGEMENT_TIME));
    const std::array<std::string, 5> accesses{"write", "short", "open", "rename", "fsync"};
    for (std::size_t i = 0; i < accesses.size(); ++i) {
        for (int core = 0; core < FLEET_SIZE.cores; ++core) {
            auto &disk = *disks.at(static_cast<std::size_t>(core));
            disk.setFull(accesses.at(i));
            const bool isRestarted = (i + static_cast<std::size_t>(core)) % 3 == 0;
            if (isRestarted) {
                fleet.nodes().kill(core);
                fleet.nodes().start(core, disk.variables());
            }
            CHECK(fleet.addRoute(ACKNOWLEDGEMENT_TIME));
            std::this_thread::sleep_for(FULL_TIME);
            CHECK(fleet.addRoute(ACKNOWLEDGEMENT_TIME));
            disk.setFull({});
        }
        std::this_thread::sleep_for(changing_fleet::START_TIME);
        CHECK_TEXT(fleet.addRoute(ACKNOWLEDGEMENT_TIME), accesses.at(i).c_str());
        std::this_thread::sleep_for(changing_fleet::APPLY_TIME);
        const int outdated = fleet.countCoresWithoutVersion();
        CHECK_EQUAL(0, outdated);
        const int missing = fleet.countNodesWithoutRoute();
        CHECK_EQUAL(0, missing);
    }
}
