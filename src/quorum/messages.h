#pragma once

#include "quorum/configchange.h"
#include "quorum/groupstate.h"

#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace hawthornpick::quorum {

//! Requests a vote for `term`. A pre-vote asks whether the vote would be granted, without starting
//! the term.
struct vote_request
{
    std::uint64_t term = 0;
    member candidate;
    //! Newest value that the candidate holds.
    value_position newestPosition;
    bool isPreVote = false;
};

struct vote_answer
{
    std::uint64_t term = 0;
    member voter;
    bool isGranted = false;
    bool isPreVote = false;
};

//! Replicates a value; a heartbeat if it has none.
struct append_request
{
    std::uint64_t term = 0;
    member leader;
    //! Number of the leader's newest confirmation round.
    std::int64_t round = 0;
    //! Newest value that the leader knows to be committed.
    value_position committedPosition;
    //! Null in a heartbeat.
    value_pointer value;
};

struct append_answer
{
    std::uint64_t term = 0;
    member voter;
    //! Confirmation round of the request that is answered; 0 if its term is outdated.
    std::int64_t round = 0;
    //! Newest value that the voter has on disk.
    value_position durablePosition;
};

//! Asks for admission to the group. Sent by a member that hears no leader; other members forward it
//! to the leader.
struct join_request
{
    member joiningMember;
};

enum class operator_request_kind : std::uint8_t {
    Change,
    Read,
    EvacuationOrder,
    EvacuationRead,
};

//! Operator request that a node forwards to the leader.
struct operator_request
{
    //! Chosen by the process that forwards the request; the answer repeats it. Different for each
    //! request of all processes of a node.
    std::uint64_t requestId = 0;
    operator_request_kind kind = operator_request_kind::Read;
    //! Used only for a change.
    config_change change = {};
    //! Used only for an evacuation order.
    evacuation_order order = {};
};

struct operator_answer
{
    std::uint64_t requestId = 0;
    group_answer answer;
};

using message = std::variant<vote_request, vote_answer, append_request, append_answer, join_request,
                             operator_request, operator_answer>;

//! Thread safety: pure.
auto encodeMessage(const message &content) -> std::string;

//! Returns nothing if the bytes are not a valid message. Thread safety: pure.
auto decodeMessage(std::string_view bytes) -> std::optional<message>;

//! Encodes a value for storage on disk. Thread safety: pure.
auto encodeValue(const group_value &value) -> std::string;
//! Returns null if the bytes are not a valid value. Thread safety: pure.
auto decodeValue(std::string_view bytes) -> value_pointer;

} // namespace hawthornpick::quorum
