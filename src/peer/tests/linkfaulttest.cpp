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

    auto serveEcho(test_peer &server) -> void
    {
        server.onStream = [this](stream_pointer incoming) {
            asio::co_spawn(context, echo(std::move(incoming)), asio::detached);
        };
    }

    auto openStreamAt(test_peer &client, std::uint16_t port,
                      base::incarnation expectedIncarnation = 0) -> base::result<stream_pointer>
    {
        return await(context, client.pool().openStream(base::node_id("server"), {"127.0.0.1", port},
                                                 expectedIncarnation));
    }

    //! Sends raw bytes to the server and checks that it closes the connection.
    auto checkClosedAfter(test_peer &server, const std::string &bytes) -> void
    {
        asio::ip::tcp::socket socket(context);
        socket.connect({asio::ip::address_v4::loopback(), server.address().port});
        asio::write(socket, asio::buffer(bytes));
        bool isClosed = false;
        std::string received;
        asio::async_read(socket, asio::dynamic_buffer(received),
                         [&](const boost::system::error_code &, std::size_t) { isClosed = true; });
        CHECK_TRUE(runUntil(context, [&] { return isClosed; }));
    }
};
// clang-format on

namespace {

auto encodeHelloFrame(std::int32_t version) -> std::string
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

//! Reads one frame from a raw connection and returns its payload.
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
                return FRAME_HEADER_BYTES + readUint32(bytes) - count;
            },
            [&](const boost::system::error_code &, std::size_t) { isComplete = true; });
    CHECK_TRUE(runUntil(context, [&] { return isComplete; }));
    return bytes.substr(FRAME_HEADER_BYTES);
}

auto appendFrame(std::string &out, frame_type type, std::uint64_t streamId,
                 std::string_view payload) -> void
{
    appendFrameHeader(out, type, streamId, payload.size());
    out.append(payload);
}

//! Opens a raw connection and completes the handshake, so that a test can send invalid frames.
auto connectAuthenticated(asio::io_context &context, test_peer &server) -> asio::ip::tcp::socket
{
    asio::ip::tcp::socket socket(context);
    socket.connect({asio::ip::address_v4::loopback(), server.address().port});
    const link_identity identity{base::node_id("raw"), 1, "fleet secret", ""};
    handshake negotiation(handshake::side::Connecting, identity);
    std::string hello;
    appendFrame(hello, frame_type::Hello, 0, negotiation.hello());
    asio::write(socket, asio::buffer(hello));
    const auto proof = negotiation.verifyReply(readRawFrame(socket, context));
    CHECK_TRUE(proof.has_value());
    std::string bytes;
    appendFrame(bytes, frame_type::Proof, 0, *proof);
    asio::write(socket, asio::buffer(bytes));
    return socket;
}

//! Frames of random types except those of the handshake, with random streams and payloads.
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

// Guards against a defective or newer peer that sends frames out of order, with wrong sizes or
// beyond the flow-control window: its link may be closed, other links must not be affected.
TEST(link_fault_test, invalidFramesOfAnAuthenticatedPeerDoNotAffectOtherLinks)
{
    const auto seed = base::systemSeed();
    std::printf("seed %llu\n", static_cast<unsigned long long>(seed));
    base::random_source random(seed);
    test_peer server(context, "server", 1);
    test_peer client(context, "client", 1);
    serveEcho(server);
    for (int round = 0; round < 100; ++round) {
        auto socket = connectAuthenticated(context, server);
        boost::system::error_code ignored;
        asio::write(socket, asio::buffer(randomFrames(random)), ignored);
    }
    std::string windowOverrun;
    appendFrame(windowOverrun, frame_type::Head, 1, "head");
    for (std::size_t sentBytes = 0; sentBytes <= STREAM_WINDOW_BYTES;
         sentBytes += MAX_FRAME_PAYLOAD_BYTES) {
        appendFrame(windowOverrun, frame_type::Data, 1, std::string(MAX_FRAME_PAYLOAD_BYTES, 'd'));
    }
    server.onStream = nullptr;
    auto windowViolator = connectAuthenticated(context, server);
    boost::system::error_code ignored;
    asio::write(windowViolator, asio::buffer(windowOverrun), ignored);
    CHECK_TRUE(runUntil(context, [&] { return server.pool().linkCount() == 0; }));
    serveEcho(server);
    auto opened = openStreamAt(client, server.address().port);
    CHECK_TRUE(opened.has_value());
    CHECK_TRUE(await(context, (*opened)->sendHead("head")).has_value());
    CHECK_TRUE(await(context, (*opened)->receive()).has_value());
}

// Guards against unused links that stay open, and against a stream that is lost because the
// accepting side closes the link while the connecting side opens a stream on it.
TEST(link_fault_test, idleLinkIsClosedFirstByTheConnectingSide)
{
    test_peer server(context, "server", 1);
    const link_identity identity{base::node_id("client"), 1, "fleet secret", ""};
    int closedCount = 0;
    const connection_callbacks callbacks{
            [](stream_pointer) {}, [](const base::node_id &, base::channel, std::string) {},
            [&closedCount](const std::shared_ptr<connection> &) { ++closedCount; },
            [] {
                return false;
            }};
    asio::ip::tcp::socket socket(context);
    socket.connect({asio::ip::address_v4::loopback(), server.address().port});
    const auto link = std::make_shared<connection>(std::move(socket), identity, link_timing{},
                                                   false, callbacks);
    CHECK_TRUE(await(context, link->handshakeAsConnecting()).has_value());
    link->maintain(base::clock::now() + IDLE_TIMEOUT - link_timing{}.pingInterval, false);
    CHECK_TRUE(link->isOpen());
    link->maintain(base::clock::now() + IDLE_TIMEOUT, false);
    CHECK_FALSE(link->isOpen());
    CHECK_EQUAL(1, closedCount);
    CHECK_TRUE(ACCEPTED_IDLE_TIMEOUT > IDLE_TIMEOUT + link_timing{}.pingTimeout);
}

// Guards against links with a process that uses another protocol or protocol version, and against
// connections that never complete the handshake.
TEST(link_fault_test, connectionsWithoutAValidHandshakeAreClosed)
{
    test_peer server(context, "server", 1);
    checkClosedAfter(server, encodeHelloFrame(2));
    checkClosedAfter(server, "GET / HTTP/1.1\r\nHost: node\r\n\r\n");
    std::string oversized;
    appendFrameHeader(oversized, frame_type::Hello, 0, MAX_HANDSHAKE_PAYLOAD_BYTES + 1);
    checkClosedAfter(server, oversized);
    std::string streamFirst;
    appendFrameHeader(streamFirst, frame_type::Head, 1, 0);
    checkClosedAfter(server, streamFirst);
    std::string forgedProof;
    appendFrameHeader(forgedProof, frame_type::Proof, 0, 0);
    checkClosedAfter(server, encodeHelloFrame(1) + forgedProof);
    checkClosedAfter(server, encodeHelloFrame(1).substr(0, 20));
    checkClosedAfter(server, "");
    CHECK_EQUAL(0U, server.pool().linkCount());
    CHECK_TRUE(server.incoming.empty());
}

// Guards against requests to a different node that has been assigned the address of the requested
// one.
TEST(link_fault_test, anotherNodeAtTheAddressIsRefused)
{
    test_peer server(context, "other", 1);
    test_peer client(context, "client", 1);
    const auto opened = openStreamAt(client, server.address().port);
    CHECK_FALSE(opened.has_value());
    CHECK_TRUE(opened.error().kind == base::error_kind::PeerUnreachable);
}

// Guards against requests that wait forever because the peer or one direction of the link has
// failed without closing the TCP connection.
TEST(link_fault_test, linkWithOneBlockedDirectionIsClosedAndItsStreamsFail)
{
    for (const bool blocksForward : {true, false}) {
        test_peer server(context, "server", 1);
        test_peer client(context, "client", 1);
        tcp_proxy proxy(context, server.address().port);
        auto opened = openStreamAt(client, proxy.port());
        CHECK_TRUE(opened.has_value());
        CHECK_TRUE(await(context, (*opened)->sendHead("head")).has_value());
        CHECK_TRUE(runUntil(context, [&] { return server.incoming.size() == 1; }));
        (blocksForward ? proxy.isForwardBlocked : proxy.isBackwardBlocked) = true;
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

// Guards against a request that is sent on a link that has failed while it was idle: the outcome
// would be unknown although a new link could have been opened.
TEST(link_fault_test, linkThatFailedWhileIdleIsReplacedBeforeAnythingIsSent)
{
    test_peer server(context, "server", 1);
    test_peer client(context, "client", 1);
    serveEcho(server);
    auto proxy = std::make_unique<tcp_proxy>(context, server.address().port);
    CHECK_TRUE(openStreamAt(client, proxy->port()).has_value());
    asio::steady_timer idleTimer(context, 3 * link_timing{}.pingInterval);
    bool hasPassed = false;
    idleTimer.async_wait([&](const boost::system::error_code &) { hasPassed = true; });
    CHECK_TRUE(runUntil(context, [&] { return hasPassed; }));
    proxy->isForwardBlocked = true;
    auto opened = openStreamAt(client, server.address().port);
    CHECK_TRUE(opened.has_value());
    CHECK_TRUE(await(context, (*opened)->sendHead("head")).has_value());
    CHECK_TRUE(await(context, (*opened)->receive()).has_value());
}

// Guards against unbounded buffering for a slow reader, and against data that is lost when the
// reader continues.
TEST(link_fault_test, slowReaderLimitsTheSenderToTheStreamWindow)
{
    constexpr std::size_t CHUNK_BYTES = 10'000;
    constexpr int CHUNKS = 300;
    test_peer server(context, "server", 1);
    test_peer client(context, "client", 1);
    auto opened = openStreamAt(client, server.address().port);
    CHECK_TRUE(opened.has_value());
    std::size_t sentBytes = 0;
    bool hasEnded = false;
    asio::co_spawn(
            context,
            [&]() -> asio::awaitable<void> {
                co_await (*opened)->sendHead("head");
                for (int i = 0; i < CHUNKS; ++i) {
                    const auto result = co_await (*opened)->sendData(std::string(CHUNK_BYTES, 'd'));
                    sentBytes += result ? CHUNK_BYTES : 0;
                }
                co_await (*opened)->sendEnd("");
                hasEnded = true;
            },
            asio::detached);
    asio::steady_timer waitTimer(context, std::chrono::seconds(2));
    bool hasWaited = false;
    waitTimer.async_wait([&](const boost::system::error_code &) { hasWaited = true; });
    CHECK_TRUE(runUntil(context, [&] { return hasWaited; }));
    CHECK_FALSE(hasEnded);
    CHECK_TRUE(sentBytes <= STREAM_WINDOW_BYTES);
    CHECK_EQUAL(1U, server.incoming.size());
    const auto body = await(context, readBody(*server.incoming.front()));
    CHECK_TRUE(body.has_value());
    CHECK_EQUAL(CHUNK_BYTES * CHUNKS, body->size());
    CHECK_TRUE(runUntil(context, [&] { return hasEnded; }));
}

// Guards against streams that receive foreign or truncated content or never end, when many streams
// share a link and some are abandoned early.
TEST(link_fault_test, concurrentStreamsOfOneLinkKeepTheirOwnContent)
{
    const auto seed = base::systemSeed();
    std::printf("seed %llu\n", static_cast<unsigned long long>(seed));
    base::random_source random(seed);
    test_peer server(context, "server", 1);
    test_peer client(context, "client", 1);
    serveEcho(server);
    constexpr int STREAMS = 300;
    int finished = 0;
    int wrongBodies = 0;
    const auto run = [&](std::size_t size, char fill, bool isAbandoned) -> asio::awaitable<void> {
        auto opened =
                co_await client.pool().openStream(base::node_id("server"), server.address(), 0);
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
            wrongBodies += body && *body == std::string(size, fill) ? 0 : 1;
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
    CHECK_EQUAL(0, wrongBodies);
    CHECK_EQUAL(1U, client.pool().linkCount());
}

// Guards against a request that reaches a restarted process although the caller selected the
// previous one, and against a node that stays unreachable after its restart.
TEST(link_fault_test, restartedPeerIsReachedOnlyUnderItsNewIncarnation)
{
    auto server = std::make_unique<test_peer>(context, "server", 1);
    test_peer client(context, "client", 1);
    auto opened = openStreamAt(client, server->address().port, 1);
    CHECK_TRUE(opened.has_value());
    CHECK_TRUE(await(context, (*opened)->sendHead("head")).has_value());
    CHECK_TRUE(runUntil(context, [&] { return server->incoming.size() == 1; }));
    server->stopAccepting();
    server->pool().close();
    const auto event = await(context, (*opened)->receive());
    CHECK_FALSE(event.has_value());
    CHECK_TRUE(event.error().kind == base::error_kind::OutcomeUnknown);
    test_peer restarted(context, "server", 2);
    const auto outdated = openStreamAt(client, restarted.address().port, 1);
    CHECK_FALSE(outdated.has_value());
    CHECK_TRUE(outdated.error().kind == base::error_kind::IncarnationChanged);
    CHECK_TRUE(openStreamAt(client, restarted.address().port, 2).has_value());
}

// Guards against a caller that keeps waiting after a reset of its stream, and against a reset
// reason that is lost or changed.
TEST(link_fault_test, resetsOfBothSidesCarryTheirReason)
{
    test_peer server(context, "server", 1);
    test_peer client(context, "client", 1);
    auto refused = openStreamAt(client, server.address().port);
    CHECK_TRUE(await(context, (*refused)->sendHead("head")).has_value());
    CHECK_TRUE(runUntil(context, [&] { return server.incoming.size() == 1; }));
    server.incoming.front()->reset(base::error_kind::QueueFull);
    const auto event = await(context, (*refused)->receive());
    CHECK_TRUE(event.error().kind == base::error_kind::QueueFull);

    auto abandoned = openStreamAt(client, server.address().port);
    CHECK_TRUE(await(context, (*abandoned)->sendHead("head")).has_value());
    CHECK_TRUE(runUntil(context, [&] { return server.incoming.size() == 2; }));
    CHECK_TRUE(await(context, server.incoming.back()->receive()).has_value());
    abandoned->reset();
    const auto resetEvent = await(context, server.incoming.back()->receive());
    CHECK_TRUE(resetEvent.error().kind == base::error_kind::CallerGone);
}

// Guards against new requests on a node that shuts down, and against the loss of in-flight
// requests.
TEST(link_fault_test, drainRefusesNewStreamsAndCompletesOpenOnes)
{
    test_peer server(context, "server", 1);
    test_peer client(context, "client", 1);
    auto first = openStreamAt(client, server.address().port);
    CHECK_TRUE(await(context, (*first)->sendHead("head")).has_value());
    CHECK_TRUE(runUntil(context, [&] { return server.incoming.size() == 1; }));
    server.pool().drain();
    auto second = openStreamAt(client, server.address().port);
    CHECK_TRUE(await(context, (*second)->sendHead("head")).has_value());
    const auto event = await(context, (*second)->receive());
    CHECK_TRUE(event.error().kind == base::error_kind::ShuttingDown);
    CHECK_TRUE(await(context, server.incoming.front()->sendHead("answer")).has_value());
    CHECK_TRUE(await(context, (*first)->receive()).has_value());
}
