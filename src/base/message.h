#pragma once

#include "base/ids.h"

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace hawthornpick::base {

//! Protocol that a control message belongs to; selects the component that handles the message. The
//! numbers are part of the peer protocol.
enum class channel : std::uint8_t {
    Membership = 1,
    Currency = 2,
    Lease = 3,
    Consensus = 4,
    Distribution = 5,
    Arbiter = 6,
    Rate = 7,
    Idempotency = 8,
    Fence = 9,
    CrashReport = 10,
    Baseline = 11,
    Quorum = 12,
    Directory = 13,
    //! Used by the control runtime itself.
    Liveness = 14,
};

//! Control message that a protocol component returns to the control runtime, which sends it to
//! another node.
struct outgoing_message
{
    node_id to;
    channel kind = channel::Membership;
    std::string payload;
    //! Name of the kind of message within its channel, for metrics; has static storage duration.
    std::string_view kindName = {};

    auto operator<=>(const outgoing_message &) const = default;
};

} // namespace hawthornpick::base
