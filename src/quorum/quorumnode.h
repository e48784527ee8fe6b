#pragma once

#include "quorum/replica.h"
#include "quorum/storageworker.h"

#include <boost/asio/awaitable.hpp>
#include <functional>
#include <memory>
#include <string>

namespace hawthornpick::quorum {

struct quorum_settings
{
    replica_options replica;
    std::string dataFolder;
};

//! A replica with its disk and the operators' requests of one core node. Requests that arrive at
//! another node than the leader are passed on.
//! Thread safety of all members: the control thread.
class quorum_node
{
public:
    using messages = replica::messages;
    using task = std::function<messages(base::time_point now)>;
    //! Runs a task on the control thread and sends what it returns; called on any thread.
    using post_function = std::function<void(task)>;

    //! `onCommitted` is called for each newer committed value.
    quorum_node(quorum_settings settings, edit_function edit, std::uint64_t seed,
                post_function post, std::function<void(const value_pointer &)> onCommitted);
    ~quorum_node();

    auto receive(const base::node_id &from, std::string_view payload, base::time_point now)
            -> messages;
    auto tick(base::time_point now) -> messages;

    //! Asks the group for a change or a confirmed read. Answers `group_unavailable` after
    //! `timeout`.
    auto change(config_change wanted, base::duration timeout)
            -> boost::asio::awaitable<group_answer>;
    auto read(base::duration timeout) -> boost::asio::awaitable<group_answer>;

    //! True if the committed value was the leader's newest one within `limit`.
    [[nodiscard]] auto isFresh(base::time_point now, base::duration limit) const -> bool;

private:
    class state;
    std::shared_ptr<state> m_state;
};

} // namespace hawthornpick::quorum
