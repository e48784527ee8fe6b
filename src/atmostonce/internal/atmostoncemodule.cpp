#include "atmostonce/atmostoncemodule.h"

#include "atmostonce/internal/wireformat.h"
#include "base/thriftcodec.h"

#include <algorithm>
#include <iterator>

namespace hawthornpick::atmostonce {

namespace {

auto appendMessages(messages &target, messages more) -> void
{
    target.insert(target.end(), std::make_move_iterator(more.begin()),
                  std::make_move_iterator(more.end()));
}

auto isReplicaMessage(message_kind kind) -> bool
{
    switch (kind) {
    case message_kind::Prepare:
    case message_kind::Accept:
    case message_kind::Fetch:
    case message_kind::CopyRequest:
    case message_kind::CopyPage:
    case message_kind::Recovering:
        return true;
    default:
        return false;
    }
}

} // namespace

atmostonce_module::atmostonce_module(const atmostonce_dependencies &dependencies)
    : m_attemptRegistry(dependencies.incarnation), m_fenceClient(dependencies.post),
      m_fenceServer(m_attemptRegistry), m_idempotencyClient(dependencies.replicas, m_fenceClient,
                                                            dependencies.random, dependencies.post)
{
    for (const auto &[region, nodes] : dependencies.replicas) {
        if (std::find(nodes.begin(), nodes.end(), dependencies.node) == nodes.end()) {
            continue;
        }
        replica_settings settings;
        settings.node = dependencies.node;
        settings.region = region;
        settings.incarnation = dependencies.incarnation;
        settings.replicas = nodes;
        m_replicas.try_emplace(region, std::move(settings));
    }
}

auto atmostonce_module::receiveFence(const base::node_id &from, std::string_view payload,
                                     base::time_point now) -> messages
{
    auto out = m_fenceClient.receive(from, payload, now);
    appendMessages(out, m_fenceServer.receive(from, payload));
    return out;
}

auto atmostonce_module::receiveIdempotency(const base::node_id &from, std::string_view payload,
                                           base::time_point now) -> messages
{
    const auto message = base::decodeThrift<wire::idempotency_message>(payload);
    if (!message) {
        return {};
    }
    if (!isReplicaMessage(kindOf(*message))) {
        return m_idempotencyClient.receive(from, payload, now);
    }
    const auto replica = m_replicas.find(base::region_id(message->region));
    return replica == m_replicas.end() ? messages{} : replica->second.receive(from, payload, now);
}

auto atmostonce_module::tick(base::time_point now) -> messages
{
    m_attemptRegistry.tick(now);
    auto out = m_fenceClient.tick(now);
    appendMessages(out, m_idempotencyClient.tick(now));
    for (auto &[region, replica] : m_replicas) {
        appendMessages(out, replica.tick(now));
    }
    return out;
}

auto atmostonce_module::recovering() const -> bool
{
    return std::any_of(m_replicas.begin(), m_replicas.end(),
                       [](const auto &entry) { return entry.second.recovering(); });
}

} // namespace hawthornpick::atmostonce
