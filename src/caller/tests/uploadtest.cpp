#include "caller/internal/bodybufferbudget.h"
#include "caller/tests/rawclient.h"
#include "caller/tests/scriptedupstream.h"
#include "caller/tests/testnode.h"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <atomic>
#include <thread>

using namespace hawthornpick;
using namespace hawthornpick::testing;

namespace {

constexpr std::size_t MEGABYTE = 1024UL * 1024;

//! The test configuration with the route /upload: no key, not idempotent, large bodies.
auto uploadConfiguration() -> config::config_set
{
    auto set = testConfiguration();
    config::route route;
    route.id = base::route_id("upload");
    route.pathPrefix = "/upload";
    route.service = base::service_id("svc");
    route.access = config::route_access::Open;
    route.idempotent = false;
    route.hasLargeBodies = true;
    route.maxBodyBytes = 64 * MEGABYTE;
    set.routes.push_back(route);
    return set;
}

auto uploadHead(std::size_t bodyBytes, const std::string &headers = {}) -> std::string
{
    return "POST /upload HTTP/1.1\r\nHost: x\r\n" + headers
           + "Content-Length: " + std::to_string(bodyBytes) + "\r\n\r\n";
}

auto makeBody(std::size_t bytes) -> std::string
{
    std::string body;
    for (std::size_t i = 0; body.size() < bytes; ++i) {
        body += std::to_string(i);
    }
    body.resize(bytes);
    return body;
}

} // namespace

TEST_GROUP(upload_test){};

// Guards against a caller that sends a large body only to learn that no upstream can take it.
TEST(upload_test, refusesBeforeTheBodyIsSent)
{
    scripted_upstream upstream(respondWith("x"));
    const auto adjustHooks = [](caller::entry_hooks &hooks) {
        hooks.checkPlaceable = [](const caller::selection_request &request) -> base::result<void> {
            CHECK_EQUAL(5 * MEGABYTE, request.bodyBytes);
            return base::fail(base::error_kind::Overloaded);
        };
        hooks.retryAfter = [](const auto &, const auto &) {
            return base::milliseconds(250);
        };
    };
    test_node node("n1", uploadConfiguration(), 100, adjustHooks);
    node.announce("u1", upstream.port());
    raw_client client(node.port());
    client.send(uploadHead(5 * MEGABYTE, "Expect: 100-continue\r\n"));
    const auto response = client.readUntilEnd();
    CHECK(response.starts_with("HTTP/1.1 503 "));
    STRCMP_CONTAINS("Retry-After: ", response.c_str());
    STRCMP_CONTAINS("X-Hawthornpick-Outcome: not_run\r\n", response.c_str());
    CHECK_EQUAL(0, static_cast<int>(upstream.heads().size()));
}

// Guards against a caller that sends slowly and occupies a slot of an upstream meanwhile.
TEST(upload_test, slowSenderOccupiesNoUpstream)
{
    const auto body = makeBody(200'000);
    std::string receivedBody;
    scripted_upstream upstream([&](raw_client &peer, const std::string &head, int) {
        if (head.starts_with("POST")) {
            receivedBody = peer.readBytes(body.size());
        }
        return respondWith("done")(peer, {}, 1);
    });
    test_node node("n1", uploadConfiguration());
    node.announce("u1", upstream.port());
    raw_client client(node.port());
    client.send(uploadHead(body.size()) + body.substr(0, 150'000));
    // A later request on another connection is served, so the node has read what was sent.
    STRCMP_CONTAINS("200 OK", exchange(node.port(), "GET /open HTTP/1.1\r\nHost: x\r\n"
                                                    "Connection: close\r\n\r\n")
                                      .c_str());
    CHECK_EQUAL(1, static_cast<int>(upstream.heads().size()));
    client.send(body.substr(150'000));
    STRCMP_CONTAINS("\r\n\r\ndone", client.readResponse().c_str());
    CHECK(receivedBody == body);
}

// Guards against an upload that is lost to the refusal of one node while another one is free.
TEST(upload_test, bodyIsSentToAnotherNodeAfterARefusal)
{
    const auto body = makeBody(300'000);
    std::string receivedBody;
    scripted_upstream upstream([&](raw_client &peer, const std::string &, int) {
        receivedBody = peer.readBytes(body.size());
        return respondWith("done")(peer, {}, 1);
    });
    test_node refusingNode("n2", uploadConfiguration());
    test_node acceptingNode("n3", uploadConfiguration());
    refusingNode.announce("u1", upstream.port());
    acceptingNode.announce("u1", upstream.port());
    refusingNode.setHealth(0.2);
    const auto adjustHooks = [&](caller::entry_hooks &hooks) {
        hooks.attemptRules = {true, 6, false, 64UL * 1024, true};
        hooks.selectNode = [&](const caller::selection_request &request) {
            const auto &chosen = request.excludedNodes.empty() ? refusingNode : acceptingNode;
            const auto node = chosen.entry();
            return base::result<caller::chosen_node>(
                    caller::chosen_node{node.id, 0, node.peerAddress, 0.5});
        };
    };
    test_node entryNode("n1", uploadConfiguration(), 100, adjustHooks);
    raw_client client(entryNode.port());
    client.send(uploadHead(body.size()) + body);
    STRCMP_CONTAINS("\r\n\r\ndone", client.readResponse().c_str());
    CHECK(receivedBody == body);
    CHECK_EQUAL(1, static_cast<int>(upstream.heads().size()));
}

namespace {

//! Sends an upload to another node, closes the caller's connection after `sentBytes` and returns
//! whether the node closes the connection to the upstream, which never responds.
auto closesUpstreamConnection(std::size_t bodyBytes, std::size_t sentBytes,
                              std::size_t readByUpstream) -> bool
{
    std::atomic<bool> hasBody{false};
    scripted_upstream upstream([&](raw_client &peer, const std::string &, int) {
        hasBody = peer.readBytes(readByUpstream).size() == readByUpstream;
        peer.readUntilEnd(base::milliseconds(20'000));
        return false;
    });
    test_node entryNode("n1", uploadConfiguration());
    test_node executingNode("n2", uploadConfiguration());
    executingNode.announce("u1", upstream.port());
    entryNode.addPeerNode(executingNode);
    raw_client client(entryNode.port());
    client.send(uploadHead(bodyBytes) + makeBody(sentBytes));
    CHECK(waitUntil([&hasBody] { return hasBody.load(); }));
    client.close();
    return waitUntil([&executingNode] {
        return executingNode.endedAttempts(upstream::attempt_ending::Cancelled) == 1;
    });
}

} // namespace

// Guards against an upstream that works for a caller that left while it sent the body.
TEST(upload_test, upstreamSeesACallerLeaveWithinTheBody)
{
    CHECK(closesUpstreamConnection(4 * MEGABYTE, MEGABYTE, 600'000));
}

// Guards against an upstream that works for a caller that left after the whole body had been
// forwarded.
TEST(upload_test, upstreamSeesACallerLeaveAfterTheBody)
{
    CHECK(closesUpstreamConnection(200'000, 200'000, 200'000));
}

// Guards against a body that is read into memory while the upstream does not read it.
TEST(upload_test, slowUpstreamHoldsBackTheCaller)
{
    constexpr std::size_t BODY_BYTES = 40 * MEGABYTE;
    constexpr std::size_t PART_BYTES = 64UL * 1024;
    std::atomic<bool> mayRead{false};
    std::atomic<std::size_t> sentBytes{0};
    scripted_upstream upstream([&](raw_client &peer, const std::string &, int) {
        waitUntil([&mayRead] { return mayRead.load(); });
        const auto received = peer.readBytes(BODY_BYTES);
        return received.size() == BODY_BYTES && respondWith("done")(peer, {}, 1);
    });
    test_node entryNode("n1", uploadConfiguration());
    test_node executingNode("n2", uploadConfiguration());
    executingNode.announce("u1", upstream.port());
    entryNode.addPeerNode(executingNode);
    raw_client client(entryNode.port());
    std::thread sender([&] {
        client.send(uploadHead(BODY_BYTES));
        const std::string part(PART_BYTES, 'a');
        while (sentBytes < BODY_BYTES && client.send(part)) {
            sentBytes += part.size();
        }
    });
    CHECK(waitUntil([&upstream] { return upstream.heads().size() == 1; }));
    std::size_t lastSentBytes = 0;
    waitUntil([&] {
        std::this_thread::sleep_for(base::milliseconds(200));
        return std::exchange(lastSentBytes, sentBytes.load()) == sentBytes.load();
    });
    // Most of it is in the socket buffers of this test's connections.
    CHECK(sentBytes.load() < BODY_BYTES / 2);
    mayRead = true;
    STRCMP_CONTAINS("\r\n\r\ndone", client.readResponse().c_str());
    sender.join();
}

// Guards against an upstream that receives a request whose body turns out to be malformed.
TEST(upload_test, malformedChunkIsRefusedBeforeTheRequestStarts)
{
    scripted_upstream upstream(respondWith("x"));
    test_node node("n1", uploadConfiguration());
    node.announce("u1", upstream.port());
    const std::string head =
            "POST /upload HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (const std::string body : {"5\r\nhello\r\nzz\r\n", "-1\r\n", "5\r\nhello--\r\n"}) {
        const auto response = exchange(node.port(), head + body);
        CHECK(response.starts_with("HTTP/1.1 400 "));
        STRCMP_CONTAINS("Connection: close\r\n", response.c_str());
    }
    CHECK_EQUAL(0, static_cast<int>(upstream.heads().size()));
}

TEST_GROUP(body_buffer_budget_test){};

// Guards against many uploads at once that together exceed the memory for their bodies: those that
// do not fit are streamed, and memory of ended ones is used again.
TEST(body_buffer_budget_test, manyUploadsStayWithinTheLimit)
{
    caller::body_buffer_budget budget(1000);
    {
        const caller::body_buffer_budget::reservation first(budget, 700);
        const caller::body_buffer_budget::reservation second(budget, 400);
        const caller::body_buffer_budget::reservation third(budget, 300);
        CHECK_EQUAL(700, first.bytes());
        CHECK_EQUAL(0, second.bytes());
        CHECK_EQUAL(300, third.bytes());
        CHECK_EQUAL(0, budget.freeBytes());
    }
    CHECK_EQUAL(1000, budget.freeBytes());
}
