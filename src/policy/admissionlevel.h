#pragma once

#include "base/time.h"

#include <cstdint>
#include <deque>
#include <limits>
#include <map>

namespace hawthornpick::policy {

//! Use of the slots of a service on one node.
enum class slot_use : std::uint8_t {
    //! At least one usable slot is free.
    Room,
    //! All usable slots are busy.
    Busy,
    //! All usable slots are busy and requests wait for longer than they should, or are refused.
    Overdue,
};

//! Lowest priority rank that the upstreams of one service on one node still admit. For a load of
//! several ranks that exceeds the slots for seconds at a time: requests of the least urgent ranks
//! would wait only to be refused, and their senders should know so before they send them.
//!
//! Closes one rank at a time while the slots were overdue for nearly all of the last half second,
//! and opens one at a time as soon as there is room. The most urgent rank is never closed.
//! Thread safety of all members: one thread.
class admission_level
{
public:
    static constexpr std::uint32_t ALL_RANKS = std::numeric_limits<std::uint32_t>::max();

    //! Records a request, also one that is refused.
    auto onArrival(std::uint32_t rank, base::time_point now) -> void;

    //! Sets the use of the slots from `now` on and changes the level if that is due. Has to be
    //! called at each change of the use and at least every 50 ms.
    auto update(slot_use use, base::time_point now) -> void;

    //! Requests of a higher rank are refused before they wait.
    [[nodiscard]] auto lowestRank() const -> std::uint32_t { return m_lowestRank; }

private:
    struct use_span
    {
        slot_use use = slot_use::Room;
        base::time_point begin;
    };

    [[nodiscard]] auto shareOf(slot_use use, base::duration window, base::time_point now) const
            -> double;
    auto forgetRanks(base::time_point now) -> void;
    auto close(base::time_point now) -> void;
    auto open(base::time_point now) -> void;

    //! Uses of the last half second, the current one last.
    std::deque<use_span> m_spans;
    //! Ranks in use, each with the time of its last request.
    std::map<std::uint32_t, base::time_point> m_ranks;
    std::uint32_t m_lowestRank = ALL_RANKS;
    base::time_point m_decidedAt{};
    base::time_point m_closedAt{};
    base::time_point m_openedAt{};
    base::duration m_openInterval{};
};

} // namespace hawthornpick::policy
