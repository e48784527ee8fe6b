#pragma once

#include "base/digest.h"
#include "base/evacuation.h"
#include "base/ids.h"
#include "base/time.h"

#include <compare>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace hawthornpick::config {

//! A customer whose requests the fleet admits. Rate and burst apply to the sum over all hosts.
struct organisation
{
    base::organisation_id id;
    //! Sustained admission rate in requests per second.
    double rate = 0.0;
    //! Number of requests that may be admitted at once on top of the rate.
    std::uint32_t burst = 0;
    //! Weight in queue scheduling, relative to the weights of other organisations.
    std::uint32_t weight = 1;
    //! Priority of its requests, 0 being the highest; compared before the priority of the route.
    std::uint32_t priority = 0;
    //! Regions in which its requests may be executed, sorted; empty allows all.
    std::vector<base::region_id> allowedRegions = {};

    auto operator<=>(const organisation &) const = default;
};

//! An API key, stored as its SHA-256 digest only; the plain text is never stored.
struct key
{
    base::key_id id;
    base::organisation_id organisation;
    base::digest256 digest;

    auto operator<=>(const key &) const = default;
};

//! A set of interchangeable upstreams and the limits for requests to them.
struct service
{
    base::service_id id;
    //! Minimum share of the announced slots, 0 to 1, that outlier ejection leaves in service.
    double floor = 0.6;
    //! Timeout of one attempt on an upstream.
    base::milliseconds timeout{5000};
    base::milliseconds connectTimeout{1000};
    //! Maximum number of queued requests on one node for each slot of its upstreams.
    std::uint32_t queuePerSlot = 4;
    //! Retry budget: number of retries allowed for each 100 first attempts.
    std::uint32_t retryPercent = 20;
    std::uint32_t maxAttempts = 3;
    //! Slow-start time in which a new or returning upstream ramps up to its full share of requests.
    base::milliseconds warmUp{5000};
    //! Requests per second that an upstream may be given while it is cold; 0 means no limit.
    double coldRate = 0.0;
    //! Time for which an upstream stays cold after its start.
    base::milliseconds coldTime{0};
    //! Path of a GET request that an upstream answers with its state; empty if there is none.
    std::string healthPath = {};

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

//! One target of a route that splits its requests among several services.
struct weighted_service
{
    base::service_id service;
    //! Weight relative to the other targets of the route.
    std::uint32_t weight = 1;

    auto operator<=>(const weighted_service &) const = default;
};

//! Maps requests to one service, or to several by weight.
struct route
{
    base::route_id id;
    //! Host header to match, without port and in lower case; empty matches any host.
    std::string host;
    //! Absolute path; matches this path and all paths below it, at segment boundaries only.
    std::string pathPrefix = "/";
    //! HTTP methods to match, in upper case and sorted; empty matches any method.
    std::vector<std::string> methods;
    base::service_id service;
    route_access access = route_access::Keyed;
    bool idempotent = true;
    idempotency_key_use idempotencyKey = idempotency_key_use::Optional;
    //! Retention time of the record of an Idempotency-Key.
    base::milliseconds recordLife{3600000};
    //! Default deadline of a request, and the maximum deadline that a request may ask for.
    base::milliseconds deadline{10000};
    std::uint64_t maxBodyBytes = 10ULL * 1024 * 1024;
    //! Response latency up to which an answer has its full value; 0 means the deadline.
    base::milliseconds targetLatency{0};
    //! Priority of its requests, 0 being the highest.
    std::uint32_t priority = 0;
    //! Maximum number of attempts for one request; 0 means the limit of the service.
    std::uint32_t maxAttempts = 0;
    //! Weighted targets; empty if all requests go to `service`.
    std::vector<weighted_service> split = {};
    //! True if callers send large bodies on this route. The entry node refuses a request that can't
    //! be placed before it reads the body, and buffers more of the body before it sends an attempt.
    bool hasLargeBodies = false;
    //! Regions in which its requests may be executed, sorted; empty allows all. Where the route and
    //! the organisation both name regions, both lists bind.
    std::vector<base::region_id> allowedRegions = {};

    //! Returns the response latency up to which an answer has its full value.
    [[nodiscard]] auto effectiveTarget() const -> base::milliseconds
    {
        return targetLatency.count() > 0 ? targetLatency : deadline;
    }

    auto operator<=>(const route &) const = default;
};

//! Limits on the connections and request headers of callers.
struct caller_limits
{
    std::uint64_t headerBytes = 16ULL * 1024;
    base::milliseconds headerTime{10'000};
    //! Time after which an idle connection is closed.
    base::milliseconds idleTime{60'000};

    auto operator<=>(const caller_limits &) const = default;
};

//! A failure domain to whose upstreams no request is sent.
struct declared_evacuation
{
    base::failure_domain_id id;

    auto operator<=>(const declared_evacuation &) const = default;
};

//! The complete configuration that operators declare; all vectors are sorted by id.
struct config_set
{
    std::vector<organisation> organisations;
    std::vector<key> keys;
    std::vector<service> services;
    std::vector<route> routes;
    caller_limits limits = {};
    std::vector<declared_evacuation> evacuations = {};

    auto operator<=>(const config_set &) const = default;
};

//! Find an element of a set by its id; return null if there is none.
//! Precondition: the vectors of the set are sorted by id. Thread safety: pure.
auto findOrganisation(const config_set &set, const base::organisation_id &id)
        -> const organisation *;
auto findKey(const config_set &set, const base::key_id &id) -> const key *;
auto findService(const config_set &set, const base::service_id &id) -> const service *;
auto findRoute(const config_set &set, const base::route_id &id) -> const route *;

//! Returns the evacuations of a set with `version` as their revision. Thread safety: pure.
auto evacuationsOf(const config_set &set, base::config_version version) -> base::evacuation_list;

//! Returns a set in which a failure domain is evacuated or not. Thread safety: pure.
auto withEvacuation(config_set set, const base::failure_domain_id &failureDomain, bool isEvacuated)
        -> config_set;

//! Returns the target services of a route: the parts of its split, or its service with weight 1.
//! Thread safety: pure.
auto targetServices(const route &item) -> std::vector<weighted_service>;

//! Returns the canonical encoding of a set: equal sets give equal bytes. Used for digests, for the
//! replicated log and for transfer between nodes.
//! Thread safety: pure.
auto encode(const config_set &set) -> std::string;

//! Decodes the result of `encode`; returns nothing if the bytes are malformed or their items are
//! not sorted by id. Thread safety: pure.
auto decode(std::string_view bytes) -> std::optional<config_set>;

//! Returns the SHA-256 of the canonical encoding. Thread safety: pure.
auto digestOf(const config_set &set) -> base::digest256;

} // namespace hawthornpick::config
