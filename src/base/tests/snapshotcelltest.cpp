#include "base/snapshotcell.h"

#include <CppUTest/TestHarness.h>
#include <thread>
#include <vector>

using namespace hawthornpick::base;

TEST_GROUP(snapshot_cell_test){};

TEST(snapshot_cell_test, readerKeepsItsValueWhileWriterReplacesIt)
{
    snapshot_cell<int> cell(std::make_shared<const int>(1));
    const auto held = cell.load();
    cell.store(std::make_shared<const int>(2));
    CHECK_EQUAL(1, *held);
    CHECK_EQUAL(2, *cell.load());
}

// Guards against a reader that goes back to an older value after it saw a newer one.
TEST(snapshot_cell_test, concurrentReadersSeeRisingValues)
{
    constexpr int LAST = 20000;
    snapshot_cell<int> cell(std::make_shared<const int>(0));
    std::vector<std::thread> readers;
    std::atomic<int> reversals{0};
    readers.reserve(4);
    for (int i = 0; i < 4; ++i) {
        readers.emplace_back([&cell, &reversals] {
            snapshot_reader<int> reader(cell);
            int seen = 0;
            while (seen < LAST) {
                const int value = *reader.current();
                if (value < seen) {
                    ++reversals;
                }
                seen = value;
            }
        });
    }
    for (int i = 1; i <= LAST; ++i) {
        cell.store(std::make_shared<const int>(i));
    }
    for (auto &reader : readers) {
        reader.join();
    }
    CHECK_EQUAL(0, reversals.load());
}
