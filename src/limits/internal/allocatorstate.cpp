#include "limits/internal/allocatorstate.h"

#include "base/thriftcodec.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace hawthornpick::limits {

namespace {

constexpr base::duration QUERY_INTERVAL = std::chrono::milliseconds(200);
// Idle time after which the state of an organisation is removed.
constexpr base::duration IDLE_EVICTION_TIME = std::chrono::seconds(3);
// Borrowed loans are no longer used this long before they expire, so that the grants backed by them
// expire first.
constexpr base::duration LOAN_EXPIRY_MARGIN = GRANT_HOLD_TIME + std::chrono::milliseconds(20);

} // namespace

auto organisation_state::demandAt(base::time_point now) const -> double
{
    return demand * std::exp(-base::toSeconds(now - demandUpdatedAt) / DEMAND_DECAY_SECONDS);
}

auto organisation_state::recordDemand(double tokens, base::time_point now) -> void
{
    demand = std::max(0.0, demandAt(now) + tokens / DEMAND_DECAY_SECONDS);
    demandUpdatedAt = now;
}

allocator_state::allocator_state(allocator_dependencies dependencies)
    : m_dependencies(std::move(dependencies)), m_directory(m_dependencies.view),
      m_configuration(m_dependencies.configuration())
{}

auto allocator_state::receive(const base::node_id &from, std::string_view payload,
                              base::time_point now) -> std::vector<base::outgoing_message>
{
    const auto message = base::decodeThrift<wire::rate_message>(payload);
    if (!message) {
        return {};
    }
    applyConfiguration(now);
    for (const auto &ask : message->asks) {
        handleTokenRequest(from, ask, now);
    }
    if (message->__isset.regions) {
        handleRegionMessage(from, message->regions, now);
    }
    return m_batch.take();
}

auto allocator_state::tick(base::time_point now) -> std::vector<base::outgoing_message>
{
    applyConfiguration(now);
    updateLeaseRequests();
    refreshShards(now);
    for (auto &[shardNumber, shard] : m_shards) {
        tickShard(shardNumber, shard, now);
    }
    return m_batch.take();
}

auto allocator_state::size() const -> std::size_t
{
    std::size_t total = 0;
    for (const auto &[shardNumber, shard] : m_shards) {
        total += shard.organisations.size();
    }
    return total;
}

auto allocator_state::updateLeaseRequests() -> void
{
    for (shard_number shardNumber = 0; shardNumber < SHARD_COUNT; ++shardNumber) {
        const auto &candidates = m_directory.candidates(m_dependencies.region, shardNumber);
        const bool isFirst = !candidates.empty() && candidates.front() == m_dependencies.node;
        m_dependencies.setLeaseWanted(leaseName(m_dependencies.region, shardNumber), isFirst);
    }
}

auto allocator_state::refreshShards(base::time_point now) -> void
{
    for (shard_number shardNumber = 0; shardNumber < SHARD_COUNT; ++shardNumber) {
        findHeldShard(shardNumber, now);
    }
}

auto allocator_state::findHeldShard(shard_number shardNumber, base::time_point now) -> shard_state *
{
    const auto epoch =
            m_dependencies.leaseEpoch(leaseName(m_dependencies.region, shardNumber), now);
    const auto found = m_shards.find(shardNumber);
    if (!epoch) {
        if (found != m_shards.end()) {
            m_shards.erase(found);
        }
        return nullptr;
    }
    if (found == m_shards.end() || found->second.epoch != *epoch) {
        takeOver(shardNumber, *epoch, now);
    }
    auto &state = m_shards[shardNumber];
    openShard(state, now);
    return &state;
}

auto allocator_state::takeOver(shard_number shardNumber, std::uint64_t epoch, base::time_point now)
        -> void
{
    shard_state state;
    state.epoch = epoch;
    state.earlierGrantsExpireAt = now + GRANT_HOLD_TIME;
    state.earlierLoansExpireAt = now + LOAN_HOLD_TIME;
    state.unansweredRegions.insert(m_dependencies.regions.begin(), m_dependencies.regions.end());
    state.unansweredRegions.erase(m_dependencies.region);
    m_shards.insert_or_assign(shardNumber, std::move(state));
}

auto allocator_state::openShard(shard_state &shard, base::time_point now) -> void
{
    const bool areSharesKnown =
            shard.unansweredRegions.empty() || now >= shard.earlierLoansExpireAt;
    if (shard.isOpen || now < shard.earlierGrantsExpireAt || !areSharesKnown) {
        return;
    }
    shard.isOpen = true;
    shard.refillStartedAt = now;
    // Tokens that accrued while the shares were not fully known are discarded.
    for (auto &[id, state] : shard.organisations) {
        state.bucket = token_bucket(0.0, 0.0, 0.0, now);
        refreshState(id, state, now);
    }
}

auto allocator_state::tickShard(shard_number shardNumber, shard_state &shard, base::time_point now)
        -> void
{
    if (!shard.isOpen) {
        if (now >= shard.earlierGrantsExpireAt && now - shard.lastQueryAt >= QUERY_INTERVAL) {
            shard.lastQueryAt = now;
            sendQueries(shardNumber, shard);
        }
        return;
    }
    for (auto position = shard.organisations.begin(); position != shard.organisations.end();) {
        auto &state = position->second;
        refreshState(position->first, state, now);
        serveQueuedRequests(shardNumber, shard, position->first, state, now);
        tickLoans(shardNumber, shard, position->first, state, now);
        position =
                isEvictable(state, now) ? shard.organisations.erase(position) : std::next(position);
    }
}

auto allocator_state::isEvictable(const organisation_state &state, base::time_point now) -> bool
{
    return state.bucket.isFull() && state.queuedRequests.empty() && state.loanRequests.empty()
           && state.share.lent().empty() && state.share.borrowed().empty()
           && now - state.lastUsedAt >= IDLE_EVICTION_TIME;
}

auto allocator_state::applyConfiguration(base::time_point now) -> void
{
    auto next = m_dependencies.configuration();
    if (next->version() == m_configuration->version()) {
        return;
    }
    const auto previous = std::exchange(m_configuration, std::move(next));
    const auto &oldOrganisations = previous->set().organisations;
    const auto &newOrganisations = m_configuration->set().organisations;
    auto oldPosition = oldOrganisations.begin();
    auto newPosition = newOrganisations.begin();
    while (oldPosition != oldOrganisations.end() || newPosition != newOrganisations.end()) {
        const bool takeOld =
                newPosition == newOrganisations.end()
                || (oldPosition != oldOrganisations.end() && oldPosition->id <= newPosition->id);
        const bool takeNew =
                oldPosition == oldOrganisations.end()
                || (newPosition != newOrganisations.end() && newPosition->id <= oldPosition->id);
        const auto *before = takeOld ? &*oldPosition++ : nullptr;
        const auto *after = takeNew ? &*newPosition++ : nullptr;
        const bool isUnchanged = before != nullptr && after != nullptr
                                 && before->rate == after->rate && before->burst == after->burst;
        if (!isUnchanged) {
            applyOrganisationChange(before != nullptr ? before->id : after->id, before, after, now);
        }
    }
}

auto allocator_state::applyOrganisationChange(const base::organisation_id &id,
                                              const config::organisation *before,
                                              const config::organisation *after,
                                              base::time_point now) -> void
{
    const auto shard = m_shards.find(shardOf(id));
    if (shard == m_shards.end() || !shard->second.isOpen) {
        return;
    }
    auto &organisations = shard->second.organisations;
    const auto found = organisations.find(id);
    if (before == nullptr && found == organisations.end()) {
        // A new organisation starts with an empty bucket, because it may have been removed before
        // and must not get a second burst.
        organisations.emplace(
                id, organisation_state(ownParts(), token_bucket(0.0, 0.0, 0.0, now), now));
    } else if (before != nullptr) {
        findOrCreateState(shard->second, id, *before, now);
    }
    auto &state = organisations.at(id);
    if (after == nullptr) {
        state.bucket.setLimit(0.0, 0.0, now);
    } else {
        applyLimit(state, *after, now);
    }
}

auto allocator_state::findOrCreateState(shard_state &shard, const base::organisation_id &id,
                                        const config::organisation &limit, base::time_point now)
        -> organisation_state &
{
    const auto found = shard.organisations.find(id);
    if (found != shard.organisations.end()) {
        return found->second;
    }
    // The bucket of an organisation without state has been refilling since the shard was opened.
    const auto ownFraction = static_cast<double>(ownParts()) / static_cast<double>(PARTS_PER_LIMIT);
    const auto rate = limit.rate * ownFraction / CLOCK_RATE_RATIO;
    const auto burst = limit.burst * ownFraction;
    const auto level =
            shard.isOpen ? std::min(burst, rate * base::toSeconds(now - shard.refillStartedAt))
                         : 0.0;
    organisation_state newState(ownParts(), token_bucket(level, rate, burst, now), now);
    return shard.organisations.emplace(id, std::move(newState)).first->second;
}

auto allocator_state::ownParts() const -> std::int64_t
{
    return PARTS_PER_LIMIT
           / static_cast<std::int64_t>(std::max<std::size_t>(1, m_dependencies.regions.size()));
}

auto allocator_state::applyLimit(organisation_state &state, const config::organisation &limit,
                                 base::time_point now) -> void
{
    const auto shareFraction =
            static_cast<double>(state.share.usableParts()) / static_cast<double>(PARTS_PER_LIMIT);
    state.bucket.setLimit(limit.rate * shareFraction / CLOCK_RATE_RATIO,
                          limit.burst * shareFraction, now);
}

auto allocator_state::refreshState(const base::organisation_id &id, organisation_state &state,
                                   base::time_point now) -> const config::organisation *
{
    const auto *limit = m_configuration->organisationById(id);
    const config::organisation noLimit;
    const auto &currentLimit = limit == nullptr ? noLimit : *limit;
    // Each loan counts up to its own expiry, even if this process was paused.
    for (auto expiry = state.share.firstBorrowedExpiry();
         expiry && *expiry - LOAN_EXPIRY_MARGIN <= now;
         expiry = state.share.firstBorrowedExpiry()) {
        state.bucket.refill(*expiry - LOAN_EXPIRY_MARGIN);
        state.share.expireBorrowed(*expiry);
        applyLimit(state, currentLimit, *expiry - LOAN_EXPIRY_MARGIN);
    }
    state.bucket.refill(now);
    state.share.expireLent(now);
    applyLimit(state, currentLimit, now);
    return limit;
}

} // namespace hawthornpick::limits
