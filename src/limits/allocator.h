#pragma once

#include "base/ids.h"
#include "base/message.h"
#include "base/random.h"
#include "base/time.h"
#include "config/snapshot.h"
#include "limits/directory.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace hawthornpick::limits {

//! Returns the epoch of a named lease if this node holds it at `now`, otherwise nothing. The epoch
//! increases with each new holder.
using lease_epoch_function =
        std::function<std::optional<std::uint64_t>(const std::string &name, base::time_point now)>;

//! Sets whether this node requests a named lease.
using lease_wanted_function = std::function<void(const std::string &name, bool wanted)>;

//! Returns the current configuration; never null.
using configuration_function = std::function<config::snapshot_pointer()>;

//! Dependencies of an allocator. All functions are called on the control thread.
struct allocator_dependencies
{
    base::node_id node;
    base::region_id region;
    //! All regions of the fleet, from the settings. Must be the same on all nodes.
    std::vector<base::region_id> regions;
    view_function view;
    configuration_function configuration;
    lease_epoch_function leaseEpoch;
    lease_wanted_function setLeaseWanted;
    base::random_source random;
};

class allocator_state;

//! Grants tokens for the shards whose lease this node holds, and lends and borrows shares of rate
//! and burst between regions. Thread safety of all members: control thread.
class allocator
{
public:
    explicit allocator(allocator_dependencies dependencies);
    ~allocator();
    allocator(const allocator &) = delete;
    auto operator=(const allocator &) -> allocator & = delete;

    auto receive(const base::node_id &from, std::string_view payload, base::time_point now)
            -> std::vector<base::outgoing_message>;
    auto tick(base::time_point now) -> std::vector<base::outgoing_message>;

    //! Returns the number of organisations with state in all shards held.
    [[nodiscard]] auto size() const -> std::size_t;

private:
    std::unique_ptr<allocator_state> m_state;
};

} // namespace hawthornpick::limits
