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
    //! The matching route; null if no route matches.
    const route *found = nullptr;
    //! True if no route matches, but at least one matches host and path and only its methods
    //! differ.
    bool methodMismatch = false;
};

//! An accepted configuration with its version and lookup tables. Immutable.
class snapshot
{
public:
    //! Creates the empty snapshot of version 0, which means that no configuration was accepted yet.
    snapshot();
    snapshot(base::config_version version, config_set set);

    snapshot(const snapshot &) = delete;
    auto operator=(const snapshot &) -> snapshot & = delete;

    //! Thread safety of all members: immutable.
    [[nodiscard]] auto version() const -> base::config_version { return m_version; }
    [[nodiscard]] auto set() const -> const config_set & { return m_set; }

    //! Finds the most specific matching route. Routes with a host take precedence over routes for
    //! any host, then longer path prefixes over shorter ones, then routes with methods over routes
    //! for any method.
    //! Precondition: `host` is in lower case and has no port; `path` has no query.
    [[nodiscard]] auto match(std::string_view host, std::string_view path,
                             std::string_view method) const -> route_match;

    //! Finds a key by the SHA-256 of its plain text; returns null if there is none. Digests are
    //! compared in constant time.
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
