#pragma once

#include "base/ids.h"
#include "control/generated/controlwire_types.h"

#include <algorithm>
#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace hawthornpick::control {

//! Kind of a command of the replicated log. The numbers are part of the disk format.
enum class command_kind : std::int8_t {
    Noop = 0,
    //! A part of the content of the next `Propose`, so that log entries stay bounded.
    Part = 1,
    Propose = 2,
    Abort = 3,
    Accept = 4,
    InForce = 5,
    Members = 6,
};

struct log_entry
{
    std::uint64_t index = 0;
    std::uint64_t term = 0;
    std::string command;

    auto operator<=>(const log_entry &) const = default;
};

//! A controller with the random identity of its data folder. A wiped disk gives a new identity.
struct member
{
    base::node_id node;
    std::uint64_t disk = 0;

    auto operator<=>(const member &) const = default;
};

//! A replacement under way: the new member becomes a learner, then a voter, then the old one
//! leaves.
struct replacement
{
    member oldMember;
    member newMember;
    //! Identifies the operator's request.
    std::string changeId;

    auto operator<=>(const replacement &) const = default;
};

struct membership
{
    std::vector<member> voters;
    std::vector<member> learners;
    std::vector<replacement> replacements;

    auto operator<=>(const membership &) const = default;

    //! Thread safety of all members: immutable.
    [[nodiscard]] auto isVoter(const member &item) const -> bool
    {
        return std::find(voters.begin(), voters.end(), item) != voters.end();
    }
    [[nodiscard]] auto isLearner(const member &item) const -> bool
    {
        return std::find(learners.begin(), learners.end(), item) != learners.end();
    }
};

//! Conversions to and from the wire and disk format. Thread safety: pure.
auto toWire(const log_entry &value) -> wire::entry;
auto toWire(const member &value) -> wire::member;
auto toWire(const membership &value) -> wire::membership;
auto fromWire(const wire::entry &value) -> log_entry;
auto fromWire(const wire::member &value) -> member;
auto fromWire(const wire::membership &value) -> membership;

} // namespace hawthornpick::control
