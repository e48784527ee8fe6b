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
    //! A part of the content of the next `Propose`, so that the size of a log entry is bounded.
    Part = 1,
    //! Proposes a configuration change; contains the last part of its content.
    Propose = 2,
    //! Rejects the pending change, as the witnesses could not be prepared.
    Abort = 3,
    //! Accepts the pending change.
    Accept = 4,
    //! Records that a version is in force.
    InForce = 5,
    //! Changes the membership of the controllers.
    Members = 6,
};

struct log_entry
{
    std::uint64_t index = 0;
    std::uint64_t term = 0;
    //! Encoded wire::command.
    std::string command;

    auto operator<=>(const log_entry &) const = default;
};

//! A controller, identified by its node and the random identity of its data folder. After its disk
//! was wiped, a node is another member.
struct member
{
    base::node_id node;
    std::uint64_t diskId = 0;

    auto operator<=>(const member &) const = default;
};

//! A controller replacement in progress: the new member becomes a learner and then a voter, and the
//! old one is removed last.
struct replacement
{
    member oldMember;
    member newMember;
    //! Change id of the operator's request.
    std::string changeId;

    auto operator<=>(const replacement &) const = default;
};

//! Members of the replicated log. Only voters count towards a majority; a learner receives the log
//! without a vote.
struct membership
{
    std::vector<member> voters;
    std::vector<member> learners;
    std::vector<replacement> replacements;

    auto operator<=>(const membership &) const = default;

    //! Thread safety of all member functions: pure.
    [[nodiscard]] auto isVoter(const member &searched) const -> bool
    {
        return std::find(voters.begin(), voters.end(), searched) != voters.end();
    }
    [[nodiscard]] auto isLearner(const member &searched) const -> bool
    {
        return std::find(learners.begin(), learners.end(), searched) != learners.end();
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
