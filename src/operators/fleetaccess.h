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

//! A request of an operator to replace the configuration by a complete new set.
struct change_request
{
    //! Chosen by the operator. A repeated request with the same id gets the result of the first
    //! one.
    std::string changeId;
    //! Version that the change is based on; the change is rejected if it is not the newest.
    base::config_version baseVersion = 0;
    config::config_set set;

    auto operator<=>(const change_request &) const = default;
};

//! Known outcome of a change.
enum class change_state : std::uint8_t {
    //! In force on every node; it stays in force until a newer version replaces it.
    InForce,
    //! Not in force and never will be.
    Rejected,
    //! Not yet known to be in force. A later query with the same change id returns the outcome.
    Undecided,
};

struct change_answer
{
    change_state state = change_state::Undecided;
    //! Version of the change if it is in force; the newest version if it was rejected.
    base::config_version version = 0;
    //! Digest of `version` in hexadecimal; empty if unknown.
    std::string digest;
    std::string reason;

    auto operator<=>(const change_answer &) const = default;
};

//! An accepted version of the configuration.
struct history_entry
{
    base::config_version version = 0;
    std::string digest;
    std::string changeId;

    auto operator<=>(const history_entry &) const = default;
};

//! State of the controllers and their replicated log.
struct control_status
{
    bool isController = false;
    //! True if a majority of the controllers confirmed the other members.
    bool isConfirmed = false;
    std::string leader;
    base::config_version acceptedVersion = 0;
    base::config_version inForceVersion = 0;
    std::vector<std::string> voters;
    std::vector<std::string> learners;

    auto operator<=>(const control_status &) const = default;
};

//! Functions of the node that the operator interface depends on. All of them may be called on the
//! thread of the operator interface. Each callback is called exactly once, on any thread.
struct fleet_access
{
    std::function<void(change_request request, std::function<void(change_answer)> done)> apply;
    std::function<void(std::string changeId, std::function<void(change_answer)> done)> changeResult;
    std::function<void(std::function<void(std::vector<history_entry>)> done)> history;
    std::function<void(std::function<void(control_status)> done)> status;
    //! Replaces one controller by another node. `failure` is empty on success.
    std::function<void(base::node_id removed, base::node_id added,
                       std::function<void(std::string failure)> done)>
            replaceController;
    std::function<config::snapshot_pointer()> configuration;
    std::function<bool()> isCurrent;
    //! Returns why an order to start or end the evacuation of a failure domain is refused; empty if
    //! it is allowed.
    std::function<std::string(const base::failure_domain_id &failureDomain, bool starts)>
            evacuationRefusal;
    std::function<membership::view_pointer()> view;
};

} // namespace hawthornpick::operators
