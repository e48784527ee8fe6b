#include "upstream/toldstatements.h"

#include <algorithm>

namespace hawthornpick::upstream {

auto told_statements::onReport(const base::node_id &node, const base::service_id &service,
                               const statement_report &report, base::time_point now) -> void
{
    const std::lock_guard lock(m_mutex);
    const auto position = m_known.find({node, service});
    if (report.statements.empty() && (report.isComplete || position == m_known.end())) {
        if (position != m_known.end()) {
            m_known.erase(position);
        }
        return;
    }
    std::erase_if(m_known,
                  [now](const auto &item) { return item.second.reportedAt + RETENTION <= now; });
    auto &known = m_known[{node, service}];
    auto statements = report.statements;
    for (const auto &former : known.statements) {
        const bool isReported =
                std::any_of(statements.begin(), statements.end(),
                            [&](const auto &item) { return item.upstream == former.upstream; });
        if (!report.isComplete && !isReported && statements.size() < MAX_STATEMENTS) {
            statements.push_back(former);
        }
    }
    known = {std::move(statements), now};
}

auto told_statements::statementsAbout(const base::node_id &node,
                                      const base::service_id &service) const
        -> std::vector<upstream_statement>
{
    const std::lock_guard lock(m_mutex);
    const auto position = m_known.find({node, service});
    return position == m_known.end() ? std::vector<upstream_statement>()
                                     : position->second.statements;
}

} // namespace hawthornpick::upstream
