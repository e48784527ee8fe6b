// Case 6: a core process that was killed and started again takes the leader's late answer to a
// request of its former process for the answer to a new change, and acknowledges that change, which
// is then never made.
#include "../support-2/rig.hh"

#include <algorithm>
#include <future>

using namespace rig;

namespace {

const std::vector<std::string> SERVICES{"diary"};
const std::vector<route> ROUTES{{"r-read", "/read/", "idempotent", "diary"}};

// Time for which the leader stands still; shorter than the time after which others take over.
constexpr std::int64_t FREEZE_MS = 600;
constexpr int ROUNDS = 3;
// As in caldo-norte-grown, where two may be lost at once.
constexpr int CORES = 11;

struct change_result
{
    int status = 0;
    std::size_t node = 0;
};

auto put(const fleet &f, std::size_t node, std::uint64_t base, const std::string &body,
         std::int64_t timeoutMs) -> int
{
    const auto answer = call(f.at(node, CONTROL), "PUT", "/configuration",
                             {{"Host", f.nodes[node]->ip},
                              {"Content-Type", "application/json"},
                              {"If-Match", versionText(base)}},
                             body, timeoutMs);
    return answer ? answer->status() : 0;
}

// Sends the same order to one node after the other, beginning with `first`, until it gets a clear
// response.
auto order(recorder &record, const fleet &f, std::size_t first, std::uint64_t base,
           std::uint64_t version) -> change_result
{
    const auto body = configuration(version, SERVICES, ROUTES,
                                    std::to_string(3000 + version) + "ms");
    const auto end = nowMs() + 20'000;
    for (std::size_t i = 0; nowMs() < end; ++i) {
        const auto node = (first + i) % f.coreCount();
        const int status = put(f, node, base, body, 1000);
        record.line("operator: PUT version %llu on %llu at %s -> %d",
                    static_cast<unsigned long long>(version),
                    static_cast<unsigned long long>(base), f.nodes[node]->name.c_str(), status);
        if (status == 200 || status == 400 || status == 412) {
            return {status, node};
        }
        sleepMs(100 + 50 * static_cast<std::int64_t>(std::min<std::size_t>(i, 6)));
    }
    return {};
}

auto read(const fleet &f, std::size_t node, std::int64_t timeoutMs) -> std::optional<message>
{
    return call(f.at(node, CONTROL), "GET", "/configuration", {{"Host", f.nodes[node]->ip}}, {},
                timeoutMs);
}

// Highest version that any node returns in `span`, read again and again at all nodes.
auto readBack(recorder &record, const fleet &f, std::int64_t span) -> std::uint64_t
{
    std::uint64_t newest = 0;
    const auto end = nowMs() + span;
    while (nowMs() < end) {
        for (std::size_t i = 0; i < f.coreCount(); ++i) {
            const auto answer = read(f, i, 1000);
            const auto version = answer && answer->status() == 200 ? versionOf(answer->body) : 0;
            record.line("operator: GET at %s -> %d, version %llu", f.nodes[i]->name.c_str(),
                        answer ? answer->status() : 0, static_cast<unsigned long long>(version));
            newest = std::max(newest, version);
        }
        sleepMs(500);
    }
    return newest;
}

} // namespace

auto main(int argc, char **argv) -> int
{
    const bool hasTrouble = std::getenv("TROUBLE") == nullptr || std::string(std::getenv("TROUBLE")) != "0";
    recorder record(argc > 1 ? argv[1] : "record.txt");
    fleet f(CORES, {});
    f.startAll();
    sleepMs(1000);
    std::uint64_t current = 1;
    if (order(record, f, 0, 0, current).status != 200) {
        record.line("the first configuration was not accepted: the case couldn't run");
        return 2;
    }
    sleepMs(8000); // all are members
    int result = 0;
    std::vector<std::size_t> used{0};
    for (int round = 0; round < ROUNDS && result == 0; ++round) {
        const int leader = f.leader();
        if (leader < 0) {
            record.line("no leader: the case couldn't run");
            return 2;
        }
        // A core that has served no call of an operator since its start.
        std::size_t follower = 0;
        while (static_cast<int>(follower) == leader
               || std::find(used.begin(), used.end(), follower) != used.end()) {
            ++follower;
        }
        if (follower >= f.coreCount()) {
            break;
        }
        used.push_back(follower);
        auto &frozen = f.nodes[static_cast<std::size_t>(leader)]->running;
        auto &killed = f.nodes[follower]->running;
        record.line("round %d: leader %s, follower %s, version in force %llu", round + 1,
                    f.nodes[static_cast<std::size_t>(leader)]->name.c_str(),
                    f.nodes[follower]->name.c_str(), static_cast<unsigned long long>(current));
        const auto start = nowMs();
        if (hasTrouble) {
            record.line("freeze of %s", f.nodes[static_cast<std::size_t>(leader)]->name.c_str());
            frozen.signal(SIGSTOP);
        }
        auto reading = std::async(std::launch::async, [&] {
            record.line("operator: GET at %s", f.nodes[follower]->name.c_str());
            const auto answer = read(f, follower, 1000);
            record.line("operator: GET at %s -> %d", f.nodes[follower]->name.c_str(),
                        answer ? answer->status() : 0);
        });
        sleepMs(80);
        if (hasTrouble) {
            record.line("kill of %s, which starts again", f.nodes[follower]->name.c_str());
            killed.kill();
            sleepMs(50);
            f.start(follower);
        }
        sleepMs(200);
        auto changing = std::async(std::launch::async, [&] {
            return order(record, f, follower, current, current + 1);
        });
        sleepMs(std::max<std::int64_t>(0, start + FREEZE_MS - nowMs()));
        if (hasTrouble) {
            frozen.signal(SIGCONT);
            record.line("%s goes on", f.nodes[static_cast<std::size_t>(leader)]->name.c_str());
        }
        reading.get();
        const auto changed = changing.get();
        if (changed.status != 200) {
            record.line("version %llu was not acknowledged",
                        static_cast<unsigned long long>(current + 1));
            return 2;
        }
        record.line("version %llu was acknowledged by %s",
                    static_cast<unsigned long long>(current + 1),
                    f.nodes[changed.node]->name.c_str());
        sleepMs(6000); // more than config_apply, and stable_window
        const auto newest = readBack(record, f, 3500);
        if (newest < current + 1) {
            record.line("BROKEN: version %llu was acknowledged, the newest that is read is %llu",
                        static_cast<unsigned long long>(current + 1),
                        static_cast<unsigned long long>(newest));
            result = 1;
        }
        ++current;
    }
    record.line(result == 0 ? "held" : "broken");
    return result;
}
