#pragma once

#include <chrono>
#include <cstdint>

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

} // namespace hawthornpick::base
