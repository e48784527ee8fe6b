#include "atmostonce/internal/recordoperation.h"

#include "base/thriftcodec.h"

#include <algorithm>
#include <utility>

namespace hawthornpick::atmostonce {

namespace {

constexpr base::duration RESEND_INTERVAL = std::chrono::milliseconds(150);
// Upper bound of the random backoff before the next ballot, so that competing operations diverge.
constexpr std::uint64_t MAX_BACKOFF_MS = 120;

} // namespace

record_operation::record_operation(std::string key, std::string region,
                                   std::vector<base::node_id> replicas, update_function update,
                                   completion_function onFinished, base::time_point deadline,
                                   std::int64_t proposer, base::random_source random)
    : m_key(std::move(key)), m_region(std::move(region)), m_replicas(std::move(replicas)),
      m_update(std::move(update)), m_onFinished(std::move(onFinished)), m_deadline(deadline),
      m_random(random)
{
    m_ballot.proposer = proposer;
}

auto record_operation::start(base::time_point now) -> messages
{
    ++m_ballot.round;
    m_phase = phase::Preparing;
    m_promises.clear();
    m_votes.clear();
    return sendPending(now);
}

auto record_operation::receive(const base::node_id &from, const wire::idempotency_message &message,
                               base::time_point now) -> messages
{
    // An answer that is read after the deadline, such as after a pause of the process, doesn't
    // count.
    if (finished() || now >= m_deadline || message.number != m_ballot) {
        return {};
    }
    updateIncarnations(message);
    switch (kindOf(message)) {
    case message_kind::Promise:
        return handlePromise(from, message, now);
    case message_kind::Accepted:
        handleAccepted(from, message);
        return {};
    case message_kind::Rejected:
        return handleRejected(message, now);
    case message_kind::Full:
        handleFull(from);
        return {};
    case message_kind::Fetched:
        if (m_phase == phase::Fetching && phaseOf(message.value) == record_phase::Completed) {
            m_observed.value = message.value;
            finish(operation_outcome::Unchanged);
        }
        return {};
    default:
        return {};
    }
}

auto record_operation::updateIncarnations(const wire::idempotency_message &message) -> void
{
    for (const auto &[node, incarnation] : message.incarnations) {
        auto &newest = m_newestIncarnations[node];
        newest = std::max(newest, incarnation);
    }
    const auto outdated = [this](const base::node_id &node, std::int64_t incarnation) {
        return incarnation < m_newestIncarnations[node.str()];
    };
    if (m_phase == phase::Preparing) {
        std::erase_if(m_promises, [&](const auto &entry) {
            return outdated(entry.first, entry.second.incarnation);
        });
    }
    std::erase_if(m_votes, [&](const auto &entry) { return outdated(entry.first, entry.second); });
}

auto record_operation::handlePromise(const base::node_id &from,
                                     const wire::idempotency_message &message, base::time_point now)
        -> messages
{
    const auto incarnation = incarnationOf(from, message);
    if (incarnation < m_newestIncarnations[from.str()]) {
        return {};
    }
    m_promises.insert_or_assign(from, received_promise{incarnation, message});
    if (m_phase == phase::Accepting) {
        return {makeMessage(from, message_kind::Accept)};
    }
    if (m_phase != phase::Preparing || m_promises.size() < majoritySize()) {
        return {};
    }
    return handlePromiseMajority(now);
}

auto record_operation::handlePromiseMajority(base::time_point now) -> messages
{
    const auto newest = std::max_element(
            m_promises.begin(), m_promises.end(), [](const auto &left, const auto &right) {
                return isLowerBallot(left.second.content.accepted, right.second.content.accepted);
            });
    const auto &content = newest->second.content;
    m_observed = {content.value, base::milliseconds(content.age_ms)};
    const auto updated = m_update(m_observed);
    if (updated) {
        m_proposal = *updated;
        m_phase = phase::Accepting;
        return sendPending(now);
    }
    if (phaseOf(m_observed.value) == record_phase::AnswerWithheld) {
        m_phase = phase::Fetching;
        return sendPending(now);
    }
    finish(operation_outcome::Unchanged);
    return {};
}

auto record_operation::handleAccepted(const base::node_id &from,
                                      const wire::idempotency_message &message) -> void
{
    const auto incarnation = incarnationOf(from, message);
    const auto promised = m_promises.find(from);
    // A replica that restarted after its promise may lack promises that others made since then.
    if (m_phase != phase::Accepting || promised == m_promises.end()
        || promised->second.incarnation != incarnation
        || incarnation < m_newestIncarnations[from.str()]) {
        return;
    }
    m_votes[from] = incarnation;
    if (m_votes.size() >= majoritySize()) {
        finish(operation_outcome::Stored);
    }
}

auto record_operation::handleRejected(const wire::idempotency_message &message,
                                      base::time_point now) -> messages
{
    if (m_phase != phase::Preparing && m_phase != phase::Accepting) {
        return {};
    }
    m_ballot.round = std::max(m_ballot.round, message.accepted.round);
    // The first rejection usually stems from the ballot of an earlier, finished operation and is
    // retried at once. Later ones indicate a concurrent operation, so they back off.
    if (!m_hasBeenRejected) {
        m_hasBeenRejected = true;
        return start(now);
    }
    m_phase = phase::Waiting;
    m_retryAt = now + base::milliseconds(m_random.below(MAX_BACKOFF_MS));
    return {};
}

auto record_operation::handleFull(const base::node_id &from) -> void
{
    m_fullReplicas[from] = true;
    if (m_phase == phase::Preparing && m_fullReplicas.size() + majoritySize() > m_replicas.size()) {
        finish(operation_outcome::Failed);
    }
}

auto record_operation::tick(base::time_point now) -> messages
{
    if (finished()) {
        return {};
    }
    if (now >= m_deadline) {
        finish(operation_outcome::Failed);
        return {};
    }
    if (m_phase == phase::Waiting) {
        return now >= m_retryAt ? start(now) : messages{};
    }
    return now - m_lastSentAt >= RESEND_INTERVAL ? sendPending(now) : messages{};
}

auto record_operation::sendPending(base::time_point now) -> messages
{
    m_lastSentAt = now;
    messages out;
    for (const auto &replica : m_replicas) {
        const auto promised = m_promises.find(replica);
        if (promised == m_promises.end()) {
            if (m_phase != phase::Fetching) {
                out.push_back(makeMessage(replica, message_kind::Prepare));
            }
        } else if (m_phase == phase::Accepting && !m_votes.contains(replica)) {
            out.push_back(makeMessage(replica, message_kind::Accept));
        } else if (m_phase == phase::Fetching
                   && phaseOf(promised->second.content.value) == record_phase::AnswerWithheld) {
            out.push_back(makeMessage(replica, message_kind::Fetch));
        }
    }
    return out;
}

auto record_operation::makeMessage(const base::node_id &to, message_kind kind) const
        -> base::outgoing_message
{
    wire::idempotency_message message;
    message.kind = static_cast<std::int8_t>(kind);
    message.key = m_key;
    message.number = m_ballot;
    message.__set_region(m_region);
    if (kind == message_kind::Accept) {
        message.__set_value(m_proposal);
    }
    return {to, base::channel::Idempotency, base::encodeThrift(message)};
}

auto record_operation::finish(operation_outcome outcome) -> void
{
    m_phase = phase::Finished;
    m_onFinished(outcome, m_observed);
}

auto record_operation::incarnationOf(const base::node_id &node,
                                     const wire::idempotency_message &message) -> std::int64_t
{
    const auto found = message.incarnations.find(node.str());
    return found == message.incarnations.end() ? 0 : found->second;
}

} // namespace hawthornpick::atmostonce
