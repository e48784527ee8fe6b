#include "transfer/delta.h"

#include "base/random.h"

#include <CppUTest/TestHarness.h>
#include <string>

using namespace hawthornpick;

namespace {

auto randomText(base::random_source &random, std::size_t size) -> std::string
{
    std::string out;
    for (std::size_t i = 0; i < size; ++i) {
        out.push_back(static_cast<char>(random.below(256)));
    }
    return out;
}

auto mutate(base::random_source &random, std::string text) -> std::string
{
    for (std::uint64_t i = random.below(6); i > 0 && !text.empty(); --i) {
        const auto at = random.below(text.size());
        const auto count = random.below(40);
        if (random.chance(0.5)) {
            text.insert(at, randomText(random, count));
        } else {
            text.erase(at, count);
        }
    }
    return text;
}

} // namespace

TEST_GROUP(delta_test){};

// Guards against a delta that rebuilds other bytes than the target.
TEST(delta_test, rebuildsTheTargetFromTheBase)
{
    base::random_source random(7);
    for (int i = 0; i < 500; ++i) {
        const auto old = randomText(random, random.below(2000));
        const auto target = random.chance(0.8) ? mutate(random, old) : randomText(random, 300);
        const auto rebuilt = transfer::applyDelta(old, transfer::makeDelta(old, target));
        CHECK(rebuilt == target);
    }
}

// Guards against a delta that is as large as the content after a small change.
TEST(delta_test, smallChangeGivesSmallDelta)
{
    base::random_source random(8);
    const auto old = randomText(random, 100'000);
    auto target = old;
    target.replace(1000, 20, "changed");
    target.replace(70'000, 5, "changed as well");
    CHECK(transfer::makeDelta(old, target).size() < 200);
}

// Guards against reads outside the base and against huge allocations from damaged input.
TEST(delta_test, damagedDeltaIsRefusedOrHarmless)
{
    base::random_source random(9);
    const auto old = randomText(random, 1000);
    for (int i = 0; i < 2000; ++i) {
        auto delta = transfer::makeDelta(old, mutate(random, old));
        delta = delta.empty() ? "x" : delta;
        delta[random.below(delta.size())] = static_cast<char>(random.below(256));
        const auto rebuilt = transfer::applyDelta(old, delta);
        CHECK(!rebuilt || rebuilt->size() < 1'000'000);
    }
}
