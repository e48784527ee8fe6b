#include "status/statusserver.h"

#include "base/log.h"

#include <algorithm>

namespace hawthornpick::status {

status_server::status_server(boost::asio::io_context &context, const membership::endpoint &address,
                             const base::metrics &metrics,
                             std::function<std::vector<readiness_check>()> readiness)
    : m_metrics(metrics), m_readiness(std::move(readiness)),
      m_server(context, address, {},
               [this](webapi::request incoming) -> boost::asio::awaitable<webapi::response> {
                   co_return answer(incoming);
               })
{}

auto status_server::answer(const webapi::request &incoming) const -> webapi::response
{
    if (incoming.method != "GET") {
        return {405, "text/plain", "only GET is served here\n"};
    }
    if (incoming.path == "/healthz") {
        return {200, "text/plain", "ok\n"};
    }
    if (incoming.path == "/readyz") {
        return answerReadiness();
    }
    if (incoming.path == "/metrics") {
        return {200, "text/plain; version=0.0.4", m_metrics.render()};
    }
    return {404, "text/plain", "paths are /healthz, /readyz and /metrics\n"};
}

auto status_server::answerReadiness() const -> webapi::response
{
    const auto checks = m_readiness();
    std::string body;
    for (const auto &check : checks) {
        body += (body.empty() ? "" : ",") + base::quoteJson(check.name) + ":"
                + (check.passed ? "true" : "false");
    }
    const bool ready = std::all_of(checks.begin(), checks.end(),
                                   [](const readiness_check &check) { return check.passed; });
    return {ready ? 200U : 503U, "application/json", "{" + body + "}\n"};
}

} // namespace hawthornpick::status
