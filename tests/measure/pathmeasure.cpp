#include "base/digest.h"
#include "tests/process/fleet.h"
#include "tests/process/httpclient.h"
#include "tests/process/upstream.h"

#include <algorithm>
#include <iostream>

// Last, because it redefines `new`.
#include <CppUTest/TestHarness.h>

#include <CppUTest/MemoryLeakWarningPlugin.h>

// Measures the latency that nodes add to a request, against calling the stand-in upstream directly.

using namespace hawthornpick;
using namespace hawthornpick::processtest;

namespace {

constexpr int CONNECTIONS = 4;
constexpr int REQUESTS_PER_CONNECTION = 2000;
constexpr int ROUNDS = 3;
const header_map KEY{{"X-Api-Key", "key of acme"}};

const std::string DECLARATION =
        "[organisation acme]\nrate = 500000\nburst = 500000\n"
        "[key k1]\norganisation = acme\nsha256 = "
        + base::toHex(base::sha256("key of acme"))
        + "\n[service work]\n[route read]\npath = /read\nmethods = GET\nservice = work\n";

struct result
{
    double requestsPerSecond = 0.0;
    double p50 = 0.0;
    double p99 = 0.0;
    int failed = 0;
};

auto run(const membership::endpoint &address) -> result
{
    std::vector<std::vector<double>> latencies(CONNECTIONS);
    std::atomic<int> failed{0};
    std::vector<std::thread> threads;
    const auto start = base::clock::now();
    for (auto &list : latencies) {
        threads.emplace_back([&list, &address, &failed] {
            http_client client(address);
            for (int i = 0; i < REQUESTS_PER_CONNECTION; ++i) {
                const auto sent = base::clock::now();
                const auto answer = client.send("GET", "/read", KEY);
                list.push_back(base::toSeconds(base::clock::now() - sent) * 1000.0);
                if (!answer || answer->status != 200) {
                    ++failed;
                }
            }
        });
    }
    for (auto &thread : threads) {
        thread.join();
    }
    const auto seconds = base::toSeconds(base::clock::now() - start);
    std::vector<double> all;
    for (const auto &list : latencies) {
        all.insert(all.end(), list.begin(), list.end());
    }
    std::sort(all.begin(), all.end());
    return {static_cast<double>(all.size()) / seconds, all[all.size() / 2],
            all[all.size() * 99 / 100], failed};
}

auto print(const char *name, const result &item) -> void
{
    std::cout << name << ": " << static_cast<int>(item.requestsPerSecond) << " requests/s, p50 "
              << item.p50 << " ms, p99 " << item.p99 << " ms, failed " << item.failed << "\n";
}

} // namespace

auto main() -> int
{
    // The fleet uses checks of CppUTest, whose allocator must not take part in the measurement.
    MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
    fleet nodes;
    stand_in_upstream upstream(nodes.announceAddress("a2"), "work", "work", nodes.ip("a2"));
    upstream.setSlots(64);
    nodes.applyAndWait(DECLARATION);
    for (const auto *node : {"a2", "a1"}) {
        waitUntil("a read is answered", [&] {
            const auto answer = http_client(nodes.callerAddress(node)).send("GET", "/read", KEY);
            return answer && answer->status == 200;
        });
    }
    std::cout << CONNECTIONS << " connections, " << REQUESTS_PER_CONNECTION
              << " requests on each, one at a time; one I/O thread a node; loopback; the forwarded "
                 "hop passes the fault proxy\n";
    for (int round = 1; round <= ROUNDS; ++round) {
        std::cout << "round " << round << "\n";
        print("  direct   ", run(upstream.address()));
        print("  local    ", run(nodes.callerAddress("a2")));
        print("  forwarded", run(nodes.callerAddress("a1")));
    }
    return 0;
}
