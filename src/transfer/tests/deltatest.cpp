#include "transfer/delta.h"

#include "base/random.h"

#include <CppUTest/TestHarness.h>
#include <string>

using namespace hawthornpick;

namespace {

auto randomBytes(base::random_source &random, std::size_t size) -> std::string
{
    std::string out;
    for (std::size_t i = 0; i < size; ++i) {
        out.push_back(static_cast<char>(random.below(256)));
    }
    return out;
}

auto applyRandomEdits(base::random_source &random, std::string text) -> std::string
{
    for (std::uint64_t i = random.below(6); i > 0 && !text.empty(); --i) {
        const auto at = random.below(text.size());
        const auto count = random.below(40);
        if (random.chance(0.5)) {
            text.insert(at, randomBytes(random, count));
        } else {
            text.erase(at, count);
        }
    }
    return text;
}

} // namespace

TEST_GROUP(delta_test){};

// Guards against a delta that rebuilds bytes other than the target.
TEST(delta_test, rebuildsTheTargetFromTheBase)
{
    base::random_source random(7);
    for (int i = 0; i < 500; ++i) {
        const auto base = randomBytes(random, random.below(2000));
        const auto target =
                random.chance(0.8) ? applyRandomEdits(random, base) : randomBytes(random, 300);
        const auto rebuilt = transfer::applyDelta(base, transfer::makeDelta(base, target));
        CHECK(rebuilt == target);
    }
}

// Guards against a delta whose size grows with the content instead of the change.
TEST(delta_test, smallChangeGivesSmallDelta)
{
    base::random_source random(8);
    const auto base = randomBytes(random, 100'000);
    auto target = base;
    target.replace(1000, 20, "changed");
    target.replace(70'000, 5, "changed as well");
    CHECK(transfer::makeDelta(base, target).size() < 200);
}

// Guards against reads outside the base and against huge allocations on corrupted input.
TEST(delta_test, corruptedDeltaIsRejectedOrResultIsBounded)
{
    base::random_source random(9);
    const auto base = randomBytes(random, 1000);
    for (int i = 0; i < 2000; ++i) {
        auto delta = transfer::makeDelta(base, applyRandomEdits(random, base));
        delta = delta.empty() ? "x" : delta;
        delta[random.below(delta.size())] = static_cast<char>(random.below(256));
        const auto rebuilt = transfer::applyDelta(base, delta);
        CHECK(!rebuilt || rebuilt->size() < 1'000'000);
    }
}
