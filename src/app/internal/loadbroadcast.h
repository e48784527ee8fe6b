#pragma once

#include "base/message.h"
#include "base/time.h"
#include "membership/view.h"
#include "policy/slots.h"

#include <map>
#include <vector>

namespace hawthornpick::app {

//! Decision object that tells other nodes the load and health of the upstreams of this host. Load
//! that is known a second late sends several nodes to the same upstream while others are idle.
//!
//! Nodes of the own region hear of changes within a tenth of a second at small sizes; the interval
//! grows with their number, so that the cost of a node does not. Nodes of other regions, which
//! place little work here, hear less. Thread safety of all members: one thread.
class load_broadcast
{
public:
    using messages = std::vector<base::outgoing_message>;

    static constexpr base::milliseconds MIN_INTERVAL{100};
    static constexpr base::milliseconds MAX_INTERVAL{500};
    //! Notices that a node sends in a second to nodes of its region.
    static constexpr int NOTICES_PER_SECOND = 150;
    static constexpr base::milliseconds REGION_INTERVAL{700};
    //! A load that does not change is repeated before its readers forget it.
    static constexpr base::milliseconds REFRESH_INTERVAL{1500};

    load_broadcast(base::node_id self, base::region_id region)
        : m_self(std::move(self)), m_region(std::move(region))
    {}

    //! Returns the notices that are due. `loads` are those of the services of this host.
    auto tick(const std::map<base::service_id, policy::service_load> &loads,
              const membership::view &view, base::time_point now) -> messages;

private:
    struct sent_state
    {
        policy::service_load load;
        base::time_point at{};
    };
    using sent_map = std::map<base::service_id, sent_state>;

    auto send(const std::map<base::service_id, policy::service_load> &loads,
              const std::vector<base::node_id> &targets, sent_map &sent, base::time_point now,
              messages &out) const -> void;

    base::node_id m_self;
    base::region_id m_region;
    sent_map m_sentNear;
    sent_map m_sentFar;
    base::time_point m_nearAt{};
    base::time_point m_farAt{};
};

} // namespace hawthornpick::app
