#pragma once

#include "base/ids.h"

#include <compare>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace hawthornpick::membership {

//! State of an upstream as it announced it.
enum class upstream_state : std::uint8_t {
    Starting,
    Ready,
    Draining,
    Gone,
};

//! State of a node as its peers see it.
enum class node_state : std::uint8_t {
    Alive,
    Suspect,
    Leaving,
    Dead,
};

//! IP address and port, for TCP and for UDP.
struct endpoint
{
    std::string address;
    std::uint16_t port = 0;

    auto operator<=>(const endpoint &) const = default;
};

//! Parses `address:port` with an IPv4 address or an IPv6 address in brackets.
//! Thread safety: pure.
auto parseEndpoint(std::string_view text) -> std::optional<endpoint>;

//! Reverses `parseEndpoint`. Thread safety: pure.
auto toString(const endpoint &address) -> std::string;

//! One upstream as published by the node beside it. Newer entries have the higher
//! (incarnation, sequence).
struct upstream_entry
{
    base::upstream_id id;
    base::service_id service;
    std::uint32_t slots = 1;
    upstream_state state = upstream_state::Starting;
    bool ejected = false;
    base::incarnation incarnation = 0;
    std::uint64_t sequence = 0;

    auto operator<=>(const upstream_entry &) const = default;
};

//! One node with its upstreams.
struct node_entry
{
    base::node_id id;
    base::incarnation incarnation = 0;
    std::string host;
    base::region_id region;
    base::failure_domain_id failureDomain;
    endpoint peerAddress;
    node_state state = node_state::Alive;
    std::vector<upstream_entry> upstreams;

    auto operator<=>(const node_entry &) const = default;
};

//! Where an upstream runs. The pointers belong to the view.
struct upstream_place
{
    const node_entry *node = nullptr;
    const upstream_entry *upstream = nullptr;
};

//! Immutable picture of the fleet as one node knows it.
class view
{
public:
    view() = default;

    //! Precondition: node ids are unique. `version` counts the changes of the local directory.
    view(std::uint64_t version, std::vector<node_entry> nodes);

    //! Returns all known nodes in the order of their ids, dead ones included until they are
    //! forgotten. Thread safety: immutable.
    [[nodiscard]] auto nodes() const -> const std::vector<node_entry> & { return m_nodes; }

    //! Returns the node, or null if it is unknown. Thread safety: immutable.
    [[nodiscard]] auto find(const base::node_id &id) const -> const node_entry *;

    //! Returns the upstreams of a service on nodes that are alive or suspect and not leaving, in
    //! any announced state but `Gone`. Thread safety: immutable.
    [[nodiscard]] auto upstreamsOf(const base::service_id &service) const
            -> const std::vector<upstream_place> &;

    //! Counts the changes of the local directory. Thread safety: immutable.
    [[nodiscard]] auto version() const -> std::uint64_t { return m_version; }

    view(const view &) = delete;
    auto operator=(const view &) -> view & = delete;

private:
    std::uint64_t m_version = 0;
    std::vector<node_entry> m_nodes;
    std::map<base::service_id, std::vector<upstream_place>> m_byService;
};

using view_pointer = std::shared_ptr<const view>;

} // namespace hawthornpick::membership
