#pragma once

#include "base/ids.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <string>

namespace hawthornpick::membership {

//! Identifies the subject of a queued update. The content is read from the member table when the
//! update is sent.
struct update_key
{
    enum class kind : std::uint8_t {
        Status,
        Change,
        Record,
    };

    kind type = kind::Status;
    base::node_id node;
    //! Local name of the changed upstream; empty if the node announces that it is leaving.
    std::string upstream;

    auto operator<=>(const update_key &) const = default;
};

//! Queue of updates to gossip, each of which is sent a limited number of times. New updates come
//! first; an update that was sent moves to the end.
class gossip_queue
{
public:
    //! Queues an update. If it is already queued, its transmission count starts again.
    //! Thread safety: one thread.
    auto push(const update_key &key, unsigned transmissions) -> void;

    //! Passes each update at most once to `tryAppend`, until it returns false. Each update for
    //! which it returns true counts as one transmission. Thread safety: one thread.
    auto take(const std::function<bool(const update_key &)> &tryAppend) -> void;

    [[nodiscard]] auto empty() const -> bool { return m_updates.empty(); }

private:
    struct queued_update
    {
        update_key key;
        unsigned remainingTransmissions;
    };

    std::list<queued_update> m_updates;
    std::map<update_key, std::list<queued_update>::iterator> m_positions;
};

} // namespace hawthornpick::membership
