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

auto makeEntry(std::uint64_t index, std::uint64_t term = 1) -> log_entry
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
    std::string logPath;

    void setup() override
    {
        std::string pattern = std::filesystem::temp_directory_path() / "controlstorage-XXXXXX";
        folder = ::mkdtemp(pattern.data());
        logPath = folder + "/log";
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

    // Writes the folder's identity and a vote, an entry and another entry in one record each.
    auto writeThreeRecords()->void
    {
        auto logStorage = open();
        CHECK(logStorage.load().has_value());
        CHECK(logStorage.sync({disk_identity{7}, term_and_vote{3, "a#1"}}).has_value());
        CHECK(logStorage.sync({makeEntry(1)}).has_value());
        CHECK(logStorage.sync({makeEntry(2)}).has_value());
    }
};

TEST(file_storage_test, loadReturnsWhatWasSynced)
{
    writeThreeRecords();
    const auto state = load();
    LONGS_EQUAL(7, state->disk);
    LONGS_EQUAL(3, state->term);
    STRCMP_EQUAL("a#1", state->votedFor.c_str());
    LONGS_EQUAL(2, state->entries.size());
}

// Guards against an entry of an older term that is loaded again after it was replaced.
TEST(file_storage_test, entryReplacesThoseWithTheSameOrAHigherIndex)
{
    writeThreeRecords();
    {
        auto logStorage = open();
        CHECK(logStorage.load().has_value());
        CHECK(logStorage.sync({makeEntry(1, 2)}).has_value());
    }
    const auto state = load();
    LONGS_EQUAL(1, state->entries.size());
    LONGS_EQUAL(2, state->entries[0].term);
}

// Guards against a controller that does not start after a crash during a write, and against
// appending after a torn record, which the next load would report as damage in the middle of the
// log.
TEST(file_storage_test, tornRecordAtTheEndIsTruncatedForEachLength)
{
    writeThreeRecords();
    const auto undamaged = readFile(logPath);
    auto state = load();
    for (std::size_t missingBytes = 1; missingBytes < 60; ++missingBytes) {
        writeFile(logPath, undamaged.substr(0, undamaged.size() - missingBytes));
        state = load();
        CHECK(state.has_value());
        LONGS_EQUAL(missingBytes < 40 ? 1 : state->entries.size(), state->entries.size());
        auto logStorage = open();
        CHECK(logStorage.load().has_value());
        CHECK(logStorage.sync({makeEntry(2, 9)}).has_value());
    }
    state = load();
    CHECK(state.has_value());
    LONGS_EQUAL(9, state->entries.back().term);
}

// Guards against losing synced entries without an error.
TEST(file_storage_test, damageBeforeTheLastRecordIsReported)
{
    writeThreeRecords();
    const auto undamaged = readFile(logPath);
    const auto lastRecordOffset = undamaged.rfind("HPLG");
    for (std::size_t offset = 0; offset < lastRecordOffset; ++offset) {
        auto damaged = undamaged;
        damaged[offset] = static_cast<char>(damaged[offset] ^ 0x40);
        writeFile(logPath, damaged);
        const auto state = load();
        CHECK(!state.has_value());
        CHECK(state.error().kind == storage_failure::Corrupt
              || state.error().kind == storage_failure::UnsupportedFormat);
        CHECK(state.error().detail.find("offset") != std::string::npos);
    }
}

// As above, for damage to the snapshot in the first record.
TEST(file_storage_test, damagedSnapshotIsReported)
{
    {
        auto logStorage = open();
        CHECK(logStorage.load().has_value());
        CHECK(logStorage.replace({7, 3, "a#1", "snapshot", {makeEntry(5)}}).has_value());
    }
    const auto state = load();
    STRCMP_EQUAL("snapshot", state->snapshot.c_str());
    LONGS_EQUAL(5, state->entries[0].index);
    auto damaged = readFile(logPath);
    damaged[damaged.find("snapshot")] = 'X';
    writeFile(logPath, damaged);
    CHECK(load().error().kind == storage_failure::Corrupt);
}

// Guards against two processes that write to the same folder.
TEST(file_storage_test, folderThatIsInUseIsNotOpened)
{
    const auto first = open();
    const auto second = file_storage::open(folder);
    CHECK(!second.has_value());
    CHECK(second.error().kind == storage_failure::Locked);
}

// Guards against reporting a failed write as a success. A file size limit simulates a full
// logStorage.
TEST(file_storage_test, fullDiskIsReported)
{
    auto logStorage = open();
    CHECK(logStorage.load().has_value());
    rlimit oldLimit{};
    ::getrlimit(RLIMIT_FSIZE, &oldLimit);
    const auto oldHandler = std::signal(SIGXFSZ, SIG_IGN);
    const rlimit smallLimit{64, oldLimit.rlim_max};
    ::setrlimit(RLIMIT_FSIZE, &smallLimit);
    const auto result = logStorage.sync({log_entry{1, 1, std::string(1000, 'x')}});
    ::setrlimit(RLIMIT_FSIZE, &oldLimit);
    std::signal(SIGXFSZ, oldHandler);
    CHECK(!result.has_value());
    CHECK(result.error().kind == storage_failure::Io);
}
