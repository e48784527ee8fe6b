#include "membership/view.h"

#include <algorithm>
#include <boost/asio/ip/address.hpp>
#include <charconv>

namespace hawthornpick::membership {

namespace {

auto isRoutable(const node_entry &node) -> bool
{
    return node.state == node_state::Alive || node.state == node_state::Suspect;
}

} // namespace

auto parseEndpoint(std::string_view text) -> std::optional<endpoint>
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return std::nullopt;
    }
    auto host = text.substr(0, colon);
    if (host.starts_with('[') && host.ends_with(']')) {
        host = host.substr(1, host.size() - 2);
    }
    const auto portText = text.substr(colon + 1);
    std::uint16_t port = 0;
    const auto parsed = std::from_chars(portText.begin(), portText.end(), port);
    const bool isPortValid = parsed.ec == std::errc() && parsed.ptr == portText.end();
    boost::system::error_code parseError;
    const auto address = boost::asio::ip::make_address(std::string(host), parseError);
    if (parseError || !isPortValid) {
        return std::nullopt;
    }
    return endpoint{address.to_string(), port};
}

auto toString(const endpoint &value) -> std::string
{
    const bool isV6 = value.address.find(':') != std::string::npos;
    const auto host = isV6 ? "[" + value.address + "]" : value.address;
    return host + ":" + std::to_string(value.port);
}

view::view(std::uint64_t version, std::vector<node_entry> nodes)
    : m_version(version), m_nodes(std::move(nodes))
{
    std::sort(m_nodes.begin(), m_nodes.end(),
              [](const node_entry &left, const node_entry &right) { return left.id < right.id; });
    for (const auto &node : m_nodes) {
        if (!isRoutable(node)) {
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
