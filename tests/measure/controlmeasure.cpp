// Measures the control work of a fleet in virtual time and prints a report. Processor time is that
// of the real decision objects and of the virtual network, without sockets and authentication.

#include "src/control/tests/controlfleet.h"
#include "transfer/delta.h"

#include <algorithm>
#include <cstdio>
#include <ctime>
#include <vector>

using namespace hawthornpick;
using namespace hawthornpick::control;

namespace {

// IP and UDP headers, sender, channel, incarnation and HMAC of a datagram; an estimate.
constexpr double DATAGRAM_OVERHEAD_BYTES = 80;
constexpr int SET_KEYS = 400;
constexpr int SET_ROUTES = 60;

auto processorSeconds() -> double
{
    timespec now{};
    ::clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
    return static_cast<double>(now.tv_sec) + static_cast<double>(now.tv_nsec) * 1e-9;
}

auto makeSet(int keys, int routes) -> config::config_set
{
    config::config_set out;
    base::random_source random(1);
    const auto number = [](int i) {
        return std::to_string(1000000 + i);
    };
    out.organisations.push_back({base::organisation_id("organisation"), 100, 200, 1});
    for (int i = 0; i < keys; ++i) {
        out.keys.push_back({base::key_id("key-" + number(i)), base::organisation_id("organisation"),
                            base::sha256(std::to_string(random.bits()))});
    }
    out.services.push_back({});
    for (int i = 0; i < routes; ++i) {
        config::route item;
        item.id = base::route_id("route-" + number(i));
        item.pathPrefix = "/path/" + number(i);
        out.routes.push_back(item);
    }
    return out;
}

auto optionsFor(int nodes) -> fleet_options
{
    fleet_options out;
    out.nodesPerRegion = nodes / 2;
    out.faults.minimumDelay = std::chrono::microseconds(500);
    out.faults.maximumDelay = std::chrono::milliseconds(21);
    out.compactAfterEntries = 256;
    return out;
}

auto total(const node_traffic &item) -> double
{
    return static_cast<double>(item.sentBytes)
           + static_cast<double>(item.sentMessages) * DATAGRAM_OVERHEAD_BYTES;
}

class measurement
{
public:
    explicit measurement(int nodes) : m_nodes(nodes), m_fleet(11, optionsFor(nodes))
    {
        m_fleet.setBaseSet(makeSet(SET_KEYS, SET_ROUTES));
        m_fleet.run(base::milliseconds(8000));
        applyAndWait();
    }

    auto measureIdle() -> void
    {
        constexpr int SECONDS = 60;
        std::map<base::node_id, node_traffic> before;
        for (const auto &id : m_fleet.nodeIds()) {
            before[id] = m_fleet.traffic(id);
        }
        const auto processor = processorSeconds();
        m_fleet.runUnchecked(std::chrono::seconds(SECONDS));
        const auto used = processorSeconds() - processor;
        double sum = 0;
        double payload = 0;
        double busiest = 0;
        for (const auto &id : m_fleet.nodeIds()) {
            const auto &now = m_fleet.traffic(id);
            const auto bytes = (total(now) - total(before[id])) / SECONDS;
            sum += bytes;
            payload += static_cast<double>(now.sentBytes - before[id].sentBytes) / SECONDS;
            busiest = std::max(busiest, bytes);
        }
        std::printf(
                "%5d nodes: sent per node %.0f B/s payload, %.0f B/s with headers, busiest node "
                "%.0f B/s; %.4f%% of a core per node\n",
                m_nodes, payload / m_nodes, sum / m_nodes, busiest, 100 * used / SECONDS / m_nodes);
    }

    auto measureApply() -> void
    {
        constexpr int CHANGES = 100;
        std::vector<double> answers;
        std::vector<double> everywhere;
        for (int i = 0; i < CHANGES; ++i) {
            m_fleet.run(base::milliseconds(m_fleet.random().below(500)));
            const auto [answer, everyNode] = applyAndWait();
            answers.push_back(answer);
            everywhere.push_back(everyNode);
        }
        print("served by every node", everywhere);
        print("\"in force\" answered", answers);
    }

    auto measureThroughput() -> void
    {
        constexpr int CHANGES = 200;
        const auto start = m_fleet.network().now();
        for (int i = 0; i < CHANGES; ++i) {
            const auto target = m_fleet.newestAccepted() + 1;
            m_fleet.apply(m_fleet.nodeIds().front(), nextChange(), target - 1);
            while (m_fleet.newestAccepted() < target) {
                m_fleet.run(base::milliseconds(2));
            }
        }
        const auto seconds = base::toSeconds(m_fleet.network().now() - start);
        std::printf("%5d nodes: %.1f applies accepted per second, one after the other\n", m_nodes,
                    CHANGES / seconds);
    }

    auto measureRecovery(int changes, bool restarts) -> void
    {
        const auto id = m_fleet.nodeIds()[static_cast<std::size_t>(m_nodes) / 2 - 1];
        if (restarts) {
            m_fleet.crash(id);
        } else {
            m_fleet.isolate(id);
        }
        for (int i = 0; i < changes; ++i) {
            const auto change = nextChange();
            m_fleet.apply(m_fleet.nodeIds().front(), change, m_fleet.newestAccepted());
            while (!m_fleet.answer(change)) {
                m_fleet.run(base::milliseconds(20));
            }
        }
        const auto before = m_fleet.traffic(id).receivedBytes;
        const auto start = m_fleet.network().now();
        if (restarts) {
            m_fleet.start(id);
        } else {
            m_fleet.network().healAll();
        }
        while (m_fleet.servedVersion(id) != m_fleet.newestAccepted()) {
            m_fleet.run(base::milliseconds(5));
        }
        std::printf(
                "%5d nodes: %3d changes missed, %s: current after %.0f ms, %lu bytes received\n",
                m_nodes, changes, restarts ? "restarted" : "cut off",
                1000 * base::toSeconds(m_fleet.network().now() - start),
                m_fleet.traffic(id).receivedBytes - before);
    }

    auto report() -> void
    {
        for (const auto &text : m_fleet.violations()) {
            std::printf("VIOLATION: %s\n", text.c_str());
        }
    }

private:
    auto nextChange() -> std::string { return "change-" + std::to_string(++m_changes); }

    auto applyAndWait() -> std::pair<double, double>
    {
        const auto change = nextChange();
        const auto target = m_fleet.newestAccepted() + 1;
        const auto start = m_fleet.network().now();
        const auto via = m_fleet.random().below(m_fleet.nodeIds().size());
        m_fleet.apply(m_fleet.nodeIds()[via], change, target - 1);
        double answer = 0;
        double everywhere = 0;
        while (answer == 0 || everywhere == 0) {
            m_fleet.run(base::milliseconds(5));
            const auto passed = base::toSeconds(m_fleet.network().now() - start);
            if (answer == 0 && m_fleet.answer(change)) {
                answer = passed;
            }
            if (everywhere == 0 && m_fleet.isInForceEverywhere(target)) {
                everywhere = passed;
            }
        }
        return {answer, everywhere};
    }

    auto print(const char *what, std::vector<double> values) const -> void
    {
        std::sort(values.begin(), values.end());
        const auto at = [&values](double share) {
            return values[static_cast<std::size_t>(share * static_cast<double>(values.size() - 1))];
        };
        std::printf("%5d nodes: apply to %s: p50 %.3f s, p99 %.3f s, worst %.3f s (%zu changes)\n",
                    m_nodes, what, at(0.5), at(0.99), values.back(), values.size());
    }

    int m_nodes;
    int m_changes = 0;
    control_fleet m_fleet;
};

auto measureSwitch(int keys, int routes) -> void
{
    auto set = makeSet(keys, routes);
    const auto old = config::encode(set);
    set.keys.erase(set.keys.begin() + keys / 2);
    const auto fresh = config::encode(set);
    auto start = processorSeconds();
    const auto delta = transfer::makeDelta(old, fresh);
    const auto making = processorSeconds() - start;
    start = processorSeconds();
    const auto rebuilt = transfer::applyDelta(old, delta);
    const bool isEqual = base::sha256(*rebuilt) == base::sha256(fresh);
    const auto rebuilding = processorSeconds() - start;
    start = processorSeconds();
    const config::snapshot snapshot(1, *config::decode(*rebuilt));
    const auto decoding = processorSeconds() - start;
    std::printf("set of %zu bytes (%d keys, %d routes), one key revoked: delta %zu bytes%s; make "
                "delta %.1f ms, rebuild and digest %.1f ms, decode and index %.1f ms\n",
                fresh.size(), keys, routes, delta.size(), isEqual ? "" : " WRONG", 1000 * making,
                1000 * rebuilding, 1000 * decoding);
}

} // namespace

auto main() -> int
{
    std::printf("Control work in virtual time: 2 regions, 5 witnesses for each, 3 controllers;\n"
                "delay of a message 0.5 to 21 ms, evenly distributed; no loss; clock rates 0.98 to "
                "1.02;\nsync of the virtual disk takes no time; headers counted as %.0f bytes a "
                "message.\nSet of %d keys and %d routes.\n\n",
                DATAGRAM_OVERHEAD_BYTES, SET_KEYS, SET_ROUTES);
    for (const int nodes : {10, 25, 50, 100}) {
        measurement run(nodes);
        run.measureIdle();
        run.measureApply();
        run.measureThroughput();
        if (nodes == 50) {
            for (const bool restarts : {false, true}) {
                for (const int changes : {1, 10, 50, 100, 300}) {
                    run.measureRecovery(changes, restarts);
                }
            }
        }
        run.report();
        std::fflush(stdout);
    }
    std::printf("\nSwitch to a new version on one node, processor time:\n");
    for (const int scale : {1, 10, 100, 300}) {
        measureSwitch(SET_KEYS * scale, SET_ROUTES * std::min(scale, 60));
    }
    return 0;
}
