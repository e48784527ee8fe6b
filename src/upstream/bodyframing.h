#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace hawthornpick::upstream {

//! Size of the big-endian length prefix of each part of a request body on a stream.
inline constexpr std::size_t LENGTH_PREFIX_BYTES = 4;

//! Returns a part of a request body with its length prefix; an empty part ends the body. The entry
//! node does not end its direction of the stream to mark the end of the body, because the executing
//! node does not see a reset after the end of that direction. It keeps the direction open until the
//! answer has ended.
//! Precondition: `part` is shorter than 4 GiB. Thread safety: pure.
auto encodeBodyPart(std::string_view part) -> std::string;

//! Decodes a request body from data events. The link splits data at the end of its flow-control
//! window, so the boundaries of events are unrelated to those of parts.
class body_decoder
{
public:
    //! Returns the body bytes that `bytes` contains. Bytes after the end of the body are ignored.
    //! Thread safety: one thread.
    auto decode(std::string_view bytes) -> std::string;

    //! Returns true once the end of the body was decoded.
    [[nodiscard]] auto ended() const -> bool { return m_ended; }

private:
    auto readLengthPrefix(std::string_view &bytes) -> void;

    std::size_t m_prefixBytesRead = 0;
    std::uint32_t m_partLength = 0;
    std::uint32_t m_remainingPartBytes = 0;
    bool m_ended = false;
};

} // namespace hawthornpick::upstream
