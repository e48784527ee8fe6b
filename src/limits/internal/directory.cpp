#include "limits/directory.h"

#include "base/digest.h"

#include <algorithm>
#include <utility>

namespace hawthornpick::limits {

namespace {

auto takesWork(const membership::node_entry &node) -> bool
{
    return node.state == membership::node_state::Alive
           || node.state == membership::node_state::Suspect;
}

auto bestOf(const std::string &lease, const std::vector<base::node_id> &nodes)
        -> std::vector<base::node_id>
{
    std::vector<std::pair<std::uint64_t, const base::node_id *>> weighted;
    weighted.reserve(nodes.size());
    for (const auto &node : nodes) {
        weighted.emplace_back(base::rendezvousWeight(lease, node.str()), &node);
    }
    const auto count = std::min(weighted.size(), allocator_directory::CANDIDATES);
    std::partial_sort(weighted.begin(), weighted.begin() + static_cast<std::ptrdiff_t>(count),
                      weighted.end(), [](const auto &left, const auto &right) {
                          return std::pair(left.first, *left.second)
                                 > std::pair(right.first, *right.second);
                      });
    std::vector<base::node_id> best;
    for (std::size_t i = 0; i < count; ++i) {
        best.push_back(*weighted[i].second);
    }
    return best;
}

} // namespace

auto shardOf(const base::organisation_id &organisation) -> shard_number
{
    return static_cast<shard_number>(base::hash64(organisation.str()) % SHARD_COUNT);
}

auto leaseName(const base::region_id &region, shard_number shard) -> std::string
{
    return "rate/" + region.str() + "/" + std::to_string(shard);
}

allocator_directory::allocator_directory(view_function view) : m_view(std::move(view)) {}

auto allocator_directory::candidates(const base::region_id &region, shard_number shard)
        -> const std::vector<base::node_id> &
{
    refresh();
    auto &found = m_candidates[region].at(shard);
    if (found.empty()) {
        found = bestOf(leaseName(region, shard), m_alive[region]);
    }
    return found;
}

auto allocator_directory::refresh() -> void
{
    auto view = m_view();
    if (view == m_seen) {
        return;
    }
    m_seen = std::move(view);
    std::map<base::region_id, std::vector<base::node_id>> alive;
    for (const auto &node : m_seen->nodes()) {
        if (takesWork(node)) {
            alive[node.region].push_back(node.id);
        }
    }
    // Most view changes concern upstreams only; the order is kept then.
    if (alive != m_alive) {
        m_alive = std::move(alive);
        m_candidates.clear();
    }
}

} // namespace hawthornpick::limits
