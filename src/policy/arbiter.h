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

//! Validity of a permit on the client's clock, from the time when its request was sent.
inline constexpr base::duration PERMIT_VALIDITY = std::chrono::seconds(3);
//! Validity of a permit at the arbiter, which counts it for longer: plus 5% for different clock
//! rates and 100 ms, as for leases.
inline constexpr base::duration ARBITER_PERMIT_VALIDITY = std::chrono::milliseconds(3250);

//! Service and region whose ejections one arbiter decides.
struct arbiter_scope
{
    base::service_id service;
    base::region_id region;

    auto operator<=>(const arbiter_scope &) const = default;
};

//! Returns the name of the lease whose holder is the arbiter of a scope. Thread safety: pure.
auto arbiterLeaseName(const arbiter_scope &scope) -> std::string;

//! Returns the nodes of the scope's region that may be its arbiter, in the order in which they
//! should acquire the lease and in which clients ask them. Thread safety: pure.
auto arbiterCandidates(const membership::view &view, const arbiter_scope &scope)
        -> std::vector<base::node_id>;

//! Settings of a service that an arbiter needs.
struct arbiter_service_settings
{
    //! Minimum share of the announced slots that must stay in service, 0 to 1.
    double floor = 0.6;
    base::milliseconds warmUp{5000};

    auto operator<=>(const arbiter_service_settings &) const = default;
};

//! Grants permits to eject upstreams, for all scopes whose lease this node holds (channel Arbiter).
//!
//! A permit is granted only if the remaining healthy slots are at least floor * announced slots.
//! Announced slots include those of starting and draining upstreams and of dead nodes that are
//! still in the view; healthy slots exclude these and count upstreams in warm-up in part. After
//! acquiring the lease an arbiter grants no new permits for `ARBITER_PERMIT_VALIDITY` and learns
//! the held ones from their renewals.
//!
//! Thread safety: one thread (control).
class arbiter
{
public:
    using holds_lease_function = std::function<bool(const std::string &name, base::time_point now)>;
    using view_function = std::function<membership::view_pointer()>;
    //! Returns nothing for a service that is not configured.
    using service_function =
            std::function<std::optional<arbiter_service_settings>(const base::service_id &)>;

    arbiter(holds_lease_function holdsLease, view_function view, service_function service);

    //! Sets the scopes whose lease this node tries to hold, so that the learning period starts when
    //! the lease is acquired and not at the first request.
    auto setScopes(const std::vector<arbiter_scope> &scopes) -> void;

    //! Handles requests and releases of channel Arbiter. Ignores other messages and those that
    //! can't be decoded.
    auto receive(const base::node_id &from, std::string_view payload, base::time_point now)
            -> std::vector<base::outgoing_message>;

    //! Removes expired permits. If a scope is below its floor, recalls the permits of its upstreams
    //! with the least evidence.
    auto tick(base::time_point now) -> std::vector<base::outgoing_message>;

    //! Returns the number of permits that are counted in a scope. For metrics and tests.
    [[nodiscard]] auto permitCount(const arbiter_scope &scope) const -> std::size_t;

private:
    struct permit
    {
        base::node_id node;
        base::time_point expiresAt;
        std::int64_t number = 0;
        double evidence = 0.0;
        bool isRecalled = false;
    };
    struct scope_state
    {
        std::map<base::upstream_id, permit> permits;
        base::time_point grantsAllowedFrom;
        //! When this node was last found to hold the lease.
        std::optional<base::time_point> leaseHeldAt;
        std::map<base::upstream_id, base::time_point> returnedAt;
    };
    struct capacity
    {
        double announcedSlots = 0.0;
        double healthySlots = 0.0;
    };
    struct observed_upstream
    {
        base::incarnation incarnation = 0;
        base::time_point readySince;
    };

    auto refreshScope(const arbiter_scope &scope, scope_state &state, base::time_point now) -> bool;
    auto observeView(base::time_point now) -> membership::view_pointer;
    auto capacityOf(const arbiter_scope &scope, const scope_state &state,
                    const membership::view &view, const arbiter_service_settings &service,
                    bool countRecalled, base::time_point now) const -> capacity;
    [[nodiscard]] auto healthySlotsOf(const membership::upstream_entry &upstream,
                                      const scope_state &state,
                                      const arbiter_service_settings &service, bool countRecalled,
                                      base::time_point now) const -> double;
    auto mayGrant(const arbiter_scope &scope, scope_state &state, const base::upstream_id &upstream,
                  bool isRenewal, base::time_point now) -> bool;
    auto recallLeastUnhealthy(const arbiter_scope &scope, scope_state &state, base::time_point now,
                              std::vector<base::outgoing_message> &out) -> void;

    holds_lease_function m_holdsLease;
    view_function m_view;
    service_function m_service;
    std::map<arbiter_scope, scope_state> m_scopes;
    std::map<base::upstream_id, observed_upstream> m_observedUpstreams;
    std::optional<std::uint64_t> m_observedVersion;
};

} // namespace hawthornpick::policy
