#include "limits/directory.h"

#include "base/digest.h"

#include <algorithm>
#include <utility>

namespace hawthornpick::limits {

namespace {

auto isAvailable(const membership::node_entry &node) -> bool
{
    return node.state == membership::node_state::Alive
           || node.state == membership::node_state::Suspect;
}

auto rankCandidates(const std::string &leaseName, const std::vector<base::node_id> &nodes)
        -> std::vector<base::node_id>
{
    std::vector<std::pair<std::uint64_t, const base::node_id *>> weighted;
    weighted.reserve(nodes.size());
    for (const auto &node : nodes) {
        weighted.emplace_back(base::rendezvousWeight(leaseName, node.str()), &node);
    }
    const auto count = std::min(weighted.size(), allocator_directory::MAX_CANDIDATES);
    std::partial_sort(weighted.begin(), weighted.begin() + static_cast<std::ptrdiff_t>(count),
                      weighted.end(), [](const auto &left, const auto &right) {
                          return std::pair(left.first, *left.second)
                                 > std::pair(right.first, *right.second);
                      });
    std::vector<base::node_id> ranked;
    for (std::size_t i = 0; i < count; ++i) {
        ranked.push_back(*weighted[i].second);
    }
    return ranked;
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
    refreshView();
    auto &ranking = m_candidates[region].at(shard);
    if (ranking.empty()) {
        ranking = rankCandidates(leaseName(region, shard), m_availableNodes[region]);
    }
    return ranking;
}

auto allocator_directory::refreshView() -> void
{
    auto view = m_view();
    if (view == m_currentView) {
        return;
    }
    m_currentView = std::move(view);
    std::map<base::region_id, std::vector<base::node_id>> availableNodes;
    for (const auto &node : m_currentView->nodes()) {
        if (isAvailable(node)) {
            availableNodes[node.region].push_back(node.id);
        }
    }
    // Most changes of the view concern upstreams only, and the ranking stays valid.
    if (availableNodes != m_availableNodes) {
        m_availableNodes = std::move(availableNodes);
        m_candidates.clear();
    }
}

} // namespace hawthornpick::limits
