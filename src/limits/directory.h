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

//! Number of an organisation's shard, below `SHARD_COUNT`.
using shard_number = std::uint32_t;

inline constexpr shard_number SHARD_COUNT = 64;

//! Thread safety of both: pure.
auto shardOf(const base::organisation_id &organisation) -> shard_number;
auto leaseName(const base::region_id &region, shard_number shard) -> std::string;

//! Returns the present membership view; never null.
using view_function = std::function<membership::view_pointer()>;

//! Finds the nodes that may be the allocator of a shard: the living nodes of the region in
//! rendezvous order. The same order decides which node tries to get the lease.
//! Thread safety of all members: control thread.
class allocator_directory
{
public:
    static constexpr std::size_t CANDIDATES = 3;

    explicit allocator_directory(view_function view);

    //! Returns up to `CANDIDATES` nodes, best first.
    auto candidates(const base::region_id &region, shard_number shard)
            -> const std::vector<base::node_id> &;

private:
    using shard_candidates = std::array<std::vector<base::node_id>, SHARD_COUNT>;

    auto refresh() -> void;

    view_function m_view;
    membership::view_pointer m_seen;
    std::map<base::region_id, std::vector<base::node_id>> m_alive;
    std::map<base::region_id, shard_candidates> m_candidates;
};

} // namespace hawthornpick::limits
