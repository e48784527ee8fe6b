#pragma once

#include "policy/selector.h"

#include <array>
#include <optional>

namespace hawthornpick::policy {

//! A ready upstream of a candidate, as described by the view.
struct ready_upstream
{
    base::upstream_id id;
    base::incarnation incarnation = 0;
    std::uint32_t slots = 0;
    base::time_point readySince{};
};

//! A node with upstreams of the service, and the latest report of its load.
struct selector::candidate
{
    base::node_id node;
    base::region_id region;
    base::failure_domain_id failureDomain;
    std::vector<ready_upstream> readyUpstreams;
    std::uint32_t ejectedSlots = 0;
    service_load load;
    base::time_point reportedAt{};
    std::uint32_t inFlight = 0;
    std::uint32_t sentSinceReport = 0;
    base::time_point backoffUntil{};
    //! As above for single organisations after `QueueFull`, indexed by hash.
    std::array<base::time_point, 16> queueFullUntil{};

    //! Returns the time until which the node is avoided for an organisation after `QueueFull`.
    auto queueFullUntilFor(const base::organisation_id &organisation) -> base::time_point &;

    //! Returns true if the request may be sent to this node now.
    auto accepts(const selection_request &request, base::time_point now) -> bool;

    //! Updates the node's upstreams from a view. Upstreams that were not ready before warm up from
    //! `newReadySince`.
    auto update(const std::vector<const membership::upstream_entry *> &upstreams,
                base::time_point newReadySince) -> void;

    //! Returns the ready slots, counting those of upstreams in warm-up in part.
    [[nodiscard]] auto effectiveSlots(base::duration warmUp, base::time_point now) const -> double;

    //! Returns the estimated number of running and waiting requests.
    [[nodiscard]] auto estimatedLoad(base::time_point now) const -> double;

    //! Returns the estimated wait in seconds plus a small term for busy slots that breaks ties
    //! between nodes with free slots.
    [[nodiscard]] auto waitCost(double meanServiceSeconds, base::duration warmUp,
                                base::time_point now) const -> double;
};

//! Candidates of one service in the own region and in other regions.
struct selector::service_state
{
    explicit service_state(std::uint64_t seed) : random(seed) {}

    std::mutex mutex;
    base::random_source random;
    std::optional<std::uint64_t> viewVersion;
    std::vector<candidate> ownRegion;
    std::vector<candidate> otherRegions;
    //! Further nodes of other regions, for requests that may not be executed everywhere.
    std::vector<candidate> scopedCandidates;

    auto updateFromView(const membership::view &view, const selector_settings &settings,
                        const selection_request &request, base::time_point now) -> void;
    auto find(const base::node_id &node) -> candidate *;
    //! Returns why no candidate is in the scope of the request, or nothing if one is or if there is
    //! none.
    [[nodiscard]] auto scopeRefusal(const selection_request &request) const
            -> std::optional<base::error_kind>;
    //! Returns the candidates of other regions that a request may use.
    auto otherRegionPools(const selection_request &request)
            -> std::vector<std::vector<candidate> *>;
    [[nodiscard]] auto isOwnRegionOverloaded(const selection_request &request,
                                             base::time_point now) const -> bool;
    auto pickBetterOfTwo(const std::vector<std::vector<candidate> *> &pools,
                         const selection_request &request, base::time_point now) -> candidate *;
    auto pickOwnNode(const base::node_id &self, const selection_request &request,
                     base::time_point now) -> candidate *;
    auto pickProbe(const selection_request &request, double share, base::time_point now)
            -> candidate *;
    [[nodiscard]] auto unavailabilityError(const selection_request &request) const
            -> base::error_kind;
    [[nodiscard]] auto meanServiceSeconds() const -> double;
};

} // namespace hawthornpick::policy
