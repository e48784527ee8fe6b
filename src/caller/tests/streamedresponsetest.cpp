#include "caller/tests/rawclient.h"
#include "caller/tests/scriptedupstream.h"
#include "caller/tests/testnode.h"

#include <CppUTest/TestHarness.h>
#include <thread>

using namespace hawthornpick;
using namespace hawthornpick::testing;

namespace {

//! More than fits into the buffers between an upstream and a caller that doesn't read.
constexpr std::size_t BODY_BYTES = 16UL * 1024 * 1024;
constexpr base::milliseconds HEDGE_DELAY{50};
//! Time for which the caller reads nothing; several hedges are due in it.
constexpr base::milliseconds CALLER_PAUSE{400};
constexpr double MIN_HEALTH = 0.5;

//! Upstream whose response has a body of one repeated letter.
auto respondWithLetters(char letter) -> scripted_upstream::script
{
    return [letter](raw_client &peer, const std::string & /*head*/, int /*number*/) {
        peer.send("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(BODY_BYTES) + "\r\n\r\n");
        return peer.send(std::string(BODY_BYTES, letter));
    };
}

//! Buffers short responses and hedges soon, as in a mesh.
auto hedgeSoon(caller::entry_hooks &hooks) -> void
{
    hooks.attemptRules.maxBufferedResponseBytes = 1024;
    hooks.hedgeDelay = [](const auto &, const auto &) {
        return HEDGE_DELAY;
    };
    hooks.takeRetry = [](const auto &, const auto &) {
        return true;
    };
    hooks.selectNode = [select = hooks.selectNode](const caller::selection_request &request) {
        auto chosen = select(request);
        if (chosen) {
            chosen->minHealth = MIN_HEALTH;
        }
        return chosen;
    };
}

//! Two nodes, each with an upstream of its own.
struct hedging_nodes
{
    hedging_nodes()
        : firstUpstream(respondWithLetters('a')), secondUpstream(respondWithLetters('b')),
          entry("n1", testConfiguration(), 100, hedgeSoon), other("n2")
    {
        entry.announce("u1", firstUpstream.port());
        other.announce("u2", secondUpstream.port());
        entry.addPeerNode(other);
    }

    scripted_upstream firstUpstream;
    scripted_upstream secondUpstream;
    test_node entry;
    test_node other;
};

//! Sends a request, pauses, reads the response, and checks that its body is that of one upstream.
auto checkDownload(const test_node &node) -> void
{
    raw_client client(node.port());
    client.setReceiveBufferSize(64 * 1024);
    client.send("GET /open HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
    std::this_thread::sleep_for(CALLER_PAUSE);
    const auto response = client.readUntilEnd(std::chrono::seconds(20));
    CHECK_TRUE(client.isClosed());
    CHECK_TRUE(response.starts_with("HTTP/1.1 200 OK\r\n"));
    const auto headEnd = response.find("\r\n\r\n");
    CHECK_TRUE(headEnd != std::string::npos);
    const auto body = response.substr(headEnd + 4);
    CHECK_EQUAL(BODY_BYTES, body.size());
    CHECK_TRUE(body.find_first_not_of(body.front()) == std::string::npos);
}

} // namespace

TEST_GROUP(streamed_response){};

// Guards against a second attempt that writes its response into the middle of a streamed one.
TEST(streamed_response, hedgeDoesNotMixAnotherResponseIn)
{
    hedging_nodes nodes;
    for (int i = 0; i < 4; ++i) {
        checkDownload(nodes.entry);
    }
}

// Guards against a request that ends with its refused hedge while its response is being streamed:
// the caller gets no end, and the stream goes on with a destroyed writer.
TEST(streamed_response, refusedHedgeDoesNotEndTheResponse)
{
    hedging_nodes nodes;
    nodes.other.setHealth(0.0);
    for (int i = 0; i < 4; ++i) {
        checkDownload(nodes.entry);
    }
}

// Guards against a streamed response that breaks off and leaves the connection open.
TEST(streamed_response, brokenStreamClosesTheConnection)
{
    scripted_upstream upstream([](raw_client &peer, const std::string & /*head*/, int /*number*/) {
        peer.send("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(BODY_BYTES) + "\r\n\r\n");
        peer.send(std::string(BODY_BYTES / 2, 'a'));
        return false;
    });
    test_node node("n1", testConfiguration(), 100, hedgeSoon);
    node.announce("u1", upstream.port());
    raw_client client(node.port());
    client.send("GET /open HTTP/1.1\r\nHost: x\r\n\r\n");
    const auto response = client.readUntilEnd(std::chrono::seconds(10));
    CHECK_TRUE(client.isClosed());
    CHECK_TRUE(response.size() < BODY_BYTES);
}
