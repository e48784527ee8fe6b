#pragma once

#include "fleet/hub.h"
#include "fleet/reporter.h"

#include <optional>

namespace hawthornpick::fleet {

//! Decision object of a node without a data folder: acts as a hub while other nodes report to it
//! because they reach no hub. It has no configuration documents, and each of its answers says so.
//! Thread safety of all members: one thread.
class deputy
{
public:
    using messages = hub::messages;

    //! Precondition: `localReporter` is the reporter of this node and outlives the object. `bootId`
    //! identifies this process.
    deputy(std::uint64_t bootId, reporter &localReporter, hub::near_limit_function isNearLimit)
        : m_bootId(bootId), m_localReporter(localReporter), m_isNearLimit(std::move(isNearLimit))
    {}

    auto receive(const base::node_id &from, const message &content, base::time_point now)
            -> messages;
    auto tick(base::time_point now) -> messages;

    //! Returns true while other nodes report to this one.
    [[nodiscard]] auto isActive() const -> bool { return m_hub.has_value(); }

private:
    std::uint64_t m_bootId;
    reporter &m_localReporter;
    hub::near_limit_function m_isNearLimit;
    std::optional<hub> m_hub;
    base::time_point m_lastReportAt;
};

} // namespace hawthornpick::fleet
