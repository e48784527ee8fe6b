#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "limits/directory.h"
#include "limits/internal/tokenbucket.h"
#include "limits/regionshare.h"

#include <cstdint>
#include <map>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace hawthornpick::limits {

//! An ask that waits for tokens.
struct held_ask
{
    base::node_id entry;
    std::int64_t sequence = 0;
    std::int32_t need = 0;
    std::int32_t prefetch = 0;
    base::time_point since;
};

//! A request for a loan that is under way.
struct loan_request
{
    base::region_id from;
    std::int64_t nonce = 0;
    base::time_point sent;
};

//! What an allocator knows about one organisation that isn't idle.
struct organisation_state
{
    organisation_state(std::int64_t ownParts, token_bucket start, base::time_point now)
        : bucket(std::move(start)), share(ownParts), demandTime(now), lastUse(now)
    {}

    //! Demand in tokens per second, averaged over `DEMAND_SECONDS`.
    [[nodiscard]] auto demandAt(base::time_point now) const -> double;
    auto countDemand(double tokens, base::time_point now) -> void;

    static constexpr double DEMAND_SECONDS = 2.0;

    token_bucket bucket;
    region_share share;
    std::vector<held_ask> held;
    std::vector<loan_request> requests;
    double demand = 0.0;
    base::time_point demandTime;
    base::time_point lastUse;
    base::time_point lastRequest;
    base::time_point lastRecall;
};

//! One shard whose lease this node holds.
struct shard_state
{
    std::uint64_t epoch = 0;
    //! When grants of the allocator before have ended by any clock.
    base::time_point readyAt;
    //! Regions that have not yet said which shares the allocators before lent to them.
    std::set<base::region_id> unanswered;
    //! When the loans of the allocators before have ended in any case.
    base::time_point loansEnd;
    //! When buckets without state started to fill.
    base::time_point filledFrom;
    bool open = false;
    base::time_point lastQuery;
    //! Which candidate of another region was the allocator.
    std::map<base::region_id, std::size_t> candidate;
    std::unordered_map<base::organisation_id, organisation_state> organisations;
};

} // namespace hawthornpick::limits
