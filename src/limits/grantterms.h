#pragma once

#include "base/time.h"

#include <cstdint>

namespace hawthornpick::limits {

//! Largest ratio between the clock rates of two nodes that the limits allow for.
inline constexpr double CLOCK_RATE_RATIO = 1.05;

//! How long an entry node may use a grant, from before it sent the ask.
inline constexpr base::duration GRANT_LIFE = std::chrono::milliseconds(500);

//! How long the allocator counts a grant as outstanding.
inline constexpr base::duration GRANT_HOLD = std::chrono::milliseconds(530);

static_assert(static_cast<double>(GRANT_HOLD.count())
              > static_cast<double>(GRANT_LIFE.count()) * CLOCK_RATE_RATIO);

//! Kinds of answers; part of the peer protocol.
enum class answer_kind : std::uint8_t {
    Granted,
    Exceeded,
    //! The node isn't the allocator of the shard.
    NotHolder,
    //! The allocator has just taken over and can't grant yet.
    NotReady,
};

} // namespace hawthornpick::limits
