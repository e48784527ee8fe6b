#pragma once

#include "control/generated/controlwire_types.h"
#include "lease/messages.h"

namespace hawthornpick::control {

//! First byte of module control's messages of the channel `Consensus`; numbers below 50 belong to
//! module lease.
enum class message_kind : std::uint8_t {
    Vote = 50,
    VoteAnswer = 51,
    Append = 52,
    AppendAnswer = 53,
    SnapshotOffer = 54,
    Hello = 55,
    HelloAnswer = 56,
    OperatorRequest = 57,
    OperatorReply = 58,
};

enum class operator_request_kind : std::int8_t {
    Apply = 1,
    ChangeResult = 2,
    Status = 3,
    ReplaceController = 4,
};

//! Builds a message of the channel `Consensus`. Thread safety: pure.
template <typename Struct>
auto toMessage(const base::node_id &to, message_kind kind, const Struct &value)
        -> base::outgoing_message
{
    return lease::toMessage(to, base::channel::Consensus, kind, value);
}

} // namespace hawthornpick::control
