#pragma once

#include "control/generated/controlwire_types.h"
#include "lease/messages.h"

namespace hawthornpick::control {

//! Kind of a message of module control in the channel `Consensus`, sent as its first byte. Numbers
//! below 50 belong to module lease.
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

//! Kind of an operator's request, sent in `operator_request.kind`.
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
