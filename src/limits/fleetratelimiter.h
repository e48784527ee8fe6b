#pragma once

#include "base/ids.h"
#include "base/random.h"
#include "base/time.h"
#include "base/usage.h"

#include <deque>
#include <map>
#include <string>

namespace hawthornpick::limits {

//! How far the admissions within one window may exceed a limit.
struct rate_tolerance
{
    //! Fraction of the limit.
    double overageRatio = 0.1;
    //! Number of requests, in addition to `overageRatio`.
    double slackRequests = 20.0;

    auto operator<=>(const rate_tolerance &) const = default;
};

//! Limit of an organisation over all nodes. A rate of 0 means that there is no limit.
struct rate_limit
{
    //! Requests per second.
    double rate = 0.0;
    //! Requests.
    double burst = 0.0;

    auto operator<=>(const rate_limit &) const = default;
};

//! Admission control of an entry node: keeps the requests of each organisation within a rate and
//! burst that apply to all nodes together, without a message per request. It limits an organisation
//! that suddenly sends many times its usual load through all nodes, without refusing requests of
//! the other organisations.
//!
//! Each node admits its share of the rate. Most of the rate is divided in proportion to the demand
//! that the nodes reported; the rest is divided evenly, so that a node at which an organisation is
//! new can serve it. As long as the fleet admits far less than the limit, requests beyond the share
//! are admitted too.
//!
//! Totals of the fleet arrive up to two seconds late. The share of a node is calculated from the
//! demand that the node had reported by that time, so that the shares of all nodes don't add up to
//! more than 1 while demand rises. A node that receives no totals keeps its last share.
//!
//! Thread safety of all members: one thread.
class fleet_rate_limiter
{
public:
    //! Window over which admissions are counted.
    static constexpr base::milliseconds WINDOW{5000};
    //! Age above which totals are no longer used to estimate what the fleet admits.
    static constexpr base::milliseconds MAX_TOTALS_AGE{3000};
    //! Time after which a request is counted in the totals of all nodes: the sum of the intervals
    //! of reports, of the exchange within and between regions, and of answers.
    static constexpr base::milliseconds MAX_TOTALS_LAG{2000};
    //! Time after which a request is counted in live totals: the intervals of updates of a node, of
    //! its hub, of the exchange between regions and of pushed totals.
    static constexpr base::milliseconds LIVE_TOTALS_LAG{500};
    //! Time over which the growth of admissions is measured.
    static constexpr base::milliseconds GROWTH_TIME{300};
    //! Age above which live totals no longer decide alone.
    static constexpr base::milliseconds MAX_LIVE_TOTALS_AGE{1000};
    //! Time after the start of the process during which the directory may lack most nodes, for
    //! example because all nodes start together.
    static constexpr base::milliseconds STARTUP_TIME{2500};

    fleet_rate_limiter(rate_tolerance tolerance, std::uint64_t seed,
                       base::time_point startedAt = {})
        : m_tolerance(tolerance), m_random(seed), m_startedAt(startedAt)
    {}

    //! Returns whether a request is admitted. `entryNodeCount` is the number of nodes that accept
    //! requests.
    auto admit(const base::organisation_id &organisation, const rate_limit &limit,
               std::size_t entryNodeCount, base::time_point now) -> bool;

    //! Returns the usage to report. Keeps the reported demand to calculate this node's share from
    //! later totals.
    auto report(base::time_point now) -> base::usage_map;

    //! Applies the totals of the fleet that answer the last report. They contain the organisations
    //! of that report and all organisations whose demand exceeds their limit.
    //! `coverage` is the fraction of the entry nodes whose usage is in the totals. The remaining
    //! fraction of each limit is left to the other entry nodes.
    auto onTotals(const base::usage_map &totals, double coverage, base::time_point now) -> void;

    //! Returns the usage of the organisations that had requests since the last call of this
    //! function or of `report`.
    auto changedUsage(base::time_point now) -> base::usage_map;

    //! As `onTotals`, for totals of which all but the last `LIVE_TOTALS_LAG` is known. Near its
    //! limit, an organisation is then admitted at each node by what the fleet has left of the
    //! limit, whatever the share of the node: with hundreds of nodes, the share of each is less
    //! than one request. `isComplete` is false if `totals` holds only some of the organisations.
    auto onLiveTotals(const base::usage_map &totals, double coverage, bool isComplete,
                      base::time_point now) -> void;

    //! Returns true if the usage is so close to the limit that all nodes need live totals.
    static auto isNearLimit(const rate_limit &limit, const base::rate_usage &usage) -> bool;

    //! Describes the limit, fleet usage and share that decisions on the organisation are based on,
    //! for the log. Empty if this node has had no request of the organisation.
    [[nodiscard]] auto explain(const base::organisation_id &organisation, const rate_limit &limit,
                               base::time_point now) const -> std::string;

    //! Returns the time after which a refused caller should retry. It grows with the overload and
    //! is randomised, so that refused callers don't retry at the same time.
    auto retryAfter(const base::organisation_id &organisation, const rate_limit &limit)
            -> base::milliseconds;

private:
    struct usage_state
    {
        //! Number of requests received, admitted or not, with exponential decay over
        //! DEMAND_DECAY_TIME.
        double decayedRequests = 0.0;
        base::time_point decayedAt{};
        //! Times of the admissions within the window.
        std::deque<base::time_point> admissions;
        double tokens = 0.0;
        base::time_point tokensRefilledAt{};
        bool isNew = true;
        bool hasUnreportedRequests = false;
        //! Time of the last live totals with this organisation.
        base::time_point liveTotalsAt{};
        //! Times and admissions of the live totals within `GROWTH_TIME`, oldest first.
        std::deque<std::pair<base::time_point, double>> liveAdmissions;
        //! Demand in the last reports in requests per second, newest last.
        std::deque<std::pair<base::time_point, double>> demandReports;
        //! Estimated demand of this node within `fleetUsage`, in requests per second.
        double ownDemandInTotals = 0.0;
        base::rate_usage fleetUsage;
        base::time_point fleetUsageAt{};
        //! Times of the admissions beyond the share that the totals may not contain yet.
        std::deque<base::time_point> beyondShareAdmissions;
    };

    auto findOrCreateState(const base::organisation_id &organisation) -> usage_state &;
    static auto decayDemand(usage_state &state, base::time_point now) -> void;
    static auto dropExpired(usage_state &state, base::time_point now) -> void;
    static auto currentUsage(usage_state &state, base::time_point now) -> base::rate_usage;
    static auto estimateOwnDemandInTotals(const usage_state &state, double evenShare) -> double;
    [[nodiscard]] auto shareFor(const usage_state &state) const -> double;
    auto refillTokens(usage_state &state, const rate_limit &limit, double share,
                      base::time_point now) const -> void;
    [[nodiscard]] auto unusedWindowRequests(const usage_state &state, const rate_limit &limit) const
            -> double;
    [[nodiscard]] auto plannedWindowRequests(const rate_limit &limit) const -> double;
    [[nodiscard]] auto hasRecentTotals(const usage_state &state, base::time_point now) const
            -> bool;
    static auto hasLiveTotals(const usage_state &state, base::time_point now) -> bool;
    static auto admissionGrowthPerSecond(const usage_state &state) -> double;
    [[nodiscard]] auto liveTargetRequests(const usage_state &state, const rate_limit &limit) const
            -> double;
    auto admitByLiveTotals(const usage_state &state, const rate_limit &limit, base::time_point now)
            -> bool;
    auto takeAllowance(usage_state &state, const rate_limit &limit, double share,
                       base::time_point now) const -> bool;

    rate_tolerance m_tolerance;
    base::time_point m_totalsReceivedAt{};
    double m_coverage = 1.0;
    //! Share of each entry node if all have the same demand.
    double m_evenShare = 1.0;
    base::usage_map m_totals;
    base::random_source m_random;
    base::time_point m_startedAt;
    std::map<base::organisation_id, usage_state> m_states;
};

} // namespace hawthornpick::limits
