#pragma once

#include "atmostonce/attemptregistry.h"
#include "atmostonce/fence.h"
#include "atmostonce/idempotencyclient.h"
#include "atmostonce/idempotencyreplica.h"

#include <map>
#include <string_view>

namespace hawthornpick::atmostonce {

//! What the module takes from the rest of the node.
struct atmostonce_dependencies
{
    base::node_id node;
    base::incarnation incarnation = 0;
    //! Fixed replicas of each region: `config::settings::witnesses`.
    replica_map replicas;
    base::random_source random;
    post_function post;
};

//! Wires the attempt registry, fences and idempotency records of one node. Register `receiveFence`
//! for channel `Fence`, `receiveIdempotency` for channel `Idempotency`, and `tick`.
class atmostonce_module
{
public:
    explicit atmostonce_module(const atmostonce_dependencies &dependencies);

    //! For the request path. Thread safety: see each class.
    auto attempts() -> attempt_registry & { return m_attempts; }
    auto fences() -> fence_client & { return m_fences; }
    auto records() -> idempotency_client & { return m_records; }

    //! Thread safety of the following: control thread.
    auto receiveFence(const base::node_id &from, std::string_view payload, base::time_point now)
            -> messages;
    auto receiveIdempotency(const base::node_id &from, std::string_view payload,
                            base::time_point now) -> messages;
    auto tick(base::time_point now) -> messages;

    //! True if this node is a replica that is still copying records.
    [[nodiscard]] auto recovering() const -> bool;

private:
    attempt_registry m_attempts;
    fence_client m_fences;
    fence_server m_fenceServer;
    idempotency_client m_records;
    std::map<base::region_id, idempotency_replica> m_replicas;
};

} // namespace hawthornpick::atmostonce
