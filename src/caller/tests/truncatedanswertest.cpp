#include "caller/tests/rawclient.h"
#include "caller/tests/scriptedupstream.h"
#include "caller/tests/testnode.h"

#include <CppUTest/TestHarness.h>
#include <atomic>

using namespace hawthornpick;
using namespace hawthornpick::testing;

namespace {

const std::string LENGTH_ANSWER =
        "HTTP/1.1 200 OK\r\nX-Own: yes\r\nContent-Length: 10\r\n\r\n0123456789";
const std::string CHUNKED_ANSWER = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                                   "4\r\n0123\r\n6\r\n456789\r\n0\r\n\r\n";

//! Returns true if a caller takes the response for a complete success.
auto looksComplete(const std::string &response, bool wasReset) -> bool
{
    const auto headEnd = response.find("\r\n\r\n");
    if (!response.starts_with("HTTP/1.1 2") || headEnd == std::string::npos) {
        return false;
    }
    const auto body = response.substr(headEnd + 4);
    const auto head = response.substr(0, headEnd + 2);
    const std::string lengthName = "Content-Length: ";
    if (const auto length = head.find(lengthName); length != std::string::npos) {
        return body.size() >= std::stoul(head.substr(length + lengthName.size()));
    }
    if (head.find("Transfer-Encoding: chunked") != std::string::npos) {
        return body.ends_with("0\r\n\r\n");
    }
    return !wasReset;
}

//! Sends a request through `node` for each length at which the upstream stops in its answer, and
//! checks that only the whole answer looks complete.
auto checkEachLength(const test_node &node, std::atomic<std::size_t> &sentBytes,
                     const std::string &answer, const std::string &method, std::size_t step) -> void
{
    for (std::size_t length = 0; length < answer.size(); length += step) {
        sentBytes = length;
        raw_client client(node.port());
        client.send(method
                    + " /pay HTTP/1.1\r\nHost: x\r\nX-Api-Key: k-secret\r\n"
                      "Connection: close\r\nContent-Length: 0\r\n\r\n");
        const auto response = client.readUntilEnd();
        CHECK_TRUE(client.isClosed());
        CHECK_TEXT(!looksComplete(response, client.wasReset()),
                   StringFromFormat("the upstream stopped after %d bytes: %s",
                                    static_cast<int>(length), response.c_str())
                           .asCharString());
    }
    sentBytes = answer.size();
    const auto response =
            exchange(node.port(), method
                                          + " /pay HTTP/1.1\r\nHost: x\r\nX-Api-Key: k-secret\r\n"
                                            "Connection: close\r\nContent-Length: 0\r\n\r\n");
    CHECK_TEXT(looksComplete(response, false), response.c_str());
}

//! Upstream that sends the start of an answer and closes the connection.
auto stopAfter(const std::string &answer, const std::atomic<std::size_t> &sentBytes)
        -> scripted_upstream::script
{
    return [&](raw_client &peer, const std::string & /*head*/, int /*number*/) {
        peer.send(std::string_view(answer).substr(0, sentBytes));
        return false;
    };
}

} // namespace

TEST_GROUP(truncated_answer_test){};

// Guards against an upstream that stops in the middle of its answer and closes: the caller must not
// get a success with an empty or short body that is framed as whole.
TEST(truncated_answer_test, answerThatStopsAnywhereNeverLooksComplete)
{
    for (const auto &answer : {LENGTH_ANSWER, CHUNKED_ANSWER}) {
        std::atomic<std::size_t> sentBytes{0};
        scripted_upstream upstream(stopAfter(answer, sentBytes));
        test_node node;
        node.announce("u1", upstream.port());
        checkEachLength(node, sentBytes, answer, "POST", 1);
    }
}

// Guards against the same between two nodes.
TEST(truncated_answer_test, forwardedAnswerThatStopsAnywhereNeverLooksComplete)
{
    for (const auto &answer : {LENGTH_ANSWER, CHUNKED_ANSWER}) {
        std::atomic<std::size_t> sentBytes{0};
        scripted_upstream upstream(stopAfter(answer, sentBytes));
        test_node entryNode("n1");
        test_node executingNode("n2");
        executingNode.announce("u1", upstream.port());
        entryNode.addPeerNode(executingNode);
        checkEachLength(entryNode, sentBytes, answer, "POST", 1);
    }
}

// Guards against the same where responses are buffered before they are sent, as in a mesh.
TEST(truncated_answer_test, bufferedAnswerThatStopsAnywhereNeverLooksComplete)
{
    for (const auto &answer : {LENGTH_ANSWER, CHUNKED_ANSWER}) {
        std::atomic<std::size_t> sentBytes{0};
        scripted_upstream upstream(stopAfter(answer, sentBytes));
        test_node node("n1", testConfiguration(), 100, [](caller::entry_hooks &hooks) {
            hooks.attemptRules.maxBufferedResponseBytes = 1024;
        });
        node.announce("u1", upstream.port());
        checkEachLength(node, sentBytes, answer, "POST", 1);
    }
}
