#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace hawthornpick::upstream {

//! Bytes of the length before each part of a request body on a stream.
inline constexpr std::size_t PART_LENGTH_BYTES = 4;

//! Returns a part of a request body with its length; an empty part ends the body. The entry node
//! marks the end this way and keeps its direction of the stream open until the answer ended,
//! because the executing node would not see a reset after the end of that direction.
//! Precondition: `part` is shorter than 4 GiB. Thread safety: pure.
auto encodeBodyPart(std::string_view part) -> std::string;

//! Restores a request body from data events. The link splits data where its window ends, so the
//! borders of events carry no meaning.
class body_decoder
{
public:
    //! Returns the body bytes in `bytes`. Bytes after the end of the body are ignored.
    //! Thread safety: one thread.
    auto decode(std::string_view bytes) -> std::string;

    //! Returns true after the end of the body.
    [[nodiscard]] auto ended() const -> bool { return m_ended; }

private:
    auto takeLength(std::string_view &bytes) -> void;

    std::size_t m_lengthBytes = 0;
    std::uint32_t m_length = 0;
    std::uint32_t m_left = 0;
    bool m_ended = false;
};

} // namespace hawthornpick::upstream
