#include "base/random.h"
#include "base/thriftcodec.h"
#include "peer/generated/peerwire_types.h"
#include "peer/internal/connection.h"
#include "peer/internal/frame.h"
#include "peer/internal/handshake.h"
#include "peer/tests/linkfixture.h"
#include "peer/tests/tcpproxy.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <cstdio>

using namespace hawthornpick;
using namespace hawthornpick::peer;
using namespace hawthornpick::peer::test;
namespace asio = boost::asio;

// clang-format off
TEST_GROUP(link_fault_test)
{
    asio::io_context context;

    auto echoOn(test_peer &server) -> void
    {
        server.onStream = [this](stream_pointer incoming) {
            asio::co_spawn(context, echo(std::move(incoming)), asio::detached);
        };
    }

    auto openAt(test_peer &client, std::uint16_t port, base::incarnation expected = 0)
            -> base::result<stream_pointer>
    {
        return await(context,
                     client.pool().open(base::node_id("server"), {"127.0.0.1", port}, expected));
    }

    //! Sends raw bytes to the server and waits until it closes the connection.
    auto expectClosedAfter(test_peer &server, const std::string &bytes) -> void
    {
        asio::ip::tcp::socket socket(context);
        socket.connect({asio::ip::address_v4::loopback(), server.address().port});
        asio::write(socket, asio::buffer(bytes));
        bool isClosed = false;
        std::string answer;
        asio::async_read(socket, asio::dynamic_buffer(answer),
                         [&](const boost::system::error_code &, std::size_t) { isClosed = true; });
        CHECK_TRUE(runUntil(context, [&] { return isClosed; }));
    }
};
// clang-format on

namespace {

auto helloFrame(std::int32_t version) -> std::string
{
    wire::hello message;
    message.version = version;
    message.nonce = std::string(32, 'n');
    message.node = "client";
    const auto payload = base::encodeThrift(message);
    std::string bytes;
    appendFrameHeader(bytes, frame_type::Hello, 0, payload.size());
    return bytes + payload;
}

//! Reads one frame of a raw connection.
auto readRawFrame(asio::ip::tcp::socket &socket, asio::io_context &context) -> std::string
{
    std::string bytes;
    bool isComplete = false;
    asio::async_read(
            socket, asio::dynamic_buffer(bytes),
            [&bytes](const boost::system::error_code &, std::size_t count) -> std::size_t {
                if (count < FRAME_HEADER_BYTES) {
                    return FRAME_HEADER_BYTES - count;
                }
                return FRAME_HEADER_BYTES + readNumber32(bytes) - count;
            },
            [&](const boost::system::error_code &, std::size_t) { isComplete = true; });
    CHECK_TRUE(runUntil(context, [&] { return isComplete; }));
    return bytes.substr(FRAME_HEADER_BYTES);
}

auto appendFrame(std::string &out, frame_type type, std::uint64_t stream, std::string_view payload)
        -> void
{
    appendFrameHeader(out, type, stream, payload.size());
    out.append(payload);
}

//! Opens a raw connection that has proved the secret, as a faulty peer would.
auto connectRaw(asio::io_context &context, test_peer &server) -> asio::ip::tcp::socket
{
    asio::ip::tcp::socket socket(context);
    socket.connect({asio::ip::address_v4::loopback(), server.address().port});
    const link_identity identity{base::node_id("raw"), 1, "fleet secret", ""};
    handshake exchange(handshake::side::Connecting, identity);
    std::string hello;
    appendFrame(hello, frame_type::Hello, 0, exchange.hello());
    asio::write(socket, asio::buffer(hello));
    const auto proof = exchange.finish(readRawFrame(socket, context));
    CHECK_TRUE(proof.has_value());
    std::string bytes;
    appendFrame(bytes, frame_type::Proof, 0, *proof);
    asio::write(socket, asio::buffer(bytes));
    return socket;
}

auto randomFrames(base::random_source &random) -> std::string
{
    std::string bytes;
    for (std::uint64_t i = 1 + random.below(40); i > 0; --i) {
        const auto type = static_cast<frame_type>(3 + random.below(8));
        const auto size =
                random.chance(0.2) ? random.below(MAX_FRAME_PAYLOAD_BYTES) : random.below(8);
        appendFrame(bytes, type, random.below(6),
                    std::string(size, static_cast<char>(random.below(4))));
    }
    return bytes;
}

} // namespace

// Guards against a peer with a fault or of a newer build that sends frames out of order, with wrong
// sizes or over the window: its link may be closed, other links go on.
TEST(link_fault_test, wrongFramesOfAProvedPeerDoNotDisturbOtherLinks)
{
    const auto seed = base::systemSeed();
    std::printf("seed %llu\n", static_cast<unsigned long long>(seed));
    base::random_source random(seed);
    test_peer server(context, "server", 1);
    test_peer client(context, "client", 1);
    echoOn(server);
    for (int round = 0; round < 100; ++round) {
        auto socket = connectRaw(context, server);
        boost::system::error_code ignored;
        asio::write(socket, asio::buffer(randomFrames(random)), ignored);
    }
    std::string overWindow;
    appendFrame(overWindow, frame_type::Head, 1, "head");
    for (std::size_t sent = 0; sent <= STREAM_WINDOW_BYTES; sent += MAX_FRAME_PAYLOAD_BYTES) {
        appendFrame(overWindow, frame_type::Data, 1, std::string(MAX_FRAME_PAYLOAD_BYTES, 'd'));
    }
    server.onStream = nullptr;
    auto greedy = connectRaw(context, server);
    boost::system::error_code ignored;
    asio::write(greedy, asio::buffer(overWindow), ignored);
    CHECK_TRUE(runUntil(context, [&] { return server.pool().linkCount() == 0; }));
    echoOn(server);
    auto opened = openAt(client, server.address().port);
    CHECK_TRUE(opened.has_value());
    CHECK_TRUE(await(context, (*opened)->sendHead("head")).has_value());
    CHECK_TRUE(await(context, (*opened)->receive()).has_value());
}

// Guards against links that stay open without use, and against a stream lost because the accepting
// side closes first.
TEST(link_fault_test, idleLinkIsClosedByTheConnectingSideOnly)
{
    test_peer server(context, "server", 1);
    const link_identity identity{base::node_id("client"), 1, "fleet secret", ""};
    int closed = 0;
    const connection_events events{[](stream_pointer) {},
                                   [](const base::node_id &, base::channel, std::string) {},
                                   [&closed](const std::shared_ptr<connection> &) { ++closed; },
                                   [] {
                                       return false;
                                   }};
    asio::ip::tcp::socket socket(context);
    socket.connect({asio::ip::address_v4::loopback(), server.address().port});
    const auto link =
            std::make_shared<connection>(std::move(socket), identity, link_timing{}, false, events);
    CHECK_TRUE(await(context, link->handshakeAsConnecting()).has_value());
    link->maintain(base::clock::now() + IDLE_TIME - link_timing{}.pingInterval, false);
    CHECK_TRUE(link->isOpen());
    link->maintain(base::clock::now() + IDLE_TIME, false);
    CHECK_FALSE(link->isOpen());
    CHECK_EQUAL(1, closed);
    CHECK_TRUE(ACCEPTED_IDLE_TIME > IDLE_TIME + link_timing{}.deadTime);
}

// Guards against a link with a process that speaks another protocol or none, and against one that
// never finishes its handshake.
TEST(link_fault_test, connectionsWithoutAValidHandshakeAreClosed)
{
    test_peer server(context, "server", 1);
    expectClosedAfter(server, helloFrame(2));
    expectClosedAfter(server, "GET / HTTP/1.1\r\nHost: node\r\n\r\n");
    std::string oversized;
    appendFrameHeader(oversized, frame_type::Hello, 0, MAX_HANDSHAKE_PAYLOAD_BYTES + 1);
    expectClosedAfter(server, oversized);
    std::string streamFirst;
    appendFrameHeader(streamFirst, frame_type::Head, 1, 0);
    expectClosedAfter(server, streamFirst);
    std::string forgedProof;
    appendFrameHeader(forgedProof, frame_type::Proof, 0, 0);
    expectClosedAfter(server, helloFrame(1) + forgedProof);
    expectClosedAfter(server, helloFrame(1).substr(0, 20));
    expectClosedAfter(server, "");
    CHECK_EQUAL(0U, server.pool().linkCount());
    CHECK_TRUE(server.incoming.empty());
}

// Guards against a node that takes the place of another one behind a reused address.
TEST(link_fault_test, anotherNodeAtTheAddressIsRefused)
{
    test_peer server(context, "other", 1);
    test_peer client(context, "client", 1);
    const auto opened = openAt(client, server.address().port);
    CHECK_FALSE(opened.has_value());
    CHECK_TRUE(opened.error().kind == base::error_kind::PeerUnreachable);
}

// Guards against requests that hang on a link whose peer or one direction is gone without a close.
TEST(link_fault_test, linkWithOneDirectionCutIsClosedAndItsStreamsFail)
{
    for (const bool isForward : {true, false}) {
        test_peer server(context, "server", 1);
        test_peer client(context, "client", 1);
        tcp_proxy proxy(context, server.address().port);
        auto opened = openAt(client, proxy.port());
        CHECK_TRUE(opened.has_value());
        CHECK_TRUE(await(context, (*opened)->sendHead("head")).has_value());
        CHECK_TRUE(runUntil(context, [&] { return server.incoming.size() == 1; }));
        (isForward ? proxy.isForwardCut : proxy.isBackwardCut) = true;
        const auto event = await(context, (*opened)->receive());
        CHECK_FALSE(event.has_value());
        CHECK_TRUE(event.error().kind == base::error_kind::OutcomeUnknown);
        CHECK_TRUE(runUntil(context, [&] {
            return client.pool().linkCount() == 0 && server.pool().linkCount() == 0;
        }));
        const auto head = await(context, server.incoming.front()->receive());
        CHECK_TRUE(head.has_value());
        CHECK_FALSE(await(context, server.incoming.front()->receive()).has_value());
    }
}

// Guards against a request sent on a link that died while it was idle: its outcome would be unknown
// although a new link works.
TEST(link_fault_test, linkThatDiedWhileIdleIsReplacedBeforeAnythingIsSent)
{
    test_peer server(context, "server", 1);
    test_peer client(context, "client", 1);
    echoOn(server);
    auto proxy = std::make_unique<tcp_proxy>(context, server.address().port);
    CHECK_TRUE(openAt(client, proxy->port()).has_value());
    asio::steady_timer idle(context, 3 * link_timing{}.pingInterval);
    bool hasPassed = false;
    idle.async_wait([&](const boost::system::error_code &) { hasPassed = true; });
    CHECK_TRUE(runUntil(context, [&] { return hasPassed; }));
    proxy->isForwardCut = true;
    auto opened = openAt(client, server.address().port);
    CHECK_TRUE(opened.has_value());
    CHECK_TRUE(await(context, (*opened)->sendHead("head")).has_value());
    CHECK_TRUE(await(context, (*opened)->receive()).has_value());
}

// Guards against memory that grows with a slow reader, and against data lost when it goes on.
TEST(link_fault_test, slowReaderStopsTheSenderAtTheWindow)
{
    constexpr std::size_t CHUNK_BYTES = 10'000;
    constexpr int CHUNKS = 300;
    test_peer server(context, "server", 1);
    test_peer client(context, "client", 1);
    auto opened = openAt(client, server.address().port);
    CHECK_TRUE(opened.has_value());
    std::size_t sent = 0;
    bool hasEnded = false;
    asio::co_spawn(
            context,
            [&]() -> asio::awaitable<void> {
                co_await (*opened)->sendHead("head");
                for (int i = 0; i < CHUNKS; ++i) {
                    const auto result = co_await (*opened)->sendData(std::string(CHUNK_BYTES, 'd'));
                    sent += result ? CHUNK_BYTES : 0;
                }
                co_await (*opened)->sendEnd("");
                hasEnded = true;
            },
            asio::detached);
    asio::steady_timer wait(context, std::chrono::seconds(2));
    bool hasWaited = false;
    wait.async_wait([&](const boost::system::error_code &) { hasWaited = true; });
    CHECK_TRUE(runUntil(context, [&] { return hasWaited; }));
    CHECK_FALSE(hasEnded);
    CHECK_TRUE(sent <= STREAM_WINDOW_BYTES);
    CHECK_EQUAL(1U, server.incoming.size());
    const auto body = await(context, readBody(*server.incoming.front()));
    CHECK_TRUE(body.has_value());
    CHECK_EQUAL(CHUNK_BYTES * CHUNKS, body->size());
    CHECK_TRUE(runUntil(context, [&] { return hasEnded; }));
}

// Guards against mixed, cut or stuck streams when many of them share links and end early.
TEST(link_fault_test, randomStreamsKeepTheirOwnContent)
{
    const auto seed = base::systemSeed();
    std::printf("seed %llu\n", static_cast<unsigned long long>(seed));
    base::random_source random(seed);
    test_peer server(context, "server", 1);
    test_peer client(context, "client", 1);
    echoOn(server);
    constexpr int STREAMS = 300;
    int finished = 0;
    int wrong = 0;
    const auto run = [&](std::size_t size, char fill, bool isAbandoned) -> asio::awaitable<void> {
        auto opened = co_await client.pool().open(base::node_id("server"), server.address(), 0);
        co_await (*opened)->sendHead(std::string(1, fill));
        if (!isAbandoned) {
            asio::co_spawn(
                    context,
                    [&sender = **opened, size, fill]() -> asio::awaitable<void> {
                        co_await sender.sendData(std::string(size, fill));
                        co_await sender.sendEnd("");
                    },
                    asio::detached);
            const auto body = co_await readBody(**opened);
            wrong += body && *body == std::string(size, fill) ? 0 : 1;
        }
        ++finished;
    };
    for (int i = 0; i < STREAMS; ++i) {
        const auto size = random.chance(0.1) ? random.below(2'000'000) : random.below(5000);
        asio::co_spawn(context,
                       run(size, static_cast<char>('a' + random.below(26)), random.chance(0.2)),
                       asio::detached);
    }
    CHECK_TRUE(runUntil(context, [&] { return finished == STREAMS; }));
    CHECK_EQUAL(0, wrong);
    CHECK_EQUAL(1U, client.pool().linkCount());
}

// Guards against a request that reaches a restarted process, and against a node that cannot be
// reached again after its restart.
TEST(link_fault_test, restartedPeerIsReachedOnlyUnderItsNewIncarnation)
{
    auto server = std::make_unique<test_peer>(context, "server", 1);
    test_peer client(context, "client", 1);
    auto opened = openAt(client, server->address().port, 1);
    CHECK_TRUE(opened.has_value());
    CHECK_TRUE(await(context, (*opened)->sendHead("head")).has_value());
    CHECK_TRUE(runUntil(context, [&] { return server->incoming.size() == 1; }));
    server->stopAccepting();
    server->pool().close();
    const auto event = await(context, (*opened)->receive());
    CHECK_FALSE(event.has_value());
    CHECK_TRUE(event.error().kind == base::error_kind::OutcomeUnknown);
    test_peer restarted(context, "server", 2);
    const auto old = openAt(client, restarted.address().port, 1);
    CHECK_FALSE(old.has_value());
    CHECK_TRUE(old.error().kind == base::error_kind::IncarnationChanged);
    CHECK_TRUE(openAt(client, restarted.address().port, 2).has_value());
}

// Guards against a caller that waits although its stream was ended, and against a wrong reason.
TEST(link_fault_test, resetsCarryTheirReason)
{
    test_peer server(context, "server", 1);
    test_peer client(context, "client", 1);
    auto refused = openAt(client, server.address().port);
    CHECK_TRUE(await(context, (*refused)->sendHead("head")).has_value());
    CHECK_TRUE(runUntil(context, [&] { return server.incoming.size() == 1; }));
    server.incoming.front()->reset(base::error_kind::QueueFull);
    const auto event = await(context, (*refused)->receive());
    CHECK_TRUE(event.error().kind == base::error_kind::QueueFull);

    auto dropped = openAt(client, server.address().port);
    CHECK_TRUE(await(context, (*dropped)->sendHead("head")).has_value());
    CHECK_TRUE(runUntil(context, [&] { return server.incoming.size() == 2; }));
    CHECK_TRUE(await(context, server.incoming.back()->receive()).has_value());
    dropped->reset();
    const auto gone = await(context, server.incoming.back()->receive());
    CHECK_TRUE(gone.error().kind == base::error_kind::CallerGone);
}

// Guards against new work on a node that shuts down, and against cutting work under way.
TEST(link_fault_test, drainRefusesNewStreamsAndFinishesOthers)
{
    test_peer server(context, "server", 1);
    test_peer client(context, "client", 1);
    auto first = openAt(client, server.address().port);
    CHECK_TRUE(await(context, (*first)->sendHead("head")).has_value());
    CHECK_TRUE(runUntil(context, [&] { return server.incoming.size() == 1; }));
    server.pool().drain();
    auto second = openAt(client, server.address().port);
    CHECK_TRUE(await(context, (*second)->sendHead("head")).has_value());
    const auto event = await(context, (*second)->receive());
    CHECK_TRUE(event.error().kind == base::error_kind::ShuttingDown);
    CHECK_TRUE(await(context, server.incoming.front()->sendHead("answer")).has_value());
    CHECK_TRUE(await(context, (*first)->receive()).has_value());
}
