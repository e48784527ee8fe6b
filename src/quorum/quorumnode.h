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
    //! Folder of the durable state.
    std::string dataFolder;
};

//! Runs one replica of the quorum group: stores its state on disk and handles the operator requests
//! that arrive at this node. A node that is not the leader forwards them to the leader.
//! Thread safety of all members: the control thread.
class quorum_node
{
public:
    using messages = replica::messages;
    using task = std::function<messages(base::time_point now)>;
    //! Runs a task on the control thread and sends the messages that it returns. Must be callable
    //! on any thread.
    using post_function = std::function<void(task)>;

    //! Calls `onCommitted` on the control thread for each newly committed value.
    quorum_node(quorum_settings settings, edit_function edit, std::uint64_t seed,
                post_function post, std::function<void(const value_pointer &)> onCommitted);
    ~quorum_node();

    auto receive(const base::node_id &from, std::string_view payload, base::time_point now)
            -> messages;
    auto tick(base::time_point now) -> messages;

    //! Requests a change of the configuration, or a read that a majority confirms. The answer is
    //! `group_unavailable` if none comes within `timeout`.
    auto change(config_change requestedChange, base::duration timeout)
            -> boost::asio::awaitable<group_answer>;
    auto read(base::duration timeout) -> boost::asio::awaitable<group_answer>;
    //! As `change` and `read`, for an evacuation order and the evacuations.
    auto order(evacuation_order requestedOrder, base::duration timeout)
            -> boost::asio::awaitable<group_answer>;
    auto readEvacuations(base::duration timeout) -> boost::asio::awaitable<group_answer>;

    //! Same as `replica::isFresh`; false until the durable state is loaded.
    [[nodiscard]] auto isFresh(base::time_point now, base::duration maxAge) const -> bool;

private:
    auto submit(operator_request request, base::duration timeout)
            -> boost::asio::awaitable<group_answer>;

    class state;
    std::shared_ptr<state> m_state;
};

} // namespace hawthornpick::quorum
