#include "upstream/executor.h"

#include "upstream/internal/executorstate.h"
#include "upstream/internal/streamserver.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace hawthornpick::upstream {

namespace asio = boost::asio;

executor::executor(asio::io_context &context, executor_dependencies dependencies)
    : m_state(std::make_shared<executor_state>(context, std::move(dependencies)))
{
    asio::co_spawn(context, executor_state::closeExpiredConnections(m_state), asio::detached);
}

executor::~executor() = default;

auto executor::run(const attempt_request &request, const body_source &source,
                   const answer_sink &sink, cancellation &cancel) -> asio::awaitable<attempt_result>
{
    return m_state->run(request, source, sink, cancel);
}

auto executor::serve(peer::stream_pointer stream) -> void
{
    asio::co_spawn(m_state->executor(), serveStream(m_state, std::move(stream)), asio::detached);
}

auto executor::drain() -> void
{
    m_state->draining = true;
}

auto executor::context() -> asio::io_context &
{
    return m_state->context();
}

auto executor::loadOf(const base::service_id &service) const -> std::optional<policy::service_load>
{
    return m_state->loadOf(service);
}

auto executor::activeCount() const -> std::size_t
{
    return m_state->inFlightCount;
}

auto executor::idleConnectionCount() const -> std::size_t
{
    return m_state->idleConnectionCount();
}

auto executor::stop() -> void
{
    m_state->stop();
}

} // namespace hawthornpick::upstream
