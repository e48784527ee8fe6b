#include "tests/soak/noticepromises.h"

#include <algorithm>

namespace hawthornpick::soak {

auto notice_promises::onSent(const std::string &id, int node, base::time_point now) -> void
{
    const std::lock_guard lock(m_mutex);
    m_requests[id] = {node, now};
}

auto notice_promises::onAnswer(const std::string &id, bool namesLimit, bool saysLeaving,
                               base::time_point now) -> void
{
    const std::lock_guard lock(m_mutex);
    const auto request = m_requests.find(id);
    if (request == m_requests.end()) {
        return;
    }
    if (namesLimit) {
        m_limitTold.try_emplace(request->second.node, now);
    }
    if (saysLeaving) {
        m_leavingTold.try_emplace(request->second.node, now);
    }
}

auto notice_promises::onStopped(int node) -> void
{
    const std::lock_guard lock(m_mutex);
    m_limitTold.erase(node);
    m_leavingTold.erase(node);
}

auto notice_promises::onCut(int node) -> void
{
    const std::lock_guard lock(m_mutex);
    m_limitTold.erase(node);
}

auto notice_promises::onLimitedRun(const std::string &id, base::time_point now) -> void
{
    const std::lock_guard lock(m_mutex);
    m_firstNamed = std::min(m_firstNamed, now);
    const auto request = m_requests.find(id);
    if (request == m_requests.end() || now < m_firstNamed + LIMIT_SETTLE_TIME) {
        return;
    }
    const auto told = m_limitTold.find(request->second.node);
    if (told != m_limitTold.end() && told->second + LIMIT_TOLD_TIME <= now) {
        m_limitedRuns.push_back(now);
    }
}

auto notice_promises::onLeavingRun(const std::string &id) -> void
{
    const std::lock_guard lock(m_mutex);
    const auto request = m_requests.find(id);
    if (request == m_requests.end()) {
        return;
    }
    const auto told = m_leavingTold.find(request->second.node);
    if (told != m_leavingTold.end() && told->second + DRAIN_TIME < request->second.sentAt) {
        m_broken.push_back("an upstream that leaves got " + id);
    }
}

auto notice_promises::broken() -> std::vector<std::string>
{
    const std::lock_guard lock(m_mutex);
    auto result = m_broken;
    std::sort(m_limitedRuns.begin(), m_limitedRuns.end());
    std::ptrdiff_t most = 0;
    for (auto first = m_limitedRuns.begin(); first != m_limitedRuns.end(); ++first) {
        const auto last = std::lower_bound(first, m_limitedRuns.end(), *first + LIMIT_WINDOW);
        most = std::max(most, last - first);
    }
    if (static_cast<double>(most) > 1.5 * LIMIT * base::toSeconds(LIMIT_WINDOW) + 5.0) {
        result.push_back("limit of an upstream exceeded: " + std::to_string(most)
                         + " requests in 4 s");
    }
    return result;
}

} // namespace hawthornpick::soak
