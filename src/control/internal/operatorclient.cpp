#include "control/operatorclient.h"

#include "control/acceptancestate.h"

namespace hawthornpick::control {

namespace {

auto toVersionId(std::int64_t version, const std::string &digest) -> version_id
{
    return {static_cast<base::config_version>(version),
            base::digestFromBytes(digest).value_or(base::digest256{})};
}

auto toAnswer(const wire::change &change) -> change_answer
{
    const auto version = toVersionId(change.version, change.digest);
    switch (static_cast<change_outcome>(change.outcome)) {
    case change_outcome::InForce:
        return in_force{version};
    case change_outcome::Rejected:
        return rejected{static_cast<reject_reason>(change.reason), change.detail,
                        toVersionId(change.winner, change.winner_digest)};
    default:
        return unknown_yet{change.id};
    }
}

auto toStatus(const wire::operator_reply &reply) -> control_status
{
    control_status status{base::node_id(reply.leader),
                          toVersionId(reply.accepted, reply.accepted_digest),
                          static_cast<base::config_version>(reply.in_force),
                          reply.voters,
                          reply.learners,
                          {}};
    for (const auto &entry : reply.history) {
        status.history.push_back({toVersionId(entry.version, entry.digest), entry.change_id});
    }
    return status;
}

auto makeReplyHandler(change_callback done, const std::string &changeId)
        -> std::function<void(const wire::operator_reply *)>
{
    return [done = std::move(done), changeId](const wire::operator_reply *reply) {
        done(reply != nullptr ? toAnswer(reply->result) : change_answer(unknown_yet{changeId}));
    };
}

auto makeRequest(operator_request_kind kind, const std::string &changeId) -> wire::operator_request
{
    wire::operator_request request;
    request.kind = static_cast<std::int8_t>(kind);
    request.change_id = changeId;
    return request;
}

} // namespace

operator_client::operator_client(std::vector<base::node_id> controllers,
                                 transfer::content_exchange &exchange, base::random_source random)
    : m_controllers(std::move(controllers)), m_exchange(exchange), m_random(random)
{
    chooseRandomTarget();
    m_lastRequestId = static_cast<std::int64_t>(m_random.firstRequestNumber());
}

auto operator_client::apply(change_request change, change_callback done, base::time_point now)
        -> messages
{
    if (base::sha256(change.content) != change.digest) {
        done(rejected{reject_reason::ContentInvalid, "the digest does not match the content", {}});
        return {};
    }
    pending_request pending;
    pending.request = makeRequest(operator_request_kind::Apply, change.changeId);
    pending.request.base = static_cast<std::int64_t>(change.base);
    pending.request.digest = base::toBytes(change.digest);
    pending.content = std::make_shared<const std::string>(std::move(change.content));
    pending.onReply = makeReplyHandler(std::move(done), change.changeId);
    return start(std::move(pending), now);
}

auto operator_client::changeResult(const std::string &changeId, change_callback done,
                                   base::time_point now) -> messages
{
    pending_request pending;
    pending.request = makeRequest(operator_request_kind::ChangeResult, changeId);
    pending.onReply = makeReplyHandler(std::move(done), changeId);
    return start(std::move(pending), now);
}

auto operator_client::status(status_callback done, base::time_point now) -> messages
{
    pending_request pending;
    pending.request = makeRequest(operator_request_kind::Status, {});
    pending.onReply = [done = std::move(done)](const wire::operator_reply *reply) {
        done(reply != nullptr ? std::optional(toStatus(*reply)) : std::nullopt);
    };
    return start(std::move(pending), now);
}

auto operator_client::replaceController(const base::node_id &oldNode, const base::node_id &newNode,
                                        const std::string &changeId, change_callback done,
                                        base::time_point now) -> messages
{
    pending_request pending;
    pending.request = makeRequest(operator_request_kind::ReplaceController, changeId);
    pending.request.old_node = oldNode.str();
    pending.request.new_node = newNode.str();
    pending.onReply = makeReplyHandler(std::move(done), changeId);
    return start(std::move(pending), now);
}

auto operator_client::start(pending_request pending, base::time_point now) -> messages
{
    pending.deadline = now + ANSWER_TIMEOUT;
    pending.request.id = ++m_lastRequestId;
    return send(m_pendingRequests[m_lastRequestId] = std::move(pending), now);
}

auto operator_client::send(pending_request &pending, base::time_point now) -> messages
{
    pending.sentAt = now;
    if (pending.content) {
        m_exchange.store().put(*base::digestFromBytes(pending.request.digest), pending.content);
    }
    if (m_targetController.empty()) {
        return {};
    }
    return {toMessage(m_targetController, message_kind::OperatorRequest, pending.request)};
}

auto operator_client::chooseRandomTarget() -> void
{
    if (!m_controllers.empty()) {
        m_targetController = m_controllers[m_random.below(m_controllers.size())];
    }
}

auto operator_client::receive(const base::node_id &, std::string_view payload, base::time_point now)
        -> messages
{
    if (lease::takeKind(payload) != static_cast<std::uint8_t>(message_kind::OperatorReply)) {
        return {};
    }
    const auto reply = base::decodeThrift<wire::operator_reply>(payload);
    const auto found = reply ? m_pendingRequests.find(reply->id) : m_pendingRequests.end();
    if (found == m_pendingRequests.end()) {
        return {};
    }
    if (reply->redirect) {
        const base::node_id leader(reply->leader);
        // Without a known leader, a later tick repeats the request.
        if (leader.empty() || leader == m_targetController) {
            return {};
        }
        m_targetController = leader;
        return send(found->second, now);
    }
    if (reply->done) {
        const auto onReply = std::move(found->second.onReply);
        m_pendingRequests.erase(found);
        onReply(&*reply);
    }
    return {};
}

auto operator_client::tick(base::time_point now) -> messages
{
    messages out;
    std::vector<std::function<void(const wire::operator_reply *)>> expiredHandlers;
    bool hasChosenTarget = false;
    for (auto item = m_pendingRequests.begin(); item != m_pendingRequests.end();) {
        if (now >= item->second.deadline) {
            expiredHandlers.push_back(std::move(item->second.onReply));
            item = m_pendingRequests.erase(item);
            continue;
        }
        if (now - item->second.sentAt >= RESEND_INTERVAL) {
            if (!std::exchange(hasChosenTarget, true)) {
                chooseRandomTarget();
            }
            const auto requests = send(item->second, now);
            out.insert(out.end(), requests.begin(), requests.end());
        }
        ++item;
    }
    for (const auto &onReply : expiredHandlers) {
        onReply(nullptr);
    }
    return out;
}

} // namespace hawthornpick::control
