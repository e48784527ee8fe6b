#pragma once

#include "limits/allocator.h"
#include "limits/generated/limitswire_types.h"
#include "limits/grantterms.h"
#include "limits/internal/ratebatch.h"
#include "limits/internal/shardstate.h"

#include <map>

namespace hawthornpick::limits {

//! Implementation of `allocator`. The comment of each group of members names the file that defines
//! them.
class allocator_state
{
public:
    explicit allocator_state(allocator_dependencies dependencies);

    auto receive(const base::node_id &from, std::string_view payload, base::time_point now)
            -> std::vector<base::outgoing_message>;
    auto tick(base::time_point now) -> std::vector<base::outgoing_message>;
    [[nodiscard]] auto size() const -> std::size_t;

private:
    using organisation_map = std::unordered_map<base::organisation_id, organisation_state>;

    // Leases and shards (allocatorstate.cpp).
    auto updateLeaseRequests() -> void;
    auto refreshShards(base::time_point now) -> void;
    //! Returns null if this node does not hold the lease. Takes over and opens the shard if it can.
    auto findHeldShard(shard_number shardNumber, base::time_point now) -> shard_state *;
    auto takeOver(shard_number shardNumber, std::uint64_t epoch, base::time_point now) -> void;
    //! Opens the shard once its shares are known and earlier grants have expired.
    auto openShard(shard_state &shard, base::time_point now) -> void;
    auto tickShard(shard_number shardNumber, shard_state &shard, base::time_point now) -> void;
    static auto isEvictable(const organisation_state &state, base::time_point now) -> bool;

    // Configuration (allocatorstate.cpp).
    auto applyConfiguration(base::time_point now) -> void;
    auto applyOrganisationChange(const base::organisation_id &id,
                                 const config::organisation *before,
                                 const config::organisation *after, base::time_point now) -> void;
    auto findOrCreateState(shard_state &shard, const base::organisation_id &id,
                           const config::organisation &limit, base::time_point now)
            -> organisation_state &;
    auto ownParts() const -> std::int64_t;
    static auto applyLimit(organisation_state &state, const config::organisation &limit,
                           base::time_point now) -> void;
    //! Removes expired loans and grants, refills the bucket and applies the current limit. Returns
    //! the limit, or null if the organisation is not configured.
    auto refreshState(const base::organisation_id &id, organisation_state &state,
                      base::time_point now) -> const config::organisation *;

    // Token requests of entry nodes (allocatorasks.cpp).
    auto handleTokenRequest(const base::node_id &from, const wire::ask &ask, base::time_point now)
            -> void;
    auto serveRequest(shard_number shardNumber, shard_state &shard, const base::organisation_id &id,
                      organisation_state &state, const token_request &request, base::time_point now)
            -> bool;
    //! Requests or recalls loans if tokens are missing. Returns whether the token request should
    //! stay queued.
    auto mustWait(shard_number shardNumber, shard_state &shard, const base::organisation_id &id,
                  organisation_state &state, const token_request &request, base::time_point now)
            -> bool;
    auto serveQueuedRequests(shard_number shardNumber, shard_state &shard,
                             const base::organisation_id &id, organisation_state &state,
                             base::time_point now) -> void;
    auto grantTokens(const base::organisation_id &id, organisation_state &state,
                     const token_request &request, base::time_point now) -> void;
    auto sendAnswer(const base::node_id &to, const base::organisation_id &id, std::int64_t sequence,
                    answer_kind kind, base::duration retryAfter = base::duration{0}) -> void;
    auto sendGrant(const base::organisation_id &id, const token_bucket::grant &grant) -> void;

    // Messages about loans between regions (allocatorshares.cpp, and allocatorloans.cpp for the
    // sending side).
    auto handleRegionMessage(const base::node_id &from, const wire::region_message &message,
                             base::time_point now) -> void;
    auto recordAllocator(shard_number shardNumber, shard_state &shard,
                         const base::region_id &region, const base::node_id &from) -> void;
    static auto skipCandidate(shard_state &shard, const base::region_id &region) -> void;
    auto handleLoanMessages(const base::node_id &from, const wire::region_message &message,
                            shard_state &shard, base::time_point now) -> void;
    auto handleQuery(const base::node_id &from, const wire::region_message &message,
                     shard_state &shard, base::time_point now) -> void;
    auto handleHoldings(const wire::region_message &message, shard_state &shard,
                        base::time_point now) -> void;
    auto handleLoanRequest(const base::node_id &from, const wire::region_message &message,
                           shard_state &shard, const wire::loan &loan, base::time_point now)
            -> void;
    auto handleLoanAnswer(const wire::region_message &message, shard_state &shard,
                          const wire::loan &loan, base::time_point now) -> void;
    auto handleRenewal(const base::node_id &from, const wire::region_message &message,
                       shard_state &shard, const wire::loan &loan, base::time_point now) -> void;
    static auto handleRenewalAnswer(shard_state &shard, const wire::loan &loan) -> void;
    auto handleRecall(const base::node_id &from, const wire::region_message &message,
                      shard_state &shard, const wire::loan &loan, base::time_point now) -> void;
    auto handleReturn(shard_state &shard, const wire::loan &loan, base::time_point now) -> void;
    auto requestLoans(shard_number shardNumber, shard_state &shard, const base::organisation_id &id,
                      organisation_state &state, base::time_point now) -> bool;
    auto tickLoans(shard_number shardNumber, shard_state &shard, const base::organisation_id &id,
                   organisation_state &state, base::time_point now) -> void;
    auto returnUnusedParts(shard_number shardNumber, shard_state &shard,
                           const base::organisation_id &id, organisation_state &state,
                           std::int64_t nonce, base::time_point now) -> bool;
    auto renewLoans(shard_number shardNumber, shard_state &shard, const base::organisation_id &id,
                    organisation_state &state, base::time_point now) -> void;
    auto recallLoans(shard_number shardNumber, shard_state &shard, const base::organisation_id &id,
                     organisation_state &state, base::time_point now) -> bool;
    auto sendRenewal(shard_number shardNumber, shard_state &shard, const base::organisation_id &id,
                     region_share::borrowed_loan &loan, base::time_point now) -> void;
    auto needsMoreParts(const organisation_state &state, const config::organisation &limit,
                        base::time_point now) const -> bool;
    auto lendableUnusedParts(const base::organisation_id &id, const organisation_state &state,
                             const config::organisation &limit, base::time_point now) const
            -> std::int64_t;
    auto unusedParts(const base::organisation_id &id, const organisation_state &state,
                     const config::organisation &limit, base::time_point now) const -> std::int64_t;
    static auto neededParts(const organisation_state &state, const config::organisation &limit,
                            base::time_point now) -> std::int64_t;
    auto isHomeRegion(const base::organisation_id &id) const -> bool;
    auto messageHeader(shard_number shardNumber, const shard_state &shard) const
            -> wire::region_message;
    auto sendToRegion(shard_number shardNumber, shard_state &shard, const base::region_id &region,
                      const wire::region_message &message) -> void;
    auto sendQueries(shard_number shardNumber, shard_state &shard) -> void;

    allocator_dependencies m_dependencies;
    allocator_directory m_directory;
    config::snapshot_pointer m_configuration;
    std::map<shard_number, shard_state> m_shards;
    rate_batch m_batch;
};

} // namespace hawthornpick::limits
