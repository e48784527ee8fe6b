#pragma once

#include "atmostonce/attemptregistry.h"
#include "atmostonce/fence.h"
#include "atmostonce/idempotencyclient.h"
#include "atmostonce/idempotencyreplica.h"

#include <map>
#include <string_view>

namespace hawthornpick::atmostonce {

//! Dependencies of the module on the rest of the node.
struct atmostonce_dependencies
{
    base::node_id node;
    base::incarnation incarnation = 0;
    //! Replicas of each region, from `config::settings::witnesses`.
    replica_map replicas;
    base::random_source random;
    post_function post;
};

//! Creates and connects the attempt registry, fence client and server, idempotency client and
//! replicas of one node. The owner registers `receiveFence` for channel `Fence`,
//! `receiveIdempotency` for channel `Idempotency`, and `tick`.
class atmostonce_module
{
public:
    explicit atmostonce_module(const atmostonce_dependencies &dependencies);

    //! Components that the request path uses. Thread safety: see each class.
    auto attempts() -> attempt_registry & { return m_attemptRegistry; }
    auto fences() -> fence_client & { return m_fenceClient; }
    auto records() -> idempotency_client & { return m_idempotencyClient; }

    //! Thread safety of the following members: control thread.
    auto receiveFence(const base::node_id &from, std::string_view payload, base::time_point now)
            -> messages;
    auto receiveIdempotency(const base::node_id &from, std::string_view payload,
                            base::time_point now) -> messages;
    auto tick(base::time_point now) -> messages;

    //! Returns true if a replica on this node is still copying records.
    [[nodiscard]] auto recovering() const -> bool;

private:
    attempt_registry m_attemptRegistry;
    fence_client m_fenceClient;
    fence_server m_fenceServer;
    idempotency_client m_idempotencyClient;
    std::map<base::region_id, idempotency_replica> m_replicas;
};

} // namespace hawthornpick::atmostonce
