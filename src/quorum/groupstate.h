#pragma once

#include "base/ids.h"

#include <compare>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace hawthornpick::quorum {

//! A core node with the random identity of its disk. A disk that was lost gives another member.
struct member
{
    base::node_id node;
    //! 0 for the disks of the first start, which all of its members can derive.
    std::uint64_t disk = 0;

    auto operator<=>(const member &) const = default;
};

//! Place of a value in the order of all values: the term of its leader, then its number.
struct value_position
{
    std::uint64_t term = 0;
    std::uint64_t index = 0;

    auto operator<=>(const value_position &) const = default;
};

//! A change that is part of the value. The digest identifies the change when its sender, who lost
//! the answer, sends it again.
struct accepted_change
{
    base::config_version version = 0;
    std::string digest;

    auto operator<=>(const accepted_change &) const = default;
};

//! The whole replicated state. A value contains everything that the values before it decided, so
//! that a replica keeps only the newest one.
struct group_value
{
    value_position position;
    base::config_version version = 0;
    //! Document of the operators; empty for version 0.
    std::string content;
    //! The newest changes, oldest first.
    std::vector<accepted_change> changes;
    //! Sorted.
    std::vector<member> voters;

    auto operator<=>(const group_value &) const = default;

    //! Thread safety: immutable.
    [[nodiscard]] auto isVoter(const member &item) const -> bool;
    [[nodiscard]] auto isAccepted(const std::string &digest) const -> bool;
};

using value_pointer = std::shared_ptr<const group_value>;

//! What a replica must not forget.
struct durable_state
{
    std::uint64_t disk = 0;
    std::uint64_t term = 0;
    //! Candidate that got the vote of `term`; an empty node if none did.
    member votedFor;
    //! Null on a disk that has never held a value.
    value_pointer value;
};

//! Changes whose digests are kept. Operators send a change again within seconds; a day has some
//! hundred changes.
inline constexpr std::size_t MAX_REMEMBERED_CHANGES = 512;

} // namespace hawthornpick::quorum
