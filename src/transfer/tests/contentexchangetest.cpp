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

auto attach(testsupport::virtual_network &network, const base::node_id &id, peer &item) -> void
{
    network.attach(
            id,
            [&item](const auto &from, auto, auto payload, auto now) {
                return item.exchange.receive(from, payload, now);
            },
            [&item](auto now) { return item.exchange.tick(now); });
}

auto longText(std::size_t size, std::uint64_t seed) -> std::string
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

// Guards against a fetch that stops after loss, or that mixes parts of different deltas from peers
// with different bases.
TEST(content_exchange_test, fetchesThroughLossFromPeersWithDifferentBases)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        testsupport::virtual_network network(seed, {.loss = 0.3, .duplication = 0.2});
        peer first(seed);
        peer second(seed + 100);
        peer reader(seed + 200);
        const base::node_id firstId("first");
        const base::node_id secondId("second");
        const base::node_id readerId("reader");
        attach(network, firstId, first);
        attach(network, secondId, second);
        attach(network, readerId, reader);
        const auto old = longText(300'000, seed);
        const auto target = longText(200'000, seed + 1) + old;
        first.store.put(old);
        reader.store.put(old);
        const auto digest = first.store.put(target);
        second.store.put(target);
        for (int i = 0; i < 200 && !reader.store.find(digest); ++i) {
            network.send(readerId,
                         reader.exchange.want(digest, {firstId, secondId}, network.now()));
            network.run(base::milliseconds(100));
        }
        CHECK(reader.store.find(digest) != nullptr);
        CHECK(*reader.store.find(digest) == target);
    }
}

// Guards against a store that grows without bound.
TEST(content_exchange_test, storeForgetsTheOldestContents)
{
    transfer::content_store store;
    const auto first = store.put("content 0");
    for (std::size_t i = 1; i <= transfer::content_store::MAX_CONTENTS; ++i) {
        store.put("content " + std::to_string(i));
    }
    CHECK(store.find(first) == nullptr);
    LONGS_EQUAL(transfer::content_store::MAX_CONTENTS, store.newest(1000).size());
}
