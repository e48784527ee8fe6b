#include "config/snapshot.h"

#include <algorithm>
#include <cstring>
#include <tuple>

namespace hawthornpick::config {

namespace {

auto digestPrefix(const base::digest256 &digest) -> std::uint64_t
{
    std::uint64_t prefix = 0;
    std::memcpy(&prefix, digest.bytes.data(), sizeof(prefix));
    return prefix;
}

auto matchesPath(const route &candidate, std::string_view path) -> bool
{
    const std::string_view prefix = candidate.pathPrefix;
    if (!path.starts_with(prefix)) {
        return false;
    }
    return prefix.ends_with('/') || path.size() == prefix.size() || path[prefix.size()] == '/';
}

auto matchesMethod(const route &candidate, std::string_view method) -> bool
{
    return candidate.methods.empty()
           || std::find(candidate.methods.begin(), candidate.methods.end(), method)
                      != candidate.methods.end();
}

// Orders routes by descending prefix length, then routes with methods before routes for any method,
// then by id to make the order deterministic.
auto isMoreSpecific(const route *left, const route *right) -> bool
{
    return std::tuple(right->pathPrefix.size(), left->methods.empty(), left->id)
           < std::tuple(left->pathPrefix.size(), right->methods.empty(), right->id);
}

} // namespace

snapshot::snapshot() = default;

snapshot::snapshot(base::config_version version, config_set set)
    : m_version(version), m_set(std::move(set))
{
    for (const auto &item : m_set.keys) {
        m_keysByDigestPrefix[digestPrefix(item.digest)].push_back(&item);
    }
    for (const auto &item : m_set.routes) {
        m_routesByHost[item.host].push_back(&item);
    }
    for (auto &[host, routes] : m_routesByHost) {
        std::sort(routes.begin(), routes.end(), isMoreSpecific);
    }
}

auto snapshot::match(std::string_view host, std::string_view path, std::string_view method) const
        -> route_match
{
    route_match result;
    for (const auto &routeHost : {std::string(host), std::string()}) {
        const auto routes = m_routesByHost.find(routeHost);
        if (routes == m_routesByHost.end()) {
            continue;
        }
        for (const auto *candidate : routes->second) {
            if (!matchesPath(*candidate, path)) {
                continue;
            }
            if (matchesMethod(*candidate, method)) {
                return {candidate, false};
            }
            result.methodMismatch = true;
        }
    }
    return result;
}

auto snapshot::keyByDigest(const base::digest256 &digest) const -> const key *
{
    const auto bucket = m_keysByDigestPrefix.find(digestPrefix(digest));
    if (bucket == m_keysByDigestPrefix.end()) {
        return nullptr;
    }
    const key *found = nullptr;
    for (const auto *candidate : bucket->second) {
        if (base::equalConstantTime(candidate->digest, digest)) {
            found = candidate;
        }
    }
    return found;
}

auto snapshot::keyById(const base::key_id &id) const -> const key *
{
    return findKey(m_set, id);
}

auto snapshot::organisationById(const base::organisation_id &id) const -> const organisation *
{
    return findOrganisation(m_set, id);
}

auto snapshot::serviceById(const base::service_id &id) const -> const service *
{
    return findService(m_set, id);
}

} // namespace hawthornpick::config
