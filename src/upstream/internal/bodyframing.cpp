#include "upstream/bodyframing.h"

#include <algorithm>

namespace hawthornpick::upstream {

auto encodeBodyPart(std::string_view part) -> std::string
{
    std::string out;
    out.reserve(PART_LENGTH_BYTES + part.size());
    for (int shift = 24; shift >= 0; shift -= 8) {
        out.push_back(static_cast<char>((part.size() >> static_cast<unsigned>(shift)) & 0xFFU));
    }
    out.append(part);
    return out;
}

auto body_decoder::takeLength(std::string_view &bytes) -> void
{
    while (m_lengthBytes < PART_LENGTH_BYTES && !bytes.empty()) {
        m_length = (m_length << 8U) | static_cast<std::uint8_t>(bytes.front());
        bytes.remove_prefix(1);
        ++m_lengthBytes;
    }
    if (m_lengthBytes == PART_LENGTH_BYTES) {
        m_left = m_length;
        m_ended = m_length == 0;
        m_lengthBytes = 0;
        m_length = 0;
    }
}

auto body_decoder::decode(std::string_view bytes) -> std::string
{
    std::string body;
    while (!bytes.empty() && !m_ended) {
        if (m_left == 0) {
            takeLength(bytes);
            continue;
        }
        const auto count = std::min<std::size_t>(m_left, bytes.size());
        body.append(bytes.substr(0, count));
        bytes.remove_prefix(count);
        m_left -= static_cast<std::uint32_t>(count);
    }
    return body;
}

} // namespace hawthornpick::upstream
