#pragma once

#include "policy/servicebelief.h"

#include <map>
#include <utility>

namespace hawthornpick::policy {

//! Limits of one attempt of a request.
struct placement_limits
{
    //! Maximum number of attempts of the request, refused ones included.
    unsigned maxAttempts = 0;
    //! Regions that the attempt isn't sent to.
    std::vector<base::region_id> closedRegions;

    auto operator<=>(const placement_limits &) const = default;
};

//! Bounds how often and how far a request is sent about, by what is believed of the room of its
//! service. Refusals in the own region cost little, so more of them are accepted while there is
//! room. Work goes to another region only if the own one is full, or has refused the request
//! several times, and the other one isn't known to be full. A region of which too little is known
//! is asked now and then, or with the last attempt of a request, so that one that went silent gets
//! little work. A service without upstreams in the own region isn't limited. Load pattern: a double
//! burst over all regions, where crossing costs bytes and time and finds no slot. Thread safety of
//! all members: one thread.
class placement_limit
{
public:
    static constexpr unsigned MAX_ATTEMPTS = 6;
    static constexpr unsigned MAX_ATTEMPTS_WITH_ROOM = 16;
    //! After so many attempts the own region counts as full for the request.
    static constexpr unsigned OWN_REGION_ATTEMPTS = 2;
    //! Least time between two requests of this node to a region whose room isn't known; doubles
    //! with each one in a row that is refused.
    static constexpr base::milliseconds MIN_EXPLORATION_INTERVAL{125};
    static constexpr base::milliseconds MAX_EXPLORATION_INTERVAL{1000};

    explicit placement_limit(base::region_id ownRegion) : m_ownRegion(std::move(ownRegion)) {}

    //! Returns the limits of the next attempt of a request, of which `attemptCount` were refused or
    //! failed.
    [[nodiscard]] auto limitsFor(const base::service_id &service, const service_belief &belief,
                                 unsigned attemptCount, base::time_point now) const
            -> placement_limits;

    //! Records that a request was sent to a region.
    auto onSent(const base::service_id &service, const base::region_id &region,
                base::time_point now) -> void;

    //! Records the end of a request that was sent to a region.
    auto onEnd(const base::service_id &service, const base::region_id &region, bool isRefused)
            -> void;

private:
    struct exploration
    {
        base::time_point lastSent{};
        base::milliseconds interval{0};
    };

    [[nodiscard]] auto hasOrMayHaveRoom(const base::service_id &service,
                                        const base::region_id &region, const service_belief &belief,
                                        bool isLastAttempt, base::time_point now) const -> bool;

    base::region_id m_ownRegion;
    //! Requests to each other region.
    std::map<std::pair<base::service_id, base::region_id>, exploration> m_explorations;
};

} // namespace hawthornpick::policy
