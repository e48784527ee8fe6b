#pragma once

#include "base/ids.h"
#include "lease/messages.h"

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace hawthornpick::control {

using lease::version_id;

//! Why a change was rejected. The numbers are part of the disk format.
enum class reject_reason : std::int8_t {
    None = 0,
    //! Another change was accepted under the same base version; it is named as the winner.
    BaseVersionOutdated = 1,
    ChangeInProgress = 2,
    //! The content does not match its digest or cannot be decoded.
    ContentInvalid = 3,
    //! The change id was used before with another content.
    ChangeIdReused = 4,
    //! A majority of a region's witnesses could not be prepared in time.
    WitnessesUnreachable = 5,
    //! A request to replace a controller names an unknown or unsuitable one.
    MemberInvalid = 6,
};

//! Returns the name of a reason in snake case. Thread safety: pure.
auto reasonName(reject_reason reason) -> std::string_view;

//! The change is in force on all nodes.
struct in_force
{
    version_id version;

    auto operator<=>(const in_force &) const = default;
};

//! The change is not and will never be in force.
struct rejected
{
    reject_reason reason = reject_reason::None;
    std::string detail;
    //! The newest accepted version at the time of the decision.
    version_id winner;

    auto operator<=>(const rejected &) const = default;
};

//! Not in force, unknown yet: ask again with this change id.
struct unknown_yet
{
    std::string changeId;

    auto operator<=>(const unknown_yet &) const = default;
};

using change_answer = std::variant<in_force, rejected, unknown_yet>;

//! An accepted version and the change that made it.
struct accepted_change
{
    version_id version;
    std::string changeId;

    auto operator<=>(const accepted_change &) const = default;
};

//! State of the replicated log as a majority of the controllers confirmed it.
struct control_status
{
    base::node_id leader;
    version_id accepted;
    base::config_version inForce = 0;
    std::vector<std::string> voters;
    std::vector<std::string> learners;
    //! Newest last.
    std::vector<accepted_change> history;

    auto operator<=>(const control_status &) const = default;
};

} // namespace hawthornpick::control
