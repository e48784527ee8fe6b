#pragma once

#include "base/time.h"

#include <compare>
#include <optional>

namespace hawthornpick::policy {

//! Rate of one upstream that names in its answers how many requests per second it takes from all
//! nodes together, kept at the node beside it, which sees the requests of all entry nodes.
//!
//! Load pattern: an upstream in trouble names a limit far below its even share, while all entry
//! nodes go on to choose it for its free slots. A token bucket admits what the limit allows; the
//! rest is refused, so that it is placed elsewhere. The bucket starts empty, so that a node that
//! restarts again and again doesn't add a burst each time.
//!
//! Answers may arrive in another order than the upstream sent them. A lower limit applies at once.
//! A higher one, and the end of a limit, only count in the answer to a request that was sent after
//! the limit was last named.
//! Thread safety of all members: one thread at a time.
class request_limit
{
public:
    //! Interval at which an upstream gets a request even if its limit allows fewer, because only an
    //! answer tells that the limit has changed.
    static constexpr base::milliseconds MAX_START_INTERVAL{10'000};
    //! Time whose requests may start at once, at least one.
    static constexpr base::milliseconds BURST_TIME{500};

    //! Records an answer that names `limit`, or no limit, to a request that was sent at `sentAt`.
    auto onAnswer(std::optional<double> limit, base::time_point sentAt, base::time_point now)
            -> void;

    //! Records a limit that the upstream named to a former process of this node. It has no effect
    //! after the first answer to this process.
    auto onFormerLimit(double limit, base::time_point now) -> void;

    //! True once the upstream has answered this process.
    [[nodiscard]] auto isConfirmed() const -> bool { return m_isConfirmed; }
    //! Returns the requests per second that the upstream takes; nothing if it names no limit.
    [[nodiscard]] auto limit() const -> std::optional<double> { return m_limit; }

    //! Returns true if a request may start now.
    [[nodiscard]] auto hasFreeStart(base::time_point now) const -> bool;
    //! Returns the earliest time at which a request may start.
    [[nodiscard]] auto nextStart(base::time_point now) const -> base::time_point;
    //! Takes the start of one request, or refuses it. A start that isn't used is lost.
    auto tryStart(base::time_point now) -> bool;

private:
    auto setLimit(double limit, base::time_point now) -> void;
    [[nodiscard]] auto startsPerSecond() const -> double;
    [[nodiscard]] auto starts(base::time_point now) const -> double;

    std::optional<double> m_limit;
    bool m_isConfirmed = false;
    //! Time at which the limit was last named.
    base::time_point m_namedAt = base::time_point::min();
    double m_starts = 0.0;
    base::time_point m_refilledAt{};
};

} // namespace hawthornpick::policy
