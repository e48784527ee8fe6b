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

constexpr testsupport::network_faults LOSS_FREE_NETWORK{};
constexpr testsupport::network_faults FAULTY_NETWORK{0.1, 0.1, milliseconds(1), milliseconds(80)};

auto drawAndPrintSeed() -> std::uint64_t
{
    const auto seed = base::systemSeed();
    std::printf("seed %llu\n", static_cast<unsigned long long>(seed));
    return seed;
}

//! Returns whether each running node lists each running node as alive, with its current incarnation
//! and the same upstreams as the node itself, and lists stopped nodes as dead or not at all.
auto isConverged(fleet &nodes, const std::set<std::size_t> &stoppedNodes) -> bool
{
    for (std::size_t observer = 0; observer < nodes.size(); ++observer) {
        if (stoppedNodes.contains(observer)) {
            continue;
        }
        for (std::size_t subject = 0; subject < nodes.size(); ++subject) {
            const auto *entry = nodes.seen(observer, subject);
            if (stoppedNodes.contains(subject)) {
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

auto runUntilConverged(fleet &nodes, base::duration limit,
                       const std::set<std::size_t> &stoppedNodes = {}) -> bool
{
    const auto end = nodes.network.now() + limit;
    while (nodes.network.now() < end) {
        nodes.network.run(milliseconds(500));
        if (isConverged(nodes, stoppedNodes)) {
            return true;
        }
    }
    return false;
}

} // namespace

TEST_GROUP(directory_test){};

// Guards against nodes or upstreams that are never propagated to some nodes.
TEST(directory_test, nodesJoinThroughSeedsAndSeeAllUpstreams)
{
    fleet nodes(drawAndPrintSeed(), 25, LOSS_FREE_NETWORK);
    for (std::size_t i = 0; i < nodes.size(); ++i) {
        nodes.publish(i, 1, upstream_state::Ready);
    }
    CHECK_TRUE(runUntilConverged(nodes, seconds(30)));
    CHECK_EQUAL(0U, nodes.oversizedMessages());
}

// Guards against requests to a draining or withdrawn upstream or a leaving node because other nodes
// learn of the change later than 2 s after it.
TEST(directory_test, departuresAreKnownEverywhereWithinTwoSeconds)
{
    fleet nodes(drawAndPrintSeed(), 50, LOSS_FREE_NETWORK);
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

// Guards against a crashed node that is not detected, and against a restarted node that stays dead
// or keeps the upstreams of its previous incarnation.
TEST(directory_test, crashedNodeIsDetectedAndRejoinsWithAHigherIncarnation)
{
    fleet nodes(drawAndPrintSeed(), 25, LOSS_FREE_NETWORK);
    nodes.publish(12, 1, upstream_state::Ready);
    CHECK_TRUE(runUntilConverged(nodes, seconds(30)));
    nodes.network.crash(fleet::idOf(12));
    CHECK_TRUE(runUntilConverged(nodes, seconds(30), {12}));
    nodes.start(12);
    CHECK_TRUE(runUntilConverged(nodes, seconds(30)));
    CHECK_TRUE(nodes.seen(3, 12)->upstreams.empty());
}

// Guards against a node that is declared dead although other nodes reach it.
TEST(directory_test, oneWayCutsBetweenPairsNeverCauseADeathVerdict)
{
    fleet nodes(drawAndPrintSeed(), 15, LOSS_FREE_NETWORK);
    CHECK_TRUE(runUntilConverged(nodes, seconds(30)));
    for (std::size_t i = 0; i < 5; ++i) {
        nodes.network.cut(fleet::idOf(0), fleet::idOf(10 + i));
        nodes.network.cut(fleet::idOf(10 + i), fleet::idOf(1));
    }
    std::size_t deadCount = 0;
    for (int step = 0; step < 240; ++step) {
        nodes.network.run(milliseconds(500));
        for (std::size_t observer = 0; observer < nodes.size(); ++observer) {
            for (const auto &entry : nodes.at(observer).view().load()->nodes()) {
                deadCount += entry.state == node_state::Dead ? 1 : 0;
            }
        }
    }
    CHECK_EQUAL(0U, deadCount);
}

// Guards against sides of a partition that do not reconnect after healing, and against nodes that
// their own side declares dead because the other side did.
TEST(directory_test, healedPartitionConvergesWithoutNewDeaths)
{
    fleet nodes(drawAndPrintSeed(), 20, LOSS_FREE_NETWORK);
    CHECK_TRUE(runUntilConverged(nodes, seconds(30)));
    const auto isOnFirstSide = [](std::size_t index) {
        return index < 8;
    };
    for (std::size_t i = 0; i < nodes.size(); ++i) {
        for (std::size_t j = 0; j < nodes.size(); ++j) {
            if (isOnFirstSide(i) != isOnFirstSide(j)) {
                nodes.network.cut(fleet::idOf(i), fleet::idOf(j));
            }
        }
    }
    nodes.network.run(seconds(120));
    CHECK_TRUE(nodes.seen(0, 19)->state == node_state::Dead);
    CHECK_TRUE(nodes.seen(19, 0)->state == node_state::Dead);
    nodes.network.healAll();
    std::size_t wronglyDeadCount = 0;
    const auto end = nodes.network.now() + seconds(60);
    while (!isConverged(nodes, {}) && nodes.network.now() < end) {
        nodes.network.run(milliseconds(100));
        for (std::size_t observer = 0; observer < nodes.size(); ++observer) {
            for (std::size_t subject = 0; subject < nodes.size(); ++subject) {
                const bool areOnSameSide = isOnFirstSide(observer) == isOnFirstSide(subject);
                const bool isDead = nodes.seen(observer, subject)->state == node_state::Dead;
                wronglyDeadCount += areOnSameSide && isDead ? 1 : 0;
            }
        }
    }
    CHECK_TRUE(isConverged(nodes, {}));
    CHECK_EQUAL(0U, wronglyDeadCount);
}

// Guards against a dead node that outdated gossip of a resumed node restores after the other nodes
// have removed it.
TEST(directory_test, removedNodeIsNotRestoredByAResumedNode)
{
    directory_timing timing;
    timing.deadNodeRetention = seconds(20);
    fleet nodes(drawAndPrintSeed(), 10, LOSS_FREE_NETWORK, timing);
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

// Guards against three failures under loss, duplication, reordering, cuts, restarts and pauses: an
// upstream reverts to an older state after it was withdrawn or drained, messages exceed the
// datagram limit in a small fleet, or the fleet does not converge after healing.
TEST(directory_test, upstreamsNeverRevertUnderRandomFaultsAndHealedFleetConverges)
{
    for (int run = 0; run < 5; ++run) {
        fleet nodes(drawAndPrintSeed(), 12, FAULTY_NETWORK);
        auto &random = nodes.network.random();
        // Highest sequence number in the views of each observer per node incarnation and upstream.
        std::map<std::tuple<std::size_t, base::incarnation, base::upstream_id>, std::uint64_t>
                highestSequences;
        std::set<std::size_t> pausedNodes;
        int sequenceRegressions = 0;
        const auto countRegressions = [&] {
            const auto observer = random.below(nodes.size());
            for (const auto &node : nodes.at(observer).view().load()->nodes()) {
                for (const auto &upstream : node.upstreams) {
                    auto &last = highestSequences[{observer, node.incarnation, upstream.id}];
                    sequenceRegressions += upstream.sequence < last ? 1 : 0;
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
                pausedNodes.insert(index);
                break;
            case 3:
                for (const auto item : pausedNodes) {
                    nodes.network.resume(fleet::idOf(item));
                }
                pausedNodes.clear();
                break;
            case 4:
                if (random.chance(0.3) && !pausedNodes.contains(index)) {
                    nodes.start(index);
                    std::erase_if(highestSequences, [index](const auto &item) {
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
            nodes.network.run(milliseconds(random.below(2000)), countRegressions);
        }
        CHECK_EQUAL(0, sequenceRegressions);
        CHECK_EQUAL(0U, nodes.oversizedMessages());
        nodes.network.healAll();
        for (const auto item : pausedNodes) {
            nodes.network.resume(fleet::idOf(item));
        }
        nodes.network.setFaults(LOSS_FREE_NETWORK);
        CHECK_TRUE(runUntilConverged(nodes, seconds(90)));
    }
}
