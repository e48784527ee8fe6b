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

//! Frames that wait to be written to a link. Small frames are coalesced into one buffer, a large
//! payload keeps its own buffer, and a batch of several buffers is written with one system call.
//! Thread safety: one thread.
class write_queue
{
public:
    //! Appends a frame after all queued ones.
    //! Precondition: `payload` has at most `MAX_FRAME_PAYLOAD_BYTES`.
    auto push(frame_type type, std::uint64_t streamId, std::string payload) -> void;

    //! Appends a small frame that is written before all frames of `push`, such as a ping or a
    //! window update.
    auto pushUrgent(frame_type type, std::uint64_t streamId, std::string_view payload) -> void;

    [[nodiscard]] auto empty() const -> bool
    {
        return m_segments.empty() && m_urgentFrames.empty();
    }

    //! Bytes queued and not yet returned by `takeBatch`.
    [[nodiscard]] auto queuedBytes() const -> std::size_t { return m_queuedBytes; }

    //! Removes the next batch from the queue and returns its buffers, which stay valid until the
    //! next call. No segment is added once the batch has reached `MAX_BATCH_BYTES`.
    auto takeBatch() -> const std::vector<boost::asio::const_buffer> &;

    //! Bounds the data that a ping or other urgent frame may wait behind.
    static constexpr std::size_t MAX_BATCH_BYTES = 128UL * 1024;

private:
    //! Whole frames; if the last one has a large payload, only its header is in `frames`.
    struct segment
    {
        std::string frames;
        std::string payload;
    };

    //! Returns the last segment, or a new one if no frame may be appended to it.
    auto appendableSegment() -> segment &;
    //! Releases the previous batch and keeps its largest buffer.
    auto recycleBatch() -> void;

    std::string m_urgentFrames;
    std::deque<segment> m_segments;
    std::size_t m_queuedBytes = 0;
    std::vector<segment> m_batch;
    std::vector<boost::asio::const_buffer> m_buffers;
    //! Buffer of an earlier batch, reused to avoid one allocation per batch.
    std::string m_spareBuffer;
};

} // namespace hawthornpick::peer
