#include "caller/tests/rawclient.h"
#include "caller/tests/scriptedupstream.h"
#include "caller/tests/testnode.h"

#include <CppUTest/TestHarness.h>
#include <atomic>
#include <thread>

using namespace hawthornpick;
using namespace hawthornpick::testing;

namespace {

constexpr std::size_t MEGABYTE = 1024UL * 1024;
//! What a peer can send before it notices that the connection was closed: socket buffers of the
//! loopback interface and what the node reads before it gives up.
constexpr std::size_t MAX_SENT_BYTES = 24 * MEGABYTE;
const std::string REQUEST = "GET /open HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";

//! An upstream that sends `start` and then `repeated` without end, until the node closes.
class endless_upstream
{
public:
    endless_upstream(std::string start, std::string repeated)
        : m_upstream([this, start = std::move(start),
                      repeated = std::move(repeated)](raw_client &peer, const std::string &, int) {
              peer.send(start);
              std::string part;
              while (part.size() < 64UL * 1024) {
                  part += repeated;
              }
              while (m_sentBytes < 2 * MAX_SENT_BYTES && peer.send(part)) {
                  m_sentBytes += part.size();
              }
              return false;
          })
    {}

    [[nodiscard]] auto port() const -> std::uint16_t { return m_upstream.port(); }
    [[nodiscard]] auto sentBytes() const -> std::size_t { return m_sentBytes; }

private:
    std::atomic<std::size_t> m_sentBytes{0};
    scripted_upstream m_upstream;
};

//! Checks that a request to such an upstream fails, that the node closes the connection after a
//! limited number of bytes, and that the node serves other requests afterwards.
auto checkUpstreamIsGivenUp(const std::string &start, const std::string &repeated) -> void
{
    endless_upstream upstream(start, repeated);
    test_node node;
    node.announce("u1", upstream.port(), 1);
    const auto response = exchange(node.port(), REQUEST, base::milliseconds(8000));
    CHECK_TRUE_TEXT(response.find("X-Hawthornpick-Reason: upstream_") != std::string::npos
                            || response.find("\r\n0\r\n\r\n") == std::string::npos,
                    response.substr(0, 300).c_str());
    CHECK(waitUntil([&node] {
        return node.endedAttempts(upstream::attempt_ending::ConnectionLost)
                       + node.endedAttempts(upstream::attempt_ending::Truncated)
               >= 1;
    }));
    CHECK(upstream.sentBytes() < MAX_SENT_BYTES);
}

} // namespace

TEST_GROUP(endless_bytes_test){};

// Guards against an answer head that is read into memory until the upstream stops sending.
TEST(endless_bytes_test, answerHeadWithoutEnd)
{
    checkUpstreamIsGivenUp("HTTP/1.1 200 OK\r\n", "X-A: aaaaaaaaaaaaaaaa\r\n");
    checkUpstreamIsGivenUp("HTTP/1.1 200 OK\r\nX-A: ", "a");
}

// Guards against interim answers without end, which would keep the node busy until the deadline.
TEST(endless_bytes_test, interimAnswersWithoutEnd)
{
    checkUpstreamIsGivenUp("", "HTTP/1.1 102 Processing\r\n\r\n");
}

// Guards against a chunk header, a chunk extension or a trailer that is read into memory until the
// upstream stops sending.
TEST(endless_bytes_test, chunkHeaderWithoutEnd)
{
    const std::string start = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    checkUpstreamIsGivenUp(start + "5;a=", "b");
    checkUpstreamIsGivenUp(start + "5\r\nhello\r\n5;a=", "b");
    checkUpstreamIsGivenUp(start + "5\r\nhello\r\n0\r\n", "X-A: b\r\n");
}

// Guards against bytes after a complete answer that are taken for the next answer, or read.
TEST(endless_bytes_test, bytesAfterTheAnswer)
{
    endless_upstream upstream("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", "excess");
    test_node node;
    node.announce("u1", upstream.port());
    for (int i = 0; i < 2; ++i) {
        STRCMP_CONTAINS("\r\n\r\nok", exchange(node.port(), REQUEST).c_str());
    }
    CHECK(upstream.sentBytes() < MAX_SENT_BYTES);
}

// Guards against callers that send a chunk extension or a trailer without end.
TEST(endless_bytes_test, callerIsRefusedWithoutWaitingForItsDeadline)
{
    scripted_upstream upstream(respondWith("x"));
    test_node node;
    node.announce("u1", upstream.port());
    const std::string head = "POST /open HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (const std::string start : {"5;a=", "5\r\nhello\r\n5;a=", "5\r\nhello\r\n0\r\nX-A: "}) {
        raw_client client(node.port());
        client.send(head + start + std::string(100'000, 'b'));
        const auto response = client.readUntilEnd(base::milliseconds(8000));
        CHECK_TRUE_TEXT(response.starts_with("HTTP/1.1 400 "), response.substr(0, 100).c_str());
    }
    CHECK_EQUAL(0, static_cast<int>(upstream.heads().size()));
}
