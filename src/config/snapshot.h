#pragma once

#include "base/ids.h"
#include "base/snapshotcell.h"
#include "config/model.h"

#include <memory>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace hawthornpick::config {

//! Result of matching a request against the routes.
struct route_match
{
    //! Null if no route matches.
    const route *found = nullptr;
    //! True if a route matches host and path but not the method.
    bool methodMismatch = false;
};

//! An accepted set with its version and lookup tables. Immutable.
class snapshot
{
public:
    //! Version 0 with no content stands for "no configuration yet".
    snapshot();
    snapshot(base::config_version version, config_set set);

    snapshot(const snapshot &) = delete;
    auto operator=(const snapshot &) -> snapshot & = delete;

    //! Thread safety of all members: immutable.
    [[nodiscard]] auto version() const -> base::config_version { return m_version; }
    [[nodiscard]] auto set() const -> const config_set & { return m_set; }

    //! Finds the most specific route: named host before any host, then the longest path prefix,
    //! then named methods before any method.
    //! Precondition: `host` is in lower case and without port; `path` has no query.
    [[nodiscard]] auto match(std::string_view host, std::string_view path,
                             std::string_view method) const -> route_match;

    //! Finds a key by the SHA-256 of its text and compares in constant time; null if it is unknown.
    [[nodiscard]] auto keyByDigest(const base::digest256 &digest) const -> const key *;

    [[nodiscard]] auto keyById(const base::key_id &id) const -> const key *;
    [[nodiscard]] auto organisationById(const base::organisation_id &id) const
            -> const organisation *;
    [[nodiscard]] auto serviceById(const base::service_id &id) const -> const service *;

private:
    base::config_version m_version = 0;
    config_set m_set;
    std::unordered_map<std::uint64_t, std::vector<const key *>> m_keysByDigestPrefix;
    std::unordered_map<std::string, std::vector<const route *>> m_routesByHost;
};

using snapshot_pointer = std::shared_ptr<const snapshot>;
using snapshot_cell = base::snapshot_cell<snapshot>;

} // namespace hawthornpick::config
