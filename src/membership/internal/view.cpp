#include "membership/view.h"

#include <algorithm>

namespace hawthornpick::membership {

namespace {

auto takesWork(const node_entry &node) -> bool
{
    return node.state == node_state::Alive || node.state == node_state::Suspect;
}

} // namespace

view::view(std::uint64_t version, std::vector<node_entry> nodes)
    : m_version(version), m_nodes(std::move(nodes))
{
    std::sort(m_nodes.begin(), m_nodes.end(),
              [](const node_entry &left, const node_entry &right) { return left.id < right.id; });
    for (const auto &node : m_nodes) {
        if (!takesWork(node)) {
            continue;
        }
        for (const auto &upstream : node.upstreams) {
            if (upstream.state != upstream_state::Gone) {
                m_byService[upstream.service].push_back({&node, &upstream});
            }
        }
    }
}

auto view::find(const base::node_id &id) const -> const node_entry *
{
    const auto position = std::lower_bound(
            m_nodes.begin(), m_nodes.end(), id,
            [](const node_entry &node, const base::node_id &key) { return node.id < key; });
    if (position == m_nodes.end() || position->id != id) {
        return nullptr;
    }
    return &*position;
}

auto view::upstreamsOf(const base::service_id &service) const -> const std::vector<upstream_place> &
{
    static const std::vector<upstream_place> none;
    const auto position = m_byService.find(service);
    return position == m_byService.end() ? none : position->second;
}

} // namespace hawthornpick::membership
