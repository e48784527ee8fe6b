#include "atmostonce/idempotencyreplica.h"

#include "atmostonce/internal/replicastate.h"

#include <utility>

namespace hawthornpick::atmostonce {

idempotency_replica::idempotency_replica(replica_settings settings)
    : m_state(std::make_unique<replica_state>(std::move(settings)))
{}

idempotency_replica::~idempotency_replica() = default;

auto idempotency_replica::receive(const base::node_id &from, std::string_view payload,
                                  base::time_point now) -> std::vector<base::outgoing_message>
{
    return m_state->receive(from, payload, now);
}

auto idempotency_replica::tick(base::time_point now) -> std::vector<base::outgoing_message>
{
    return m_state->tick(now);
}

auto idempotency_replica::recovering() const -> bool
{
    return m_state->recovering();
}

auto idempotency_replica::size() const -> std::size_t
{
    return m_state->size();
}

} // namespace hawthornpick::atmostonce
