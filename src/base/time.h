#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string_view>

namespace hawthornpick::base {

//! Monotonic clock of one process. Values are never compared between processes.
using clock = std::chrono::steady_clock;
using time_point = clock::time_point;
using duration = clock::duration;
using milliseconds = std::chrono::milliseconds;

//! Returns `span` in whole milliseconds, rounded down.
//! Thread safety: pure.
inline auto toMilliseconds(duration span) -> std::int64_t
{
    return std::chrono::duration_cast<milliseconds>(span).count();
}

//! Returns `span` in seconds.
//! Thread safety: pure.
inline auto toSeconds(duration span) -> double
{
    return std::chrono::duration<double>(span).count();
}

//! Returns a span of `seconds`, rounded down to the resolution of the clock.
//! Thread safety: pure.
inline auto fromSeconds(double seconds) -> duration
{
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(seconds));
}

//! Returns the milliseconds of a text such as `1500ms` or `2.5s`; nothing for any other text. The
//! number may be negative. Thread safety: pure.
auto parseTimeSpan(std::string_view text) -> std::optional<double>;

//! Returns the time of the host's clock in milliseconds since 1970. It may go back.
//! Thread safety: any thread.
inline auto wallClockMilliseconds() -> std::uint64_t
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(std::chrono::duration_cast<milliseconds>(now).count());
}

} // namespace hawthornpick::base
