#include "config/model.h"

#include "base/thriftcodec.h"
#include "config/generated/configwire_types.h"

#include <algorithm>

namespace hawthornpick::config {

namespace {

template <typename Item, typename Id>
auto findSorted(const std::vector<Item> &items, const Id &id) -> const Item *
{
    const auto position =
            std::lower_bound(items.begin(), items.end(), id,
                             [](const Item &item, const Id &wanted) { return item.id < wanted; });
    if (position == items.end() || position->id != id) {
        return nullptr;
    }
    return &*position;
}

template <typename Item>
auto isSortedById(const std::vector<Item> &items) -> bool
{
    return std::is_sorted(items.begin(), items.end(),
                          [](const Item &left, const Item &right) { return left.id < right.id; });
}

auto toWire(const std::vector<base::region_id> &regions) -> std::vector<std::string>
{
    std::vector<std::string> out;
    out.reserve(regions.size());
    for (const auto &region : regions) {
        out.push_back(region.str());
    }
    return out;
}

auto regionsFromWire(const std::vector<std::string> &names) -> std::vector<base::region_id>
{
    std::vector<base::region_id> out;
    out.reserve(names.size());
    for (const auto &name : names) {
        out.emplace_back(name);
    }
    return out;
}

auto toWire(const organisation &item) -> wire::organisation
{
    wire::organisation out;
    out.id = item.id.str();
    out.rate = item.rate;
    out.burst = item.burst;
    out.weight = item.weight;
    out.priority = item.priority;
    out.allowed_regions = toWire(item.allowedRegions);
    return out;
}

auto toWire(const key &item) -> wire::api_key
{
    wire::api_key out;
    out.id = item.id.str();
    out.organisation = item.organisation.str();
    out.digest = base::toBytes(item.digest);
    return out;
}

auto toWire(const service &item) -> wire::service_entry
{
    wire::service_entry out;
    out.id = item.id.str();
    out.floor = item.floor;
    out.timeout_ms = item.timeout.count();
    out.connect_timeout_ms = item.connectTimeout.count();
    out.queue_per_slot = item.queuePerSlot;
    out.retry_percent = item.retryPercent;
    out.max_attempts = item.maxAttempts;
    out.warm_up_ms = item.warmUp.count();
    out.cold_rate = item.coldRate;
    out.cold_ms = item.coldTime.count();
    out.health_path = item.healthPath;
    return out;
}

auto toWire(const route &item) -> wire::route_entry
{
    wire::route_entry out;
    out.id = item.id.str();
    out.host = item.host;
    out.path_prefix = item.pathPrefix;
    out.methods = item.methods;
    out.service_name = item.service.str();
    out.access = static_cast<std::int8_t>(item.access);
    out.idempotent = item.idempotent;
    out.idempotency_key = static_cast<std::int8_t>(item.idempotencyKey);
    out.record_life_ms = item.recordLife.count();
    out.deadline_ms = item.deadline.count();
    out.max_body_bytes = static_cast<std::int64_t>(item.maxBodyBytes);
    out.target_latency_ms = item.targetLatency.count();
    out.priority = item.priority;
    out.max_attempts = item.maxAttempts;
    for (const auto &part : item.split) {
        wire::weighted_service wirePart;
        wirePart.service_name = part.service.str();
        wirePart.weight = part.weight;
        out.split.push_back(std::move(wirePart));
    }
    out.large_bodies = item.hasLargeBodies;
    out.allowed_regions = toWire(item.allowedRegions);
    return out;
}

auto toWire(const caller_limits &item) -> wire::caller_limits
{
    wire::caller_limits out;
    out.header_bytes = static_cast<std::int64_t>(item.headerBytes);
    out.header_ms = item.headerTime.count();
    out.idle_ms = item.idleTime.count();
    return out;
}

auto fromWire(const wire::caller_limits &item) -> caller_limits
{
    return {static_cast<std::uint64_t>(item.header_bytes), base::milliseconds(item.header_ms),
            base::milliseconds(item.idle_ms)};
}

auto fromWire(const std::vector<wire::weighted_service> &items) -> std::vector<weighted_service>
{
    std::vector<weighted_service> out;
    out.reserve(items.size());
    for (const auto &item : items) {
        out.push_back(
                {base::service_id(item.service_name), static_cast<std::uint32_t>(item.weight)});
    }
    return out;
}

auto fromWire(const wire::organisation &item) -> organisation
{
    return {base::organisation_id(item.id),
            item.rate,
            static_cast<std::uint32_t>(item.burst),
            static_cast<std::uint32_t>(item.weight),
            static_cast<std::uint32_t>(item.priority),
            regionsFromWire(item.allowed_regions)};
}

auto fromWire(const wire::service_entry &item) -> service
{
    return {base::service_id(item.id),
            item.floor,
            base::milliseconds(item.timeout_ms),
            base::milliseconds(item.connect_timeout_ms),
            static_cast<std::uint32_t>(item.queue_per_slot),
            static_cast<std::uint32_t>(item.retry_percent),
            static_cast<std::uint32_t>(item.max_attempts),
            base::milliseconds(item.warm_up_ms),
            item.cold_rate,
            base::milliseconds(item.cold_ms),
            item.health_path};
}

auto fromWire(const wire::route_entry &item) -> route
{
    return {base::route_id(item.id),
            item.host,
            item.path_prefix,
            item.methods,
            base::service_id(item.service_name),
            static_cast<route_access>(item.access),
            item.idempotent,
            static_cast<idempotency_key_use>(item.idempotency_key),
            base::milliseconds(item.record_life_ms),
            base::milliseconds(item.deadline_ms),
            static_cast<std::uint64_t>(item.max_body_bytes),
            base::milliseconds(item.target_latency_ms),
            static_cast<std::uint32_t>(item.priority),
            static_cast<std::uint32_t>(item.max_attempts),
            fromWire(item.split),
            item.large_bodies,
            regionsFromWire(item.allowed_regions)};
}

} // namespace

auto findOrganisation(const config_set &set, const base::organisation_id &id)
        -> const organisation *
{
    return findSorted(set.organisations, id);
}

auto findKey(const config_set &set, const base::key_id &id) -> const key *
{
    return findSorted(set.keys, id);
}

auto findService(const config_set &set, const base::service_id &id) -> const service *
{
    return findSorted(set.services, id);
}

auto findRoute(const config_set &set, const base::route_id &id) -> const route *
{
    return findSorted(set.routes, id);
}

auto evacuationsOf(const config_set &set, base::config_version version) -> base::evacuation_list
{
    base::evacuation_list list{version, {}};
    for (const auto &item : set.evacuations) {
        list.items.push_back({item.id, 0});
    }
    return list;
}

auto withEvacuation(config_set set, const base::failure_domain_id &failureDomain, bool isEvacuated)
        -> config_set
{
    const declared_evacuation item{failureDomain};
    std::erase(set.evacuations, item);
    if (isEvacuated) {
        set.evacuations.insert(
                std::lower_bound(set.evacuations.begin(), set.evacuations.end(), item), item);
    }
    return set;
}

auto targetServices(const route &item) -> std::vector<weighted_service>
{
    if (!item.split.empty()) {
        return item.split;
    }
    return {{item.service, 1}};
}

auto encode(const config_set &set) -> std::string
{
    wire::config_set out;
    for (const auto &item : set.organisations) {
        out.organisations.push_back(toWire(item));
    }
    for (const auto &item : set.keys) {
        out.keys.push_back(toWire(item));
    }
    for (const auto &item : set.services) {
        out.services.push_back(toWire(item));
    }
    for (const auto &item : set.routes) {
        out.routes.push_back(toWire(item));
    }
    out.limits = toWire(set.limits);
    if (!set.evacuations.empty()) {
        std::vector<std::string> names;
        for (const auto &item : set.evacuations) {
            names.push_back(item.id.str());
        }
        out.__set_evacuations(names);
    }
    return base::encodeThrift(out);
}

auto decode(std::string_view bytes) -> std::optional<config_set>
{
    const auto in = base::decodeThrift<wire::config_set>(bytes);
    if (!in) {
        return std::nullopt;
    }
    config_set set;
    for (const auto &item : in->organisations) {
        set.organisations.push_back(fromWire(item));
    }
    for (const auto &item : in->keys) {
        const auto digest = base::digestFromBytes(item.digest);
        if (!digest) {
            return std::nullopt;
        }
        set.keys.push_back(
                {base::key_id(item.id), base::organisation_id(item.organisation), *digest});
    }
    for (const auto &item : in->services) {
        set.services.push_back(fromWire(item));
    }
    for (const auto &item : in->routes) {
        set.routes.push_back(fromWire(item));
    }
    set.limits = fromWire(in->limits);
    for (const auto &name : in->evacuations) {
        set.evacuations.push_back({base::failure_domain_id(name)});
    }
    if (!isSortedById(set.organisations) || !isSortedById(set.keys) || !isSortedById(set.services)
        || !isSortedById(set.routes) || !isSortedById(set.evacuations)) {
        return std::nullopt;
    }
    return set;
}

auto digestOf(const config_set &set) -> base::digest256
{
    return base::sha256(encode(set));
}

} // namespace hawthornpick::config
