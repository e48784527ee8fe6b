#include "base/snapshotcell.h"

#include <CppUTest/TestHarness.h>
#include <thread>
#include <vector>

using namespace hawthornpick::base;

TEST_GROUP(snapshot_cell_test){};

TEST(snapshot_cell_test, loadedValueSurvivesStoreOfNewValue)
{
    snapshot_cell<int> cell(std::make_shared<const int>(1));
    const auto loaded = cell.load();
    cell.store(std::make_shared<const int>(2));
    CHECK_EQUAL(1, *loaded);
    CHECK_EQUAL(2, *cell.load());
}

// Guards against a reader that returns an older value after a newer one.
TEST(snapshot_cell_test, concurrentReadersNeverReturnOlderValue)
{
    constexpr int LAST_VALUE = 20000;
    snapshot_cell<int> cell(std::make_shared<const int>(0));
    std::vector<std::thread> readers;
    std::atomic<int> decreaseCount{0};
    readers.reserve(4);
    for (int i = 0; i < 4; ++i) {
        readers.emplace_back([&cell, &decreaseCount] {
            snapshot_reader<int> reader(cell);
            int previousValue = 0;
            while (previousValue < LAST_VALUE) {
                const int value = *reader.current();
                if (value < previousValue) {
                    ++decreaseCount;
                }
                previousValue = value;
            }
        });
    }
    for (int i = 1; i <= LAST_VALUE; ++i) {
        cell.store(std::make_shared<const int>(i));
    }
    for (auto &reader : readers) {
        reader.join();
    }
    CHECK_EQUAL(0, decreaseCount.load());
}
