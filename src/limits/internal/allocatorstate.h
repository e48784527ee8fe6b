#pragma once

#include "limits/allocator.h"
#include "limits/generated/limitswire_types.h"
#include "limits/grantterms.h"
#include "limits/internal/ratebatch.h"
#include "limits/internal/shardstate.h"

#include <map>

namespace hawthornpick::limits {

//! Implementation of `allocator`.
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
    auto wishForLeases() -> void;
    auto updateShards(base::time_point now) -> void;
    auto heldShard(shard_number shard, base::time_point now) -> shard_state *;
    auto takeOver(shard_number shard, std::uint64_t epoch, base::time_point now) -> void;
    auto openShard(shard_state &shard, base::time_point now) -> void;
    auto tickShard(shard_number number, shard_state &shard, base::time_point now) -> void;
    static auto evictable(const organisation_state &item, base::time_point now) -> bool;

    // Configuration (allocatorstate.cpp).
    auto syncConfiguration(base::time_point now) -> void;
    auto applyChange(const base::organisation_id &id, const config::organisation *before,
                     const config::organisation *after, base::time_point now) -> void;
    auto stateOf(shard_state &shard, const base::organisation_id &id,
                 const config::organisation &terms, base::time_point now) -> organisation_state &;
    auto ownParts() const -> std::int64_t;
    static auto setTerms(organisation_state &item, const config::organisation &terms,
                         base::time_point now) -> void;
    auto refresh(const base::organisation_id &id, organisation_state &item, base::time_point now)
            -> const config::organisation *;

    // Asks of entry nodes (allocatorasks.cpp).
    auto handleAsk(const base::node_id &from, const wire::ask &ask, base::time_point now) -> void;
    auto serve(shard_number number, shard_state &shard, const base::organisation_id &id,
               organisation_state &item, const held_ask &ask, base::time_point now) -> bool;
    auto mustWait(shard_number number, shard_state &shard, const base::organisation_id &id,
                  organisation_state &item, const held_ask &ask, base::time_point now) -> bool;
    auto serveHeld(shard_number number, shard_state &shard, const base::organisation_id &id,
                   organisation_state &item, base::time_point now) -> void;
    auto grantTokens(const base::organisation_id &id, organisation_state &item, const held_ask &ask,
                     base::time_point now) -> void;
    auto answer(const base::node_id &to, const base::organisation_id &id, std::int64_t sequence,
                answer_kind kind, base::duration retry = base::duration{0}) -> void;
    auto answerGrant(const base::organisation_id &id, const token_bucket::grant &grant) -> void;

    // Shares between regions (allocatorshares.cpp).
    auto handleRegions(const base::node_id &from, const wire::region_message &message,
                       base::time_point now) -> void;
    auto rememberAllocator(shard_number number, shard_state &shard, const base::region_id &region,
                           const base::node_id &from) -> void;
    static auto forgetAllocator(shard_state &shard, const base::region_id &region) -> void;
    auto handleLoans(const base::node_id &from, const wire::region_message &message,
                     shard_state &shard, base::time_point now) -> void;
    auto handleQuery(const base::node_id &from, const wire::region_message &message,
                     shard_state &shard, base::time_point now) -> void;
    auto handleHoldings(const wire::region_message &message, shard_state &shard,
                        base::time_point now) -> void;
    auto handleRequest(const base::node_id &from, const wire::region_message &message,
                       shard_state &shard, const wire::loan &loan, base::time_point now) -> void;
    auto handleLoan(const wire::region_message &message, shard_state &shard, const wire::loan &loan,
                    base::time_point now) -> void;
    auto handleRenewal(const base::node_id &from, const wire::region_message &message,
                       shard_state &shard, const wire::loan &loan, base::time_point now) -> void;
    static auto handleRenewed(shard_state &shard, const wire::loan &loan) -> void;
    auto handleRecall(const base::node_id &from, const wire::region_message &message,
                      shard_state &shard, const wire::loan &loan, base::time_point now) -> void;
    auto handleReturn(shard_state &shard, const wire::loan &loan, base::time_point now) -> void;
    auto seekShare(shard_number number, shard_state &shard, const base::organisation_id &id,
                   organisation_state &item, base::time_point now) -> bool;
    auto tickShares(shard_number number, shard_state &shard, const base::organisation_id &id,
                    organisation_state &item, base::time_point now) -> void;
    auto tryReturn(shard_number number, shard_state &shard, const base::organisation_id &id,
                   organisation_state &item, std::int64_t nonce, base::time_point now) -> bool;
    auto renewLoans(shard_number number, shard_state &shard, const base::organisation_id &id,
                    organisation_state &item, base::time_point now) -> void;
    auto recallLoans(shard_number number, shard_state &shard, const base::organisation_id &id,
                     organisation_state &item, base::time_point now) -> bool;
    auto sendRenewal(shard_number number, shard_state &shard, const base::organisation_id &id,
                     region_share::borrowed_loan &loan, base::time_point now) -> void;
    auto isStarved(const organisation_state &item, const config::organisation &terms,
                   base::time_point now) const -> bool;
    auto surplusParts(const base::organisation_id &id, const organisation_state &item,
                      const config::organisation &terms, base::time_point now) const
            -> std::int64_t;
    auto unusedParts(const base::organisation_id &id, const organisation_state &item,
                     const config::organisation &terms, base::time_point now) const -> std::int64_t;
    static auto neededParts(const organisation_state &item, const config::organisation &terms,
                            base::time_point now) -> std::int64_t;
    auto isHome(const base::organisation_id &id) const -> bool;
    auto header(shard_number number, const shard_state &shard) const -> wire::region_message;
    auto sendToRegion(shard_number number, shard_state &shard, const base::region_id &region,
                      const wire::region_message &message) -> void;
    auto sendQueries(shard_number number, shard_state &shard) -> void;

    allocator_dependencies m_deps;
    allocator_directory m_directory;
    config::snapshot_pointer m_configuration;
    std::map<shard_number, shard_state> m_shards;
    rate_batch m_batch;
};

} // namespace hawthornpick::limits
