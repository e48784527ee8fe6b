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

//! A token request of an entry node that waits for tokens.
struct token_request
{
    base::node_id entryNode;
    std::int64_t sequence = 0;
    std::int32_t neededTokens = 0;
    std::int32_t prefetchTokens = 0;
    base::time_point receivedAt;
};

//! A loan request that has not been answered yet.
struct loan_request
{
    base::region_id lender;
    std::int64_t nonce = 0;
    base::time_point sentAt;
};

//! State of an allocator for one organisation that is not idle.
struct organisation_state
{
    organisation_state(std::int64_t ownParts, token_bucket initialBucket, base::time_point now)
        : bucket(std::move(initialBucket)), share(ownParts), demandUpdatedAt(now), lastUsedAt(now)
    {}

    //! Returns the demand in tokens per second, averaged over `DEMAND_DECAY_SECONDS`.
    [[nodiscard]] auto demandAt(base::time_point now) const -> double;
    //! Adds tokens that entry nodes asked for or, if negative, returned unused.
    auto recordDemand(double tokens, base::time_point now) -> void;

    static constexpr double DEMAND_DECAY_SECONDS = 2.0;

    token_bucket bucket;
    region_share share;
    std::vector<token_request> queuedRequests;
    std::vector<loan_request> loanRequests;
    //! Tokens per second at `demandUpdatedAt`.
    double demand = 0.0;
    base::time_point demandUpdatedAt;
    base::time_point lastUsedAt;
    base::time_point lastLoanRequestAt;
    base::time_point lastRecallAt;
};

//! One shard whose lease this node holds.
struct shard_state
{
    std::uint64_t epoch = 0;
    //! Time at which the grants of earlier allocators have expired by any clock.
    base::time_point earlierGrantsExpireAt;
    //! Regions that have not yet reported which shares they borrowed from earlier allocators.
    std::set<base::region_id> unansweredRegions;
    //! Time at which the loans of earlier allocators have expired by any clock.
    base::time_point earlierLoansExpireAt;
    //! Time at which buckets of organisations without state started to refill.
    base::time_point refillStartedAt;
    //! True once the shares are known and tokens may be granted.
    bool isOpen = false;
    base::time_point lastQueryAt;
    //! Index of the candidate that is taken to be the allocator in each other region; taken modulo
    //! the number of candidates.
    std::map<base::region_id, std::size_t> candidateIndex;
    std::unordered_map<base::organisation_id, organisation_state> organisations;
};

} // namespace hawthornpick::limits
