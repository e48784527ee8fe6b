#pragma once

#include "base/ids.h"
#include "base/message.h"
#include "limits/generated/limitswire_types.h"

#include <map>
#include <vector>

namespace hawthornpick::limits {

//! Collects asks or answers for each destination and packs them into datagrams.
class rate_batch
{
public:
    auto add(const base::node_id &to, const wire::ask &item) -> void;
    auto add(const base::node_id &to, const wire::answer &item) -> void;
    auto add(const base::node_id &to, const wire::region_message &item) -> void;

    //! Returns the messages collected so far and starts again.
    auto take() -> std::vector<base::outgoing_message>;

private:
    //! Payload at which a datagram is full; 1,200 bytes is the limit of the runtime.
    static constexpr std::size_t FULL_BYTES = 1000;

    struct packet
    {
        wire::rate_message message;
        std::size_t bytes = 0;
    };

    auto packetFor(const base::node_id &to, std::size_t bytes) -> wire::rate_message &;
    auto finish(const base::node_id &to, packet &content) -> void;

    std::map<base::node_id, packet> m_open;
    std::vector<base::outgoing_message> m_done;
};

} // namespace hawthornpick::limits
