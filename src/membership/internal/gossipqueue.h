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

//! What a queued update is about; its content is read from the table when it is sent.
struct update_key
{
    enum class kind : std::uint8_t {
        Status,
        Change,
        Record,
    };

    kind type = kind::Status;
    base::node_id node;
    //! Local name of the upstream of a change; empty for the announcement of leaving.
    std::string upstream;

    auto operator<=>(const update_key &) const = default;
};

//! Updates that are still to be passed on, each a limited number of times. The least sent ones go
//! first.
class gossip_queue
{
public:
    //! Queues an update; one that is queued already starts again.
    //! Thread safety: one thread.
    auto push(const update_key &key, unsigned transmissions) -> void;

    //! Offers updates to `append` until it returns false, each at most once; an appended update
    //! counts as sent once. Thread safety: one thread.
    auto take(const std::function<bool(const update_key &)> &append) -> void;

    [[nodiscard]] auto empty() const -> bool { return m_items.empty(); }

private:
    struct item
    {
        update_key key;
        unsigned remaining;
    };

    std::list<item> m_items;
    std::map<update_key, std::list<item>::iterator> m_positions;
};

} // namespace hawthornpick::membership
