#pragma once

#include "base/errorkind.h"
#include "base/ids.h"
#include "base/random.h"
#include "base/time.h"
#include "membership/view.h"
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
    //! Most nodes of the own region that one node sends requests of a service to.
    std::uint32_t subsetSize = 24;
    //! Most nodes of other regions.
    std::uint32_t remoteSubsetSize = 8;
    std::uint64_t regionLinkBytesPerSecond = 1'000'000;
    //! Share of idempotent requests that go to an ejected upstream, so that it can prove itself.
    double probeShare = 0.01;
    //! Share of requests that are not kept on this node although its upstream is free. Without it
    //! each organisation is served by few upstreams at low load, and a failing one can't be told
    //! from a failing organisation.
    double comparisonShare = 0.25;

    auto operator<=>(const selector_settings &) const = default;
};

//! What the selector must know about a request.
struct selection_request
{
    base::service_id service;
    base::organisation_id organisation;
    //! Time over which new and returning upstreams of the service reach their full share.
    base::milliseconds warmUp{5000};
    bool idempotent = false;
    //! Expected bytes of request and answer, charged if it goes to another region.
    std::uint64_t expectedBytes = 0;
    //! Nodes that have refused or failed this request.
    std::span<const base::node_id> excluded;
};

//! Where to send a request. The pointers belong to the view given to `choose`.
struct selection
{
    const membership::node_entry *node = nullptr;
    bool otherRegion = false;
    //! The node's upstream is ejected and the request may help to return it.
    bool probe = false;
};

//! Chooses executing nodes for the requests that enter at one node.
//!
//! Own region first: another region is used only when the own one has no usable upstream or when
//! its reported load is above its slots, and only within the byte budget of the link. Among the
//! nodes of a deterministic subset two are drawn and the one with the shorter expected time is
//! taken.
//!
//! Thread safety: any thread; one short lock for each service.
class selector
{
public:
    //! `seed` starts the random draws.
    selector(selector_settings settings, std::uint64_t seed);
    ~selector();

    selector(const selector &) = delete;
    auto operator=(const selector &) -> selector & = delete;

    //! Chooses a node and counts the request as on its way there until `onAnswer` or `onRefusal`.
    //! Errors: `NoUpstream`, `UpstreamEjected` (all are ejected or draining), `QueueFull` (all are
    //! full or were tried), `RegionLinkBusy` (only the other region could take it and the byte
    //! budget is used up). All mean "not run".
    auto choose(const membership::view &view, const selection_request &request,
                base::time_point now) -> base::result<selection>;

    //! The chosen node has answered. `load` is the state carried on the answer.
    auto onAnswer(const base::service_id &service, const base::node_id &node,
                  const service_load &load, base::time_point now) -> void;

    //! The chosen node refused before start or gave no answer, and is left alone for a short time.
    //! After `QueueFull` this holds for the organisation only: a queue that is full for one that
    //! floods it has room for others.
    auto onRefusal(const base::service_id &service, const base::node_id &node,
                   const base::organisation_id &organisation, base::error_kind kind,
                   base::time_point now) -> void;

    //! Charges bytes that crossed the link between regions beyond the expected ones.
    auto chargeRegionLink(std::uint64_t bytes, base::time_point now) -> void;

    //! Bytes charged to the link between regions so far.
    [[nodiscard]] auto regionLinkBytes() const -> std::uint64_t;

private:
    struct candidate;
    struct service_state;

    auto stateOf(const base::service_id &service) -> service_state &;
    auto tryRegionLink(std::uint64_t bytes, base::time_point now) -> bool;
    auto refillRegionLink(base::time_point now) -> void;

    const selector_settings m_settings;
    mutable std::mutex m_mutex;
    std::unordered_map<base::service_id, std::unique_ptr<service_state>> m_services;
    const std::uint64_t m_seed;

    mutable std::mutex m_linkMutex;
    double m_linkBytes;
    std::uint64_t m_chargedBytes = 0;
    base::time_point m_linkRefilled{};
};

//! Orders nodes for a subject by rendezvous hashing: all nodes with the same view get the same
//! order. Thread safety: pure.
auto rendezvousOrder(std::string_view subject, std::vector<base::node_id> nodes)
        -> std::vector<base::node_id>;

} // namespace hawthornpick::policy
