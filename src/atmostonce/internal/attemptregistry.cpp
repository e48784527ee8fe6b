#include "atmostonce/attemptregistry.h"

#include <algorithm>

namespace hawthornpick::atmostonce {

attempt_registry::attempt_registry(base::incarnation own, std::size_t maxIds)
    : m_own(own), m_maxIdsPerGroup(std::max<std::size_t>(1, maxIds / GROUPS))
{}

auto attempt_registry::start(const base::attempt_id &id) -> start_result
{
    auto &target = groupOf(id);
    const std::scoped_lock guard(target.lock);
    const auto known = target.marks.find(id);
    if (known != target.marks.end()) {
        return known->second == mark::Fenced ? start_result::Fenced : start_result::AlreadyStarted;
    }
    if (target.marks.size() >= m_maxIdsPerGroup) {
        return start_result::Full;
    }
    add(target, id, mark::Started);
    return start_result::Started;
}

auto attempt_registry::fence(const base::attempt_id &id, base::incarnation expected) -> fence_answer
{
    if (expected != m_own) {
        return fence_answer::Unknown;
    }
    auto &target = groupOf(id);
    const std::scoped_lock guard(target.lock);
    const auto known = target.marks.find(id);
    if (known != target.marks.end()) {
        return known->second == mark::Fenced ? fence_answer::NotStarted : fence_answer::Started;
    }
    if (target.marks.size() >= m_maxIdsPerGroup) {
        return fence_answer::Unknown;
    }
    add(target, id, mark::Fenced);
    return fence_answer::NotStarted;
}

auto attempt_registry::tick(base::time_point now) -> void
{
    const std::scoped_lock tickGuard(m_tickLock);
    const auto step = std::clamp<base::duration>(now - m_lastTick, base::duration{0}, MAX_STEP);
    m_lastTick = now;
    for (auto &target : m_groups) {
        const std::scoped_lock guard(target.lock);
        target.age += step;
        while (!target.order.empty() && target.age - target.order.front().since > MEMORY) {
            target.marks.erase(target.order.front().id);
            target.order.pop_front();
        }
    }
}

auto attempt_registry::size() const -> std::size_t
{
    std::size_t total = 0;
    for (const auto &target : m_groups) {
        const std::scoped_lock guard(target.lock);
        total += target.marks.size();
    }
    return total;
}

auto attempt_registry::groupOf(const base::attempt_id &id) -> group &
{
    return m_groups[(id.high ^ (id.low >> 32U)) % GROUPS];
}

auto attempt_registry::add(group &target, const base::attempt_id &id, mark value) -> void
{
    target.marks.emplace(id, value);
    target.order.push_back({target.age, id});
}

} // namespace hawthornpick::atmostonce
