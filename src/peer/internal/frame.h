#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

namespace hawthornpick::peer {

//! Type of a frame on a link. The numbers are part of the peer protocol.
enum class frame_type : std::uint8_t {
    Hello = 1,
    Proof = 2,
    Head = 3,
    Data = 4,
    End = 5,
    Reset = 6,
    WindowUpdate = 7,
    Ping = 8,
    Pong = 9,
    Message = 10,
};

//! One decoded frame. `payload` points into the decoder's buffer and is valid until the next
//! `frame_decoder::prepare`.
struct frame_view
{
    frame_type type = frame_type::Hello;
    //! Id of the stream; for Ping and Pong the number of the ping; otherwise 0.
    std::uint64_t streamId = 0;
    std::string_view payload;
};

enum class frame_error : std::uint8_t {
    UnknownType,
    TooLarge,
};

//! Payload length (4 bytes), type (1 byte) and stream id or ping number (8 bytes), all big-endian.
inline constexpr std::size_t FRAME_HEADER_BYTES = 13;
//! Largest payload of any frame.
inline constexpr std::size_t MAX_FRAME_PAYLOAD_BYTES = 64UL * 1024;
//! Largest payload of a frame before the handshake has authenticated the peer.
inline constexpr std::size_t MAX_HANDSHAKE_PAYLOAD_BYTES = 1024;

//! Appends a frame header.
//! Precondition: `payloadBytes` <= `MAX_FRAME_PAYLOAD_BYTES`. Thread safety: pure.
auto appendFrameHeader(std::string &out, frame_type type, std::uint64_t streamId,
                       std::size_t payloadBytes) -> void;

//! Append or read a big-endian number. Precondition for reading: `bytes` has at least the size of
//! the number. Thread safety: pure.
auto appendUint32(std::string &out, std::uint32_t value) -> void;
auto appendUint64(std::string &out, std::uint64_t value) -> void;
auto readUint32(std::string_view bytes) -> std::uint32_t;
auto readUint64(std::string_view bytes) -> std::uint64_t;

//! Splits the received bytes of a link into frames without copying payloads.
class frame_decoder
{
public:
    frame_decoder() = default;

    //! Sets the largest accepted payload. Thread safety: one thread.
    auto setMaxPayloadBytes(std::size_t maxPayloadBytes) -> void
    {
        m_maxPayloadBytes = maxPayloadBytes;
    }

    //! Returns free space for received bytes, never empty. Invalidates the payloads of earlier
    //! frames. Thread safety: one thread.
    auto prepare() -> std::span<char>;

    //! Adds `count` bytes that were received into the space returned by `prepare`.
    //! Precondition: `count` is at most the size of that space. Thread safety: one thread.
    auto commit(std::size_t count) -> void { m_end += count; }

    //! Returns the next complete frame, nothing if more bytes are needed, or an error after which
    //! the decoder must not be used. Thread safety: one thread.
    auto next() -> tl::expected<std::optional<frame_view>, frame_error>;

private:
    std::vector<char> m_buffer;
    std::size_t m_begin = 0;
    std::size_t m_end = 0;
    std::size_t m_maxPayloadBytes = MAX_HANDSHAKE_PAYLOAD_BYTES;
};

} // namespace hawthornpick::peer
