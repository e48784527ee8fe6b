#include "peer/internal/writequeue.h"

#include <utility>

namespace hawthornpick::peer {

namespace {

//! Payloads from this size on are moved instead of copied into the collecting buffer.
constexpr std::size_t LARGE_PAYLOAD_BYTES = 4096;
constexpr std::size_t MAX_OPEN_SEGMENT_BYTES = 32UL * 1024;
//! Boost.Asio passes at most 64 buffers to one system call.
constexpr std::size_t MAX_BATCH_BUFFERS = 64;

} // namespace

auto write_queue::push(frame_type type, std::uint64_t stream, std::string payload) -> void
{
    m_bytes += FRAME_HEADER_BYTES + payload.size();
    auto &last = openSegment();
    appendFrameHeader(last.frames, type, stream, payload.size());
    if (payload.size() < LARGE_PAYLOAD_BYTES) {
        last.frames.append(payload);
    } else {
        last.payload = std::move(payload);
    }
}

auto write_queue::pushUrgent(frame_type type, std::uint64_t stream, std::string_view payload)
        -> void
{
    m_bytes += FRAME_HEADER_BYTES + payload.size();
    appendFrameHeader(m_urgent, type, stream, payload.size());
    m_urgent.append(payload);
}

auto write_queue::takeBatch() -> const std::vector<boost::asio::const_buffer> &
{
    recycleBatch();
    std::size_t taken = m_urgent.size();
    if (!m_urgent.empty()) {
        m_batch.push_back({std::exchange(m_urgent, {}), {}});
    }
    while (!m_segments.empty() && taken < MAX_BATCH_BYTES
           && m_batch.size() < MAX_BATCH_BUFFERS / 2) {
        taken += m_segments.front().frames.size() + m_segments.front().payload.size();
        m_batch.push_back(std::move(m_segments.front()));
        m_segments.pop_front();
    }
    m_bytes -= taken;
    for (const auto &item : m_batch) {
        m_buffers.emplace_back(item.frames.data(), item.frames.size());
        if (!item.payload.empty()) {
            m_buffers.emplace_back(item.payload.data(), item.payload.size());
        }
    }
    return m_buffers;
}

auto write_queue::openSegment() -> segment &
{
    if (m_segments.empty() || !m_segments.back().payload.empty()
        || m_segments.back().frames.size() >= MAX_OPEN_SEGMENT_BYTES) {
        m_segments.push_back({std::exchange(m_spare, {}), {}});
    }
    return m_segments.back();
}

auto write_queue::recycleBatch() -> void
{
    m_buffers.clear();
    for (auto &item : m_batch) {
        if (item.frames.capacity() > m_spare.capacity()) {
            m_spare = std::move(item.frames);
            m_spare.clear();
        }
    }
    m_batch.clear();
}

} // namespace hawthornpick::peer
