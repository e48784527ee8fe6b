#include "peer/tests/linkfixture.h"

using namespace hawthornpick;
using namespace hawthornpick::peer;
using namespace hawthornpick::peer::test;
namespace asio = boost::asio;

// clang-format off
TEST_GROUP(link_test)
{
    asio::io_context context;

    auto serveEcho(test_peer &server) -> void
    {
        server.onStream = [this](stream_pointer incoming) {
            asio::co_spawn(context, echo(std::move(incoming)), asio::detached);
        };
    }

    auto openStream(test_peer &client, test_peer &server, base::incarnation expectedIncarnation = 0)
            -> base::result<stream_pointer>
    {
        return await(context, client.pool().openStream(base::node_id("server"), server.address(),
                                                 expectedIncarnation));
    }
};
// clang-format on

namespace {

//! Sends a request and returns the body of the response.
auto sendRequest(stream &opened, std::string head, std::string body)
        -> asio::awaitable<base::result<std::string>>
{
    if (const auto sent = co_await opened.sendHead(std::move(head)); !sent) {
        co_return tl::unexpected(sent.error());
    }
    if (const auto sent = co_await opened.sendData(std::move(body)); !sent) {
        co_return tl::unexpected(sent.error());
    }
    if (const auto sent = co_await opened.sendEnd("end"); !sent) {
        co_return tl::unexpected(sent.error());
    }
    co_return co_await readBody(opened);
}

} // namespace

// Guards against parts of a stream that are lost, reordered or assigned to another stream.
TEST(link_test, streamCarriesHeadBodyAndEndInBothDirections)
{
    test_peer server(context, "server", 7);
    test_peer client(context, "client", 3);
    serveEcho(server);
    auto opened = openStream(client, server, 7);
    CHECK_TRUE(opened.has_value());
    STRCMP_EQUAL("server", (*opened)->peer().str().c_str());
    const auto body = await(context, sendRequest(**opened, "head", "some body"));
    CHECK_TRUE(body.has_value());
    STRCMP_EQUAL("some body", body->c_str());
}

// Guards against one link per caller: callers that arrive while a link is being opened wait for it.
TEST(link_test, concurrentCallersShareOneLink)
{
    constexpr int CALLERS = 50;
    test_peer server(context, "server", 1);
    test_peer client(context, "client", 1);
    serveEcho(server);
    int finished = 0;
    for (int i = 0; i < CALLERS; ++i) {
        asio::co_spawn(
                context,
                [&, i]() -> asio::awaitable<void> {
                    auto opened = co_await client.pool().openStream(base::node_id("server"),
                                                                    server.address(), 0);
                    const auto text = std::to_string(i);
                    const auto body = co_await sendRequest(**opened, "head", text);
                    finished += *body == text ? 1 : 0;
                },
                asio::detached);
    }
    CHECK_TRUE(runUntil(context, [&] { return finished == CALLERS; }));
    CHECK_EQUAL(1U, client.pool().linkCount());
    CHECK_EQUAL(1U, server.pool().linkCount());
}

// Guards against control messages that are truncated, merged or lost when they exceed one frame.
TEST(link_test, messagesOfAnySizeArriveCompleteAndInOrder)
{
    test_peer server(context, "server", 1);
    test_peer client(context, "client", 1);
    const std::vector<std::size_t> sizes{0, 1, 1201, 32768, 32769, 3'000'000};
    for (const auto size : sizes) {
        client.pool().sendMessage(base::node_id("server"), server.address(),
                                  base::channel::Consensus, std::string(size, 'm'));
    }
    CHECK_TRUE(runUntil(context, [&] { return server.messages.size() == sizes.size(); }));
    for (std::size_t i = 0; i < sizes.size(); ++i) {
        STRCMP_EQUAL("client", server.messages[i].to.str().c_str());
        CHECK_TRUE(server.messages[i].payload == std::string(sizes[i], 'm'));
    }
}

// Guards against a request that is executed by another process of the node than the one that the
// caller selected.
TEST(link_test, unexpectedIncarnationIsRefusedBeforeAnythingIsSent)
{
    test_peer server(context, "server", 5);
    test_peer client(context, "client", 1);
    for (const base::incarnation expectedIncarnation : {4, 6}) {
        const auto opened = openStream(client, server, expectedIncarnation);
        CHECK_FALSE(opened.has_value());
        CHECK_TRUE(opened.error().kind == base::error_kind::IncarnationChanged);
    }
    CHECK_TRUE(server.incoming.empty());
}

// Guards against links between processes that do not share the fleet secret.
TEST(link_test, linkWithAnotherFleetSecretIsRefused)
{
    test_peer server(context, "server", 1, "another secret");
    test_peer client(context, "client", 1);
    const auto opened = openStream(client, server);
    CHECK_FALSE(opened.has_value());
    CHECK_TRUE(opened.error().kind == base::error_kind::PeerUnreachable);
    CHECK_EQUAL(0U, client.pool().linkCount());
}
