#include "upstream/upstreamservice.h"

#include "upstream/internal/coldprobe.h"

#include <boost/asio/post.hpp>

namespace hawthornpick::upstream {

namespace {

auto queueLimitFunction(const config::snapshot_cell &configuration)
        -> upstream_registry::queue_limit_function
{
    return [&configuration](const base::service_id &serviceId) {
        const auto snapshot = configuration.load();
        const auto *service = snapshot->serviceById(serviceId);
        return service == nullptr ? std::nullopt : std::optional(service->queuePerSlot);
    };
}

} // namespace

upstream_service::upstream_service(std::vector<boost::asio::io_context *> contexts,
                                   const membership::endpoint &announceAddress,
                                   const service_dependencies &dependencies)
    : m_contexts(std::move(contexts)),
      m_registry(dependencies.node, queueLimitFunction(dependencies.configuration),
                 dependencies.onUpstreamsChanged, dependencies.announcementLife,
                 dependencies.queueOrder, dependencies.use),
      m_coldProbe(std::make_shared<cold_probe>(*m_contexts.front(), dependencies.configuration,
                                               m_registry.table(), m_registry.startGates(),
                                               dependencies.wire, dependencies.options.coldOverage))
{
    if (!announceAddress.address.empty()) {
        m_announceServer.emplace(*m_contexts.front(), announceAddress, m_registry);
    }
    for (auto *context : m_contexts) {
        m_executors.push_back(std::make_unique<executor>(
                *context,
                executor_dependencies{
                        dependencies.nodeIncarnation, dependencies.configuration,
                        m_registry.table(), dependencies.hooks, dependencies.wire,
                        dependencies.options, m_registry.startGates(),
                        [probe = m_coldProbe](const base::upstream_id &upstream) {
                            probe->ask(upstream);
                        },
                        [this](const base::upstream_id &upstream, base::incarnation incarnation) {
                            m_registry.markLeaving(upstream, incarnation);
                        }}));
    }
}

upstream_service::~upstream_service() = default;

auto upstream_service::drain() -> void
{
    for (const auto &executor : m_executors) {
        boost::asio::post(executor->context(), [executor = executor.get()] { executor->drain(); });
    }
}

auto upstream_service::stop() -> void
{
    boost::asio::post(*m_contexts.front(), [this] {
        if (m_announceServer) {
            m_announceServer->stop();
        }
        m_coldProbe->stop();
    });
    for (const auto &executor : m_executors) {
        boost::asio::post(executor->context(), [executor = executor.get()] { executor->stop(); });
    }
}

} // namespace hawthornpick::upstream
