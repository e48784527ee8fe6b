#pragma once

#include "base/time.h"

#include <cstdint>

namespace hawthornpick::limits {

//! Largest ratio between the clock rates of two nodes with which the limits are still kept.
inline constexpr double CLOCK_RATE_RATIO = 1.05;

//! How long an entry node may use a grant, counted from before it sent the token request.
inline constexpr base::duration GRANT_LIFETIME = std::chrono::milliseconds(500);

//! How long the allocator counts a grant as outstanding; longer than `GRANT_LIFETIME` by any clock.
inline constexpr base::duration GRANT_HOLD_TIME = std::chrono::milliseconds(530);

static_assert(static_cast<double>(GRANT_HOLD_TIME.count())
              > static_cast<double>(GRANT_LIFETIME.count()) * CLOCK_RATE_RATIO);

//! Kinds of answers to token requests. The numbers are part of the peer protocol.
enum class answer_kind : std::uint8_t {
    Granted,
    //! The organisation has reached its limit or is unknown.
    Exceeded,
    //! The node is not the allocator of the shard.
    NotHolder,
    //! The allocator has taken over the shard recently and cannot grant tokens yet.
    NotReady,
};

} // namespace hawthornpick::limits
