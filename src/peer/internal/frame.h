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

//! Kind of a frame on a link. The numbers are part of the peer protocol.
enum class frame_type : std::uint8_t {
    Hello = 1,
    Proof = 2,
    Head = 3,
    Data = 4,
    End = 5,
    Reset = 6,
    Window = 7,
    Ping = 8,
    Pong = 9,
    Message = 10,
};

//! One decoded frame. `payload` points into the decoder's buffer.
struct frame_view
{
    frame_type type = frame_type::Hello;
    std::uint64_t stream = 0;
    std::string_view payload;
};

enum class frame_error : std::uint8_t {
    UnknownType,
    TooLarge,
};

//! Length (4 bytes), type (1 byte) and stream id (8 bytes), all big-endian.
inline constexpr std::size_t FRAME_HEADER_BYTES = 13;
//! Largest payload of any frame.
inline constexpr std::size_t MAX_FRAME_PAYLOAD_BYTES = 64UL * 1024;
//! Largest payload of a frame before the peer has proved the fleet secret.
inline constexpr std::size_t MAX_HANDSHAKE_PAYLOAD_BYTES = 1024;

//! Appends a frame header.
//! Precondition: `payloadBytes` <= `MAX_FRAME_PAYLOAD_BYTES`. Thread safety: pure.
auto appendFrameHeader(std::string &out, frame_type type, std::uint64_t stream,
                       std::size_t payloadBytes) -> void;

//! Appends or reads a big-endian number. Precondition of the reader: enough bytes.
//! Thread safety: pure.
auto appendNumber32(std::string &out, std::uint32_t value) -> void;
auto appendNumber64(std::string &out, std::uint64_t value) -> void;
auto readNumber32(std::string_view bytes) -> std::uint32_t;
auto readNumber64(std::string_view bytes) -> std::uint64_t;

//! Splits the received bytes of a link into frames without copying payloads.
class frame_decoder
{
public:
    frame_decoder() = default;

    //! Sets the largest accepted payload. Thread safety: one thread.
    auto setLimit(std::size_t maximumPayload) -> void { m_limit = maximumPayload; }

    //! Returns free space for received bytes, never empty. Invalidates earlier frames.
    //! Thread safety: one thread.
    auto prepare() -> std::span<char>;

    //! Adds `count` received bytes.
    //! Precondition: at most the size of the last `prepare`. Thread safety: one thread.
    auto commit(std::size_t count) -> void { m_end += count; }

    //! Returns the next whole frame, nothing if bytes are missing, or an error after which the
    //! decoder must not be used. Thread safety: one thread.
    auto next() -> tl::expected<std::optional<frame_view>, frame_error>;

private:
    std::vector<char> m_buffer;
    std::size_t m_begin = 0;
    std::size_t m_end = 0;
    std::size_t m_limit = MAX_HANDSHAKE_PAYLOAD_BYTES;
};

} // namespace hawthornpick::peer
