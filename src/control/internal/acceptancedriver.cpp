#include "control/acceptancedriver.h"

#include "config/model.h"
#include "lease/timing.h"
#include "lease/witness.h"
#include "transfer/delta.h"

#include <algorithm>

namespace hawthornpick::control {

namespace {

auto toNumber(std::int64_t value) -> base::config_version
{
    return static_cast<base::config_version>(value);
}

auto toChange(const change_record &record) -> wire::change
{
    auto out = toWireRecord(record);
    out.detail = reasonName(record.reason);
    return out;
}

auto doneReply(std::int64_t id, const wire::change &result) -> wire::operator_reply
{
    wire::operator_reply reply;
    reply.id = id;
    reply.done = true;
    reply.result = result;
    return reply;
}

auto rejection(const std::string &changeId, reject_reason reason, const version_id &winner,
               std::string detail) -> wire::change
{
    auto out = toChange({changeId, {}, change_outcome::Rejected, reason, winner});
    out.detail = std::move(detail);
    return out;
}

auto toReply(const base::node_id &to, const wire::operator_reply &reply) -> base::outgoing_message
{
    return toMessage(to, message_kind::OperatorReply, reply);
}

} // namespace

acceptance_driver::acceptance_driver(base::node_id self, witness_map witnesses, replica &log,
                                     transfer::content_exchange &exchange)
    : m_self(std::move(self)), m_witnesses(std::move(witnesses)), m_replica(log),
      m_exchange(exchange)
{}

auto acceptance_driver::onOperatorRequest(const base::node_id &from,
                                          const wire::operator_request &request,
                                          base::time_point now) -> messages
{
    if (!m_replica.isReady()) {
        wire::operator_reply reply;
        reply.id = request.id;
        reply.redirect = true;
        reply.leader = m_replica.leader() == m_self ? "" : m_replica.leader().str();
        return {toReply(from, reply)};
    }
    switch (static_cast<operator_request_kind>(request.kind)) {
    case operator_request_kind::Apply:
        return onApply(from, request, now);
    case operator_request_kind::ReplaceController:
        return onReplace(from, request, now);
    case operator_request_kind::ChangeResult:
    case operator_request_kind::Status:
        m_statusReads.push_back({from, request, m_replica.startRead()});
        return {};
    }
    return {};
}

auto acceptance_driver::onApply(const base::node_id &from, const wire::operator_request &request,
                                base::time_point now) -> messages
{
    const auto digest = base::digestFromBytes(request.digest);
    if (!digest) {
        return {};
    }
    const auto *record = m_replica.state().find(request.change_id);
    if (record != nullptr && record->version.digest != *digest) {
        return {toReply(from,
                        doneReply(request.id,
                                  rejection(request.change_id, reject_reason::ChangeIdReused,
                                            m_replica.state().accepted(), "change_id_reused")))};
    }
    const bool isQueued = std::any_of(m_queue.begin(), m_queue.end(), [&](const auto &item) {
        return item.id == request.change_id;
    });
    if (record == nullptr && !isQueued) {
        if (m_queue.size() >= MAX_QUEUED_CHANGES) {
            return {};
        }
        m_queue.push_back({request.change_id, toNumber(request.base), *digest, from, now});
    }
    std::erase_if(m_waiters,
                  [&](const auto &item) { return item.from == from && item.id == request.id; });
    m_waiters.push_back({from, request.id, request.change_id});
    return {};
}

auto acceptance_driver::onReplace(const base::node_id &from, const wire::operator_request &request,
                                  base::time_point now) -> messages
{
    const auto &members = m_replica.members();
    const base::node_id oldNode(request.old_node);
    const base::node_id newNode(request.new_node);
    const auto isUnderWay = std::any_of(
            members.replacements.begin(), members.replacements.end(), [&](const auto &item) {
                return item.changeId == request.change_id && item.oldMember.node == oldNode
                       && item.newMember.node == newNode;
            });
    if (const auto *record = m_replica.state().find(request.change_id)) {
        return {toReply(from, doneReply(request.id, toChange(*record)))};
    }
    if (isUnderWay || m_replica.hasUncommitted()) {
        return {};
    }
    const auto detail = m_replica.replaceController(oldNode, newNode, request.change_id, now);
    if (detail.empty()) {
        return {};
    }
    return {toReply(from,
                    doneReply(request.id, rejection(request.change_id, reject_reason::MemberInvalid,
                                                    m_replica.state().accepted(), detail)))};
}

auto acceptance_driver::onWitnessReport(const base::node_id &from,
                                        const lease::wire::witness_report &report) -> void
{
    const base::region_id region(report.region);
    const auto witnesses = m_witnesses.find(region);
    const bool isWitness = witnesses != m_witnesses.end()
                           && std::find(witnesses->second.begin(), witnesses->second.end(), from)
                                      != witnesses->second.end();
    if (!isWitness) {
        return;
    }
    auto &state = m_states[region][from];
    if (report.incarnation < state.incarnation) {
        return;
    }
    if (report.incarnation > state.incarnation) {
        state = {};
        state.incarnation = report.incarnation;
    }
    // Reports of one incarnation may arrive out of order; none of the values decreases.
    for (const auto &[name, incarnation] : report.incarnations) {
        state.incarnations[name] = std::max(state.incarnations[name], incarnation);
    }
    state.prepared = std::max(state.prepared, toNumber(report.prepared));
    state.decided = std::max(state.decided, toNumber(report.decided));
    state.drained = std::max(state.drained, toNumber(report.drained));
}

auto acceptance_driver::onReadNewest(const base::node_id &from,
                                     const lease::wire::read_newest &request) -> void
{
    if (m_replica.isReady()) {
        m_witnessReads.push_back({from, request, m_replica.startRead()});
    }
}

auto acceptance_driver::advance(base::time_point now) -> messages
{
    messages out;
    resetOnNewTerm();
    keepContents();
    if (!m_replica.isReady()) {
        return out;
    }
    answerWaiters(out);
    answerReads(out);
    drivePrepare(now, out);
    driveAnnounce(now, out);
    proposeNext(now, out);
    return out;
}

auto acceptance_driver::resetOnNewTerm() -> void
{
    if (m_replica.isReady() && m_term == m_replica.term()) {
        return;
    }
    m_term = m_replica.term();
    m_queue.clear();
    m_waiters.clear();
    m_statusReads.clear();
    m_witnessReads.clear();
    m_sent.clear();
    m_preparing = 0;
}

// Any node may fetch the contents from any controller.
auto acceptance_driver::keepContents() -> void
{
    const auto &state = m_replica.state();
    if (state.acceptedContent() && m_keptAccepted != state.accepted().digest) {
        m_keptAccepted = state.accepted().digest;
        m_exchange.store().put(m_keptAccepted, state.acceptedContent());
    }
    if (state.pending() && m_keptPending != state.pending()->digest) {
        m_keptPending = state.pending()->digest;
        m_exchange.store().put(m_keptPending, state.pendingContent());
    }
}

auto acceptance_driver::answerWaiters(messages &out) -> void
{
    std::erase_if(m_waiters, [&](const auto &item) {
        const auto *record = m_replica.state().find(item.changeId);
        const bool isFinal = record != nullptr
                             && (record->outcome == change_outcome::InForce
                                 || record->outcome == change_outcome::Rejected);
        if (isFinal) {
            out.push_back(toReply(item.from, doneReply(item.id, toChange(*record))));
        }
        return isFinal;
    });
}

auto acceptance_driver::answerReads(messages &out) -> void
{
    std::erase_if(m_statusReads, [&](const auto &read) {
        const bool isConfirmed = m_replica.isConfirmed(read.ticket);
        if (isConfirmed) {
            out.push_back(toReply(read.from, statusReply(read)));
        }
        return isConfirmed;
    });
    std::erase_if(m_witnessReads, [&](const auto &read) {
        if (!m_replica.isConfirmed(read.ticket)) {
            return false;
        }
        lease::wire::controller_answer answer;
        answer.region = read.request.region;
        answer.asked_incarnation = read.request.incarnation;
        answer.version = static_cast<std::int64_t>(m_replica.state().accepted().version);
        answer.digest = base::toBytes(m_replica.state().accepted().digest);
        out.push_back(lease::toMessage(read.from, base::channel::Currency,
                                       lease::message_kind::ControllerAnswer, answer));
        return true;
    });
}

auto acceptance_driver::statusReply(const status_read &read) const -> wire::operator_reply
{
    const auto &state = m_replica.state();
    const auto *record = state.find(read.request.change_id);
    wire::change result;
    result.id = read.request.change_id;
    auto reply = doneReply(read.request.id, record != nullptr ? toChange(*record) : result);
    reply.leader = m_self.str();
    reply.accepted = static_cast<std::int64_t>(state.accepted().version);
    reply.accepted_digest = base::toBytes(state.accepted().digest);
    reply.in_force = static_cast<std::int64_t>(state.inForce());
    for (const auto &voter : m_replica.members().voters) {
        reply.voters.push_back(voter.node.str());
    }
    for (const auto &learner : m_replica.members().learners) {
        reply.learners.push_back(learner.node.str());
    }
    const auto &history = state.history();
    const auto skipped = history.size() - std::min(history.size(), MAX_HISTORY_IN_ANSWER);
    for (auto i = skipped; i < history.size(); ++i) {
        wire::accepted_version item;
        item.version = static_cast<std::int64_t>(history[i].version.version);
        item.digest = base::toBytes(history[i].version.digest);
        item.change_id = history[i].changeId;
        reply.history.push_back(std::move(item));
    }
    return reply;
}

auto acceptance_driver::proposeNext(base::time_point now, messages &out) -> void
{
    std::erase_if(m_queue, [&](const auto &item) {
        return m_replica.state().find(item.id) != nullptr || now - item.since > CONTENT_TIME;
    });
    if (m_queue.empty() || m_replica.state().pending() || m_replica.hasUncommitted()) {
        return;
    }
    // A change whose content is late does not hold up the others.
    for (std::size_t i = 0; i < m_queue.size(); ++i) {
        const auto change = m_queue[i];
        const auto content = m_exchange.store().find(change.digest);
        const bool isOutdated = change.base != m_replica.state().accepted().version;
        if (!content && !isOutdated) {
            const auto requests = m_exchange.want(change.digest, {change.from}, now);
            out.insert(out.end(), requests.begin(), requests.end());
            continue;
        }
        m_queue.erase(m_queue.begin() + static_cast<std::ptrdiff_t>(i));
        // An outdated change is logged too, so that its rejection is the lasting first result.
        proposeChange(change, isOutdated || !config::decode(*content) ? "" : *content);
        return;
    }
}

auto acceptance_driver::proposeChange(const queued_change &change, const std::string &content)
        -> void
{
    const auto &base = m_replica.state().acceptedContent();
    const auto delta = base ? transfer::makeDelta(*base, content) : std::string();
    const bool useDelta = base && delta.size() < content.size();
    std::string_view rest = useDelta ? delta : content;
    wire::command command;
    command.change_id = change.id;
    command.kind = static_cast<std::int8_t>(command_kind::Part);
    while (rest.size() > replica::MAX_ENTRY_BYTES) {
        command.bytes = rest.substr(0, replica::MAX_ENTRY_BYTES);
        m_replica.propose(command);
        command.part += static_cast<std::int64_t>(command.bytes.size());
        rest.remove_prefix(command.bytes.size());
    }
    command.kind = static_cast<std::int8_t>(command_kind::Propose);
    command.bytes = rest;
    command.base = static_cast<std::int64_t>(change.base);
    command.digest = base::toBytes(change.digest);
    command.is_delta = useDelta;
    m_replica.propose(command);
}

auto acceptance_driver::proposeDecision(command_kind kind, base::config_version version) -> void
{
    wire::command command;
    command.kind = static_cast<std::int8_t>(kind);
    command.version = static_cast<std::int64_t>(version);
    m_replica.propose(command);
}

auto acceptance_driver::isPrepared(base::config_version version) const -> bool
{
    return std::all_of(m_witnesses.begin(), m_witnesses.end(), [&](const auto &region) {
        const auto states = m_states.find(region.first);
        if (states == m_states.end()) {
            return false;
        }
        const auto count = std::count_if(
                states->second.begin(), states->second.end(),
                [version](const auto &item) { return item.second.prepared == version; });
        return static_cast<std::size_t>(count) >= lease::majorityOf(region.second.size());
    });
}

auto acceptance_driver::drivePrepare(base::time_point now, messages &out) -> void
{
    const auto pending = m_replica.state().pending();
    if (!pending) {
        return;
    }
    if (m_preparing != pending->version) {
        m_preparing = pending->version;
        m_preparingSince = now;
    }
    if (!m_replica.hasUncommitted() && isPrepared(pending->version)) {
        proposeDecision(command_kind::Accept, pending->version);
        return;
    }
    if (!m_replica.hasUncommitted() && now - m_preparingSince > PREPARE_TIME) {
        proposeDecision(command_kind::Abort, pending->version);
        return;
    }
    for (const auto &[region, witnesses] : m_witnesses) {
        lease::wire::prepare request;
        request.region = region.str();
        request.version = static_cast<std::int64_t>(pending->version);
        request.digest = base::toBytes(pending->digest);
        for (const auto &witness : witnesses) {
            auto &sent = m_sent[region][witness];
            const bool isDue = sent.prepareVersion != pending->version
                               || now - sent.prepareAt >= RESEND_INTERVAL;
            if (isDue && m_states[region][witness].prepared != pending->version) {
                sent.prepareVersion = pending->version;
                sent.prepareAt = now;
                out.push_back(lease::toMessage(witness, base::channel::Currency,
                                               lease::message_kind::Prepare, request));
            }
        }
    }
}

auto acceptance_driver::drainedEverywhere() const -> base::config_version
{
    auto out = m_replica.state().accepted().version;
    for (const auto &[region, witnesses] : m_witnesses) {
        const auto states = m_states.find(region);
        std::vector<base::config_version> drained(witnesses.size(), 0);
        if (states != m_states.end()) {
            for (const auto &node : lease::consistentMembers(states->second)) {
                drained.push_back(states->second.at(node).drained);
            }
        }
        std::sort(drained.begin(), drained.end(), std::greater<>());
        out = std::min(out, drained[lease::majorityOf(witnesses.size()) - 1]);
    }
    return out;
}

auto acceptance_driver::driveAnnounce(base::time_point now, messages &out) -> void
{
    const auto &accepted = m_replica.state().accepted();
    if (accepted.version == 0) {
        return;
    }
    const auto reached = drainedEverywhere();
    const bool isInForce = m_replica.state().inForce() == accepted.version;
    if (reached > m_replica.state().inForce() && !m_replica.hasUncommitted()) {
        proposeDecision(command_kind::InForce, reached);
    }
    for (const auto &[region, witnesses] : m_witnesses) {
        lease::wire::announce request;
        request.region = region.str();
        request.version = static_cast<std::int64_t>(accepted.version);
        request.digest = base::toBytes(accepted.digest);
        for (const auto &witness : witnesses) {
            const auto &state = m_states[region][witness];
            auto &sent = m_sent[region][witness];
            const bool isDone = (isInForce ? state.decided : state.drained) >= accepted.version;
            const auto interval = isInForce ? REMINDER_INTERVAL : RESEND_INTERVAL;
            const bool isDue =
                    sent.announceVersion != accepted.version || now - sent.announceAt >= interval;
            if (!isDone && isDue) {
                sent.announceVersion = accepted.version;
                sent.announceAt = now;
                out.push_back(lease::toMessage(witness, base::channel::Currency,
                                               lease::message_kind::Announce, request));
            }
        }
    }
}

} // namespace hawthornpick::control
