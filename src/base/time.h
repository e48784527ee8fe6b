#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string_view>

namespace hawthornpick::base {

//! Monotonic clock. Its values must not be compared between processes.
using clock = std::chrono::steady_clock;
using time_point = clock::time_point;
using duration = clock::duration;
using milliseconds = std::chrono::milliseconds;

//! Returns `span` in whole milliseconds, rounded towards zero.
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

//! Returns `seconds` as a duration, rounded towards zero to the resolution of the clock.
//! Thread safety: pure.
inline auto fromSeconds(double seconds) -> duration
{
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(seconds));
}

//! Parses a duration with the unit `ms` or `s`, such as `1500ms` or `2.5s`, and returns it in
//! milliseconds; returns nothing for any other text. The number may be negative.
//! Thread safety: pure.
auto parseTimeSpan(std::string_view text) -> std::optional<double>;

//! Returns the wall-clock time in milliseconds since 1970-01-01 UTC. It can jump backwards when the
//! clock of the host is adjusted.
//! Thread safety: any thread.
inline auto wallClockMilliseconds() -> std::uint64_t
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(std::chrono::duration_cast<milliseconds>(now).count());
}

} // namespace hawthornpick::base
