#include "membership/tests/fleetfixture.h"

#include <CppUTest/TestHarness.h>
#include <cstdio>
#include <map>
#include <set>

using namespace hawthornpick;
using namespace hawthornpick::membership;
using namespace hawthornpick::membership::test;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr testsupport::network_faults GOOD_NETWORK{};
constexpr testsupport::network_faults BAD_NETWORK{0.1, 0.1, milliseconds(1), milliseconds(80)};

auto printedSeed() -> std::uint64_t
{
    const auto seed = base::systemSeed();
    std::printf("seed %llu\n", static_cast<unsigned long long>(seed));
    return seed;
}

//! True if each running node sees each running node alive in its current incarnation and each other
//! one as dead or not at all, and sees equal upstreams.
auto isConverged(fleet &nodes, const std::set<std::size_t> &down) -> bool
{
    for (std::size_t observer = 0; observer < nodes.size(); ++observer) {
        if (down.contains(observer)) {
            continue;
        }
        for (std::size_t subject = 0; subject < nodes.size(); ++subject) {
            const auto *entry = nodes.seen(observer, subject);
            if (down.contains(subject)) {
                if (entry != nullptr && entry->state != node_state::Dead) {
                    return false;
                }
                continue;
            }
            if (entry == nullptr || entry->state != node_state::Alive
                || entry->incarnation != nodes.incarnationOf(subject)) {
                return false;
            }
            const auto seen = entry->upstreams;
            if (seen != nodes.seen(subject, subject)->upstreams) {
                return false;
            }
        }
    }
    return true;
}

auto runUntilConverged(fleet &nodes, base::duration limit, const std::set<std::size_t> &down = {})
        -> bool
{
    const auto end = nodes.network.now() + limit;
    while (nodes.network.now() < end) {
        nodes.network.run(milliseconds(500));
        if (isConverged(nodes, down)) {
            return true;
        }
    }
    return false;
}

} // namespace

TEST_GROUP(directory_test){};

// Guards against nodes or upstreams that some nodes never learn of.
TEST(directory_test, nodesJoinThroughSeedsAndSeeAllUpstreams)
{
    fleet nodes(printedSeed(), 25, GOOD_NETWORK);
    for (std::size_t i = 0; i < nodes.size(); ++i) {
        nodes.publish(i, 1, upstream_state::Ready);
    }
    CHECK_TRUE(runUntilConverged(nodes, seconds(30)));
    CHECK_EQUAL(0U, nodes.oversized());
}

// Guards against new work for a departing upstream or node: other nodes know within 2 s.
TEST(directory_test, departuresAreKnownEverywhereWithinTwoSeconds)
{
    fleet nodes(printedSeed(), 50, GOOD_NETWORK);
    for (std::size_t i = 0; i < nodes.size(); ++i) {
        nodes.publish(i, 1, upstream_state::Ready);
    }
    CHECK_TRUE(runUntilConverged(nodes, seconds(60)));
    nodes.publish(7, 1, upstream_state::Draining);
    nodes.at(8).withdraw(fleet::upstreamOf(8, 1), nodes.network.now());
    nodes.at(9).leave(nodes.network.now());
    nodes.network.run(seconds(2));
    for (std::size_t i = 0; i < nodes.size(); ++i) {
        CHECK_TRUE(nodes.seen(i, 7)->upstreams.front().state == upstream_state::Draining);
        CHECK_TRUE(nodes.seen(i, 8)->upstreams.empty());
        CHECK_TRUE(nodes.seen(i, 9)->state == node_state::Leaving);
    }
}

// Guards against a dead node that stays in use, and against a restarted one that stays dead or
// keeps the upstreams of its earlier process.
TEST(directory_test, deadNodeIsFoundAndRejoinsWithAHigherIncarnation)
{
    fleet nodes(printedSeed(), 25, GOOD_NETWORK);
    nodes.publish(12, 1, upstream_state::Ready);
    CHECK_TRUE(runUntilConverged(nodes, seconds(30)));
    nodes.network.crash(fleet::idOf(12));
    CHECK_TRUE(runUntilConverged(nodes, seconds(30), {12}));
    nodes.start(12);
    CHECK_TRUE(runUntilConverged(nodes, seconds(30)));
    CHECK_TRUE(nodes.seen(3, 12)->upstreams.empty());
}

// Guards against a node that is held for dead although others reach it.
TEST(directory_test, oneWayCutsBetweenPairsNeverMakeANodeDead)
{
    fleet nodes(printedSeed(), 15, GOOD_NETWORK);
    CHECK_TRUE(runUntilConverged(nodes, seconds(30)));
    for (std::size_t i = 0; i < 5; ++i) {
        nodes.network.cut(fleet::idOf(0), fleet::idOf(10 + i));
        nodes.network.cut(fleet::idOf(10 + i), fleet::idOf(1));
    }
    std::size_t dead = 0;
    for (int step = 0; step < 240; ++step) {
        nodes.network.run(milliseconds(500));
        for (std::size_t observer = 0; observer < nodes.size(); ++observer) {
            for (const auto &entry : nodes.at(observer).view().load()->nodes()) {
                dead += entry.state == node_state::Dead ? 1 : 0;
            }
        }
    }
    CHECK_EQUAL(0U, dead);
}

// Guards against sides of a partition that never find each other again, and against nodes that are
// held for dead by their own side on the other side's word.
TEST(directory_test, healedPartitionConvergesWithoutNewDeaths)
{
    fleet nodes(printedSeed(), 20, GOOD_NETWORK);
    CHECK_TRUE(runUntilConverged(nodes, seconds(30)));
    const auto isLeft = [](std::size_t index) {
        return index < 8;
    };
    for (std::size_t i = 0; i < nodes.size(); ++i) {
        for (std::size_t j = 0; j < nodes.size(); ++j) {
            if (isLeft(i) != isLeft(j)) {
                nodes.network.cut(fleet::idOf(i), fleet::idOf(j));
            }
        }
    }
    nodes.network.run(seconds(120));
    CHECK_TRUE(nodes.seen(0, 19)->state == node_state::Dead);
    CHECK_TRUE(nodes.seen(19, 0)->state == node_state::Dead);
    nodes.network.healAll();
    std::size_t wrong = 0;
    const auto end = nodes.network.now() + seconds(60);
    while (!isConverged(nodes, {}) && nodes.network.now() < end) {
        nodes.network.run(milliseconds(100));
        for (std::size_t observer = 0; observer < nodes.size(); ++observer) {
            for (std::size_t subject = 0; subject < nodes.size(); ++subject) {
                const bool isSameSide = isLeft(observer) == isLeft(subject);
                const bool isDead = nodes.seen(observer, subject)->state == node_state::Dead;
                wrong += isSameSide && isDead ? 1 : 0;
            }
        }
    }
    CHECK_TRUE(isConverged(nodes, {}));
    CHECK_EQUAL(0U, wrong);
}

// Guards against a dead node that old gossip brings back after most nodes forgot it.
TEST(directory_test, forgottenNodeIsNotBroughtBackByANodeThatWasPaused)
{
    directory_times times;
    times.forgetTime = seconds(20);
    fleet nodes(printedSeed(), 10, GOOD_NETWORK, times);
    CHECK_TRUE(runUntilConverged(nodes, seconds(30)));
    nodes.network.pause(fleet::idOf(5));
    nodes.network.crash(fleet::idOf(6));
    nodes.network.run(seconds(60));
    CHECK_TRUE(nodes.seen(2, 6) == nullptr);
    nodes.network.resume(fleet::idOf(5));
    for (int step = 0; step < 600; ++step) {
        nodes.network.run(milliseconds(100));
        for (const std::size_t observer : {0, 1, 2, 3, 4, 7, 8, 9}) {
            CHECK_TRUE(nodes.seen(observer, 6) == nullptr);
        }
    }
    CHECK_TRUE(isConverged(nodes, {6}));
}

// Guards, under loss, duplication, reordering, cuts, restarts and pauses, against an upstream that
// comes back after it was withdrawn or drained, against messages above the datagram limit in a
// small fleet, and against a fleet that does not converge after healing.
TEST(directory_test, randomFaultsNeverBringBackUpstreamsAndHealedFleetConverges)
{
    for (int run = 0; run < 5; ++run) {
        fleet nodes(printedSeed(), 12, BAD_NETWORK);
        auto &random = nodes.network.random();
        // Newest sequence that each observer has shown for an upstream of one incarnation.
        std::map<std::tuple<std::size_t, base::incarnation, base::upstream_id>, std::uint64_t>
                newest;
        std::set<std::size_t> paused;
        int reversals = 0;
        const auto check = [&] {
            const auto observer = random.below(nodes.size());
            for (const auto &node : nodes.at(observer).view().load()->nodes()) {
                for (const auto &upstream : node.upstreams) {
                    auto &last = newest[{observer, node.incarnation, upstream.id}];
                    reversals += upstream.sequence < last ? 1 : 0;
                    last = std::max(last, upstream.sequence);
                }
            }
        };
        for (int step = 0; step < 150; ++step) {
            const auto index = random.below(nodes.size());
            const auto other = random.below(nodes.size());
            switch (random.below(8)) {
            case 0:
                nodes.network.cut(fleet::idOf(index), fleet::idOf(other));
                break;
            case 1:
                nodes.network.healAll();
                break;
            case 2:
                nodes.network.pause(fleet::idOf(index));
                paused.insert(index);
                break;
            case 3:
                for (const auto item : paused) {
                    nodes.network.resume(fleet::idOf(item));
                }
                paused.clear();
                break;
            case 4:
                if (random.chance(0.3) && !paused.contains(index)) {
                    nodes.start(index);
                    std::erase_if(newest, [index](const auto &item) {
                        return std::get<0>(item.first) == index;
                    });
                }
                break;
            case 5:
                nodes.at(index).withdraw(
                        fleet::upstreamOf(index, static_cast<int>(random.below(4))),
                        nodes.network.now());
                break;
            default:
                nodes.publish(index, static_cast<int>(random.below(4)),
                              random.chance(0.5) ? upstream_state::Ready
                                                 : upstream_state::Draining);
                break;
            }
            nodes.network.run(milliseconds(random.below(2000)), check);
        }
        CHECK_EQUAL(0, reversals);
        CHECK_EQUAL(0U, nodes.oversized());
        nodes.network.healAll();
        for (const auto item : paused) {
            nodes.network.resume(fleet::idOf(item));
        }
        nodes.network.setFaults(GOOD_NETWORK);
        CHECK_TRUE(runUntilConverged(nodes, seconds(90)));
    }
}
