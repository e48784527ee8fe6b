#include "control/storage.h"

#include <CppUTest/TestHarness.h>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sys/resource.h>

using namespace hawthornpick;
using namespace hawthornpick::control;

namespace {

auto entryOf(std::uint64_t index, std::uint64_t term = 1) -> log_entry
{
    return {index, term, "command " + std::to_string(index)};
}

auto readFile(const std::string &path) -> std::string
{
    std::ifstream in(path, std::ios::binary);
    return {std::istreambuf_iterator<char>(in), {}};
}

auto writeFile(const std::string &path, const std::string &bytes) -> void
{
    std::ofstream(path, std::ios::binary | std::ios::trunc) << bytes;
}

} // namespace

TEST_GROUP(file_storage_test)
{
    std::string folder;
    std::string log;

    void setup() override
    {
        std::string pattern = std::filesystem::temp_directory_path() / "controlstorage-XXXXXX";
        folder = ::mkdtemp(pattern.data());
        log = folder + "/log";
    }

    void teardown() override
    {
        std::filesystem::remove_all(folder);
    }

    auto open()->file_storage
    {
        auto opened = file_storage::open(folder);
        CHECK(opened.has_value());
        return std::move(*opened);
    }

    auto load()->storage_result<stored_state>
    {
        return open().load();
    }

    // Writes an identity, a vote and two entries in three records.
    auto fill()->void
    {
        auto disk = open();
        CHECK(disk.load().has_value());
        CHECK(disk.sync({disk_identity{7}, term_and_vote{3, "a#1"}}).has_value());
        CHECK(disk.sync({entryOf(1)}).has_value());
        CHECK(disk.sync({entryOf(2)}).has_value());
    }
};

TEST(file_storage_test, keepsWhatWasSynced)
{
    fill();
    const auto state = load();
    LONGS_EQUAL(7, state->disk);
    LONGS_EQUAL(3, state->term);
    STRCMP_EQUAL("a#1", state->votedFor.c_str());
    LONGS_EQUAL(2, state->entries.size());
}

// Guards against an entry of an older term that comes back after it was replaced.
TEST(file_storage_test, entryReplacesThoseWithTheSameOrAHigherIndex)
{
    fill();
    {
        auto disk = open();
        CHECK(disk.load().has_value());
        CHECK(disk.sync({entryOf(1, 2)}).has_value());
    }
    const auto state = load();
    LONGS_EQUAL(1, state->entries.size());
    LONGS_EQUAL(2, state->entries[0].term);
}

// Guards against a controller that does not start after a crash during a write, and against data
// appended after a torn record, which the next start would take for damage in the middle.
TEST(file_storage_test, tornTailIsRepairedAtEachLength)
{
    fill();
    const auto whole = readFile(log);
    auto state = load();
    for (std::size_t cut = 1; cut < 60; ++cut) {
        writeFile(log, whole.substr(0, whole.size() - cut));
        state = load();
        CHECK(state.has_value());
        LONGS_EQUAL(cut < 40 ? 1 : state->entries.size(), state->entries.size());
        auto disk = open();
        CHECK(disk.load().has_value());
        CHECK(disk.sync({entryOf(2, 9)}).has_value());
    }
    state = load();
    CHECK(state.has_value());
    LONGS_EQUAL(9, state->entries.back().term);
}

// Guards against a silent loss of synced entries.
TEST(file_storage_test, damageInTheMiddleIsRefused)
{
    fill();
    const auto whole = readFile(log);
    const auto lastRecord = whole.rfind("HPLG");
    for (std::size_t at = 0; at < lastRecord; ++at) {
        auto damaged = whole;
        damaged[at] = static_cast<char>(damaged[at] ^ 0x40);
        writeFile(log, damaged);
        const auto state = load();
        CHECK(!state.has_value());
        CHECK(state.error().kind == storage_failure::Corrupt
              || state.error().kind == storage_failure::UnsupportedFormat);
        CHECK(state.error().detail.find("offset") != std::string::npos);
    }
}

// As above for the snapshot, which is in the first record.
TEST(file_storage_test, damagedSnapshotIsRefused)
{
    {
        auto disk = open();
        CHECK(disk.load().has_value());
        CHECK(disk.replace({7, 3, "a#1", "snapshot", {entryOf(5)}}).has_value());
    }
    const auto state = load();
    STRCMP_EQUAL("snapshot", state->snapshot.c_str());
    LONGS_EQUAL(5, state->entries[0].index);
    auto damaged = readFile(log);
    damaged[damaged.find("snapshot")] = 'X';
    writeFile(log, damaged);
    CHECK(load().error().kind == storage_failure::Corrupt);
}

// Guards against two processes that write to one folder.
TEST(file_storage_test, secondProcessIsRefused)
{
    const auto first = open();
    const auto second = file_storage::open(folder);
    CHECK(!second.has_value());
    CHECK(second.error().kind == storage_failure::Locked);
}

// Guards against "accepted" after a write that failed. A file size limit stands for a full disk.
TEST(file_storage_test, fullDiskIsReported)
{
    auto disk = open();
    CHECK(disk.load().has_value());
    rlimit old{};
    ::getrlimit(RLIMIT_FSIZE, &old);
    const auto oldHandler = std::signal(SIGXFSZ, SIG_IGN);
    const rlimit small{64, old.rlim_max};
    ::setrlimit(RLIMIT_FSIZE, &small);
    const auto result = disk.sync({log_entry{1, 1, std::string(1000, 'x')}});
    ::setrlimit(RLIMIT_FSIZE, &old);
    std::signal(SIGXFSZ, oldHandler);
    CHECK(!result.has_value());
    CHECK(result.error().kind == storage_failure::Io);
}
