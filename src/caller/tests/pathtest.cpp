#include "caller/tests/rawclient.h"
#include "caller/tests/scriptedupstream.h"
#include "caller/tests/testnode.h"
#include "upstream/wirecodec.h"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <array>
#include <atomic>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <cstdio>
#include <memory>
#include <thread>

using namespace hawthornpick;
using namespace hawthornpick::testing;

TEST_GROUP(request_path_test){};

// Guards against a request path that does not serve requests, or opens a connection for each of
// them.
TEST(request_path_test, requestsReuseCallerAndUpstreamConnections)
{
    scripted_upstream upstream(respondWith("hello"));
    test_node node;
    node.announce("u1", upstream.port());
    raw_client client(node.port());
    for (int i = 0; i < 3; ++i) {
        client.send("GET /open/a?b=c HTTP/1.1\r\nHost: x\r\n\r\n");
        const auto response = client.readResponse();
        STRCMP_CONTAINS("HTTP/1.1 200 OK\r\n", response.c_str());
        STRCMP_CONTAINS("\r\n\r\nhello", response.c_str());
        STRCMP_CONTAINS("X-Request-Id: ", response.c_str());
    }
    CHECK_EQUAL(3, static_cast<int>(upstream.heads().size()));
    CHECK_EQUAL(1, static_cast<int>(upstream.connectionCount()));
    STRCMP_CONTAINS("GET /open/a?b=c HTTP/1.1\r\n", upstream.heads().front().c_str());
}

// Guards against a forwarded request that loses its body, its response or its request id.
TEST(request_path_test, requestIsForwardedToTheNodeOfTheUpstream)
{
    std::string body;
    scripted_upstream upstream([&body](raw_client &peer, const std::string &, int) {
        body = peer.readUntil("end");
        peer.send("HTTP/1.1 201 Created\r\nX-Own: yes\r\nContent-Length: 2\r\n\r\nok");
        return true;
    });
    test_node entryNode("n1");
    test_node executingNode("n2");
    executingNode.announce("u1", upstream.port());
    entryNode.addPeerNode(executingNode);
    raw_client client(entryNode.port());
    client.send("POST /pay HTTP/1.1\r\nHost: x\r\nX-Api-Key: k-secret\r\nX-Request-Id: id-1\r\n"
                "Content-Length: 8\r\n\r\nbody end");
    const auto response = client.readResponse();
    STRCMP_CONTAINS("HTTP/1.1 201 Created\r\n", response.c_str());
    STRCMP_CONTAINS("X-Own: yes\r\n", response.c_str());
    STRCMP_CONTAINS("X-Request-Id: id-1\r\n", response.c_str());
    STRCMP_EQUAL("body end", body.c_str());
    STRCMP_CONTAINS("X-Request-Id: id-1\r\n", upstream.heads().front().c_str());
    CHECK_EQUAL(1, executingNode.endedAttempts(upstream::attempt_ending::Answered));
}

// Guards against a caller that waits for an upstream that hangs while another one is free. An
// idempotent request without a response is sent to a second node, whose response is used, and the
// first attempt is cancelled.
TEST(request_path_test, hedgedAttemptAnswersWhenTheFirstOneHangs)
{
    scripted_upstream hangingUpstream([](raw_client &peer, const std::string &, int) {
        peer.readUntil("never");
        return false;
    });
    scripted_upstream healthyUpstream(respondWith("second"));
    test_node hangingNode("n2");
    test_node healthyNode("n3");
    hangingNode.announce("u1", hangingUpstream.port());
    healthyNode.announce("u1", healthyUpstream.port());
    const auto adjustHooks = [&](caller::entry_hooks &hooks) {
        hooks.attemptRules = {true, 6, false, 64UL * 1024, true};
        hooks.hedgeDelay = [](const auto &, const auto &) -> base::duration {
            return base::milliseconds(30);
        };
        hooks.selectNode = [&](const caller::selection_request &request) {
            const auto &chosen = request.excludedNodes.empty() ? hangingNode : healthyNode;
            const auto node = chosen.entry();
            return base::result<caller::chosen_node>(
                    caller::chosen_node{node.id, 0, node.peerAddress});
        };
    };
    test_node entryNode("n1", testConfiguration(), 100, adjustHooks);
    raw_client client(entryNode.port());
    client.send("GET /open/a HTTP/1.1\r\nHost: x\r\n\r\n");
    const auto response = client.readResponse();
    STRCMP_CONTAINS("HTTP/1.1 200 OK\r\n", response.c_str());
    STRCMP_CONTAINS("\r\n\r\nsecond", response.c_str());
    CHECK(waitUntil([&hangingNode] {
        return hangingNode.endedAttempts(upstream::attempt_ending::Cancelled) == 1;
    }));
    CHECK_EQUAL(1, static_cast<int>(healthyUpstream.heads().size()));
}

// Guards against retries on a node that refuses for its load or health, until the request has no
// attempts left. Nodes that were not tried yet must be chosen before it.
TEST(request_path_test, anotherNodeIsTriedAfterARefusalForHealth)
{
    scripted_upstream upstream(respondWith("second"));
    test_node unhealthyNode("n2");
    test_node healthyNode("n3");
    unhealthyNode.announce("u1", upstream.port());
    healthyNode.announce("u1", upstream.port());
    unhealthyNode.setHealth(0.2);
    std::atomic<int> selections{0};
    const auto adjustHooks = [&](caller::entry_hooks &hooks) {
        hooks.attemptRules = {true, 6, false, 64UL * 1024, true};
        hooks.selectNode = [&](const caller::selection_request &request) {
            ++selections;
            const auto &excludedNodes = request.excludedNodes;
            const auto isExcluded =
                    std::find(excludedNodes.begin(), excludedNodes.end(), unhealthyNode.entry().id)
                    != excludedNodes.end();
            const auto node = (isExcluded ? healthyNode : unhealthyNode).entry();
            return base::result<caller::chosen_node>(
                    caller::chosen_node{node.id, 0, node.peerAddress, 0.5});
        };
    };
    test_node entryNode("n1", testConfiguration(), 100, adjustHooks);
    raw_client client(entryNode.port());
    client.send(
            "POST /pay HTTP/1.1\r\nHost: x\r\nX-Api-Key: k-secret\r\nContent-Length: 1\r\n\r\na");
    STRCMP_CONTAINS("HTTP/1.1 200 OK\r\n", client.readResponse().c_str());
    CHECK_EQUAL(2, selections.load());
}

// Guards against a connection that gets no further response after the replay of a stored response:
// no attempt runs for a replay, so nothing may wait for one to end.
TEST(request_path_test, connectionServesTheNextRequestAfterAReplayedResponse)
{
    scripted_upstream upstream(respondWith("fresh"));
    const auto adjustHooks = [](caller::entry_hooks &hooks) {
        hooks.idempotency.claim = [](caller::idempotency_request)
                -> boost::asio::awaitable<caller::idempotency_claim> {
            upstream::answer_start stored;
            stored.status = 200;
            stored.body = "stored";
            stored.contentLength = stored.body.size();
            stored.bodyComplete = true;
            const upstream::answer_opening opening{{}, stored, {}};
            co_return caller::idempotency_replay{upstream::encodeOpening(opening)};
        };
    };
    test_node node("n1", testConfiguration(), 100, adjustHooks);
    node.announce("u1", upstream.port());
    raw_client client(node.port());
    client.send("POST /pay HTTP/1.1\r\nHost: x\r\nX-Api-Key: k-secret\r\n"
                "Idempotency-Key: a\r\nContent-Length: 1\r\n\r\na");
    const auto replayed = client.readResponse();
    STRCMP_CONTAINS("Idempotency-Replayed: true\r\n", replayed.c_str());
    STRCMP_CONTAINS("\r\n\r\nstored", replayed.c_str());
    client.send("GET /open HTTP/1.1\r\nHost: x\r\n\r\n");
    STRCMP_CONTAINS("\r\n\r\nfresh", client.readResponse().c_str());
}

// Guards against a caller that repeats a request as soon as it has the response, and is told that
// the request is still in progress, because the response isn't stored yet.
TEST(request_path_test, responseIsStoredBeforeItIsWritten)
{
    scripted_upstream upstream(respondWith("fresh"));
    std::atomic<bool> isStored{false};
    const auto adjustHooks = [&isStored](caller::entry_hooks &hooks) {
        hooks.idempotency.claim = [](caller::idempotency_request)
                -> boost::asio::awaitable<caller::idempotency_claim> {
            co_return caller::idempotency_held{1};
        };
        hooks.idempotency.complete = [&isStored](caller::idempotency_request, std::uint64_t,
                                                 std::string) -> boost::asio::awaitable<bool> {
            boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor,
                                            base::milliseconds(100));
            co_await timer.async_wait(boost::asio::use_awaitable);
            isStored = true;
            co_return true;
        };
    };
    test_node node("n1", testConfiguration(), 100, adjustHooks);
    node.announce("u1", upstream.port());
    raw_client client(node.port());
    client.send("POST /pay HTTP/1.1\r\nHost: x\r\nX-Api-Key: k-secret\r\n"
                "Idempotency-Key: a\r\nContent-Length: 1\r\n\r\na");
    STRCMP_CONTAINS("HTTP/1.1 200 OK\r\n", client.readUntil("\r\n\r\n").c_str());
    CHECK_TRUE(isStored);
}

// Guards against a caller that gets no response when the node stops while its request is in
// flight. The response must say that the outcome is unknown.
TEST(request_path_test, abandonedRequestsGetAFinalResponse)
{
    scripted_upstream upstream([](raw_client &peer, const std::string &, int) {
        peer.readUntil("never");
        return false;
    });
    test_node node;
    node.announce("u1", upstream.port());
    raw_client client(node.port());
    client.send("GET /open/a HTTP/1.1\r\nHost: x\r\n\r\n");
    CHECK(waitUntil([&upstream] { return !upstream.heads().empty(); }));
    node.server().cancelRequests();
    const auto response = client.readResponse();
    STRCMP_CONTAINS("HTTP/1.1 502 ", response.c_str());
    STRCMP_CONTAINS("X-Hawthornpick-Outcome: unknown", response.c_str());
}

// Guards against bodies that are truncated, reordered or held back when they exceed the buffers
// and the flow-control window of the link, in both directions at the same time.
TEST(request_path_test, longBodiesAreStreamedInBothDirections)
{
    std::string sentBody;
    for (int i = 0; i < 400000; ++i) {
        sentBody += std::to_string(i);
    }
    scripted_upstream upstream([&sentBody](raw_client &peer, const std::string &, int) {
        const auto receivedBody = peer.readBytes(sentBody.size());
        peer.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        for (std::size_t position = 0; position < receivedBody.size(); position += 65536) {
            const auto part = receivedBody.substr(position, 65536);
            std::array<char, 32> size{};
            std::snprintf(size.data(), size.size(), "%zx\r\n", part.size());
            peer.send(size.data() + part + "\r\n");
        }
        peer.send("0\r\n\r\n");
        return true;
    });
    test_node entryNode("n1");
    test_node executingNode("n2");
    executingNode.announce("u1", upstream.port());
    entryNode.addPeerNode(executingNode);
    raw_client client(entryNode.port());
    client.send("POST /open HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Length: "
                + std::to_string(sentBody.size()) + "\r\n\r\n" + sentBody);
    const auto head = client.readUntil("\r\n\r\n");
    STRCMP_CONTAINS("Transfer-Encoding: chunked\r\n", head.c_str());
    const auto chunks = client.readUntilEnd();
    CHECK_TRUE(chunks.size() > sentBody.size());
    CHECK_TRUE(chunks.ends_with("0\r\n\r\n"));
}

// Guards against request smuggling: a request that another parser could read as a different
// message must be refused before anything reaches an upstream.
TEST(request_path_test, requestSmugglingFormsAreRefused)
{
    scripted_upstream upstream(respondWith("x"));
    test_node node;
    node.announce("u1", upstream.port());
    const std::string post = "POST /open HTTP/1.1\r\nHost: x\r\n";
    const std::vector<std::string> forms{
            post + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
            post + "Transfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n0\r\n\r\n",
            post + "Content-Length: 3\r\nContent-Length: 3\r\n\r\nabc",
            post + "Content-Length: +3\r\n\r\nabc",
            post + "Content-Length: 3, 3\r\n\r\nabc",
            post + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
            post + "Transfer-Encoding: identity\r\n\r\n",
            "POST /open HTTP/1.0\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
            post + "Transfer-Encoding : chunked\r\n\r\n0\r\n\r\n",
            "GET /open HTTP/1.1\nHost: x\n\n",
            "GET /open HTTP/1.1\r\nHost: x\nX-A: b\r\n\r\n",
            "GET /open HTTP/1.1\r\nHost: x\r\nX-A: b\r\n folded\r\n\r\n",
            "GET /open HTTP/1.1\r\nHost: x\r\nX-A: b\rX-B: c\r\n\r\n",
            "GET /open HTTP/1.1\r\nHost: x\r\nHost: y\r\n\r\n",
            "GET /open HTTP/1.1\r\n\r\n",
            "GET /open/%2e%2e/pay HTTP/1.1\r\nHost: x\r\n\r\n",
            "GET http://y/open HTTP/1.1\r\nHost: x\r\n\r\n"};
    for (const auto &form : forms) {
        const auto response = exchange(node.port(), form);
        CHECK_TRUE_TEXT(response.starts_with("HTTP/1.1 400 "), form.c_str());
        STRCMP_CONTAINS("X-Hawthornpick-Outcome: not_run\r\n", response.c_str());
    }
    CHECK_EQUAL(0, static_cast<int>(upstream.heads().size()));
}

// Guards against an API key that reaches an upstream, in any header or in the request target.
TEST(request_path_test, apiKeyIsNotForwardedToUpstreams)
{
    scripted_upstream upstream(respondWith("x"));
    test_node node;
    node.announce("u1", upstream.port());
    const std::string end = "Connection: close\r\nCookie: a=k-secret\r\nX-Copy: k-secret\r\n"
                            "X-Hawthornpick-Reason: fake\r\n\r\n";
    const std::string start = "GET /keyed HTTP/1.1\r\nHost: x\r\n";
    for (const std::string key : {"X-Api-Key: k-secret\r\n", "x-api-KEY: k-secret\r\n",
                                  "Authorization: bearer k-secret\r\n"}) {
        const auto response = exchange(node.port(), start + key + end);
        STRCMP_CONTAINS("HTTP/1.1 200 ", response.c_str());
    }
    for (const std::string target :
         {"/keyed?api_key=k-secret", "/keyed?a=b&KEY=k-secret", "/keyed?%6bey=other",
          "/keyed?q=k-secret", "/keyed/k%2dsecret"}) {
        const auto response =
                exchange(node.port(), "GET " + target
                                              + " HTTP/1.1\r\nHost: x\r\nX-Api-Key: "
                                                "k-secret\r\nConnection: close\r\n\r\n");
        STRCMP_CONTAINS("X-Hawthornpick-Reason: key_in_query\r\n", response.c_str());
    }
    CHECK_EQUAL(3, static_cast<int>(upstream.heads().size()));
    for (const auto &head : upstream.heads()) {
        CHECK_TRUE(head.find("k-secret") == std::string::npos);
        CHECK_TRUE(head.find("Hawthornpick-") == std::string::npos);
    }
}

// Guards against a request that is run without a valid API key or without a currency lease,
// because only the first request of a connection was checked.
TEST(request_path_test, revokedKeyAndMissingLeaseAreRefusedOnAnOpenConnection)
{
    scripted_upstream upstream(respondWith("x"));
    test_node node;
    node.announce("u1", upstream.port());
    const std::string request = "GET /keyed HTTP/1.1\r\nHost: x\r\nX-Api-Key: k-secret\r\n\r\n";
    raw_client client(node.port());
    client.send(request);
    STRCMP_CONTAINS("HTTP/1.1 200 ", client.readResponse().c_str());
    auto configurationWithoutKeys = testConfiguration();
    configurationWithoutKeys.keys.clear();
    node.configuration().store(
            std::make_shared<const config::snapshot>(2, configurationWithoutKeys));
    client.send(request);
    STRCMP_CONTAINS("X-Hawthornpick-Reason: key_invalid\r\n", client.readResponse().c_str());
    node.setHoldsLease(false);
    client.send(request);
    STRCMP_CONTAINS("X-Hawthornpick-Reason: config_not_current\r\n", client.readResponse().c_str());
    CHECK_EQUAL(1, static_cast<int>(upstream.heads().size()));
}

// Guards against a node that denies a request out of an outdated configuration as if it were sure,
// and against one that refuses what any configuration allows.
TEST(request_path_test, outdatedConfigurationServesButDoesNotDeny)
{
    scripted_upstream upstream(respondWith("hello"));
    std::atomic<bool> isCurrent{false};
    test_node node("n1", testConfiguration(), 100, [&](caller::entry_hooks &hooks) {
        hooks.isConfigurationCurrent = [&] {
            return isCurrent.load();
        };
        hooks.outdatedUse = caller::outdated_configuration_use::AllowedRequests;
    });
    node.announce("u1", upstream.port());
    STRCMP_CONTAINS("200 OK", exchange(node.port(), "GET /open HTTP/1.1\r\nHost: x\r\n"
                                                    "Connection: close\r\n\r\n")
                                      .c_str());
    const std::vector<std::string> denied{"GET /unknown HTTP/1.1\r\n", "GET /keyed HTTP/1.1\r\n",
                                          "GET /keyed HTTP/1.1\r\nX-Api-Key: other\r\n",
                                          "POST /small HTTP/1.1\r\nContent-Length: 101\r\n"};
    const std::vector<std::string> reasons{"no_route", "key_missing", "key_invalid",
                                           "body_too_large"};
    for (std::size_t i = 0; i < denied.size(); ++i) {
        const auto request = denied.at(i) + "Host: x\r\nConnection: close\r\n\r\n";
        isCurrent = false;
        STRCMP_CONTAINS("X-Hawthornpick-Reason: config_not_current\r\n",
                        exchange(node.port(), request).c_str());
        isCurrent = true;
        STRCMP_CONTAINS(("X-Hawthornpick-Reason: " + reasons.at(i) + "\r\n").c_str(),
                        exchange(node.port(), request).c_str());
    }
}

// Guards against a truncated response that looks complete to the caller.
TEST(request_path_test, truncatedResponseClosesTheCallerConnection)
{
    scripted_upstream upstream([](raw_client &peer, const std::string &, int) {
        peer.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n");
        return false;
    });
    test_node node;
    node.announce("u1", upstream.port());
    raw_client client(node.port());
    client.send("GET /open HTTP/1.1\r\nHost: x\r\n\r\n");
    const auto response = client.readUntilEnd();
    CHECK_TRUE(client.isClosed());
    CHECK_TRUE(response.find("0\r\n\r\n") == std::string::npos);
    CHECK_EQUAL(1, node.endedAttempts(upstream::attempt_ending::Truncated));
}

// Guards against running a non-idempotent request twice: the upstream closes a pooled connection
// after it has read the request.
TEST(request_path_test, lostNonIdempotentRequestIsNotRetried)
{
    scripted_upstream upstream([](raw_client &peer, const std::string &, int number) {
        peer.readBytes(1);
        return number != 2 && respondWith("x")(peer, {}, number);
    });
    test_node node;
    node.announce("u1", upstream.port());
    const std::string pay = "POST /pay HTTP/1.1\r\nHost: x\r\nX-Api-Key: k-secret\r\n"
                            "Connection: close\r\nContent-Length: 1\r\n\r\na";
    STRCMP_CONTAINS("HTTP/1.1 200 ", exchange(node.port(), pay).c_str());
    const auto response = exchange(node.port(), pay);
    STRCMP_CONTAINS("X-Hawthornpick-Reason: upstream_failed\r\n", response.c_str());
    STRCMP_CONTAINS("X-Hawthornpick-Outcome: unknown\r\n", response.c_str());
    CHECK_EQUAL(2, static_cast<int>(upstream.heads().size()));
}

// Guards against a late response that is taken for that of the next request: the upstream
// connection of a cancelled request must be closed and not be reused.
TEST(request_path_test, cancelledRequestClosesItsUpstreamConnection)
{
    scripted_upstream upstream([](raw_client &peer, const std::string &, int number) {
        if (number == 1) {
            peer.readUntilEnd(base::milliseconds(5000));
            return false;
        }
        return respondWith("second")(peer, {}, number);
    });
    test_node node;
    node.announce("u1", upstream.port());
    {
        raw_client disconnectingClient(node.port());
        disconnectingClient.send("GET /open/1 HTTP/1.1\r\nHost: x\r\n\r\n");
        CHECK_TRUE(waitUntil([&] { return upstream.heads().size() == 1; }));
    }
    CHECK_TRUE(waitUntil(
            [&] { return node.endedAttempts(upstream::attempt_ending::Cancelled) == 1; }));
    const auto response = exchange(node.port(), "GET /open/2 HTTP/1.1\r\nHost: x\r\n"
                                                "Connection: close\r\n\r\n");
    STRCMP_CONTAINS("second", response.c_str());
    CHECK_EQUAL(2, static_cast<int>(upstream.connectionCount()));
}

// Guards against requests that are cut off or refused while the node shuts down.
TEST(request_path_test, drainFinishesInFlightRequests)
{
    std::atomic<bool> mayRespond{false};
    scripted_upstream upstream([&mayRespond](raw_client &peer, const std::string &, int) {
        waitUntil([&mayRespond] { return mayRespond.load(); });
        return respondWith("late")(peer, {}, 1);
    });
    test_node node;
    node.announce("u1", upstream.port());
    raw_client client(node.port());
    client.send("GET /open HTTP/1.1\r\nHost: x\r\n\r\n");
    CHECK_TRUE(waitUntil([&] { return upstream.heads().size() == 1; }));
    std::atomic<bool> isDrained{false};
    node.server().drain([&isDrained] { isDrained = true; });
    node.waitForQueuedWork();
    CHECK_FALSE(isDrained.load());
    mayRespond = true;
    const auto response = client.readUntilEnd();
    STRCMP_CONTAINS("HTTP/1.1 200 ", response.c_str());
    STRCMP_CONTAINS("Connection: close\r\n", response.c_str());
    STRCMP_CONTAINS("late", response.c_str());
    CHECK_TRUE(waitUntil([&isDrained] { return isDrained.load(); }));
}

namespace {

//! Sends requests on a kept connection until the node closes it, and counts those that the upstream
//! received and whose caller got no complete response.
auto countCutRequests(std::unique_ptr<raw_client> client, scripted_upstream &upstream,
                      const std::string &name) -> int
{
    for (int i = 0; !client->isClosed(); ++i) {
        const auto id = name + "-" + std::to_string(i) + ";";
        client->send("GET /open/" + id + " HTTP/1.1\r\nHost: x\r\n\r\n");
        if (client->readResponse().find("\r\n\r\nx") != std::string::npos) {
            continue;
        }
        const auto heads = upstream.heads();
        return static_cast<int>(std::count_if(heads.begin(), heads.end(), [&id](const auto &head) {
            return head.find(id) != std::string::npos;
        }));
    }
    return 0;
}

} // namespace

// Guards against requests that are accepted in the moments around a planned stop and then cut:
// under load, each request that reached the upstream must get its response.
TEST(request_path_test, drainUnderLoadCutsNoRequest)
{
    constexpr int STOPS = 30;
    constexpr int CALLERS = 6;
    constexpr std::size_t MIN_REQUESTS = 24;
    for (int stop = 0; stop < STOPS; ++stop) {
        scripted_upstream upstream([](raw_client &peer, const std::string &, int number) {
            std::this_thread::sleep_for(base::milliseconds(number % 4));
            return respondWith("x")(peer, {}, number);
        });
        test_node node;
        node.announce("u1", upstream.port(), CALLERS);
        std::atomic<int> cutRequests{0};
        // All callers are connected before the stop, however late their threads start.
        std::vector<std::thread> callers;
        for (int i = 0; i < CALLERS; ++i) {
            callers.emplace_back([&, client = std::make_unique<raw_client>(node.port()),
                                  i]() mutable {
                cutRequests +=
                        countCutRequests(std::move(client), upstream, "caller" + std::to_string(i));
            });
        }
        CHECK(waitUntil([&upstream] { return upstream.heads().size() >= MIN_REQUESTS; }));
        std::this_thread::sleep_for(std::chrono::microseconds(370 * stop));
        std::atomic<bool> isDrained{false};
        node.server().drain([&isDrained] { isDrained = true; });
        CHECK(waitUntil([&isDrained] { return isDrained.load(); }));
        for (auto &caller : callers) {
            caller.join();
        }
        CHECK_EQUAL(0, cutRequests.load());
    }
}

// Guards against headers and bodies without a size limit.
TEST(request_path_test, oversizedHeadersAndBodiesAreRefused)
{
    scripted_upstream upstream(respondWith("x"));
    test_node node;
    node.announce("u1", upstream.port());
    const std::string start = " HTTP/1.1\r\nHost: x\r\n";
    const auto header = exchange(
            node.port(), "GET /open" + start + "X-A: " + std::string(17000, 'a') + "\r\n\r\n");
    STRCMP_CONTAINS("HTTP/1.1 431 ", header.c_str());
    const auto length =
            exchange(node.port(), "POST /small" + start + "Content-Length: 101\r\n\r\n");
    STRCMP_CONTAINS("HTTP/1.1 413 ", length.c_str());
    const auto chunked =
            exchange(node.port(), "POST /small" + start + "Transfer-Encoding: chunked\r\n\r\n65\r\n"
                                          + std::string(101, 'b') + "\r\n0\r\n\r\n");
    STRCMP_CONTAINS("HTTP/1.1 413 ", chunked.c_str());
    CHECK_EQUAL(0, static_cast<int>(upstream.heads().size()));
}

// Guards against an upstream that is sent a longer deadline than the caller has left.
TEST(request_path_test, upstreamGetsTheRemainingTimeAndLateResponsesAreRefused)
{
    scripted_upstream upstream([](raw_client &peer, const std::string &, int) {
        peer.readUntilEnd(base::milliseconds(5000));
        return false;
    });
    test_node node;
    node.announce("u1", upstream.port());
    const auto response =
            exchange(node.port(), "GET /open HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
                                  "X-Request-Deadline-Ms: 300\r\n\r\n");
    STRCMP_CONTAINS("X-Hawthornpick-Reason: deadline_after_start\r\n", response.c_str());
    const auto head = upstream.heads().front();
    const auto position = head.find("X-Request-Deadline-Ms: ");
    CHECK_TRUE(position != std::string::npos);
    const int remainingMs = std::stoi(head.substr(position + 23));
    CHECK_TRUE(remainingMs > 0 && remainingMs <= 300);
}

// Guards against a request that gets a new identity when its route is renamed or split: what is
// known of the upstreams that it crashed would be lost. Other callers, hosts, methods, paths and
// bodies have other identities.
TEST(request_path_test, fingerprintIsThatOfTheRequestAndNotOfItsRoute)
{
    std::vector<base::digest256> fingerprints;
    auto adjustHooks = [&fingerprints](caller::entry_hooks &hooks) {
        hooks.selectNode = [&fingerprints](const caller::selection_request &request)
                -> base::result<caller::chosen_node> {
            fingerprints.push_back(request.fingerprint);
            return base::fail(base::error_kind::NoUpstream);
        };
    };
    test_node node("n1", testConfiguration(), 100, adjustHooks);
    const auto fingerprintOf = [&](const std::string &method, const std::string &host,
                                   const std::string &path, const std::string &body) {
        fingerprints.clear();
        exchange(node.port(), method + " " + path + " HTTP/1.1\r\nHost: " + host
                                      + "\r\nX-Api-Key: k-secret\r\nConnection: close\r\n"
                                        "Content-Length: "
                                      + std::to_string(body.size()) + "\r\n\r\n" + body);
        CHECK(!fingerprints.empty());
        return fingerprints.empty() ? base::digest256{} : fingerprints.front();
    };
    const auto original = fingerprintOf("POST", "x", "/keyed/a", "body");
    CHECK(original == fingerprintOf("POST", "x", "/keyed/a", "body"));
    CHECK(original != fingerprintOf("PUT", "x", "/keyed/a", "body"));
    CHECK(original != fingerprintOf("POST", "y", "/keyed/a", "body"));
    CHECK(original != fingerprintOf("POST", "x", "/keyed/b", "body"));
    CHECK(original != fingerprintOf("POST", "x", "/keyed/a", "other"));
    CHECK(original != fingerprintOf("POST", "x", "/open/a", "body"));
    auto split = testConfiguration();
    split.routes.push_back(split.routes.front());
    split.routes.back().id = base::route_id("keyed-a");
    split.routes.back().pathPrefix = "/keyed/a";
    node.configuration().store(std::make_shared<const config::snapshot>(2, split));
    CHECK(original == fingerprintOf("POST", "x", "/keyed/a", "body"));
    split.organisations.push_back({base::organisation_id("other"), 1e6, 1000000, 1});
    split.keys.front().organisation = base::organisation_id("other");
    node.configuration().store(std::make_shared<const config::snapshot>(3, split));
    CHECK(original != fingerprintOf("POST", "x", "/keyed/a", "body"));
}
