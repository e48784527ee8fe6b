#include "transfer/contentexchange.h"

#include "tests/support/virtualnetwork.h"

#include <CppUTest/TestHarness.h>
#include <memory>

using namespace hawthornpick;

namespace {

struct peer
{
    transfer::content_store store;
    transfer::content_exchange exchange;

    explicit peer(std::uint64_t seed) : exchange(store, base::random_source(seed)) {}
};

auto attach(testsupport::virtual_network &network, const base::node_id &id, peer &node) -> void
{
    network.attach(
            id,
            [&node](const auto &from, auto, auto payload, auto now) {
                return node.exchange.receive(from, payload, now);
            },
            [&node](auto now) { return node.exchange.tick(now); });
}

auto randomBytes(std::size_t size, std::uint64_t seed) -> std::string
{
    base::random_source random(seed);
    std::string out;
    while (out.size() < size) {
        out.push_back(static_cast<char>(random.below(256)));
    }
    return out;
}

} // namespace

TEST_GROUP(content_exchange_test){};

// Guards against a fetch that stalls after message loss, and against one that combines parts of
// different deltas because its sources store different bases.
TEST(content_exchange_test, fetchCompletesDespiteLossFromPeersWithDifferentBases)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        testsupport::virtual_network network(seed, {.loss = 0.3, .duplication = 0.2});
        peer first(seed);
        peer second(seed + 100);
        peer fetcher(seed + 200);
        const base::node_id firstId("first");
        const base::node_id secondId("second");
        const base::node_id fetcherId("fetcher");
        attach(network, firstId, first);
        attach(network, secondId, second);
        attach(network, fetcherId, fetcher);
        const auto baseContent = randomBytes(300'000, seed);
        const auto target = randomBytes(200'000, seed + 1) + baseContent;
        first.store.put(baseContent);
        fetcher.store.put(baseContent);
        const auto digest = first.store.put(target);
        second.store.put(target);
        for (int i = 0; i < 200 && !fetcher.store.find(digest); ++i) {
            network.send(fetcherId,
                         fetcher.exchange.want(digest, {firstId, secondId}, network.now()));
            network.run(base::milliseconds(100));
        }
        CHECK(fetcher.store.find(digest) != nullptr);
        CHECK(*fetcher.store.find(digest) == target);
    }
}

// Guards against unbounded growth of the store.
TEST(content_exchange_test, storeEvictsOldestContents)
{
    transfer::content_store store;
    const auto first = store.put("content 0");
    for (std::size_t i = 1; i <= transfer::content_store::MAX_CONTENTS; ++i) {
        store.put("content " + std::to_string(i));
    }
    CHECK(store.find(first) == nullptr);
    LONGS_EQUAL(transfer::content_store::MAX_CONTENTS, store.newest(1000).size());
}
