#include "control/operatorclient.h"

#include "control/acceptancestate.h"

namespace hawthornpick::control {

namespace {

auto versionOf(std::int64_t version, const std::string &digest) -> version_id
{
    return {static_cast<base::config_version>(version),
            base::digestFromBytes(digest).value_or(base::digest256{})};
}

auto toAnswer(const wire::change &change) -> change_answer
{
    const auto version = versionOf(change.version, change.digest);
    switch (static_cast<change_outcome>(change.outcome)) {
    case change_outcome::InForce:
        return in_force{version};
    case change_outcome::Rejected:
        return rejected{static_cast<reject_reason>(change.reason), change.detail,
                        versionOf(change.winner, change.winner_digest)};
    default:
        return unknown_yet{change.id};
    }
}

auto toStatus(const wire::operator_reply &reply) -> control_status
{
    control_status out{base::node_id(reply.leader),
                       versionOf(reply.accepted, reply.accepted_digest),
                       static_cast<base::config_version>(reply.in_force),
                       reply.voters,
                       reply.learners,
                       {}};
    for (const auto &item : reply.history) {
        out.history.push_back({versionOf(item.version, item.digest), item.change_id});
    }
    return out;
}

auto answerWith(change_callback done, const std::string &changeId)
        -> std::function<void(const wire::operator_reply *)>
{
    return [done = std::move(done), changeId](const wire::operator_reply *reply) {
        done(reply != nullptr ? toAnswer(reply->result) : change_answer(unknown_yet{changeId}));
    };
}

auto requestOf(operator_request_kind kind, const std::string &changeId) -> wire::operator_request
{
    wire::operator_request out;
    out.kind = static_cast<std::int8_t>(kind);
    out.change_id = changeId;
    return out;
}

} // namespace

operator_client::operator_client(std::vector<base::node_id> controllers,
                                 transfer::content_exchange &exchange, base::random_source random)
    : m_controllers(std::move(controllers)), m_exchange(exchange), m_random(random)
{
    chooseAnother();
    // Replies to an earlier process of this node must not match.
    m_lastId = static_cast<std::int64_t>(m_random.bits() >> 2);
}

auto operator_client::apply(change_request change, change_callback done, base::time_point now)
        -> messages
{
    if (base::sha256(change.content) != change.digest) {
        done(rejected{reject_reason::ContentInvalid, "the digest does not match the content", {}});
        return {};
    }
    open_request item;
    item.request = requestOf(operator_request_kind::Apply, change.changeId);
    item.request.base = static_cast<std::int64_t>(change.base);
    item.request.digest = base::toBytes(change.digest);
    item.content = std::make_shared<const std::string>(std::move(change.content));
    item.done = answerWith(std::move(done), change.changeId);
    return start(std::move(item), now);
}

auto operator_client::changeResult(const std::string &changeId, change_callback done,
                                   base::time_point now) -> messages
{
    open_request item;
    item.request = requestOf(operator_request_kind::ChangeResult, changeId);
    item.done = answerWith(std::move(done), changeId);
    return start(std::move(item), now);
}

auto operator_client::status(status_callback done, base::time_point now) -> messages
{
    open_request item;
    item.request = requestOf(operator_request_kind::Status, {});
    item.done = [done = std::move(done)](const wire::operator_reply *reply) {
        done(reply != nullptr ? std::optional(toStatus(*reply)) : std::nullopt);
    };
    return start(std::move(item), now);
}

auto operator_client::replaceController(const base::node_id &oldNode, const base::node_id &newNode,
                                        const std::string &changeId, change_callback done,
                                        base::time_point now) -> messages
{
    open_request item;
    item.request = requestOf(operator_request_kind::ReplaceController, changeId);
    item.request.old_node = oldNode.str();
    item.request.new_node = newNode.str();
    item.done = answerWith(std::move(done), changeId);
    return start(std::move(item), now);
}

auto operator_client::start(open_request item, base::time_point now) -> messages
{
    item.until = now + ANSWER_TIME;
    item.request.id = ++m_lastId;
    return send(m_open[m_lastId] = std::move(item), now);
}

auto operator_client::send(open_request &item, base::time_point now) -> messages
{
    item.sentAt = now;
    if (item.content) {
        m_exchange.store().put(*base::digestFromBytes(item.request.digest), item.content);
    }
    if (m_target.empty()) {
        return {};
    }
    return {toMessage(m_target, message_kind::OperatorRequest, item.request)};
}

auto operator_client::chooseAnother() -> void
{
    if (!m_controllers.empty()) {
        m_target = m_controllers[m_random.below(m_controllers.size())];
    }
}

auto operator_client::receive(const base::node_id &, std::string_view payload, base::time_point now)
        -> messages
{
    if (lease::takeKind(payload) != static_cast<std::uint8_t>(message_kind::OperatorReply)) {
        return {};
    }
    const auto reply = base::decodeThrift<wire::operator_reply>(payload);
    const auto found = reply ? m_open.find(reply->id) : m_open.end();
    if (found == m_open.end()) {
        return {};
    }
    if (reply->redirect) {
        const base::node_id leader(reply->leader);
        // Without a leader the request waits for the next tick that repeats it.
        if (leader.empty() || leader == m_target) {
            return {};
        }
        m_target = leader;
        return send(found->second, now);
    }
    if (reply->done) {
        const auto done = std::move(found->second.done);
        m_open.erase(found);
        done(&*reply);
    }
    return {};
}

auto operator_client::tick(base::time_point now) -> messages
{
    messages out;
    std::vector<std::function<void(const wire::operator_reply *)>> expired;
    bool hasChosen = false;
    for (auto item = m_open.begin(); item != m_open.end();) {
        if (now >= item->second.until) {
            expired.push_back(std::move(item->second.done));
            item = m_open.erase(item);
            continue;
        }
        if (now - item->second.sentAt >= RESEND_INTERVAL) {
            if (!std::exchange(hasChosen, true)) {
                chooseAnother();
            }
            const auto batch = send(item->second, now);
            out.insert(out.end(), batch.begin(), batch.end());
        }
        ++item;
    }
    for (const auto &done : expired) {
        done(nullptr);
    }
    return out;
}

} // namespace hawthornpick::control
