#include "upstream/bodyframing.h"

#include <algorithm>

namespace hawthornpick::upstream {

auto encodeBodyPart(std::string_view part) -> std::string
{
    std::string out;
    out.reserve(LENGTH_PREFIX_BYTES + part.size());
    for (int shift = 24; shift >= 0; shift -= 8) {
        out.push_back(static_cast<char>((part.size() >> static_cast<unsigned>(shift)) & 0xFFU));
    }
    out.append(part);
    return out;
}

auto body_decoder::readLengthPrefix(std::string_view &bytes) -> void
{
    while (m_prefixBytesRead < LENGTH_PREFIX_BYTES && !bytes.empty()) {
        m_partLength = (m_partLength << 8U) | static_cast<std::uint8_t>(bytes.front());
        bytes.remove_prefix(1);
        ++m_prefixBytesRead;
    }
    if (m_prefixBytesRead == LENGTH_PREFIX_BYTES) {
        m_remainingPartBytes = m_partLength;
        m_ended = m_partLength == 0;
        m_prefixBytesRead = 0;
        m_partLength = 0;
    }
}

auto body_decoder::decode(std::string_view bytes) -> std::string
{
    std::string body;
    while (!bytes.empty() && !m_ended) {
        if (m_remainingPartBytes == 0) {
            readLengthPrefix(bytes);
            continue;
        }
        const auto count = std::min<std::size_t>(m_remainingPartBytes, bytes.size());
        body.append(bytes.substr(0, count));
        bytes.remove_prefix(count);
        m_remainingPartBytes -= static_cast<std::uint32_t>(count);
    }
    return body;
}

} // namespace hawthornpick::upstream
