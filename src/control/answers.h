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
    //! The base version of the change is not the newest accepted version, which `winner` names.
    BaseVersionOutdated = 1,
    //! Another change is pending.
    ChangeInProgress = 2,
    //! The content does not match its digest or is not a valid configuration set.
    ContentInvalid = 3,
    //! The change id was used before with different content.
    ChangeIdReused = 4,
    //! In at least one region, a majority of the witnesses was not prepared in time.
    WitnessesUnreachable = 5,
    //! The controllers named in a replacement request do not allow the replacement.
    MemberInvalid = 6,
};

//! Returns the name of a reason in snake case, as operators see it. Thread safety: pure.
auto reasonName(reject_reason reason) -> std::string_view;

//! The change is in force: no node serves requests under an older version.
struct in_force
{
    version_id version;

    auto operator<=>(const in_force &) const = default;
};

//! The change was rejected and will never be in force.
struct rejected
{
    reject_reason reason = reject_reason::None;
    std::string detail;
    //! The newest accepted version at the time of the decision.
    version_id winner;

    auto operator<=>(const rejected &) const = default;
};

//! No result is known yet; ask again with this change id.
struct unknown_yet
{
    std::string changeId;

    auto operator<=>(const unknown_yet &) const = default;
};

using change_answer = std::variant<in_force, rejected, unknown_yet>;

//! An accepted version and the change that created it.
struct accepted_change
{
    version_id version;
    std::string changeId;

    auto operator<=>(const accepted_change &) const = default;
};

//! State of the replicated log, confirmed by a majority of the controllers.
struct control_status
{
    base::node_id leader;
    version_id accepted;
    base::config_version inForce = 0;
    std::vector<std::string> voters;
    std::vector<std::string> learners;
    //! Accepted versions, oldest first.
    std::vector<accepted_change> history;

    auto operator<=>(const control_status &) const = default;
};

} // namespace hawthornpick::control
