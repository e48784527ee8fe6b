#pragma once

#include "base/errorkind.h"
#include "base/random.h"
#include "base/time.h"
#include "membership/view.h"
#include "policy/placementscope.h"
#include "policy/servicebelief.h"
#include "policy/slots.h"

#include <map>
#include <unordered_map>
#include <vector>

namespace hawthornpick::policy {

struct placement_settings
{
    base::node_id self;
    base::region_id region;
    base::failure_domain_id failureDomain;
    //! Cost of one byte that crosses a region or failure-domain boundary, as a fraction of the
    //! benefit of one successful request.
    double regionCostPerByte = 2.7e-5;
    double failureDomainCostPerByte = 3.4e-6;
};

//! Requirements of a request on its upstream.
struct placement_request
{
    base::service_id service;
    base::route_id route;
    bool idempotent = false;
    std::uint64_t requestBytes = 0;
    std::vector<base::node_id> excludedNodes;
    base::time_point target;
    base::time_point deadline;
    //! Expected service time at an upstream.
    base::duration expectedServiceTime{};
    //! True if only upstreams with a free slot are eligible.
    bool needsFreeSlot = false;
    //! Places where the request may be executed.
    placement_scope scope = {};
    //! Number of nodes that callers are connected to; they share the rate of an upstream that may
    //! be given few requests a second.
    std::size_t entryNodeCount = 1;
    //! Regions that are believed to have no room; no request is sent there.
    std::vector<base::region_id> closedRegions = {};
};

//! The node chosen for a request.
struct placed_request
{
    //! Owned by the view that was passed to `choose`.
    const membership::node_entry *node = nullptr;
    //! Success probability and expected wait for a slot on which the choice was based.
    double health = 0.0;
    base::duration wait{};
};

//! Chooses the upstream for each request that enters at one node. Designed for load that differs
//! between upstreams, for upstreams of which about a third do not respond for seconds at a time,
//! and for network paths that are cut for some of the nodes only.
//!
//! Each upstream is scored by the probability of a response in time, derived from the load and
//! health that its node reported, the age of the report, the requests of this node in flight there
//! and the state of the path, less the cost of the transferred bytes.
//!
//! An upstream that may be given few requests a second by all nodes together, because it is cold or
//! names a limit, competes only while this node hasn't used its share of that rate. Beyond it, the
//! upstream is chosen only if no other one has a free slot, it hasn't refused a request for its
//! rate just before, and few others have refused this request so. Load pattern: the work of a
//! failure domain returns to upstreams that have all just started. Thread safety of all members:
//! one thread.
class placement
{
public:
    //! Age at which a report no longer contributes to an estimate.
    static constexpr base::milliseconds MAX_REPORT_AGE{3000};
    //! Age at which a reported start rate no longer counts. An upstream that may be given few
    //! requests reports rarely.
    static constexpr base::milliseconds MAX_START_RATE_AGE{10'000};
    //! Success probability of an upstream without a recent report: instances of a service fail
    //! about 30% of the time.
    static constexpr double DEFAULT_HEALTH = 0.75;
    //! A request that is not idempotent is refused rather than sent to an upstream below this
    //! success probability: its caller can retry after a refusal, but not after an attempt without
    //! a response.
    static constexpr double MIN_NON_IDEMPOTENT_HEALTH = 0.32;
    //! Rate of trial requests to one trial candidate, summed over all nodes.
    static constexpr double TRIALS_PER_SECOND = 0.6;
    //! Upstreams whose reported health is below this are trial candidates.
    static constexpr double TRIAL_HEALTH_LIMIT = 0.55;
    //! Trial requests are sent only on routes with a mean response size of at most this.
    static constexpr double MAX_TRIAL_RESPONSE_BYTES = 20'000.0;
    //! Backoff after the first failure of a path; doubles with each consecutive failure, up to
    //! `MAX_PATH_BACKOFF`.
    static constexpr base::milliseconds FIRST_PATH_BACKOFF{300};
    static constexpr base::milliseconds MAX_PATH_BACKOFF{2400};

    //! Upstreams that have refused a request for their start rate after which no other one is
    //! chosen beyond this node's share, so that a request is refused soon where all upstreams are
    //! limited.
    static constexpr std::ptrdiff_t MAX_START_REFUSALS = 2;

    placement(placement_settings settings, std::uint64_t seed);

    //! Chooses an upstream and counts the request as in flight there.
    //! Errors: `NoAllowedRegion` or `UpstreamEvacuated` if there are upstreams, but none in the
    //! scope of the request; `NoUpstream`; `UpstreamCold` or `UpstreamLimited` if each
    //! remaining upstream has refused a request for its rate just before; `PeerUnreachable` if
    //! every remaining upstream is behind a path in backoff; `Overloaded` if the remaining
    //! upstreams are below `MIN_NON_IDEMPOTENT_HEALTH` or in closed regions.
    auto choose(const membership::view &view, const placement_request &request,
                base::time_point now) -> base::result<placed_request>;

    //! Returns the error that `choose` would return, without choosing. Lets a caller be refused
    //! before it sends a large body.
    auto checkPlaceable(const membership::view &view, const placement_request &request,
                        base::time_point now) -> base::result<void>;

    //! Returns what is known of the room of the upstreams that can be chosen and probably respond.
    //! A region of which all upstreams are excluded has no room for the request.
    //! Precondition: no region is closed.
    [[nodiscard]] auto roomsFor(const membership::view &view, const placement_request &request,
                                base::time_point now) const -> std::vector<upstream_room>;

    //! Chooses an upstream that receives a trial request in addition to the request at the chosen
    //! upstream, or null. Candidates are upstreams that stopped responding or have no recent
    //! report; a trial request shows whether they respond again. Together the `entryNodeCount`
    //! entry nodes send each candidate a trial request about every second or two, using idempotent
    //! requests with short responses only. Upstreams that are cold or name a limit get them within
    //! this node's share only.
    //! Precondition: `choose` was called for the request.
    auto chooseTrial(const membership::view &view, const placement_request &request,
                     std::size_t entryNodeCount, base::time_point now)
            -> const membership::node_entry *;

    //! Records the end of an attempt. `load` is what the executing node reported with it.
    auto onAttemptEnd(const base::node_id &node, const base::service_id &service,
                      const std::optional<base::error_kind> &failure,
                      const std::optional<service_load> &load, base::time_point now) -> void;

    //! Records the load and health of an upstream that its node reported outside of a response.
    auto onLoad(const base::node_id &node, const base::service_id &service,
                const service_load &load, base::time_point now) -> void;

    //! Updates the mean response size of a route.
    auto onResponseBytes(const base::route_id &route, std::size_t bytes) -> void;

private:
    // State of one service on one node.
    struct node_service_state
    {
        service_load load;
        base::time_point reportedAt{};
        //! Requests of this node in flight there, and those sent since the last report.
        std::uint32_t inFlight = 0;
        std::uint32_t sentSinceReport = 0;
        base::time_point penalisedUntil{};
        //! Requests that this node's share of the start rate of the upstream admits, at most 1.
        double startTokens = 0.0;
        base::time_point startTokensAt{};
        //! Until then the upstream isn't chosen, because it refused a request for its start rate.
        base::time_point startRefusedUntil{};
        base::error_kind startRefusal = base::error_kind::UpstreamCold;
    };
    //! Whether the start rate of an upstream limits what may be sent there.
    enum class start_state : std::uint8_t {
        Unlimited,
        WithinShare,
        BeyondShare,
        Refusing,
    };
    struct path_state
    {
        base::time_point backoffUntil{};
        std::uint32_t consecutiveFailures = 0;
    };
    // Exponentially decayed count of this node's idempotent requests for a service.
    struct decayed_rate
    {
        double decayedCount = 0.0;
        base::time_point updatedAt{};
    };
    using node_service_key = std::pair<base::node_id, base::service_id>;

    auto findBest(const membership::view &view, const placement_request &request,
                  base::time_point now) -> base::result<membership::upstream_place>;
    [[nodiscard]] auto refusalFor(const membership::upstream_place &place,
                                  const placement_request &request, base::time_point now) const
            -> std::optional<base::error_kind>;
    [[nodiscard]] auto startRefusalsOf(const placement_request &request, base::time_point now) const
            -> std::ptrdiff_t;
    auto countInFlight(const membership::node_entry &node, const base::service_id &service) -> void;
    auto requestsPerSecond(const base::service_id &service, base::time_point now) -> double;
    [[nodiscard]] auto trialCandidates(const membership::view &view,
                                       const placement_request &request, base::time_point now) const
            -> std::vector<const membership::node_entry *>;
    // Returns a state without a report for a node and service that have none.
    [[nodiscard]] auto stateOf(const base::node_id &node, const base::service_id &service) const
            -> const node_service_state &;
    [[nodiscard]] auto scoreOf(const membership::upstream_place &place,
                               const node_service_state &state, const placement_request &request,
                               base::time_point now) const -> double;
    static auto roomOf(const base::region_id &region, const node_service_state &state,
                       base::time_point now) -> upstream_room;
    [[nodiscard]] auto hasFreeSlot(const node_service_state &state, std::uint32_t slots,
                                   base::time_point now) const -> bool;
    [[nodiscard]] auto expectedWait(const node_service_state &state, std::uint32_t usableSlots,
                                    double busySlots) const -> base::duration;
    [[nodiscard]] auto expectedBenefit(const node_service_state &state, std::uint32_t slots,
                                       const placement_request &request, base::duration remaining,
                                       base::time_point now) const -> double;
    [[nodiscard]] auto estimatedBusySlots(const node_service_state &state,
                                          std::uint32_t usableSlots, base::time_point now) const
            -> double;
    [[nodiscard]] auto estimatedUsableSlots(const node_service_state &state, std::uint32_t slots,
                                            base::time_point now) const -> std::uint32_t;
    [[nodiscard]] auto estimatedHealth(const node_service_state &state, base::time_point now) const
            -> double;
    [[nodiscard]] auto reportWeight(const node_service_state &state, base::time_point now) const
            -> double;
    [[nodiscard]] auto transferCost(const membership::node_entry &node,
                                    const placement_request &request) const -> double;
    [[nodiscard]] auto startStateOf(const node_service_state &state, std::size_t entryNodeCount,
                                    base::time_point now) const -> start_state;
    [[nodiscard]] auto startTokens(const node_service_state &state, std::size_t entryNodeCount,
                                   base::time_point now) const -> double;
    auto takeStartToken(node_service_state &state, std::size_t entryNodeCount, base::time_point now)
            -> void;
    [[nodiscard]] auto isPathInBackoff(const base::node_id &node, base::time_point now) const
            -> bool;

    placement_settings m_settings;
    base::random_source m_random;
    std::map<node_service_key, node_service_state> m_nodeServiceStates;
    std::unordered_map<base::node_id, path_state> m_paths;
    std::unordered_map<base::route_id, double> m_meanResponseBytes;
    std::unordered_map<base::service_id, decayed_rate> m_requestRates;
};

} // namespace hawthornpick::policy
