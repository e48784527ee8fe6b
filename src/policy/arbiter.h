#pragma once

#include "base/ids.h"
#include "base/message.h"
#include "base/time.h"
#include "membership/view.h"

#include <compare>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace hawthornpick::policy {

//! A permit ends on the client's clock this long after its request was sent.
inline constexpr base::duration PERMIT_LIFE = std::chrono::seconds(3);
//! The arbiter counts a permit for longer: 5% for different clock rates and 100 ms, as for leases.
inline constexpr base::duration PERMIT_LIFE_AT_ARBITER = std::chrono::milliseconds(3250);

//! Service and region that one arbiter decides for.
struct arbiter_scope
{
    base::service_id service;
    base::region_id region;

    auto operator<=>(const arbiter_scope &) const = default;
};

//! Name of the lease that makes a node the arbiter of a scope. Thread safety: pure.
auto arbiterLeaseName(const arbiter_scope &scope) -> std::string;

//! Nodes of the scope's region that may be its arbiter, in the order in which they should take the
//! lease and in which clients ask them. Thread safety: pure.
auto arbiterCandidates(const membership::view &view, const arbiter_scope &scope)
        -> std::vector<base::node_id>;

//! What an arbiter must know of a service.
struct arbiter_service
{
    //! Share of the announced slots that must stay in service.
    double floor = 0.6;
    base::milliseconds warmUp{5000};

    auto operator<=>(const arbiter_service &) const = default;
};

//! Grants permits for ejection, for all scopes whose lease this node holds (channel Arbiter).
//!
//! A permit is granted only if the healthy ready slots left are at least floor * announced slots.
//! Announced slots include starting and draining upstreams and nodes that are dead but not yet
//! forgotten; healthy ones exclude those and count upstreams in warm-up in part. After taking the
//! lease an arbiter grants nothing new for one permit life and learns held permits from renewals.
//!
//! Thread safety: one thread (control).
class arbiter
{
public:
    using holds_lease_function = std::function<bool(const std::string &name, base::time_point now)>;
    using view_function = std::function<membership::view_pointer()>;
    //! Returns nothing for a service that is not configured.
    using service_function =
            std::function<std::optional<arbiter_service>(const base::service_id &)>;

    arbiter(holds_lease_function holdsLease, view_function view, service_function service);

    //! Sets the scopes whose lease this node tries to hold, so that the learning time begins with
    //! the lease and not with the first request.
    auto setScopes(const std::vector<arbiter_scope> &scopes) -> void;

    //! Channel Arbiter: requests and releases. Ignores damaged and other messages.
    auto receive(const base::node_id &from, std::string_view payload, base::time_point now)
            -> std::vector<base::outgoing_message>;

    //! Forgets ended permits and recalls the least unhealthy upstreams of a scope below its floor.
    auto tick(base::time_point now) -> std::vector<base::outgoing_message>;

    //! Permits counted at present in a scope. For metrics and tests.
    [[nodiscard]] auto permitCount(const arbiter_scope &scope) const -> std::size_t;

private:
    struct permit
    {
        base::node_id node;
        base::time_point ends;
        std::int64_t number = 0;
        double badness = 0.0;
        bool recalled = false;
    };
    struct scope_state
    {
        std::map<base::upstream_id, permit> permits;
        base::time_point grantsFrom;
        //! When the lease was last seen to be held.
        std::optional<base::time_point> held;
        std::map<base::upstream_id, base::time_point> returned;
    };
    struct capacity
    {
        double announced = 0.0;
        double healthy = 0.0;
    };
    struct seen_upstream
    {
        base::incarnation incarnation = 0;
        base::time_point readySince;
    };

    auto isHolder(const arbiter_scope &scope, scope_state &state, base::time_point now) -> bool;
    auto observe(base::time_point now) -> membership::view_pointer;
    auto capacityOf(const arbiter_scope &scope, const scope_state &state,
                    const membership::view &view, const arbiter_service &service,
                    bool recalledAreBack, base::time_point now) const -> capacity;
    [[nodiscard]] auto slotsOf(const membership::upstream_entry &upstream, const scope_state &state,
                               const arbiter_service &service, bool recalledAreBack,
                               base::time_point now) const -> double;
    auto mayGrant(const arbiter_scope &scope, scope_state &state, const base::upstream_id &upstream,
                  bool held, base::time_point now) -> bool;
    auto recallLeastUnhealthy(const arbiter_scope &scope, scope_state &state, base::time_point now,
                              std::vector<base::outgoing_message> &out) -> void;

    holds_lease_function m_holdsLease;
    view_function m_view;
    service_function m_service;
    std::map<arbiter_scope, scope_state> m_scopes;
    std::map<base::upstream_id, seen_upstream> m_seen;
    std::optional<std::uint64_t> m_observedVersion;
};

} // namespace hawthornpick::policy
