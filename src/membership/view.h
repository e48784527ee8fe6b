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

//! Lifecycle state that an upstream announces.
enum class upstream_state : std::uint8_t {
    Starting,
    Ready,
    Draining,
    Gone,
};

//! State of a node according to the failure detector and the node's own leave announcement.
enum class node_state : std::uint8_t {
    Alive,
    Suspect,
    Leaving,
    Dead,
};

//! IP address with a port number that is used for both TCP and UDP.
struct endpoint
{
    std::string address;
    std::uint16_t port = 0;

    auto operator<=>(const endpoint &) const = default;
};

//! Parses `address:port` with an IPv4 address or an IPv6 address in brackets. Returns no value for
//! any other text. Thread safety: pure.
auto parseEndpoint(std::string_view text) -> std::optional<endpoint>;

//! Formats an endpoint so that `parseEndpoint` accepts it. Thread safety: pure.
auto toString(const endpoint &value) -> std::string;

//! An upstream as published by the node on the same host. Of two entries for one upstream, the one
//! with the higher (incarnation, sequence) is newer.
struct upstream_entry
{
    base::upstream_id id;
    base::service_id service;
    std::uint32_t slots = 1;
    upstream_state state = upstream_state::Starting;
    bool ejected = false;
    base::incarnation incarnation = 0;
    std::uint64_t sequence = 0;
    //! True once the upstream has announced that it leaves; final within its incarnation.
    bool isLeaving = false;

    auto operator<=>(const upstream_entry &) const = default;
};

//! A node and the upstreams that it publishes.
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

//! An upstream and the node that publishes it. The view owns the objects pointed to.
struct upstream_place
{
    const node_entry *node = nullptr;
    const upstream_entry *upstream = nullptr;
};

//! Immutable snapshot of the nodes and upstreams that one node knows.
class view
{
public:
    view() = default;

    //! Precondition: node ids are unique. `version` is the number of views published so far by the
    //! local directory.
    view(std::uint64_t version, std::vector<node_entry> nodes);

    //! Returns all known nodes ordered by id. Dead nodes are included until their retention time
    //! ends. Thread safety: immutable.
    [[nodiscard]] auto nodes() const -> const std::vector<node_entry> & { return m_nodes; }

    //! Returns the node, or null if it is unknown. Thread safety: immutable.
    [[nodiscard]] auto find(const base::node_id &id) const -> const node_entry *;

    //! Returns the upstreams of a service on nodes in state `Alive` or `Suspect`, in any announced
    //! state except `Gone`. Thread safety: immutable.
    [[nodiscard]] auto upstreamsOf(const base::service_id &service) const
            -> const std::vector<upstream_place> &;

    //! Number of views published so far by the local directory. Thread safety: immutable.
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
