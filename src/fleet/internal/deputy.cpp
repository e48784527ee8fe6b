#include "fleet/deputy.h"

namespace hawthornpick::fleet {

auto deputy::receive(const base::node_id &from, const message &content, base::time_point now)
        -> messages
{
    const auto *nodeReport = std::get_if<report>(&content);
    if (nodeReport != nullptr && !nodeReport->isProbe) {
        m_lastReportAt = now;
        if (!m_hub) {
            // Each activation has a directory of its own.
            ++m_bootId;
            m_hub.emplace(
                    hub_options{{}, m_bootId, true}, m_localReporter,
                    [](base::time_point) { return false; }, m_isNearLimit);
        }
        m_hub->mergeRecords(m_localReporter.records());
    }
    return m_hub ? m_hub->receive(from, content, now) : messages{};
}

auto deputy::tick(base::time_point now) -> messages
{
    if (m_hub && now - m_lastReportAt > hub::USAGE_TIMEOUT) {
        m_hub.reset();
    }
    return m_hub ? m_hub->tick(now) : messages{};
}

} // namespace hawthornpick::fleet
