#include "atmostonce/attemptregistry.h"

#include <algorithm>

namespace hawthornpick::atmostonce {

attempt_registry::attempt_registry(base::incarnation incarnation, std::size_t maxIds)
    : m_incarnation(incarnation), m_maxIdsPerShard(std::max<std::size_t>(1, maxIds / SHARD_COUNT))
{}

auto attempt_registry::start(const base::attempt_id &id) -> start_result
{
    auto &shard = shardOf(id);
    const std::scoped_lock guard(shard.mutex);
    const auto known = shard.states.find(id);
    if (known != shard.states.end()) {
        return known->second == attempt_state::Fenced ? start_result::Fenced
                                                      : start_result::AlreadyStarted;
    }
    if (shard.states.size() >= m_maxIdsPerShard) {
        return start_result::Full;
    }
    insert(shard, id, attempt_state::Started);
    return start_result::Started;
}

auto attempt_registry::fence(const base::attempt_id &id, base::incarnation expected) -> fence_answer
{
    if (expected != m_incarnation) {
        return fence_answer::Unknown;
    }
    auto &shard = shardOf(id);
    const std::scoped_lock guard(shard.mutex);
    const auto known = shard.states.find(id);
    if (known != shard.states.end()) {
        return known->second == attempt_state::Fenced ? fence_answer::NotStarted
                                                      : fence_answer::Started;
    }
    if (shard.states.size() >= m_maxIdsPerShard) {
        return fence_answer::Unknown;
    }
    insert(shard, id, attempt_state::Fenced);
    return fence_answer::NotStarted;
}

auto attempt_registry::tick(base::time_point now) -> void
{
    const std::scoped_lock tickGuard(m_tickMutex);
    const auto countedStep =
            std::clamp<base::duration>(now - m_lastTickAt, base::duration{0}, MAX_TICK_STEP);
    m_lastTickAt = now;
    for (auto &shard : m_shards) {
        const std::scoped_lock guard(shard.mutex);
        shard.countedTime += countedStep;
        while (!shard.insertionOrder.empty()
               && shard.countedTime - shard.insertionOrder.front().addedAt > RETENTION) {
            shard.states.erase(shard.insertionOrder.front().id);
            shard.insertionOrder.pop_front();
        }
    }
}

auto attempt_registry::size() const -> std::size_t
{
    std::size_t total = 0;
    for (const auto &shard : m_shards) {
        const std::scoped_lock guard(shard.mutex);
        total += shard.states.size();
    }
    return total;
}

auto attempt_registry::shardOf(const base::attempt_id &id) -> id_shard &
{
    return m_shards[(id.high ^ (id.low >> 32U)) % SHARD_COUNT];
}

auto attempt_registry::insert(id_shard &shard, const base::attempt_id &id, attempt_state state)
        -> void
{
    shard.states.emplace(id, state);
    shard.insertionOrder.push_back({shard.countedTime, id});
}

} // namespace hawthornpick::atmostonce
