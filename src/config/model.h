#pragma once

#include "base/digest.h"
#include "base/ids.h"
#include "base/time.h"

#include <compare>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace hawthornpick::config {

//! A customer of the fleet. Rate and burst count over all hosts together.
struct organisation
{
    base::organisation_id id;
    //! Requests per second.
    double rate = 0.0;
    //! Requests that may be admitted at once on top of the rate.
    std::uint32_t burst = 0;
    //! Share of queue service relative to other organisations.
    std::uint32_t weight = 1;
    //! Rank of its requests, 0 being the most urgent; goes before the rank of the route.
    std::uint32_t priority = 0;

    auto operator<=>(const organisation &) const = default;
};

//! A key as its SHA-256. The key itself is known to its owner only.
struct key
{
    base::key_id id;
    base::organisation_id organisation;
    base::digest256 digest;

    auto operator<=>(const key &) const = default;
};

//! A set of interchangeable upstreams.
struct service
{
    base::service_id id;
    //! Share of the announced slots, 0 to 1, that ejection must leave in service.
    double floor = 0.6;
    //! Longest time that an upstream may take for one attempt.
    base::milliseconds timeout{5000};
    base::milliseconds connectTimeout{1000};
    //! Requests that may wait on one node for each slot of its upstreams.
    std::uint32_t queuePerSlot = 4;
    //! Retries allowed for each 100 first attempts.
    std::uint32_t retryPercent = 20;
    std::uint32_t maxAttempts = 3;
    //! Time over which a new or returning upstream reaches its full share.
    base::milliseconds warmUp{5000};

    auto operator<=>(const service &) const = default;
};

enum class route_access : std::uint8_t {
    Keyed,
    Open,
};

enum class idempotency_key_use : std::uint8_t {
    Optional,
    Required,
};

//! One part of a route whose requests are divided among several services.
struct weighted_service
{
    base::service_id service;
    //! Share of the requests relative to the other parts.
    std::uint32_t weight = 1;

    auto operator<=>(const weighted_service &) const = default;
};

//! Maps requests to a service.
struct route
{
    base::route_id id;
    //! Host header without port, in lower case; empty matches any host.
    std::string host;
    //! Absolute path; matches itself and everything below it at a segment border.
    std::string pathPrefix = "/";
    //! Methods in upper case, sorted; empty matches any method.
    std::vector<std::string> methods;
    base::service_id service;
    route_access access = route_access::Keyed;
    bool idempotent = true;
    idempotency_key_use idempotencyKey = idempotency_key_use::Optional;
    //! How long the record of an Idempotency-Key is kept.
    base::milliseconds recordLife{3600000};
    //! Deadline of a request that names none, and the largest that it may name.
    base::milliseconds deadline{10000};
    std::uint64_t maxBodyBytes = 10ULL * 1024 * 1024;
    //! Time within which an answer has its full value; 0 stands for the deadline.
    base::milliseconds targetLatency{0};
    //! Rank of its requests, 0 being the most urgent.
    std::uint32_t priority = 0;
    //! Upstreams that one request may run on; 0 stands for the limit of the service.
    std::uint32_t maxAttempts = 0;
    //! Empty if all requests go to `service`.
    std::vector<weighted_service> split = {};

    //! Time within which an answer has its full value.
    [[nodiscard]] auto effectiveTarget() const -> base::milliseconds
    {
        return targetLatency.count() > 0 ? targetLatency : deadline;
    }

    auto operator<=>(const route &) const = default;
};

//! What callers may send, and how long they may take for it.
struct caller_limits
{
    std::uint64_t headerBytes = 16ULL * 1024;
    base::milliseconds headerTime{10'000};
    //! Time for which an idle connection is kept.
    base::milliseconds idleTime{60'000};

    auto operator<=>(const caller_limits &) const = default;
};

//! The whole intended state as operators declare it; all vectors are sorted by id.
struct config_set
{
    std::vector<organisation> organisations;
    std::vector<key> keys;
    std::vector<service> services;
    std::vector<route> routes;
    caller_limits limits = {};

    auto operator<=>(const config_set &) const = default;
};

//! Finds an element of a sorted vector by its id; null if there is none.
//! Thread safety: pure.
auto findOrganisation(const config_set &set, const base::organisation_id &id)
        -> const organisation *;
auto findKey(const config_set &set, const base::key_id &id) -> const key *;
auto findService(const config_set &set, const base::service_id &id) -> const service *;
auto findRoute(const config_set &set, const base::route_id &id) -> const route *;

//! Services that requests of a route may run on: the parts of its split, or its only service.
//! Thread safety: pure.
auto servicesOf(const route &item) -> std::vector<weighted_service>;

//! Canonical bytes of a set: equal sets give equal bytes. Used for digests, the log and transfer.
//! Thread safety: pure.
auto encode(const config_set &set) -> std::string;

//! Reverses `encode`; nothing if the bytes are damaged. Thread safety: pure.
auto decode(std::string_view bytes) -> std::optional<config_set>;

//! Digest of the canonical bytes. Thread safety: pure.
auto digestOf(const config_set &set) -> base::digest256;

} // namespace hawthornpick::config
