#include "status/statusserver.h"

#include "base/log.h"

#include <algorithm>

namespace hawthornpick::status {

status_server::status_server(boost::asio::io_context &context, const membership::endpoint &address,
                             const base::metrics &metrics,
                             std::function<std::vector<readiness_check>()> readinessChecks)
    : m_metrics(metrics), m_readinessChecks(std::move(readinessChecks)),
      m_server(context, address, {},
               [this](webapi::request incoming) -> boost::asio::awaitable<webapi::response> {
                   co_return handle(incoming);
               })
{}

auto status_server::handle(const webapi::request &incoming) const -> webapi::response
{
    if (incoming.method != "GET") {
        return {405, "text/plain", "method not allowed: only GET is supported\n"};
    }
    if (incoming.path == "/healthz") {
        return {200, "text/plain", "ok\n"};
    }
    if (incoming.path == "/readyz") {
        return handleReadiness();
    }
    if (incoming.path == "/metrics") {
        return {200, "text/plain; version=0.0.4", m_metrics.render()};
    }
    return {404, "text/plain", "no such path: expected /healthz, /readyz or /metrics\n"};
}

auto status_server::handleReadiness() const -> webapi::response
{
    const auto checks = m_readinessChecks();
    std::string body;
    for (const auto &check : checks) {
        body += (body.empty() ? "" : ",") + base::quoteJson(check.name) + ":"
                + (check.passed ? "true" : "false");
    }
    const bool isReady = std::all_of(checks.begin(), checks.end(),
                                     [](const readiness_check &check) { return check.passed; });
    return {isReady ? 200U : 503U, "application/json", "{" + body + "}\n"};
}

} // namespace hawthornpick::status
