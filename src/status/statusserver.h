#pragma once

#include "base/metrics.h"
#include "webapi/server.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <string>
#include <vector>

namespace hawthornpick::status {

//! One condition of readiness.
struct readiness_check
{
    std::string name;
    bool passed = false;

    auto operator<=>(const readiness_check &) const = default;
};

//! Serves /healthz, /readyz and /metrics to the platform.
class status_server
{
public:
    //! `readiness` is called on the thread of `context` for each /readyz request.
    //! Throws boost::system::system_error if the address is in use.
    status_server(boost::asio::io_context &context, const membership::endpoint &address,
                  const base::metrics &metrics,
                  std::function<std::vector<readiness_check>()> readiness);

    //! Address in use. Thread safety: any thread.
    [[nodiscard]] auto address() const -> membership::endpoint { return m_server.address(); }

    //! Stops serving. Thread safety: the thread of the io_context.
    auto stop() -> void { m_server.stop(); }

private:
    auto answer(const webapi::request &incoming) const -> webapi::response;
    auto answerReadiness() const -> webapi::response;

    const base::metrics &m_metrics;
    std::function<std::vector<readiness_check>()> m_readiness;
    webapi::server m_server;
};

} // namespace hawthornpick::status
