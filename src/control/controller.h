#pragma once

#include "control/acceptancedriver.h"
#include "control/replica.h"

#include <memory>
#include <string_view>
#include <vector>

namespace hawthornpick::control {

//! Controller of a node with a data folder: a replica of the log and the driver that brings changes
//! into force. Thread safety of all members: control thread.
class controller
{
public:
    using messages = std::vector<base::outgoing_message>;

    //! Loads the stored state from `logStorage`. Returns an error if that fails. Precondition:
    //! `exchange` outlives the controller.
    static auto create(replica_options options, witness_map witnesses, storage logStorage,
                       transfer::content_exchange &exchange, base::random_source random,
                       base::time_point now) -> storage_result<std::unique_ptr<controller>>;

    //! Handles a message of the channel `Consensus`; ignores operator replies and unknown kinds.
    auto receive(const base::node_id &from, std::string_view payload, base::time_point now)
            -> messages;
    auto tick(base::time_point now) -> messages;
    //! Syncs, commits and takes the next steps of changes. Call after the exchange received a
    //! message.
    auto advance(base::time_point now) -> messages;

    //! Returns the replica of the log.
    [[nodiscard]] auto log() const -> const replica & { return m_replica; }

    controller(const controller &) = delete;
    auto operator=(const controller &) -> controller & = delete;

private:
    controller(replica_options options, witness_map witnesses, storage logStorage,
               stored_state loaded, transfer::content_exchange &exchange,
               base::random_source random, base::time_point now);

    storage m_storage;
    replica m_replica;
    acceptance_driver m_driver;
};

} // namespace hawthornpick::control
