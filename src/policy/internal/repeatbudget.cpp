#include "policy/repeatbudget.h"

namespace hawthornpick::policy {

auto repeat_budget::onRequest(const base::service_id &service, base::time_point now) -> void
{
    auto &state = m_services[service];
    removeExpired(state, now);
    state.requestTimes.push_back(now);
}

auto repeat_budget::tryRepeat(const base::service_id &service, base::time_point now) -> bool
{
    auto &state = m_services[service];
    removeExpired(state, now);
    const double allowed =
            m_limits.share * static_cast<double>(state.requestTimes.size()) + m_limits.slack;
    if (static_cast<double>(state.repeatTimes.size()) + 1.0 > allowed) {
        return false;
    }
    state.repeatTimes.push_back(now);
    return true;
}

auto repeat_budget::removeExpired(service_state &state, base::time_point now) const -> void
{
    for (auto *times : {&state.requestTimes, &state.repeatTimes}) {
        while (!times->empty() && times->front() + m_limits.window <= now) {
            times->pop_front();
        }
    }
}

} // namespace hawthornpick::policy
