#include "membership/tests/fleetfixture.h"

#include <algorithm>
#include <cstdio>
#include <ctime>
#include <iterator>
#include <string>

using namespace hawthornpick;
using namespace hawthornpick::membership;
using namespace hawthornpick::membership::test;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr int UPSTREAMS_PER_NODE = 11;
//! Restarts and replacements in a day, for each node of the design size (3,600 on 1,300 nodes).
constexpr double RESTARTS_PER_NODE_AND_DAY = 3600.0 / 1300.0;
constexpr double SECONDS_PER_DAY = 86400.0;
//! UDP and IP header, and the authentication header with a name of 8 bytes.
constexpr std::uint64_t HEADER_BYTES = 28 + 27 + 8;
constexpr int MEASURED_SECONDS = 120;

auto processorSeconds() -> double
{
    timespec used{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &used);
    return static_cast<double>(used.tv_sec) + static_cast<double>(used.tv_nsec) / 1e9;
}

auto publishAll(fleet &nodes, std::size_t index, upstream_state state) -> void
{
    for (int number = 0; number < UPSTREAMS_PER_NODE; ++number) {
        nodes.publish(index, number, state);
    }
}

auto knowsAll(fleet &nodes) -> bool
{
    for (std::size_t i = 0; i < nodes.size(); ++i) {
        const auto view = nodes.at(i).view().load();
        const auto alive = std::count_if(view->nodes().begin(), view->nodes().end(),
                                         [](const node_entry &entry) {
                                             return entry.state == node_state::Alive
                                                    && entry.upstreams.size() == UPSTREAMS_PER_NODE;
                                         });
        if (static_cast<std::size_t>(alive) != nodes.size()) {
            return false;
        }
    }
    return true;
}

//! Time until all nodes see one upstream of node 2 draining.
auto measureSpread(fleet &nodes) -> double
{
    nodes.publish(2, 0, upstream_state::Draining);
    const auto begin = nodes.network.now();
    const auto isKnown = [&](std::size_t observer) {
        const auto *entry = nodes.seen(observer, 2);
        return entry != nullptr
               && std::any_of(entry->upstreams.begin(), entry->upstreams.end(),
                              [](const upstream_entry &upstream) {
                                  return upstream.state == upstream_state::Draining;
                              });
    };
    std::size_t known = 0;
    while (known < nodes.size() && nodes.network.now() - begin < seconds(60)) {
        nodes.network.run(milliseconds(50));
        while (known < nodes.size() && isKnown(known)) {
            ++known;
        }
    }
    return base::toSeconds(nodes.network.now() - begin);
}

//! Runs the fleet with restarts at the rate of the design size or with none and prints one row.
auto measure(std::size_t size, bool hasRestarts) -> void
{
    fleet nodes(1, size, {0.001, 0.0, std::chrono::microseconds(500), milliseconds(20)});
    for (std::size_t i = 0; i < size; ++i) {
        publishAll(nodes, i, upstream_state::Ready);
    }
    const auto begin = nodes.network.now();
    while (!knowsAll(nodes) && nodes.network.now() - begin < seconds(300)) {
        nodes.network.run(seconds(1));
    }
    const auto joined = base::toSeconds(nodes.network.now() - begin);
    nodes.network.run(seconds(30));

    const auto bytes = nodes.network.sentBytes();
    const auto messages = nodes.network.sentMessages();
    const auto processor = processorSeconds();
    // The restart rate of the whole fleet, at least one restart in the measured time.
    const auto restarts =
            hasRestarts ? std::max(1.0, RESTARTS_PER_NODE_AND_DAY * static_cast<double>(size)
                                                * MEASURED_SECONDS / SECONDS_PER_DAY)
                        : 0.0;
    const auto interval = static_cast<int>(hasRestarts ? MEASURED_SECONDS / restarts : 0);
    for (int second = 0; second < MEASURED_SECONDS; ++second) {
        if (hasRestarts && second % interval == interval / 2) {
            const auto index = 2 + nodes.network.random().below(size - 2);
            nodes.start(index);
            publishAll(nodes, index, upstream_state::Ready);
        }
        nodes.network.run(seconds(1));
    }
    const auto share = static_cast<double>(size) * MEASURED_SECONDS;
    const auto sent = static_cast<double>(nodes.network.sentMessages() - messages);
    const auto payload = static_cast<double>(nodes.network.sentBytes() - bytes);
    const auto used = processorSeconds() - processor;
    const auto spread = measureSpread(nodes);
    std::printf("%5zu %9s %8.1f %12.2f %14.0f %14.0f %10.3f %9.2f\n", size,
                hasRestarts ? std::to_string(static_cast<int>(restarts)).c_str() : "none", joined,
                sent / share, payload / share, (payload + sent * HEADER_BYTES) / share,
                100.0 * used / share, spread);
    std::fflush(stdout);
}

} // namespace

//! Measures membership traffic and processor time in virtual time; the arguments are fleet sizes.
auto main(int argc, char **argv) -> int
{
    std::printf("Membership in virtual time, %d upstreams per node, 0.1%% loss, 0.5 to 20 ms "
                "delay, %d s measured, seed 1.\n"
                "bytes/s: payload sent by one node; with headers: plus UDP, IP and "
                "authentication.\n"
                "processor: decision object of one node with the share of the simulated network, "
                "percent of a core.\n"
                "spread: time until all nodes know that one upstream is draining.\n\n",
                UPSTREAMS_PER_NODE, MEASURED_SECONDS);
    std::printf("%5s %9s %8s %12s %14s %14s %10s %9s\n", "nodes", "restarts", "join s",
                "messages/s", "bytes/s", "with headers", "processor", "spread s");
    for (int i = 1; i < argc; ++i) {
        const auto size = static_cast<std::size_t>(std::stoul(argv[i]));
        measure(size, false);
        measure(size, true);
    }
    return 0;
}
