#include "caller/tests/rawclient.h"
#include "caller/tests/scriptedupstream.h"
#include "caller/tests/testnode.h"

#include <CppUTest/TestHarness.h>
#include <atomic>
#include <thread>

using namespace hawthornpick;
using namespace hawthornpick::testing;

namespace {

//! Returns an answer whose body names the request that it belongs to. It has no id header if `id`
//! is empty.
auto answerTo(const std::string &id) -> std::string
{
    const auto body = "answer to " + (id.empty() ? "nobody" : id);
    const auto header = id.empty() ? std::string() : "X-Request-Id: " + id + "\r\n";
    return "HTTP/1.1 200 OK\r\n" + header + "Content-Length: " + std::to_string(body.size())
           + "\r\n\r\n" + body;
}

auto requestIdOf(const std::string &head) -> std::string
{
    const std::string name = "X-Request-Id: ";
    const auto start = head.find(name) + name.size();
    return head.substr(start, head.find("\r\n", start) - start);
}

//! Sends bytes of the upstream that arrive where the answer to the request `id` is due.
using late_bytes = std::function<void(raw_client &peer, const std::string &id)>;

//! An upstream that answers requests on kept connections, and sends late bytes before each answer
//! but the first.
auto answerAfter(late_bytes sendLateBytes) -> scripted_upstream::script
{
    return [sendLateBytes = std::move(sendLateBytes)](raw_client &peer, const std::string &head,
                                                      int number) {
        const auto id = requestIdOf(head);
        if (number > 1) {
            sendLateBytes(peer, id);
        }
        peer.send(answerTo(id));
        return true;
    };
}

//! Sends requests one after the other and checks that each caller gets the answer to its own
//! request or an error. Returns the number of answers.
auto countOwnAnswers(const late_bytes &sendLateBytes, const std::string &method = "GET") -> int
{
    scripted_upstream upstream(answerAfter(sendLateBytes));
    upstream::wire_profile wire;
    wire.echoesRequestId = true;
    test_node node("n1", testConfiguration(), 100, nullptr, wire);
    node.announce("u1", upstream.port(), 1);
    int ownAnswers = 0;
    for (int i = 1; i <= 6; ++i) {
        const auto id = "request-" + std::to_string(i);
        const auto response = exchange(node.port(), method
                                                            + " /open HTTP/1.1\r\nHost: x\r\n"
                                                              "Connection: close\r\nX-Request-Id: "
                                                            + id + "\r\n\r\n");
        if (response.starts_with("HTTP/1.1 200 ")) {
            const auto expected =
                    method == "HEAD" ? "X-Request-Id: " + id + "\r\n" : "answer to " + id;
            STRCMP_CONTAINS(expected.c_str(), response.c_str());
            ++ownAnswers;
        }
        CHECK(response.find("nobody") == std::string::npos);
        CHECK(response.find("answer to other") == std::string::npos);
    }
    return ownAnswers;
}

} // namespace

TEST_GROUP(late_copy_test){};

// Guards against a second copy of an answer, late, on a connection that is in use again: it must
// not reach the next caller, who must get the answer to its own request.
TEST(late_copy_test, copyOfAnEarlierAnswerIsSkipped)
{
    CHECK_EQUAL(6, countOwnAnswers([](raw_client &peer, const std::string &) {
                    peer.send(answerTo("request-1"));
                }));
    CHECK_EQUAL(6, countOwnAnswers([](raw_client &peer, const std::string &) {
                    peer.send(answerTo("other-live-request"));
                    peer.send(answerTo("request-1"));
                }));
}

// Guards against a copy that is taken for the answer because its packets arrive in between.
TEST(late_copy_test, copySplitOverPacketsIsSkipped)
{
    CHECK_EQUAL(6, countOwnAnswers([](raw_client &peer, const std::string &) {
                    const auto copy = answerTo("other-request");
                    for (std::size_t position = 0; position < copy.size(); position += 20) {
                        peer.send(copy.substr(position, 20));
                        std::this_thread::sleep_for(base::milliseconds(2));
                    }
                }));
}

// Guards against an answer without an id on a connection that is in use again: nobody knows whose
// answer it is.
TEST(late_copy_test, answerWithoutAnIdReachesNobody)
{
    countOwnAnswers([](raw_client &peer, const std::string &) { peer.send(answerTo("")); });
}

// Guards against more copies than one exchange skips, and against copies where an answer without a
// body is due.
TEST(late_copy_test, manyCopiesReachNobody)
{
    const auto sendMany = [](raw_client &peer, const std::string &) {
        for (int i = 0; i < 10; ++i) {
            peer.send(answerTo("other-" + std::to_string(i)));
        }
    };
    countOwnAnswers(sendMany);
    countOwnAnswers(sendMany, "HEAD");
    countOwnAnswers([](raw_client &peer, const std::string &) {
        peer.send("HTTP/1.1 204 No Content\r\nX-Request-Id: other-request\r\n\r\n");
    });
}

namespace {

//! Returns a refusal as not run of the request `id`.
auto refusalOf(const std::string &id) -> std::string
{
    return "HTTP/1.1 503 Service Unavailable\r\nX-Request-Id: " + id
           + "\r\nX-Not-Run: 1\r\nContent-Length: 4\r\n\r\nfull";
}

//! Sends a request that is not idempotent, with the id `id`, on a new caller connection.
auto sendPayment(test_node &node, const std::string &id) -> std::string
{
    return exchange(node.port(), "POST /pay HTTP/1.1\r\nHost: x\r\nX-Api-Key: k-secret\r\n"
                                 "Content-Length: 0\r\nConnection: close\r\nX-Request-Id: "
                                         + id + "\r\n\r\n");
}

auto notRunWire() -> upstream::wire_profile
{
    upstream::wire_profile wire;
    wire.echoesRequestId = true;
    wire.notRun = "X-Not-Run";
    return wire;
}

} // namespace

// Guards against a refusal that is written once more on a kept connection and is taken for the
// answer to a later request that runs: with another id, or with the id that the caller repeats.
TEST(late_copy_test, copyOfARefusalIsNotTakenForALaterRequest)
{
    std::atomic<int> runs{0};
    std::atomic<raw_client *> refusedPeer{nullptr};
    scripted_upstream upstream([&](raw_client &peer, const std::string &head, int number) {
        const auto id = requestIdOf(head);
        if (number == 1) {
            refusedPeer = &peer;
            peer.send(refusalOf(id));
            return true;
        }
        ++runs;
        if (&peer == refusedPeer) {
            peer.send(refusalOf("refused"));
        }
        peer.send(answerTo(id));
        return true;
    });
    test_node node("n1", testConfiguration(), 100, nullptr, notRunWire());
    node.announce("u1", upstream.port(), 1);
    STRCMP_CONTAINS("HTTP/1.1 503 ", sendPayment(node, "refused").c_str());
    for (const std::string id : {"refused", "other", "refused"}) {
        const int runsBefore = runs;
        const auto response = sendPayment(node, id);
        CHECK_EQUAL(runsBefore + 1, runs.load());
        STRCMP_CONTAINS("HTTP/1.1 200 ", response.c_str());
    }
}
