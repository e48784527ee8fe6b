#pragma once

#include "base/digest.h"
#include "base/ids.h"
#include "config/snapshot.h"
#include "membership/view.h"

#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace hawthornpick::operators {

//! A whole set that an operator wants to put in force.
struct change_request
{
    //! Chosen by the operator; a resend with the same id gets the first result.
    std::string changeId;
    //! Version that the operator read before; the change is rejected if it is not the newest.
    base::config_version baseVersion = 0;
    config::config_set set;

    auto operator<=>(const change_request &) const = default;
};

//! What is certain about a change.
enum class change_state : std::uint8_t {
    //! In force on every node; it stays in force until a newer version replaces it.
    InForce,
    //! Never in force.
    Rejected,
    //! Not known to be in force yet; the same change id tells later.
    Undecided,
};

struct change_answer
{
    change_state state = change_state::Undecided;
    //! Version of the change if it is in force; the newest version if it was rejected.
    base::config_version version = 0;
    //! Digest of that version in hexadecimal, if known.
    std::string digest;
    std::string reason;

    auto operator<=>(const change_answer &) const = default;
};

//! One accepted version.
struct history_entry
{
    base::config_version version = 0;
    std::string digest;
    std::string changeId;

    auto operator<=>(const history_entry &) const = default;
};

//! State of the replicated log.
struct control_status
{
    bool isController = false;
    //! True if a majority of the controllers confirmed the rest.
    bool isConfirmed = false;
    std::string leader;
    base::config_version acceptedVersion = 0;
    base::config_version inForceVersion = 0;
    std::vector<std::string> voters;
    std::vector<std::string> learners;

    auto operator<=>(const control_status &) const = default;
};

//! What the operator interface needs from its node. All functions may be called on the thread of
//! the operator interface; callbacks may arrive on any thread and are called exactly once.
struct fleet_access
{
    std::function<void(change_request request, std::function<void(change_answer)> done)> apply;
    std::function<void(std::string changeId, std::function<void(change_answer)> done)> changeResult;
    std::function<void(std::function<void(std::vector<history_entry>)> done)> history;
    std::function<void(std::function<void(control_status)> done)> status;
    //! Replaces one controller by another node; the answer is empty on success.
    std::function<void(base::node_id removed, base::node_id added,
                       std::function<void(std::string failure)> done)>
            replaceController;
    std::function<config::snapshot_pointer()> configuration;
    std::function<bool()> isCurrent;
    std::function<membership::view_pointer()> view;
};

} // namespace hawthornpick::operators
