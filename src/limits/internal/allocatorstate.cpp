#include "limits/internal/allocatorstate.h"

#include "base/thriftcodec.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace hawthornpick::limits {

namespace {

constexpr base::duration QUERY_INTERVAL = std::chrono::milliseconds(200);
constexpr base::duration EVICT_AFTER = std::chrono::seconds(3);
// Borrowed loans stop to count this long before their end, so that grants backed by them end first.
constexpr base::duration LOAN_MARGIN = GRANT_HOLD + std::chrono::milliseconds(20);

} // namespace

auto organisation_state::demandAt(base::time_point now) const -> double
{
    return demand * std::exp(-base::toSeconds(now - demandTime) / DEMAND_SECONDS);
}

auto organisation_state::countDemand(double tokens, base::time_point now) -> void
{
    demand = std::max(0.0, demandAt(now) + tokens / DEMAND_SECONDS);
    demandTime = now;
}

allocator_state::allocator_state(allocator_dependencies dependencies)
    : m_deps(std::move(dependencies)), m_directory(m_deps.view),
      m_configuration(m_deps.configuration())
{}

auto allocator_state::receive(const base::node_id &from, std::string_view payload,
                              base::time_point now) -> std::vector<base::outgoing_message>
{
    const auto message = base::decodeThrift<wire::rate_message>(payload);
    if (!message) {
        return {};
    }
    syncConfiguration(now);
    for (const auto &ask : message->asks) {
        handleAsk(from, ask, now);
    }
    if (message->__isset.regions) {
        handleRegions(from, message->regions, now);
    }
    return m_batch.take();
}

auto allocator_state::tick(base::time_point now) -> std::vector<base::outgoing_message>
{
    syncConfiguration(now);
    wishForLeases();
    updateShards(now);
    for (auto &[number, shard] : m_shards) {
        tickShard(number, shard, now);
    }
    return m_batch.take();
}

auto allocator_state::size() const -> std::size_t
{
    std::size_t total = 0;
    for (const auto &[number, shard] : m_shards) {
        total += shard.organisations.size();
    }
    return total;
}

auto allocator_state::wishForLeases() -> void
{
    for (shard_number shard = 0; shard < SHARD_COUNT; ++shard) {
        const auto &candidates = m_directory.candidates(m_deps.region, shard);
        const bool first = !candidates.empty() && candidates.front() == m_deps.node;
        m_deps.wish(leaseName(m_deps.region, shard), first);
    }
}

auto allocator_state::updateShards(base::time_point now) -> void
{
    for (shard_number shard = 0; shard < SHARD_COUNT; ++shard) {
        heldShard(shard, now);
    }
}

auto allocator_state::heldShard(shard_number shard, base::time_point now) -> shard_state *
{
    const auto epoch = m_deps.holdsLease(leaseName(m_deps.region, shard), now);
    const auto found = m_shards.find(shard);
    if (!epoch) {
        if (found != m_shards.end()) {
            m_shards.erase(found);
        }
        return nullptr;
    }
    if (found == m_shards.end() || found->second.epoch != *epoch) {
        takeOver(shard, *epoch, now);
    }
    auto &state = m_shards[shard];
    openShard(state, now);
    return &state;
}

auto allocator_state::takeOver(shard_number shard, std::uint64_t epoch, base::time_point now)
        -> void
{
    shard_state state;
    state.epoch = epoch;
    state.readyAt = now + GRANT_HOLD;
    state.loansEnd = now + LOAN_HOLD;
    state.unanswered.insert(m_deps.regions.begin(), m_deps.regions.end());
    state.unanswered.erase(m_deps.region);
    m_shards.insert_or_assign(shard, std::move(state));
}

auto allocator_state::openShard(shard_state &shard, base::time_point now) -> void
{
    const bool sharesKnown = shard.unanswered.empty() || now >= shard.loansEnd;
    if (shard.open || now < shard.readyAt || !sharesKnown) {
        return;
    }
    shard.open = true;
    shard.filledFrom = now;
    // What accrued while the shares were not fully known doesn't count.
    for (auto &[id, item] : shard.organisations) {
        item.bucket = token_bucket(0.0, 0.0, 0.0, now);
        refresh(id, item, now);
    }
}

auto allocator_state::tickShard(shard_number number, shard_state &shard, base::time_point now)
        -> void
{
    if (!shard.open) {
        if (now >= shard.readyAt && now - shard.lastQuery >= QUERY_INTERVAL) {
            shard.lastQuery = now;
            sendQueries(number, shard);
        }
        return;
    }
    for (auto each = shard.organisations.begin(); each != shard.organisations.end();) {
        auto &item = each->second;
        refresh(each->first, item, now);
        serveHeld(number, shard, each->first, item, now);
        tickShares(number, shard, each->first, item, now);
        each = evictable(item, now) ? shard.organisations.erase(each) : std::next(each);
    }
}

auto allocator_state::evictable(const organisation_state &item, base::time_point now) -> bool
{
    return item.bucket.full() && item.held.empty() && item.requests.empty()
           && item.share.lent().empty() && item.share.borrowed().empty()
           && now - item.lastUse >= EVICT_AFTER;
}

auto allocator_state::syncConfiguration(base::time_point now) -> void
{
    auto next = m_deps.configuration();
    if (next->version() == m_configuration->version()) {
        return;
    }
    const auto before = std::exchange(m_configuration, std::move(next));
    const auto &old = before->set().organisations;
    const auto &current = m_configuration->set().organisations;
    auto left = old.begin();
    auto right = current.begin();
    while (left != old.end() || right != current.end()) {
        const bool takeLeft =
                right == current.end() || (left != old.end() && left->id <= right->id);
        const bool takeRight =
                left == old.end() || (right != current.end() && right->id <= left->id);
        const auto *was = takeLeft ? &*left++ : nullptr;
        const auto *is = takeRight ? &*right++ : nullptr;
        const bool same =
                was != nullptr && is != nullptr && was->rate == is->rate && was->burst == is->burst;
        if (!same) {
            applyChange(was != nullptr ? was->id : is->id, was, is, now);
        }
    }
}

auto allocator_state::applyChange(const base::organisation_id &id,
                                  const config::organisation *before,
                                  const config::organisation *after, base::time_point now) -> void
{
    const auto shard = m_shards.find(shardOf(id));
    if (shard == m_shards.end() || !shard->second.open) {
        return;
    }
    auto &organisations = shard->second.organisations;
    const auto known = organisations.find(id);
    if (before == nullptr && known == organisations.end()) {
        // A new organisation starts with an empty bucket: it may be one that was removed before.
        organisations.emplace(
                id, organisation_state(ownParts(), token_bucket(0.0, 0.0, 0.0, now), now));
    } else if (before != nullptr) {
        stateOf(shard->second, id, *before, now);
    }
    auto &item = organisations.at(id);
    if (after == nullptr) {
        item.bucket.setTerms(0.0, 0.0, now);
    } else {
        setTerms(item, *after, now);
    }
}

auto allocator_state::stateOf(shard_state &shard, const base::organisation_id &id,
                              const config::organisation &terms, base::time_point now)
        -> organisation_state &
{
    const auto known = shard.organisations.find(id);
    if (known != shard.organisations.end()) {
        return known->second;
    }
    // Without state the bucket has been filling since the shard was taken over.
    const auto part = static_cast<double>(ownParts()) / static_cast<double>(WHOLE_PARTS);
    const auto rate = terms.rate * part / CLOCK_RATE_RATIO;
    const auto burst = terms.burst * part;
    const auto level =
            shard.open ? std::min(burst, rate * base::toSeconds(now - shard.filledFrom)) : 0.0;
    organisation_state fresh(ownParts(), token_bucket(level, rate, burst, now), now);
    return shard.organisations.emplace(id, std::move(fresh)).first->second;
}

auto allocator_state::ownParts() const -> std::int64_t
{
    return WHOLE_PARTS / static_cast<std::int64_t>(std::max<std::size_t>(1, m_deps.regions.size()));
}

auto allocator_state::setTerms(organisation_state &item, const config::organisation &terms,
                               base::time_point now) -> void
{
    const auto part = static_cast<double>(item.share.parts()) / static_cast<double>(WHOLE_PARTS);
    item.bucket.setTerms(terms.rate * part / CLOCK_RATE_RATIO, terms.burst * part, now);
}

auto allocator_state::refresh(const base::organisation_id &id, organisation_state &item,
                              base::time_point now) -> const config::organisation *
{
    const auto *terms = m_configuration->organisationById(id);
    const config::organisation none;
    const auto &present = terms == nullptr ? none : *terms;
    // Each loan counts up to its own end, also if this process was paused.
    for (auto end = item.share.firstEnd(); end && *end - LOAN_MARGIN <= now;
         end = item.share.firstEnd()) {
        item.bucket.refill(*end - LOAN_MARGIN);
        item.share.dropEnded(*end);
        setTerms(item, present, *end - LOAN_MARGIN);
    }
    item.bucket.refill(now);
    item.share.expireLent(now);
    setTerms(item, present, now);
    return terms;
}

} // namespace hawthornpick::limits
