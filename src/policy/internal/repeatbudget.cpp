#include "policy/repeatbudget.h"

#include <algorithm>

namespace hawthornpick::policy {

auto repeat_budget::onRequest(const base::service_id &service, base::time_point now) -> void
{
    auto &state = m_services[service];
    removeExpired(state, now);
    state.requestTimes.push_back(now);
}

auto repeat_budget::tryRepeat(const base::service_id &service, base::time_point now,
                              const std::map<base::service_id, double> &calls) -> bool
{
    auto amounts = calls;
    amounts[service] += 1.0;
    const bool fits = std::all_of(amounts.begin(), amounts.end(), [&](const auto &item) {
        auto &state = m_services[item.first];
        removeExpired(state, now);
        const double allowed =
                m_limits.share * static_cast<double>(state.requestTimes.size()) + m_limits.slack;
        return state.repeatCount + item.second <= allowed;
    });
    if (!fits) {
        return false;
    }
    for (const auto &[target, amount] : amounts) {
        auto &state = m_services[target];
        state.repeats.emplace_back(now, amount);
        state.repeatCount += amount;
    }
    return true;
}

auto repeat_budget::removeExpired(service_state &state, base::time_point now) const -> void
{
    auto &requests = state.requestTimes;
    while (!requests.empty() && requests.front() + m_limits.window <= now) {
        requests.pop_front();
    }
    auto &repeats = state.repeats;
    while (!repeats.empty() && repeats.front().first + m_limits.window <= now) {
        state.repeatCount -= repeats.front().second;
        repeats.pop_front();
    }
    if (repeats.empty()) {
        state.repeatCount = 0.0;
    }
}

} // namespace hawthornpick::policy
