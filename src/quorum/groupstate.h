#pragma once

#include "base/evacuation.h"
#include "base/ids.h"

#include <compare>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace hawthornpick::quorum {

//! Member of the quorum group: a node together with the random identity of its disk. A node that
//! lost its disk rejoins as another member.
struct member
{
    base::node_id node;
    //! 0 for the disks of the first start, so that each initial member can build the same initial
    //! value without communication.
    std::uint64_t diskId = 0;

    auto operator<=>(const member &) const = default;
};

//! Position of a value in the order of all values: ordered by the term of its leader, then by
//! index.
struct value_position
{
    std::uint64_t term = 0;
    std::uint64_t index = 0;

    auto operator<=>(const value_position &) const = default;
};

//! Change that is contained in the value. The digest identifies the change when its sender repeats
//! it after losing the answer.
struct accepted_change
{
    base::config_version version = 0;
    std::string digest;

    auto operator<=>(const accepted_change &) const = default;
};

//! The whole replicated state. Each value includes the result of all earlier values, so a replica
//! keeps only the newest one.
struct group_value
{
    value_position position;
    base::config_version version = 0;
    //! Configuration document set by the operators; empty for version 0.
    std::string content;
    //! The newest changes, at most `MAX_RETAINED_CHANGES`, oldest first.
    std::vector<accepted_change> changes;
    //! In ascending order.
    std::vector<member> voters;
    //! Its revision is the number of orders so far, also of those that left the items unchanged.
    base::evacuation_list evacuations = {};
    //! Identities of the newest orders in `evacuations`, at most `MAX_RETAINED_ORDERS`, oldest
    //! first.
    std::vector<std::uint64_t> evacuationOrders = {};

    auto operator<=>(const group_value &) const = default;

    //! Thread safety: immutable.
    [[nodiscard]] auto isVoter(const member &item) const -> bool;
    //! True if one of `changes` has this digest.
    //! Thread safety: immutable.
    [[nodiscard]] auto hasAcceptedChange(const std::string &digest) const -> bool;
    //! True if `evacuations` contains the order with this identity, and few others came after it.
    //! Thread safety: immutable.
    [[nodiscard]] auto hasAcceptedOrder(std::uint64_t id) const -> bool;
};

using value_pointer = std::shared_ptr<const group_value>;

//! State that a replica must keep across restarts.
struct durable_state
{
    //! Random identity of the disk; 0 on an empty disk and on the disks of the first start.
    std::uint64_t diskId = 0;
    std::uint64_t term = 0;
    //! Candidate that received this replica's vote in `term`; its node is empty if none did.
    member votedFor;
    //! Null on a disk that has never held a value.
    value_pointer value;
};

//! Number of changes whose digests are kept to recognise repeated ones. Operators repeat a change
//! within seconds, and make a few hundred changes per day.
inline constexpr std::size_t MAX_RETAINED_CHANGES = 512;

//! Number of evacuation orders that are kept to recognise repeated ones. A copy of an older order
//! changes nothing, because its base revision is outdated.
inline constexpr std::size_t MAX_RETAINED_ORDERS = 64;

} // namespace hawthornpick::quorum
