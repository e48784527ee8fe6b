#pragma once

#include "control/acceptancedriver.h"
#include "control/replica.h"

#include <memory>
#include <string_view>
#include <vector>

namespace hawthornpick::control {

//! Decision object of a node with a data folder: a replica and the driver that leads changes into
//! force. Thread safety of all members: control thread.
class controller
{
public:
    using messages = std::vector<base::outgoing_message>;

    //! Loads `disk`. Precondition: `exchange` outlives the controller.
    static auto create(replica_options options, witness_map witnesses, storage disk,
                       transfer::content_exchange &exchange, base::random_source random,
                       base::time_point now) -> storage_result<std::unique_ptr<controller>>;

    //! Handles a message of the channel `Consensus` except operator replies.
    auto receive(const base::node_id &from, std::string_view payload, base::time_point now)
            -> messages;
    auto tick(base::time_point now) -> messages;
    //! Syncs, commits and continues changes. Call after the exchange received something.
    auto advance(base::time_point now) -> messages;

    [[nodiscard]] auto log() const -> const replica & { return m_replica; }

    controller(const controller &) = delete;
    auto operator=(const controller &) -> controller & = delete;

private:
    controller(replica_options options, witness_map witnesses, storage disk, stored_state loaded,
               transfer::content_exchange &exchange, base::random_source random,
               base::time_point now);

    storage m_storage;
    replica m_replica;
    acceptance_driver m_driver;
};

} // namespace hawthornpick::control
