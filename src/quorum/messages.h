#pragma once

#include "quorum/configchange.h"
#include "quorum/groupstate.h"

#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace hawthornpick::quorum {

//! Asks for a vote. A trial asks whether the vote would be given, without raising the term.
struct vote_request
{
    std::uint64_t term = 0;
    member candidate;
    value_position newest;
    bool isTrial = false;
};

struct vote_answer
{
    std::uint64_t term = 0;
    member voter;
    bool isGranted = false;
    bool isTrial = false;
};

//! Sends a value, or without one shows that the leader is alive.
struct append_request
{
    std::uint64_t term = 0;
    member leader;
    //! Number of the leader's confirmation round.
    std::int64_t round = 0;
    value_position committed;
    value_pointer value;
};

struct append_answer
{
    std::uint64_t term = 0;
    member voter;
    std::int64_t round = 0;
    //! Newest value that the voter has on disk.
    value_position durable;
};

//! Sent by a member that hears no leader; passed on to the leader.
struct join_request
{
    member newcomer;
};

enum class operator_request_kind : std::uint8_t {
    Change,
    Read,
};

//! Request of an operator that a core node passes to the leader.
struct operator_request
{
    std::uint64_t number = 0;
    operator_request_kind kind = operator_request_kind::Read;
    config_change change;
};

struct operator_answer
{
    std::uint64_t number = 0;
    group_answer answer;
};

using message = std::variant<vote_request, vote_answer, append_request, append_answer, join_request,
                             operator_request, operator_answer>;

//! Thread safety: pure.
auto encodeMessage(const message &content) -> std::string;

//! Nothing if the bytes are damaged. Thread safety: pure.
auto decodeMessage(std::string_view bytes) -> std::optional<message>;

//! Bytes of a value on disk. Thread safety: pure.
auto encodeValue(const group_value &value) -> std::string;
auto decodeValue(std::string_view bytes) -> value_pointer;

} // namespace hawthornpick::quorum
