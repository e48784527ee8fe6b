#pragma once

#include "base/errorkind.h"
#include "base/ids.h"
#include "base/random.h"
#include "base/time.h"
#include "membership/view.h"
#include "policy/placementscope.h"
#include "policy/slots.h"

#include <compare>
#include <cstdint>
#include <memory>
#include <mutex>
#include <span>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace hawthornpick::policy {

//! Parameters of a `selector`.
struct selector_settings
{
    base::node_id self;
    base::region_id region;
    //! Maximum number of nodes of the own region that this node sends requests of a service to.
    std::uint32_t maxOwnRegionNodes = 24;
    //! Maximum number of nodes of other regions.
    std::uint32_t maxOtherRegionNodes = 8;
    std::uint64_t regionLinkBytesPerSecond = 1'000'000;
    //! Share of the idempotent requests that are sent to an ejected upstream as probes, so that it
    //! can end its probation.
    double probeShare = 0.01;
    //! Share of the requests for which this node's own upstream is not preferred although it is
    //! free. Without it each organisation is served by few upstreams at low load, and a failing
    //! upstream can't be told from a failing organisation.
    double comparisonShare = 0.25;

    auto operator<=>(const selector_settings &) const = default;
};

//! Properties of a request that determine its selection.
struct selection_request
{
    base::service_id service;
    base::organisation_id organisation;
    //! Time in which new and returning upstreams of the service reach their full share of requests.
    base::milliseconds warmUpDuration{5000};
    bool idempotent = false;
    //! Expected bytes of request and response, charged to the link if the request is sent to
    //! another region.
    std::uint64_t expectedBytes = 0;
    //! Nodes that have already refused or failed this request.
    std::span<const base::node_id> excludedNodes;
    //! Places where the request may be executed.
    placement_scope scope = {};
};

//! The node chosen for a request. The pointer is owned by the view passed to `choose`.
struct selection
{
    const membership::node_entry *node = nullptr;
    bool isOtherRegion = false;
    //! The node's upstream is ejected and the request is a probe.
    bool isProbe = false;
};

//! Chooses executing nodes for the requests that enter at one node.
//!
//! The own region is preferred: another region is used only if the own one has no usable upstream
//! or its estimated load exceeds its slots, and only within the byte budget of the link. Two nodes
//! of a deterministic subset are drawn, and the one with the shorter expected wait is chosen (power
//! of two choices).
//!
//! Thread safety: any thread; one short lock for each service.
class selector
{
public:
    //! `seed` initialises the random draws.
    selector(selector_settings settings, std::uint64_t seed);
    ~selector();

    selector(const selector &) = delete;
    auto operator=(const selector &) -> selector & = delete;

    //! Chooses a node and counts the request as in flight there until `onAnswer` or `onRefusal`.
    //! Errors: `NoUpstream`, `UpstreamEjected` (all are ejected or draining), `QueueFull` (all are
    //! full or excluded), `RegionLinkBusy` (only another region has a candidate and the byte budget
    //! is used up), `NoAllowedRegion` or `UpstreamEvacuated` (none is in the scope of the request).
    //! All mean that the request was not started.
    auto choose(const membership::view &view, const selection_request &request,
                base::time_point now) -> base::result<selection>;

    //! Records a response of the chosen node. `load` is the load carried on it.
    auto onAnswer(const base::service_id &service, const base::node_id &node,
                  const service_load &load, base::time_point now) -> void;

    //! Records that the chosen node refused the request before its start or did not respond; the
    //! node is avoided for a short time. After `QueueFull` it is avoided for the organisation only:
    //! a queue that is full for an organisation that floods it has room for others.
    auto onRefusal(const base::service_id &service, const base::node_id &node,
                   const base::organisation_id &organisation, base::error_kind kind,
                   base::time_point now) -> void;

    //! Charges bytes transferred between regions in addition to the expected ones.
    auto chargeRegionLink(std::uint64_t bytes, base::time_point now) -> void;

    //! Returns the total bytes charged to the link between regions.
    [[nodiscard]] auto chargedRegionLinkBytes() const -> std::uint64_t;

private:
    struct candidate;
    struct service_state;

    auto stateOf(const base::service_id &service) -> service_state &;
    auto tryChargeRegionLink(std::uint64_t bytes, base::time_point now) -> bool;
    auto refillRegionLink(base::time_point now) -> void;

    const selector_settings m_settings;
    mutable std::mutex m_mutex;
    std::unordered_map<base::service_id, std::unique_ptr<service_state>> m_services;
    const std::uint64_t m_seed;

    mutable std::mutex m_linkMutex;
    double m_linkByteBudget;
    std::uint64_t m_chargedBytes = 0;
    base::time_point m_linkRefilledAt{};
};

//! Orders nodes by rendezvous hashing of `subject`: the order depends only on the subject and the
//! set of nodes. Thread safety: pure.
auto rendezvousOrder(std::string_view subject, std::vector<base::node_id> nodes)
        -> std::vector<base::node_id>;

} // namespace hawthornpick::policy
