#include "base/thriftcodec.h"
#include "peer/generated/peerwire_types.h"
#include "peer/internal/frame.h"
#include "peer/tests/linkfixture.h"

#include <CppUTest/MemoryLeakWarningPlugin.h>
#include <algorithm>
#include <cstdio>
#include <ctime>
#include <string>
#include <thread>

using namespace hawthornpick;
using namespace hawthornpick::peer;
using namespace hawthornpick::peer::test;
namespace asio = boost::asio;

namespace {

constexpr int CONCURRENT_STREAMS = 64;
constexpr int REQUESTS = 200'000;
constexpr std::size_t HEAD_BYTES = 300;
constexpr std::size_t BODY_BYTES = 200;
constexpr int CODEC_ROUNDS = 500'000;

auto threadSeconds() -> double
{
    timespec used{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &used);
    return static_cast<double>(used.tv_sec) + static_cast<double>(used.tv_nsec) / 1e9;
}

auto request(test_peer &client, const membership::endpoint &address) -> asio::awaitable<void>
{
    auto opened = co_await client.pool().openStream(base::node_id("server"), address, 0);
    co_await (*opened)->sendHead(std::string(HEAD_BYTES, 'h'));
    co_await (*opened)->sendData(std::string(BODY_BYTES, 'b'));
    co_await (*opened)->sendEnd("");
    co_await readBody(**opened);
}

//! Requests over one link between two threads, each answered with its own head and body.
auto measureRequests() -> void
{
    asio::io_context serverContext;
    test_peer server(serverContext, "server", 1);
    server.onStream = [&](stream_pointer incoming) {
        asio::co_spawn(serverContext, echo(std::move(incoming)), asio::detached);
    };
    double serverSeconds = 0;
    auto work = asio::make_work_guard(serverContext);
    std::thread thread([&] {
        serverContext.run();
        serverSeconds = threadSeconds();
    });

    asio::io_context clientContext;
    test_peer client(clientContext, "client", 1);
    int started = 0;
    int finished = 0;
    const auto address = server.address();
    const auto worker = [&]() -> asio::awaitable<void> {
        while (started < REQUESTS) {
            ++started;
            co_await request(client, address);
            ++finished;
        }
        if (finished == REQUESTS) {
            clientContext.stop();
        }
    };
    const auto begin = std::chrono::steady_clock::now();
    const auto clientBegin = threadSeconds();
    for (int i = 0; i < CONCURRENT_STREAMS; ++i) {
        asio::co_spawn(clientContext, worker(), asio::detached);
    }
    clientContext.run();
    const auto clientSeconds = threadSeconds() - clientBegin;
    const std::chrono::duration<double> elapsed = std::chrono::steady_clock::now() - begin;
    serverContext.stop();
    thread.join();
    std::printf("%d requests, %d at a time, head %zu and body %zu bytes in both directions:\n"
                "%.0f requests/s over one link; processor time for each request: opening side "
                "%.1f us, accepting side %.1f us\n",
                finished, CONCURRENT_STREAMS, HEAD_BYTES, BODY_BYTES, finished / elapsed.count(),
                1e6 * clientSeconds / finished, 1e6 * serverSeconds / finished);
}

//! Encoding and decoding of one frame with the fixed header and as a Thrift struct.
auto measureCodec() -> void
{
    const std::string payload(BODY_BYTES, 'p');
    std::size_t total = 0;
    const auto binaryBegin = threadSeconds();
    frame_decoder decoder;
    for (int i = 0; i < CODEC_ROUNDS; ++i) {
        std::string bytes;
        appendFrameHeader(bytes, frame_type::Data, static_cast<std::uint64_t>(i), payload.size());
        bytes.append(payload);
        const auto space = decoder.prepare();
        std::copy(bytes.begin(), bytes.end(), space.begin());
        decoder.commit(bytes.size());
        total += std::string((*decoder.next())->payload).size();
    }
    const auto binary = threadSeconds() - binaryBegin;
    const auto thriftBegin = threadSeconds();
    for (int i = 0; i < CODEC_ROUNDS; ++i) {
        // The hello has the same kinds of fields as a frame: two numbers and bytes.
        wire::hello frame;
        frame.version = static_cast<std::int32_t>(frame_type::Data);
        frame.incarnation = i;
        frame.nonce = payload;
        const auto decoded = base::decodeThrift<wire::hello>(base::encodeThrift(frame));
        total += decoded->nonce.size();
    }
    const auto thrift = threadSeconds() - thriftBegin;
    std::printf("one frame of %zu bytes, encoded and decoded: fixed header %.0f ns, Thrift struct "
                "%.0f ns (%zu payload bytes checked)\n",
                BODY_BYTES, 1e9 * binary / CODEC_ROUNDS, 1e9 * thrift / CODEC_ROUNDS, total);
}

} // namespace

//! Measures the peer link on the loopback interface.
auto main() -> int
{
    // The test fixture links CppUTest, whose allocation checks are slow and not thread-safe.
    MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
    measureCodec();
    measureRequests();
    return 0;
}
