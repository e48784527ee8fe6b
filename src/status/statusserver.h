#pragma once

#include "base/metrics.h"
#include "webapi/server.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <string>
#include <vector>

namespace hawthornpick::status {

//! Result of one condition that the node must meet to be ready.
struct readiness_check
{
    std::string name;
    bool passed = false;

    auto operator<=>(const readiness_check &) const = default;
};

//! HTTP server for the health, readiness and metrics endpoints: /healthz, /readyz and /metrics.
class status_server
{
public:
    //! `readinessChecks` is called on the thread of `context` for each /readyz request; the node is
    //! ready if all returned checks passed.
    //! Throws boost::system::system_error if the address is in use.
    status_server(boost::asio::io_context &context, const membership::endpoint &address,
                  const base::metrics &metrics,
                  std::function<std::vector<readiness_check>()> readinessChecks);

    //! Returns the bound address. Thread safety: any thread.
    [[nodiscard]] auto address() const -> membership::endpoint { return m_server.address(); }

    //! Stops accepting and closes all connections. Thread safety: the thread of the io_context.
    auto stop() -> void { m_server.stop(); }

private:
    auto handle(const webapi::request &incoming) const -> webapi::response;
    auto handleReadiness() const -> webapi::response;

    const base::metrics &m_metrics;
    std::function<std::vector<readiness_check>()> m_readinessChecks;
    webapi::server m_server;
};

} // namespace hawthornpick::status
