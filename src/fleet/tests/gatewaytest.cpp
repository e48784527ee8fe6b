#include "base/random.h"
#include "fleet/gatewaywatch.h"
#include "fleet/usagetable.h"

#include <CppUTest/TestHarness.h>
#include <set>
#include <string>
#include <vector>

using namespace hawthornpick;
using std::chrono::milliseconds;

namespace {

const base::region_id OWN("own");
const base::region_id OTHER("other");

auto at(int millisecond) -> base::time_point
{
    return base::time_point(std::chrono::hours(1) + milliseconds(millisecond));
}

//! The hubs of a region; those in `silent` neither send nor ask, and those in
//! `unanswered` get no answers.
struct gateway_region
{
    std::vector<base::node_id> hubs;
    std::vector<fleet::gateway_watch> watches;
    std::set<std::size_t> silent;
    std::set<std::size_t> unanswered;
    std::vector<base::time_point> lastUsedAt;

    explicit gateway_region(std::size_t count) : lastUsedAt(count, at(0))
    {
        for (std::size_t i = 0; i < count; ++i) {
            hubs.emplace_back("10.0.0." + std::to_string(i) + ":7000");
            watches.emplace_back(hubs.back(), OWN);
        }
    }

    //! Lets all hubs exchange messages; returns those that ask.
    auto exchange(base::time_point now) -> std::set<std::size_t>
    {
        std::set<std::size_t> asking;
        for (std::size_t i = 0; i < hubs.size(); ++i) {
            for (std::size_t other = 0; other < hubs.size(); ++other) {
                if (other != i && !silent.contains(other)) {
                    watches[i].onHeard(hubs[other], now);
                }
            }
            auto others = hubs;
            std::erase(others, hubs[i]);
            if (!silent.contains(i) && watches[i].mustAsk(OTHER, others, now)) {
                asking.insert(i);
            }
        }
        for (const auto hub : asking) {
            for (std::size_t i = 0; i < hubs.size() && !unanswered.contains(hub); ++i) {
                if (watches[i].onAnswer(OTHER, hubs[hub], now)) {
                    lastUsedAt[i] = now;
                }
            }
        }
        return asking;
    }
};

} // namespace

TEST_GROUP(gateway){};

// Guards against several hubs that ask the same region for long, and against a region that nobody
// asks: hubs fall silent and lose the other region in turn.
TEST(gateway, oneHubAsksAndIsReplacedInTime)
{
    constexpr std::size_t HUBS = 4;
    constexpr std::uint64_t SEED = 7;
    base::random_source random(SEED);
    gateway_region region(HUBS);
    int now = 0;
    for (int round = 0; round < 200; ++round) {
        region.silent.clear();
        region.unanswered.clear();
        (random.chance(0.5) ? region.silent : region.unanswered).insert(random.below(HUBS));
        std::set<std::size_t> asking;
        for (int step = 0; step < 20; ++step, now += 250) {
            asking = region.exchange(at(now));
            for (std::size_t i = 0; i < HUBS; ++i) {
                const auto age = at(now) - region.lastUsedAt[i];
                CHECK_TEXT(age <= milliseconds(1000), ("seed " + std::to_string(SEED)).c_str());
            }
        }
        std::erase_if(asking, [&](auto hub) { return region.unanswered.contains(hub); });
        CHECK_EQUAL(1, asking.size());
    }
}

// Guards against a hub that waits for others when it starts, and that waits for hubs that it
// doesn't hear.
TEST(gateway, asksAtItsStartAndWithoutOthers)
{
    gateway_region region(3);
    CHECK_EQUAL(3, region.exchange(at(0)).size());
    for (int now = 250; now <= 2000; now += 250) {
        region.exchange(at(now));
    }
    CHECK_EQUAL(1, region.exchange(at(2250)).size());
    region.silent = {0, 1};
    for (int now = 2500; now <= 4000; now += 250) {
        region.exchange(at(now));
    }
    CHECK(region.exchange(at(4250)) == std::set<std::size_t>{2});
}

TEST_GROUP(usage_changes){};

// Guards against a reader whose usage differs from the sender's after losses, repeats, reordering
// and restarts of either side, and against changes that are larger than all of the usage.
TEST(usage_changes, readerFollowsThroughLossAndRestarts)
{
    for (std::uint64_t seed = 1; seed <= 50; ++seed) {
        base::random_source random(seed);
        const auto place = "seed " + std::to_string(seed);
        std::uint64_t bootId = 1;
        fleet::usage_table table(bootId);
        fleet::usage_copy copy;
        base::usage_map usages;
        std::vector<fleet::usage_changes> underWay;
        int now = 0;
        const auto update = [&] {
            table.update(
                    usages, [](const auto &) { return true; }, at(now));
        };
        for (int step = 0; step < 500; ++step, now += 250) {
            const base::organisation_id changed("o" + std::to_string(random.below(8)));
            if (random.chance(0.3)) {
                usages.erase(changed);
            } else {
                usages[changed] = {static_cast<double>(random.below(50)),
                                   static_cast<double>(random.below(50))};
            }
            now += random.chance(0.02) ? 70'000 : 0;
            update();
            if (random.chance(0.02)) {
                table = fleet::usage_table(++bootId);
                underWay.clear();
                update();
            }
            if (random.chance(0.02)) {
                copy = {};
            }
            underWay.push_back(table.changesSince(copy.position()));
            while (!underWay.empty() && random.chance(0.5)) {
                const auto index = random.below(underWay.size());
                copy.apply(underWay[index]);
                if (random.chance(0.8)) {
                    underWay.erase(underWay.begin() + static_cast<std::ptrdiff_t>(index));
                }
            }
        }
        CHECK_TEXT(copy.apply(table.changesSince(copy.position())), place.c_str());
        std::erase_if(usages, [](const auto &item) { return item.second == base::rate_usage{}; });
        CHECK_TEXT(copy.usages() == usages, place.c_str());
        CHECK_TEXT(table.changesSince(copy.position()).usages.empty(), place.c_str());
    }
}

// Guards against changes that are applied to usage of which some is missing.
TEST(usage_changes, refusesChangesAfterAGap)
{
    fleet::usage_table table(5);
    const base::organisation_id organisation("o");
    const auto isExact = [](const auto &) {
        return true;
    };
    table.update({{organisation, {1.0, 1.0}}}, isExact, at(0));
    fleet::usage_copy copy;
    CHECK(copy.apply(table.changesSince({})));
    const auto position = copy.position();
    table.update({{organisation, {2.0, 1.0}}}, isExact, at(100));
    const auto changes = table.changesSince(position);
    fleet::usage_copy restarted;
    CHECK(!restarted.apply(changes));
    CHECK(restarted.usages().empty());
    CHECK(copy.apply(changes));
    DOUBLES_EQUAL(2.0, copy.usages().at(organisation).demand, 1e-9);
}

// Guards against small changes that are never sent, and against large ones or those near a limit
// that wait.
TEST(usage_changes, delaysSmallChangesOnly)
{
    fleet::usage_table table(5);
    const base::organisation_id organisation("o");
    bool isNearLimit = false;
    const auto countChanges = [&](double admitted, int now) {
        const auto position = table.changesSince({}).until;
        table.update(
                {{organisation, {10.0, admitted}}}, [&](const auto &) { return isNearLimit; },
                at(now));
        return table.changesSince(position).usages.size();
    };
    table.update(
            {{organisation, {10.0, 100.0}}}, [](const auto &) { return false; }, at(0));
    CHECK_EQUAL(0, countChanges(101.0, 250));
    CHECK_EQUAL(1, countChanges(101.0, 1000));
    CHECK_EQUAL(1, countChanges(120.0, 1250));
    CHECK_EQUAL(0, countChanges(121.0, 1500));
    isNearLimit = true;
    CHECK_EQUAL(1, countChanges(121.0, 1500));
}
