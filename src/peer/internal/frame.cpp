#include "peer/internal/frame.h"

#include <algorithm>
#include <cstring>

namespace hawthornpick::peer {

namespace {

//! Read size of a link; several small frames arrive with one system call.
constexpr std::size_t INITIAL_BUFFER_BYTES = 16UL * 1024;

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

auto appendNumber32(std::string &out, std::uint32_t value) -> void
{
    appendBigEndian(out, value);
}

auto appendNumber64(std::string &out, std::uint64_t value) -> void
{
    appendBigEndian(out, value);
}

auto readNumber32(std::string_view bytes) -> std::uint32_t
{
    return readBigEndian<std::uint32_t>(bytes);
}

auto readNumber64(std::string_view bytes) -> std::uint64_t
{
    return readBigEndian<std::uint64_t>(bytes);
}

auto appendFrameHeader(std::string &out, frame_type type, std::uint64_t stream,
                       std::size_t payloadBytes) -> void
{
    appendNumber32(out, static_cast<std::uint32_t>(payloadBytes));
    out.push_back(static_cast<char>(type));
    appendNumber64(out, stream);
}

auto frame_decoder::prepare() -> std::span<char>
{
    if (m_begin > 0) {
        std::memmove(m_buffer.data(), m_buffer.data() + m_begin, m_end - m_begin);
        m_end -= m_begin;
        m_begin = 0;
    }
    std::size_t needed = std::max(INITIAL_BUFFER_BYTES, m_end + 1);
    if (m_end >= FRAME_HEADER_BYTES) {
        const auto length = readNumber32({m_buffer.data(), m_end});
        needed = std::max(needed, FRAME_HEADER_BYTES + std::min<std::size_t>(length, m_limit));
    }
    const bool isOversized = m_buffer.size() > needed && m_end == 0;
    if (m_buffer.size() < needed || isOversized) {
        m_buffer.resize(needed);
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
    const auto length = readNumber32(bytes);
    const auto type = static_cast<std::uint8_t>(bytes[4]);
    if (!isKnownType(type)) {
        return tl::unexpected(frame_error::UnknownType);
    }
    if (length > m_limit) {
        return tl::unexpected(frame_error::TooLarge);
    }
    if (bytes.size() < FRAME_HEADER_BYTES + length) {
        return std::nullopt;
    }
    m_begin += FRAME_HEADER_BYTES + length;
    return frame_view{static_cast<frame_type>(type), readNumber64(bytes.substr(5)),
                      bytes.substr(FRAME_HEADER_BYTES, length)};
}

} // namespace hawthornpick::peer
