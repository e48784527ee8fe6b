#pragma once

#include "base/ids.h"
#include "base/message.h"
#include "limits/generated/limitswire_types.h"

#include <map>
#include <vector>

namespace hawthornpick::limits {

//! Collects token requests and answers by destination and packs them into as few datagrams as
//! possible. Messages between regions are sent alone.
class rate_batch
{
public:
    auto add(const base::node_id &to, const wire::ask &item) -> void;
    auto add(const base::node_id &to, const wire::answer &item) -> void;
    auto add(const base::node_id &to, const wire::region_message &item) -> void;

    //! Returns the messages collected so far and empties the batch.
    auto take() -> std::vector<base::outgoing_message>;

private:
    //! Estimated payload above which a new datagram is started; below the limit of 1,200 bytes that
    //! the control runtime sets.
    static constexpr std::size_t MAX_PAYLOAD_BYTES = 1000;

    struct datagram
    {
        wire::rate_message message;
        std::size_t payloadBytes = 0;
    };

    auto datagramFor(const base::node_id &to, std::size_t payloadBytes) -> wire::rate_message &;
    auto complete(const base::node_id &to, datagram &datagram) -> void;

    std::map<base::node_id, datagram> m_incomplete;
    std::vector<base::outgoing_message> m_completed;
};

} // namespace hawthornpick::limits
