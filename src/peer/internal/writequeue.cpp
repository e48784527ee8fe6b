#include "peer/internal/writequeue.h"

#include <utility>

namespace hawthornpick::peer {

namespace {

//! Payloads of at least this size are moved instead of copied into the coalescing buffer.
constexpr std::size_t LARGE_PAYLOAD_BYTES = 4096;
//! Size from which a segment takes no further frames.
constexpr std::size_t FULL_SEGMENT_BYTES = 32UL * 1024;
//! Boost.Asio passes at most 64 buffers to one system call; each segment needs up to two.
constexpr std::size_t MAX_BATCH_BUFFERS = 64;

} // namespace

auto write_queue::push(frame_type type, std::uint64_t streamId, std::string payload) -> void
{
    m_queuedBytes += FRAME_HEADER_BYTES + payload.size();
    auto &last = appendableSegment();
    appendFrameHeader(last.frames, type, streamId, payload.size());
    if (payload.size() < LARGE_PAYLOAD_BYTES) {
        last.frames.append(payload);
    } else {
        last.payload = std::move(payload);
    }
}

auto write_queue::pushUrgent(frame_type type, std::uint64_t streamId, std::string_view payload)
        -> void
{
    m_queuedBytes += FRAME_HEADER_BYTES + payload.size();
    appendFrameHeader(m_urgentFrames, type, streamId, payload.size());
    m_urgentFrames.append(payload);
}

auto write_queue::takeBatch() -> const std::vector<boost::asio::const_buffer> &
{
    recycleBatch();
    std::size_t batchBytes = m_urgentFrames.size();
    if (!m_urgentFrames.empty()) {
        m_batch.push_back({std::exchange(m_urgentFrames, {}), {}});
    }
    while (!m_segments.empty() && batchBytes < MAX_BATCH_BYTES
           && m_batch.size() < MAX_BATCH_BUFFERS / 2) {
        batchBytes += m_segments.front().frames.size() + m_segments.front().payload.size();
        m_batch.push_back(std::move(m_segments.front()));
        m_segments.pop_front();
    }
    m_queuedBytes -= batchBytes;
    for (const auto &batched : m_batch) {
        m_buffers.emplace_back(batched.frames.data(), batched.frames.size());
        if (!batched.payload.empty()) {
            m_buffers.emplace_back(batched.payload.data(), batched.payload.size());
        }
    }
    return m_buffers;
}

auto write_queue::appendableSegment() -> segment &
{
    if (m_segments.empty() || !m_segments.back().payload.empty()
        || m_segments.back().frames.size() >= FULL_SEGMENT_BYTES) {
        m_segments.push_back({std::exchange(m_spareBuffer, {}), {}});
    }
    return m_segments.back();
}

auto write_queue::recycleBatch() -> void
{
    m_buffers.clear();
    for (auto &batched : m_batch) {
        if (batched.frames.capacity() > m_spareBuffer.capacity()) {
            m_spareBuffer = std::move(batched.frames);
            m_spareBuffer.clear();
        }
    }
    m_batch.clear();
}

} // namespace hawthornpick::peer
