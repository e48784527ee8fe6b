#pragma once

#include "policy/selector.h"

#include <array>
#include <optional>

namespace hawthornpick::policy {

//! One upstream of a candidate as the view describes it.
struct ready_upstream
{
    base::upstream_id id;
    base::incarnation incarnation = 0;
    std::uint32_t slots = 0;
    base::time_point readySince{};
};

//! One node that runs the service, with what this node knows of its load.
struct selector::candidate
{
    base::node_id node;
    std::vector<ready_upstream> ready;
    std::uint32_t ejectedSlots = 0;
    service_load load;
    base::time_point loadTime{};
    std::uint32_t outstanding = 0;
    std::uint32_t sentSinceLoad = 0;
    base::time_point avoidUntil{};
    //! As above for organisations with full queues, by hash.
    std::array<base::time_point, 16> fullUntil{};

    //! Time until which the node is left alone after a full queue.
    auto fullFor(const base::organisation_id &organisation) -> base::time_point &;

    //! True if the request may be sent here now.
    auto accepts(const selection_request &request, base::time_point now) -> bool;

    //! Takes the state of the node's upstreams from a view. Upstreams that were not ready before
    //! warm up from `newSince`.
    auto update(const std::vector<const membership::upstream_entry *> &upstreams,
                base::time_point newSince) -> void;

    //! Ready slots, with cold upstreams counted in part.
    [[nodiscard]] auto effectiveSlots(base::duration warmUp, base::time_point now) const -> double;

    //! Estimated number of running and waiting requests.
    [[nodiscard]] auto estimatedLoad(base::time_point now) const -> double;

    //! Estimated wait in seconds; a small term for occupied slots breaks ties between free nodes.
    [[nodiscard]] auto score(double meanService, base::duration warmUp, base::time_point now) const
            -> double;
};

//! Candidates of one service in the own and in the other regions.
struct selector::service_state
{
    explicit service_state(std::uint64_t seed) : random(seed) {}

    std::mutex mutex;
    base::random_source random;
    std::optional<std::uint64_t> viewVersion;
    std::vector<candidate> own;
    std::vector<candidate> remote;

    auto rebuild(const membership::view &view, const selector_settings &settings,
                 const selection_request &request, base::time_point now) -> void;
    auto find(const base::node_id &node) -> candidate *;
    [[nodiscard]] auto isShort(const selection_request &request, base::time_point now) const
            -> bool;
    auto pickTwo(std::vector<candidate> &pool, const selection_request &request,
                 base::time_point now) -> candidate *;
    auto pickLocal(const base::node_id &self, const selection_request &request,
                   base::time_point now) -> candidate *;
    auto pickProbe(const selection_request &request, double share, base::time_point now)
            -> candidate *;
    [[nodiscard]] auto refusal() const -> base::error_kind;
    [[nodiscard]] auto meanService() const -> double;
};

} // namespace hawthornpick::policy
