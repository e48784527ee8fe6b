#include "atmostonce/internal/recordoperation.h"

#include "base/thriftcodec.h"

#include <algorithm>
#include <utility>

namespace hawthornpick::atmostonce {

namespace {

constexpr base::duration RESEND_INTERVAL = std::chrono::milliseconds(150);
// Competing operations wait a random time below this before the next ballot.
constexpr std::uint64_t MAX_BACKOFF_MS = 120;

} // namespace

record_operation::record_operation(std::string key, std::string region,
                                   std::vector<base::node_id> replicas, change_function change,
                                   end_function ended, base::time_point end, std::int64_t proposer,
                                   base::random_source random)
    : m_key(std::move(key)), m_region(std::move(region)), m_replicas(std::move(replicas)),
      m_change(std::move(change)), m_ended(std::move(ended)), m_end(end), m_random(random)
{
    m_ballot.proposer = proposer;
}

auto record_operation::start(base::time_point now) -> messages
{
    ++m_ballot.round;
    m_phase = phase::Preparing;
    m_promises.clear();
    m_votes.clear();
    return resend(now);
}

auto record_operation::receive(const base::node_id &from, const wire::idempotency_message &message,
                               base::time_point now) -> messages
{
    // An answer that is read after the limit, for instance after a pause, must not count.
    if (finished() || now >= m_end || message.number != m_ballot) {
        return {};
    }
    learn(message);
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
            m_seen.value = message.value;
            finish(operation_end::Unchanged);
        }
        return {};
    default:
        return {};
    }
}

auto record_operation::learn(const wire::idempotency_message &message) -> void
{
    for (const auto &[node, incarnation] : message.incarnations) {
        auto &known = m_known[node];
        known = std::max(known, incarnation);
    }
    const auto outdated = [this](const base::node_id &node, std::int64_t incarnation) {
        return incarnation < m_known[node.str()];
    };
    if (m_phase == phase::Preparing) {
        std::erase_if(m_promises, [&](const auto &each) {
            return outdated(each.first, each.second.incarnation);
        });
    }
    std::erase_if(m_votes, [&](const auto &each) { return outdated(each.first, each.second); });
}

auto record_operation::handlePromise(const base::node_id &from,
                                     const wire::idempotency_message &message, base::time_point now)
        -> messages
{
    const auto incarnation = incarnationOf(from, message);
    if (incarnation < m_known[from.str()]) {
        return {};
    }
    m_promises.insert_or_assign(from, promise{incarnation, message});
    if (m_phase == phase::Accepting) {
        return {messageTo(from, message_kind::Accept)};
    }
    if (m_phase != phase::Preparing || m_promises.size() < majority()) {
        return {};
    }
    return decide(now);
}

auto record_operation::decide(base::time_point now) -> messages
{
    const auto newest = std::max_element(
            m_promises.begin(), m_promises.end(), [](const auto &left, const auto &right) {
                return lower(left.second.content.accepted, right.second.content.accepted);
            });
    const auto &content = newest->second.content;
    m_seen = {content.value, base::milliseconds(content.age_ms)};
    const auto changed = m_change(m_seen);
    if (changed) {
        m_proposal = *changed;
        m_phase = phase::Accepting;
        return resend(now);
    }
    if (phaseOf(m_seen.value) == record_phase::AnswerWithheld) {
        m_phase = phase::Fetching;
        return resend(now);
    }
    finish(operation_end::Unchanged);
    return {};
}

auto record_operation::handleAccepted(const base::node_id &from,
                                      const wire::idempotency_message &message) -> void
{
    const auto incarnation = incarnationOf(from, message);
    const auto promised = m_promises.find(from);
    // A replica that restarted after its promise may have missed what others promised meanwhile.
    if (m_phase != phase::Accepting || promised == m_promises.end()
        || promised->second.incarnation != incarnation || incarnation < m_known[from.str()]) {
        return;
    }
    m_votes[from] = incarnation;
    if (m_votes.size() >= majority()) {
        finish(operation_end::Stored);
    }
}

auto record_operation::handleRejected(const wire::idempotency_message &message,
                                      base::time_point now) -> messages
{
    if (m_phase != phase::Preparing && m_phase != phase::Accepting) {
        return {};
    }
    m_ballot.round = std::max(m_ballot.round, message.accepted.round);
    // The first rejection usually means an earlier operation that has ended; only later ones are
    // signs of a competitor.
    if (!m_rejected) {
        m_rejected = true;
        return start(now);
    }
    m_phase = phase::Waiting;
    m_retryAt = now + base::milliseconds(m_random.below(MAX_BACKOFF_MS));
    return {};
}

auto record_operation::handleFull(const base::node_id &from) -> void
{
    m_full[from] = true;
    if (m_phase == phase::Preparing && m_full.size() + majority() > m_replicas.size()) {
        finish(operation_end::Failed);
    }
}

auto record_operation::tick(base::time_point now) -> messages
{
    if (finished()) {
        return {};
    }
    if (now >= m_end) {
        finish(operation_end::Failed);
        return {};
    }
    if (m_phase == phase::Waiting) {
        return now >= m_retryAt ? start(now) : messages{};
    }
    return now - m_lastSent >= RESEND_INTERVAL ? resend(now) : messages{};
}

auto record_operation::resend(base::time_point now) -> messages
{
    m_lastSent = now;
    messages out;
    for (const auto &replica : m_replicas) {
        const auto promised = m_promises.find(replica);
        if (promised == m_promises.end()) {
            if (m_phase != phase::Fetching) {
                out.push_back(messageTo(replica, message_kind::Prepare));
            }
        } else if (m_phase == phase::Accepting && !m_votes.contains(replica)) {
            out.push_back(messageTo(replica, message_kind::Accept));
        } else if (m_phase == phase::Fetching
                   && phaseOf(promised->second.content.value) == record_phase::AnswerWithheld) {
            out.push_back(messageTo(replica, message_kind::Fetch));
        }
    }
    return out;
}

auto record_operation::messageTo(const base::node_id &to, message_kind kind) const
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

auto record_operation::finish(operation_end end) -> void
{
    m_phase = phase::Finished;
    m_ended(end, m_seen);
}

auto record_operation::incarnationOf(const base::node_id &node,
                                     const wire::idempotency_message &message) -> std::int64_t
{
    const auto found = message.incarnations.find(node.str());
    return found == message.incarnations.end() ? 0 : found->second;
}

} // namespace hawthornpick::atmostonce
