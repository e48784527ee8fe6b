#include "upstream/upstreamservice.h"

#include <boost/asio/post.hpp>

namespace hawthornpick::upstream {

namespace {

auto queueRule(const config::snapshot_cell &configuration) -> upstream_registry::queue_function
{
    return [&configuration](const base::service_id &id) {
        const auto *service = configuration.load()->serviceById(id);
        return service == nullptr ? config::service{}.queuePerSlot : service->queuePerSlot;
    };
}

} // namespace

upstream_service::upstream_service(std::vector<boost::asio::io_context *> contexts,
                                   const membership::endpoint &announceAddress,
                                   const service_dependencies &dependencies)
    : m_contexts(std::move(contexts)),
      m_registry(dependencies.node, queueRule(dependencies.configuration),
                 dependencies.onUpstreamsChanged, dependencies.announcementLife, dependencies.order)
{
    if (!announceAddress.address.empty()) {
        m_announcements.emplace(*m_contexts.front(), announceAddress, m_registry);
    }
    for (auto *context : m_contexts) {
        m_executors.push_back(std::make_unique<executor>(
                *context,
                executor_dependencies{dependencies.nodeIncarnation, dependencies.configuration,
                                      m_registry.table(), dependencies.hooks, dependencies.wire,
                                      dependencies.rules}));
    }
}

auto upstream_service::drain() -> void
{
    for (const auto &target : m_executors) {
        boost::asio::post(target->context(), [target = target.get()] { target->drain(); });
    }
}

auto upstream_service::stop() -> void
{
    boost::asio::post(*m_contexts.front(), [this] {
        if (m_announcements) {
            m_announcements->stop();
        }
    });
    for (const auto &target : m_executors) {
        boost::asio::post(target->context(), [target = target.get()] { target->stop(); });
    }
}

} // namespace hawthornpick::upstream
