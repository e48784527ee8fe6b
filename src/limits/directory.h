#pragma once

#include "base/ids.h"
#include "membership/view.h"

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace hawthornpick::limits {

//! Number of a shard of organisations, below `SHARD_COUNT`.
using shard_number = std::uint32_t;

inline constexpr shard_number SHARD_COUNT = 64;

//! Returns the shard of an organisation. Thread safety: pure.
auto shardOf(const base::organisation_id &organisation) -> shard_number;
//! Returns the name of the lease whose holder is the allocator of a shard in a region. Thread
//! safety: pure.
auto leaseName(const base::region_id &region, shard_number shard) -> std::string;

//! Returns the current membership view; never null.
using view_function = std::function<membership::view_pointer()>;

//! Finds the nodes that may be the allocator of a shard: the available nodes of the region, ranked
//! by rendezvous hashing. The first of them requests the lease of the shard.
//! Thread safety of all members: control thread.
class allocator_directory
{
public:
    static constexpr std::size_t MAX_CANDIDATES = 3;

    explicit allocator_directory(view_function view);

    //! Returns up to `MAX_CANDIDATES` nodes, highest rank first. The reference is valid until the
    //! next call.
    auto candidates(const base::region_id &region, shard_number shard)
            -> const std::vector<base::node_id> &;

private:
    using shard_candidates = std::array<std::vector<base::node_id>, SHARD_COUNT>;

    auto refreshView() -> void;

    view_function m_view;
    membership::view_pointer m_currentView;
    std::map<base::region_id, std::vector<base::node_id>> m_availableNodes;
    std::map<base::region_id, shard_candidates> m_candidates;
};

} // namespace hawthornpick::limits
