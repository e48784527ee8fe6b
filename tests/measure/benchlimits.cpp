// Measures refusals within rate, tokens over rate and burst, and the cost of the limits module, in
// virtual time and beside a static share of the rate for each node on the same requests.

#include "base/digest.h"
#include "limits/tests/limitsfleet.h"

#include <cmath>
#include <cstdio>
#include <ctime>
#include <functional>

using namespace hawthornpick;
using namespace hawthornpick::limits;
using namespace hawthornpick::limits::testing;

namespace {

// Token bucket with exact time; used as the ideal and as the baseline.
class plain_bucket
{
public:
    plain_bucket(double rate, double burst, base::time_point now)
        : m_rate(rate), m_burst(burst), m_level(burst), m_at(now)
    {}

    auto take(base::time_point now) -> bool
    {
        m_level = std::min(m_burst, m_level + m_rate * base::toSeconds(now - m_at));
        m_at = now;
        if (m_level < 1.0) {
            return false;
        }
        m_level -= 1.0;
        return true;
    }

private:
    double m_rate;
    double m_burst;
    double m_level;
    base::time_point m_at;
};

struct counts
{
    std::uint64_t offered = 0;
    std::uint64_t ideal = 0;
    std::uint64_t admitted = 0;
    std::uint64_t atOnce = 0;
    std::uint64_t unavailable = 0;
    std::uint64_t baseline = 0;
};

// One organisation with its demand, and what each scheme did with it.
struct customer
{
    config::organisation terms;
    double demand = 0.0;
    std::size_t region = 0;
    //! Part of the demand in `region`; the rest is spread over all regions.
    double focus = 0.8;
    //! Number of nodes that its callers are connected to; 0 stands for all.
    std::size_t entryNodes = 0;
    base::time_point next;
    plain_bucket ideal{0.0, 0.0, {}};
    std::vector<plain_bucket> shares;
    window_check check;
    counts count;
};

class bench
{
public:
    bench(std::uint64_t seed, std::size_t regions, std::size_t nodesPerRegion)
        : fleet(seed, regions, nodesPerRegion, {0.005, 0.005, 300us, 2ms}, false)
    {}

    auto add(customer item) -> void { customers.push_back(std::move(item)); }

    auto begin() -> void
    {
        config::config_set set;
        for (const auto &item : customers) {
            set.organisations.push_back(item.terms);
        }
        fleet.accept(std::move(set));
        fleet.deliverConfigurationToAll();
        fleet.network().run(10s);
        const auto now = fleet.network().now();
        const auto nodes = static_cast<double>(fleet.nodes().size());
        for (auto &item : customers) {
            item.ideal = plain_bucket(item.terms.rate, item.terms.burst, now);
            const auto burst = std::max(1.0, item.terms.burst / nodes);
            item.shares.assign(fleet.nodes().size(),
                               plain_bucket(item.terms.rate / nodes, burst, now));
            item.check.setLimit(item.terms.rate, item.terms.burst, now);
            item.next = now + gap(item);
        }
    }

    // Runs for `span` and prints one row.
    auto measure(const char *title, base::duration span) -> void
    {
        for (auto &item : customers) {
            item.count = {};
        }
        const auto messages = fleet.network().sentMessages();
        const auto bytes = fleet.network().sentBytes();
        const auto processor = std::clock();
        const auto end = fleet.network().now() + span;
        while (fleet.network().now() < end) {
            fleet.network().run(1ms);
            requestsDue();
        }
        fleet.network().run(500ms);
        const auto seconds = static_cast<double>(std::clock() - processor) / CLOCKS_PER_SEC;
        print(title, base::toSeconds(span),
              static_cast<double>(fleet.network().sentMessages() - messages),
              static_cast<double>(fleet.network().sentBytes() - bytes), seconds);
    }

    limits_fleet fleet;
    std::vector<customer> customers;

private:
    auto gap(const customer &item) -> base::duration
    {
        const auto seconds = -std::log(1.0 - fleet.random().unit()) / item.demand;
        return base::fromSeconds(seconds);
    }

    auto requestsDue() -> void
    {
        const auto now = fleet.network().now();
        for (auto &item : customers) {
            while (item.next <= now) {
                request(item, now);
                item.next += gap(item);
            }
        }
    }

    auto pick(const customer &item) -> std::size_t
    {
        const auto regions = fleet.regions().size();
        const auto perRegion = fleet.nodes().size() / regions;
        auto &random = fleet.random();
        const auto region = random.chance(item.focus) ? item.region : random.below(regions);
        const auto start = base::hash64(item.terms.id.str()) % perRegion;
        const auto spread = item.entryNodes == 0 ? perRegion : item.entryNodes;
        return region + regions * ((start + random.below(spread)) % perRegion);
    }

    auto request(customer &item, base::time_point now) -> void
    {
        auto index = pick(item);
        while (fleet.nodes()[index].down) {
            index = (index + fleet.regions().size()) % fleet.nodes().size();
        }
        auto &node = fleet.nodes()[index];
        ++item.count.offered;
        item.count.ideal += item.ideal.take(now) ? 1 : 0;
        item.count.baseline += item.shares[index].take(now) ? 1 : 0;
        const auto count = [this, &item](admission_result result) {
            if (result.verdict == admission::Admitted) {
                ++item.count.admitted;
                item.check.admit(fleet.network().now());
            }
            item.count.unavailable += result.verdict == admission::RateUnavailable ? 1 : 0;
        };
        const auto answer =
                node.module->tokenCache().take(item.terms.id, fleet.clockOf(node), count);
        if (answer) {
            ++item.count.atOnce;
            count(*answer);
        }
    }

    auto print(const char *title, double seconds, double messages, double bytes, double processor)
            -> void
    {
        counts sum;
        std::uint64_t refused = 0;
        std::uint64_t baselineRefused = 0;
        double worst = 0.0;
        double excess = 0.0;
        for (const auto &item : customers) {
            const auto &count = item.count;
            const auto missing = count.ideal - std::min(count.ideal, count.admitted);
            excess = std::max(excess, item.check.excess());
            sum.offered += count.offered;
            sum.atOnce += count.atOnce;
            sum.unavailable += count.unavailable;
            if (item.demand > item.terms.rate) {
                continue;
            }
            refused += missing;
            baselineRefused += count.ideal - std::min(count.ideal, count.baseline);
            sum.ideal += count.ideal;
            worst = std::max(worst, count.ideal == 0 ? 0.0 : 100.0 * missing / count.ideal);
        }
        const auto offered = static_cast<double>(sum.offered);
        const auto ideal = static_cast<double>(sum.ideal);
        const auto nodes = static_cast<double>(fleet.nodes().size());
        std::printf("%-34s %8.0f %8.3f %8.2f %9.2f %7.0f %7.1f %7.3f %7.1f %8.0f %7.2f %7.2f\n",
                    title, offered, 100.0 * static_cast<double>(refused) / ideal, worst,
                    100.0 * static_cast<double>(baselineRefused) / ideal, std::max(0.0, excess),
                    100.0 * static_cast<double>(sum.atOnce) / offered, messages / offered,
                    bytes / offered, bytes / nodes / seconds, 1e6 * processor / offered,
                    100.0 * static_cast<double>(sum.unavailable) / offered);
        std::fflush(stdout);
    }
};

auto header() -> void
{
    std::printf("%-34s %8s %8s %8s %9s %7s %7s %7s %7s %8s %7s %7s\n", "scenario", "requests",
                "refused%", "worst%", "baseline%", "excess", "atonce%", "msg/req", "B/req",
                "B/s/node", "us/req", "unav%");
}

auto customerOf(std::size_t number, double rate, std::uint32_t burst, double load) -> customer
{
    customer item;
    item.terms.id = base::organisation_id("organisation-" + std::to_string(number));
    item.terms.rate = rate;
    item.terms.burst = burst;
    item.demand = rate * load;
    return item;
}

// A deployment of section 3: 8 organisations, a few of them large, two regions.
auto deployment(const char *name, std::uint64_t seed, std::size_t nodesPerRegion, double scale)
        -> void
{
    std::printf("\n%s: 2 regions, %zu nodes, 8 organisations, 70%% of rate, seed %llu\n", name,
                2 * nodesPerRegion, static_cast<unsigned long long>(seed));
    header();
    bench run(seed, 2, nodesPerRegion);
    const double rates[] = {300, 200, 100, 40, 20, 10, 4, 1};
    for (std::size_t i = 0; i < 8; ++i) {
        const auto rate = rates[i] * scale;
        auto item = customerOf(i, rate, static_cast<std::uint32_t>(std::max(4.0, rate)), 0.7);
        item.region = i % 2;
        run.add(std::move(item));
    }
    run.begin();
    run.measure("start (shares move)", 10s);
    run.measure("steady", 60s);
    run.customers[1].demand *= 5.0 / 0.7;
    run.measure("one organisation at 5 x rate", 60s);
    run.customers[1].demand *= 0.7 / 5.0;
    run.fleet.cutRegions(run.fleet.regions()[0], run.fleet.regions()[1]);
    run.fleet.cutRegions(run.fleet.regions()[1], run.fleet.regions()[0]);
    run.measure("region cut", 120s);
    run.fleet.network().healAll();
    run.measure("after the cut", 30s);
    auto &victim = run.fleet.nodes()[0];
    run.fleet.crash(victim);
    run.fleet.network().run(1s);
    run.fleet.updateView();
    run.measure("allocator host lost", 60s);
    run.fleet.start(victim);
    run.fleet.updateView();
    run.measure("host returns", 60s);
}

// Many small organisations on more and more nodes; the design size has 238 requests/s and 65
// organisations for each node.
auto designStep(std::size_t nodesPerRegion, std::size_t entryNodes) -> void
{
    bench run(11, 3, nodesPerRegion);
    const auto count = 195UL * nodesPerRegion;
    double weights = 0.0;
    for (std::size_t i = 0; i < count; ++i) {
        weights += 1.0 / static_cast<double>(i + 1);
    }
    for (std::size_t i = 0; i < count; ++i) {
        const auto total = 238.0 * 3.0 * static_cast<double>(nodesPerRegion);
        const auto demand = total / weights / static_cast<double>(i + 1);
        const auto burst = static_cast<std::uint32_t>(std::max(4.0, 2.0 * demand));
        auto item = customerOf(i, demand / 0.7, burst, 0.7);
        item.region = i % 3;
        item.entryNodes = demand > 50.0 ? 0 : entryNodes;
        run.add(std::move(item));
    }
    run.begin();
    run.measure(" (start)", 5s);
    const auto title =
            std::to_string(3 * nodesPerRegion) + " nodes, "
            + (entryNodes == 0 ? "any entry node" : std::to_string(entryNodes) + " entry nodes");
    run.measure(title.c_str(), 10s);
}

} // namespace

auto main() -> int
{
    std::printf("refused%%: requests that an exact central bucket admits and the fleet doesn't,\n"
                "of organisations whose demand is below their rate;\n"
                "worst%%: the same for the worst organisation; baseline%%: a static share of rate\n"
                "and burst on each node; excess: tokens over rate and burst in the worst window;\n"
                "us/req: processor time of the whole simulation. One-way delay 0.3 to 2 ms, also\n"
                "between regions; 0.5%% loss and 0.5%% duplication.\n");
    deployment("Caldo Norte", 1, 13, 1.0);
    deployment("Dayleaf", 2, 11, 0.6);
    std::printf(
            "\nSteps toward the design size: 3 regions, 65 organisations and 238 requests/s for\n"
            "each node, demand by Zipf's law\n");
    header();
    for (const std::size_t nodes : {3, 6, 12}) {
        designStep(nodes, 0);
        designStep(nodes, 2);
    }
    return 0;
}
