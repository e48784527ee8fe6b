#include "peer/internal/frame.h"

#include "base/random.h"
#include "peer/internal/writequeue.h"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <cstdio>
#include <string>
#include <vector>

using namespace hawthornpick;
using namespace hawthornpick::peer;

namespace {

struct test_frame
{
    frame_type type;
    std::uint64_t streamId;
    std::string payload;

    auto operator==(const test_frame &) const -> bool = default;
};

auto randomFrame(base::random_source &random) -> test_frame
{
    const auto type = static_cast<frame_type>(1 + random.below(10));
    const auto size =
            random.chance(0.1) ? random.below(MAX_FRAME_PAYLOAD_BYTES + 1) : random.below(200);
    return {type, random.bits(), std::string(size, static_cast<char>(random.below(256)))};
}

//! Passes `bytes` to a decoder in parts of random size. Returns the frames, or nothing on an error.
auto decodeInParts(std::string_view bytes, base::random_source &random)
        -> std::optional<std::vector<test_frame>>
{
    frame_decoder decoder;
    decoder.setMaxPayloadBytes(MAX_FRAME_PAYLOAD_BYTES);
    std::vector<test_frame> frames;
    while (!bytes.empty()) {
        const auto space = decoder.prepare();
        const auto available = std::min(bytes.size(), space.size());
        const auto count = random.chance(0.5) ? available : 1 + random.below(available);
        std::copy_n(bytes.begin(), count, space.begin());
        decoder.commit(count);
        bytes.remove_prefix(count);
        while (true) {
            const auto frame = decoder.next();
            if (!frame) {
                return std::nullopt;
            }
            if (!*frame) {
                break;
            }
            frames.push_back({(*frame)->type, (*frame)->streamId, std::string((*frame)->payload)});
        }
    }
    return frames;
}

} // namespace

TEST_GROUP(frame_test){};

// Guards against frames whose content depends on how the bytes are split into batches or reads.
TEST(frame_test, framesDoNotDependOnBatchesAndReads)
{
    const auto seed = base::systemSeed();
    std::printf("seed %llu\n", static_cast<unsigned long long>(seed));
    base::random_source random(seed);
    for (int round = 0; round < 200; ++round) {
        write_queue queue;
        std::vector<test_frame> sent;
        std::string bytes;
        for (std::size_t i = random.below(40); i > 0; --i) {
            sent.push_back(randomFrame(random));
            queue.push(sent.back().type, sent.back().streamId, sent.back().payload);
            while (random.chance(0.1) && !queue.empty()) {
                for (const auto &buffer : queue.takeBatch()) {
                    bytes.append(static_cast<const char *>(buffer.data()), buffer.size());
                }
            }
        }
        while (!queue.empty()) {
            for (const auto &buffer : queue.takeBatch()) {
                bytes.append(static_cast<const char *>(buffer.data()), buffer.size());
            }
        }
        CHECK_EQUAL(0U, queue.queuedBytes());
        const auto received = decodeInParts(bytes, random);
        CHECK_TRUE(received.has_value());
        CHECK_TRUE(*received == sent);
    }
}

// Guards against an urgent frame that is written into the middle of another frame; the sanitizer
// presets detect invalid memory accesses.
TEST(frame_test, urgentFramesComeFirstAndBetweenWholeFrames)
{
    write_queue queue;
    queue.push(frame_type::Data, 1, std::string(60000, 'a'));
    queue.push(frame_type::Data, 1, std::string(60000, 'b'));
    queue.push(frame_type::Data, 1, std::string(60000, 'c'));
    std::string bytes;
    while (!queue.empty()) {
        queue.pushUrgent(frame_type::Ping, 9, {});
        for (const auto &buffer : queue.takeBatch()) {
            bytes.append(static_cast<const char *>(buffer.data()), buffer.size());
        }
        if (queue.queuedBytes() == 0) {
            break;
        }
    }
    base::random_source random(1);
    const auto frames = decodeInParts(bytes, random);
    CHECK_TRUE(frames.has_value());
    CHECK_TRUE(frames->front().type == frame_type::Ping);
    CHECK_EQUAL(3, std::count_if(frames->begin(), frames->end(), [](const test_frame &frame) {
                    return frame.type == frame_type::Data;
                }));
}

// Guards against memory use that is controlled by the peer, and against reads past the received
// bytes.
TEST(frame_test, arbitraryBytesNeverYieldAnOversizedFrame)
{
    const auto seed = base::systemSeed();
    std::printf("seed %llu\n", static_cast<unsigned long long>(seed));
    base::random_source random(seed);
    for (int round = 0; round < 5000; ++round) {
        std::string bytes;
        if (random.chance(0.5)) {
            appendFrameHeader(bytes, frame_type::Data, random.bits(), random.below(100));
        }
        for (std::size_t i = random.below(300); i > 0; --i) {
            bytes.push_back(static_cast<char>(random.below(random.chance(0.5) ? 256 : 12)));
        }
        const auto frames = decodeInParts(bytes, random);
        if (frames) {
            for (const auto &frame : *frames) {
                CHECK_TRUE(frame.payload.size() <= MAX_FRAME_PAYLOAD_BYTES);
            }
        }
    }
    std::string oversized;
    appendFrameHeader(oversized, frame_type::Data, 1, MAX_FRAME_PAYLOAD_BYTES + 1);
    CHECK_FALSE(decodeInParts(oversized, random).has_value());
}
