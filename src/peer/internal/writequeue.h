#pragma once

#include "peer/internal/frame.h"

#include <boost/asio/buffer.hpp>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <string_view>
#include <vector>

namespace hawthornpick::peer {

//! Frames that wait to be written to a link. Small frames are collected in one buffer, large
//! payloads keep their own, and a batch of several buffers goes out with one system call.
class write_queue
{
public:
    //! Appends a frame after all queued ones. Thread safety: one thread.
    auto push(frame_type type, std::uint64_t stream, std::string payload) -> void;

    //! Appends a small frame that is written before all queued ones, for pings and window updates.
    //! Thread safety: one thread.
    auto pushUrgent(frame_type type, std::uint64_t stream, std::string_view payload) -> void;

    [[nodiscard]] auto empty() const -> bool { return m_segments.empty() && m_urgent.empty(); }

    //! Bytes queued and not yet taken by `takeBatch`.
    [[nodiscard]] auto bytes() const -> std::size_t { return m_bytes; }

    //! Starts a batch of about `MAX_BATCH_BYTES` and returns its buffers, valid until the next
    //! call. Thread safety: one thread.
    auto takeBatch() -> const std::vector<boost::asio::const_buffer> &;

    //! A batch is kept small so that a ping never waits behind much data.
    static constexpr std::size_t MAX_BATCH_BYTES = 128UL * 1024;

private:
    //! Whole frames, followed by the payload of the last one if that is large.
    struct segment
    {
        std::string frames;
        std::string payload;
    };

    auto openSegment() -> segment &;
    auto recycleBatch() -> void;

    std::string m_urgent;
    std::deque<segment> m_segments;
    std::size_t m_bytes = 0;
    std::vector<segment> m_batch;
    std::vector<boost::asio::const_buffer> m_buffers;
    //! Buffer of an earlier batch, reused to avoid an allocation for each batch.
    std::string m_spare;
};

} // namespace hawthornpick::peer
