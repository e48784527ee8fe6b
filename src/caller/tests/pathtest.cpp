#include "caller/tests/rawclient.h"
#include "caller/tests/scriptedupstream.h"
#include "caller/tests/testnode.h"

#include <CppUTest/TestHarness.h>

using namespace hawthornpick;
using namespace hawthornpick::testing;

TEST_GROUP(path_test){};

// Guards against a path that does not run a request at all.
TEST(path_test, requestRunsOnTheUpstreamAndKeepsItsConnections)
{
    scripted_upstream upstream(answerWith("hello"));
    test_node node;
    node.announce("u1", upstream.port());
    raw_client client(node.port());
    for (int i = 0; i < 3; ++i) {
        client.send("GET /open/a?b=c HTTP/1.1\r\nHost: x\r\n\r\n");
        const auto answer = client.readAnswer();
        STRCMP_CONTAINS("HTTP/1.1 200 OK\r\n", answer.c_str());
        STRCMP_CONTAINS("\r\n\r\nhello", answer.c_str());
        STRCMP_CONTAINS("X-Request-Id: ", answer.c_str());
    }
    CHECK_EQUAL(3, static_cast<int>(upstream.heads().size()));
    CHECK_EQUAL(1, static_cast<int>(upstream.connectionCount()));
    STRCMP_CONTAINS("GET /open/a?b=c HTTP/1.1\r\n", upstream.heads().front().c_str());
}
