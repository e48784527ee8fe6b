#include "operators/operatorserver.h"

#include "base/awaitcallback.h"
#include "operators/apitypes.h"
#include "webapi/json.h"

#include <boost/json.hpp>

namespace hawthornpick::operators {

namespace {

namespace asio = boost::asio;
namespace json = boost::json;

constexpr std::size_t MAX_CHANGE_BODY_BYTES = config::MAX_DECLARATION_BYTES + 4UL * 1024 * 1024;
constexpr std::size_t MAX_OPERATOR_CONNECTIONS = 32;
constexpr std::string_view CHANGE_PATH_PREFIX = "/v1/changes/";

auto httpStatusOf(change_state state) -> unsigned
{
    switch (state) {
    case change_state::InForce:
        return 200;
    case change_state::Rejected:
        return 409;
    case change_state::Undecided:
        return 202;
    }
    return 202;
}

auto toJsonArray(const std::vector<std::string> &items) -> json::array
{
    json::array out;
    for (const auto &item : items) {
        out.emplace_back(item);
    }
    return out;
}

auto nodeStateName(membership::node_state state) -> std::string_view
{
    switch (state) {
    case membership::node_state::Alive:
        return "alive";
    case membership::node_state::Suspect:
        return "suspect";
    case membership::node_state::Leaving:
        return "leaving";
    case membership::node_state::Dead:
        return "dead";
    }
    return "dead";
}

auto upstreamStateName(membership::upstream_state state) -> std::string_view
{
    switch (state) {
    case membership::upstream_state::Starting:
        return "starting";
    case membership::upstream_state::Ready:
        return "ready";
    case membership::upstream_state::Draining:
        return "draining";
    case membership::upstream_state::Gone:
        return "gone";
    }
    return "gone";
}

} // namespace

operator_server::operator_server(asio::io_context &context, const membership::endpoint &address,
                                 const std::string &operatorKey, fleet_access access)
    : m_operatorKeyDigest(base::sha256(operatorKey)), m_hasOperatorKey(!operatorKey.empty()),
      m_access(std::move(access)),
      m_server(context, address, {MAX_CHANGE_BODY_BYTES, MAX_OPERATOR_CONNECTIONS},
               [this](webapi::request incoming) { return handle(std::move(incoming)); })
{}

auto operator_server::isAuthorized(const webapi::request &incoming) const -> bool
{
    return m_hasOperatorKey
           && base::equalConstantTime(m_operatorKeyDigest, base::sha256(incoming.bearerToken));
}

auto operator_server::handle(webapi::request incoming) -> asio::awaitable<webapi::response>
{
    if (!isAuthorized(incoming)) {
        co_return webapi::response{401, "text/plain", "the operator key is missing or wrong\n"};
    }
    if (incoming.method == "POST" && incoming.path == "/v1/changes") {
        co_return co_await postChange(incoming);
    }
    if (incoming.method == "POST" && incoming.path == "/v1/evacuations") {
        co_return co_await postEvacuation(incoming);
    }
    if (incoming.method == "POST" && incoming.path == "/v1/controllers/replace") {
        co_return co_await postControllerReplacement(incoming);
    }
    if (incoming.method == "GET" && incoming.path.starts_with(CHANGE_PATH_PREFIX)) {
        co_return co_await getChange(incoming.path.substr(CHANGE_PATH_PREFIX.size()));
    }
    if (incoming.method == "GET" && incoming.path == "/v1/history") {
        co_return co_await getHistory();
    }
    if (incoming.method == "GET" && incoming.path == "/v1/status") {
        co_return co_await getStatus();
    }
    if (incoming.method == "GET" && incoming.path == "/v1/node") {
        co_return getNode();
    }
    if (incoming.method == "GET" && incoming.path == "/v1/members") {
        co_return getMembers();
    }
    if (incoming.method == "GET" && incoming.path == "/v1/upstreams") {
        co_return getUpstreams();
    }
    co_return webapi::response{404, "text/plain", "no such path and method\n"};
}

auto operator_server::postChange(const webapi::request &incoming)
        -> asio::awaitable<webapi::response>
{
    const auto submission = parseChangeSubmission(incoming.body);
    if (!submission) {
        co_return webapi::response{400, "text/plain",
                                   "body is not a change submission: expected a JSON object with a "
                                   "non-empty `change_id`, a non-negative integer `base_version` "
                                   "and an array `files` of objects with `name` and `text`\n"};
    }
    auto set = config::parseDeclaration(submission->files);
    if (!set) {
        co_return webapi::response{422, "application/json", toJson(set.error())};
    }
    change_request request{submission->changeId, submission->baseVersion, std::move(*set)};
    co_return co_await apply(std::move(request));
}

// The change is based on the configuration of this node: if another one came first, it is rejected
// and the operator repeats it.
auto operator_server::postEvacuation(const webapi::request &incoming)
        -> asio::awaitable<webapi::response>
{
    const auto submission = parseEvacuationSubmission(incoming.body);
    if (!submission) {
        co_return webapi::response{
                400, "text/plain",
                "body must be a JSON object with a non-empty `change_id`, a `failure_domain` and "
                "an `order`, which is `start` or `end`\n"};
    }
    const auto configuration = m_access.configuration();
    const auto refusal = m_access.evacuationRefusal(submission->failureDomain, submission->starts);
    if (!refusal.empty()) {
        const change_answer answer{change_state::Rejected, configuration->version(),
                                   base::toHex(config::digestOf(configuration->set())), refusal};
        co_return webapi::response{httpStatusOf(answer.state), "application/json", toJson(answer)};
    }
    change_request request{submission->changeId, configuration->version(),
                           config::withEvacuation(configuration->set(), submission->failureDomain,
                                                  submission->starts)};
    co_return co_await apply(std::move(request));
}

auto operator_server::apply(change_request request) -> asio::awaitable<webapi::response>
{
    const auto answer = co_await base::awaitCallback<change_answer>(
            [this, &request](std::function<void(change_answer)> done) {
                m_access.apply(std::move(request), std::move(done));
            });
    co_return webapi::response{httpStatusOf(answer.state), "application/json", toJson(answer)};
}

auto operator_server::getChange(std::string changeId) -> asio::awaitable<webapi::response>
{
    const auto answer = co_await base::awaitCallback<change_answer>(
            [this, &changeId](std::function<void(change_answer)> done) {
                m_access.changeResult(changeId, std::move(done));
            });
    co_return webapi::response{httpStatusOf(answer.state), "application/json", toJson(answer)};
}

auto operator_server::getHistory() -> asio::awaitable<webapi::response>
{
    const auto entries = co_await base::awaitCallback<std::vector<history_entry>>(
            [this](std::function<void(std::vector<history_entry>)> done) {
                m_access.history(std::move(done));
            });
    co_return webapi::response{200, "application/json", toJson(entries)};
}

auto operator_server::getStatus() -> asio::awaitable<webapi::response>
{
    const auto status = co_await base::awaitCallback<control_status>(
            [this](std::function<void(control_status)> done) { m_access.status(std::move(done)); });
    const json::object body{{"controller", status.isController},
                            {"confirmed", status.isConfirmed},
                            {"leader", status.leader},
                            {"accepted_version", status.acceptedVersion},
                            {"in_force_version", status.inForceVersion},
                            {"voters", toJsonArray(status.voters)},
                            {"learners", toJsonArray(status.learners)}};
    co_return webapi::response{200, "application/json", webapi::toText(body)};
}

auto operator_server::getNode() const -> webapi::response
{
    const auto configuration = m_access.configuration();
    const json::object body{{"version", configuration->version()},
                            {"digest", base::toHex(config::digestOf(configuration->set()))},
                            {"current", m_access.isCurrent()},
                            {"members", m_access.view()->nodes().size()}};
    return {200, "application/json", webapi::toText(body)};
}

auto operator_server::postControllerReplacement(const webapi::request &incoming)
        -> asio::awaitable<webapi::response>
{
    const auto object = webapi::parseObject(incoming.body);
    const auto removed = object ? webapi::textMember(*object, "removed") : std::nullopt;
    const auto added = object ? webapi::textMember(*object, "added") : std::nullopt;
    if (!removed || !added) {
        co_return webapi::response{
                400, "text/plain",
                "body must be a JSON object with the strings `removed` and `added`\n"};
    }
    const auto failure =
            co_await base::awaitCallback<std::string>([&](std::function<void(std::string)> done) {
                m_access.replaceController(base::node_id(*removed), base::node_id(*added),
                                           std::move(done));
            });
    if (!failure.empty()) {
        co_return webapi::response{409, "text/plain", failure + "\n"};
    }
    co_return webapi::response{200, "text/plain", "replaced\n"};
}

auto operator_server::getMembers() const -> webapi::response
{
    json::array items;
    const auto view = m_access.view();
    for (const auto &node : view->nodes()) {
        items.push_back(
                json::object{{"node", node.id.str()},
                             {"host", node.host},
                             {"region", node.region.str()},
                             {"failure_domain", node.failureDomain.str()},
                             {"state", json::string(nodeStateName(node.state))},
                             {"incarnation", node.incarnation},
                             {"peer_address", node.peerAddress.address + ":"
                                                      + std::to_string(node.peerAddress.port)},
                             {"upstreams", node.upstreams.size()}});
    }
    return {200, "application/json", webapi::toText(json::object{{"members", std::move(items)}})};
}

auto operator_server::getUpstreams() const -> webapi::response
{
    json::array items;
    const auto view = m_access.view();
    for (const auto &node : view->nodes()) {
        for (const auto &upstream : node.upstreams) {
            items.push_back(json::object{{"upstream", upstream.id.str()},
                                         {"service", upstream.service.str()},
                                         {"node", node.id.str()},
                                         {"state", json::string(upstreamStateName(upstream.state))},
                                         {"ejected", upstream.ejected},
                                         {"slots", upstream.slots},
                                         {"incarnation", upstream.incarnation}});
        }
    }
    return {200, "application/json", webapi::toText(json::object{{"upstreams", std::move(items)}})};
}

} // namespace hawthornpick::operators
