#pragma once

#include <array>
#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace hawthornpick::base {

//! Name of an object. `Tag` makes the names of different kinds of objects different types that do
//! not convert to each other.
template <typename Tag>
class name
{
public:
    name() = default;
    explicit name(std::string value) : m_value(std::move(value)) {}

    //! Returns the text of the name. Thread safety: immutable.
    [[nodiscard]] auto str() const -> const std::string & { return m_value; }

    //! Returns true if the text is empty, as in a default-constructed name. Thread safety:
    //! immutable.
    [[nodiscard]] auto empty() const -> bool { return m_value.empty(); }

    auto operator<=>(const name &) const = default;

private:
    std::string m_value;
};

using node_id = name<struct node_tag>;
using organisation_id = name<struct organisation_tag>;
using key_id = name<struct key_tag>;
using service_id = name<struct service_tag>;
using route_id = name<struct route_tag>;
//! Unique in the fleet; has the form `<node>/<local name>`.
using upstream_id = name<struct upstream_tag>;
using region_id = name<struct region_tag>;
using failure_domain_id = name<struct failure_domain_tag>;

//! Number of a run of a node or an upstream; increases at each restart.
using incarnation = std::uint64_t;
//! Version number of an accepted configuration; 0 if none has been accepted yet.
using config_version = std::uint64_t;

//! Random 128-bit identifier of an attempt to execute a request.
struct attempt_id
{
    std::uint64_t high = 0;
    std::uint64_t low = 0;

    auto operator<=>(const attempt_id &) const = default;
};

} // namespace hawthornpick::base

template <typename Tag>
struct std::hash<hawthornpick::base::name<Tag>>
{
    auto operator()(const hawthornpick::base::name<Tag> &id) const noexcept -> std::size_t
    {
        return std::hash<std::string>{}(id.str());
    }
};

template <>
struct std::hash<hawthornpick::base::attempt_id>
{
    auto operator()(const hawthornpick::base::attempt_id &id) const noexcept -> std::size_t
    {
        return id.high ^ (id.low * 0x9E3779B97F4A7C15ULL);
    }
};
