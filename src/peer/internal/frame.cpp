#include "peer/internal/frame.h"

#include <algorithm>
#include <cstring>

namespace hawthornpick::peer {

namespace {

//! Large enough to receive several small frames with one system call.
constexpr std::size_t MIN_BUFFER_BYTES = 16UL * 1024;

template <typename Number>
auto appendBigEndian(std::string &out, Number value) -> void
{
    for (int shift = static_cast<int>(sizeof(Number)) * 8 - 8; shift >= 0; shift -= 8) {
        out.push_back(static_cast<char>(static_cast<std::uint8_t>(value >> shift)));
    }
}

template <typename Number>
auto readBigEndian(std::string_view bytes) -> Number
{
    Number value = 0;
    for (std::size_t i = 0; i < sizeof(Number); ++i) {
        value = static_cast<Number>(value << 8U) | static_cast<std::uint8_t>(bytes[i]);
    }
    return value;
}

auto isKnownType(std::uint8_t number) -> bool
{
    return number >= static_cast<std::uint8_t>(frame_type::Hello)
           && number <= static_cast<std::uint8_t>(frame_type::Message);
}

} // namespace

auto appendUint32(std::string &out, std::uint32_t value) -> void
{
    appendBigEndian(out, value);
}

auto appendUint64(std::string &out, std::uint64_t value) -> void
{
    appendBigEndian(out, value);
}

auto readUint32(std::string_view bytes) -> std::uint32_t
{
    return readBigEndian<std::uint32_t>(bytes);
}

auto readUint64(std::string_view bytes) -> std::uint64_t
{
    return readBigEndian<std::uint64_t>(bytes);
}

auto appendFrameHeader(std::string &out, frame_type type, std::uint64_t streamId,
                       std::size_t payloadBytes) -> void
{
    appendUint32(out, static_cast<std::uint32_t>(payloadBytes));
    out.push_back(static_cast<char>(type));
    appendUint64(out, streamId);
}

auto frame_decoder::prepare() -> std::span<char>
{
    if (m_begin > 0) {
        std::memmove(m_buffer.data(), m_buffer.data() + m_begin, m_end - m_begin);
        m_end -= m_begin;
        m_begin = 0;
    }
    std::size_t neededBytes = std::max(MIN_BUFFER_BYTES, m_end + 1);
    if (m_end >= FRAME_HEADER_BYTES) {
        const auto payloadBytes = readUint32({m_buffer.data(), m_end});
        neededBytes = std::max(neededBytes,
                               FRAME_HEADER_BYTES
                                       + std::min<std::size_t>(payloadBytes, m_maxPayloadBytes));
    }
    const bool isOversized = m_buffer.size() > neededBytes && m_end == 0;
    if (m_buffer.size() < neededBytes || isOversized) {
        m_buffer.resize(neededBytes);
        m_buffer.shrink_to_fit();
    }
    return {m_buffer.data() + m_end, m_buffer.size() - m_end};
}

auto frame_decoder::next() -> tl::expected<std::optional<frame_view>, frame_error>
{
    const std::string_view bytes(m_buffer.data() + m_begin, m_end - m_begin);
    if (bytes.size() < FRAME_HEADER_BYTES) {
        return std::nullopt;
    }
    const auto payloadBytes = readUint32(bytes);
    const auto type = static_cast<std::uint8_t>(bytes[4]);
    if (!isKnownType(type)) {
        return tl::unexpected(frame_error::UnknownType);
    }
    if (payloadBytes > m_maxPayloadBytes) {
        return tl::unexpected(frame_error::TooLarge);
    }
    if (bytes.size() < FRAME_HEADER_BYTES + payloadBytes) {
        return std::nullopt;
    }
    m_begin += FRAME_HEADER_BYTES + payloadBytes;
    return frame_view{static_cast<frame_type>(type), readUint64(bytes.substr(5)),
                      bytes.substr(FRAME_HEADER_BYTES, payloadBytes)};
}

} // namespace hawthornpick::peer
