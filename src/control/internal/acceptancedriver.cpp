#include "control/acceptancedriver.h"

#include "config/model.h"
#include "lease/timing.h"
#include "lease/witness.h"
#include "transfer/delta.h"

#include <algorithm>

namespace hawthornpick::control {

namespace {

auto toConfigVersion(std::int64_t value) -> base::config_version
{
    return static_cast<base::config_version>(value);
}

auto toWireChange(const change_record &record) -> wire::change
{
    auto out = toWireRecord(record);
    out.detail = reasonName(record.reason);
    return out;
}

auto makeResultReply(std::int64_t id, const wire::change &result) -> wire::operator_reply
{
    wire::operator_reply reply;
    reply.id = id;
    reply.done = true;
    reply.result = result;
    return reply;
}

auto makeRejectedChange(const std::string &changeId, reject_reason reason, const version_id &winner,
                        std::string detail) -> wire::change
{
    auto change = toWireChange({changeId, {}, change_outcome::Rejected, reason, winner});
    change.detail = std::move(detail);
    return change;
}

auto toReplyMessage(const base::node_id &to, const wire::operator_reply &reply)
        -> base::outgoing_message
{
    return toMessage(to, message_kind::OperatorReply, reply);
}

} // namespace

acceptance_driver::acceptance_driver(base::node_id self, witness_map witnesses, replica &ownReplica,
                                     transfer::content_exchange &exchange)
    : m_self(std::move(self)), m_witnesses(std::move(witnesses)), m_replica(ownReplica),
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
        return {toReplyMessage(from, reply)};
    }
    switch (static_cast<operator_request_kind>(request.kind)) {
    case operator_request_kind::Apply:
        return onApply(from, request, now);
    case operator_request_kind::ReplaceController:
        return onReplaceController(from, request, now);
    case operator_request_kind::ChangeResult:
    case operator_request_kind::Status:
        m_statusReads.push_back({from, request, m_replica.startConfirmedRead()});
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
        return {toReplyMessage(
                from, makeResultReply(request.id, makeRejectedChange(request.change_id,
                                                                     reject_reason::ChangeIdReused,
                                                                     m_replica.state().accepted(),
                                                                     "change_id_reused")))};
    }
    const bool isQueued =
            std::any_of(m_queuedChanges.begin(), m_queuedChanges.end(),
                        [&](const auto &change) { return change.id == request.change_id; });
    if (record == nullptr && !isQueued) {
        if (m_queuedChanges.size() >= MAX_QUEUED_CHANGES) {
            return {};
        }
        m_queuedChanges.push_back(
                {request.change_id, toConfigVersion(request.base), *digest, from, now});
    }
    std::erase_if(m_pendingReplies, [&](const auto &reply) {
        return reply.requester == from && reply.requestId == request.id;
    });
    m_pendingReplies.push_back({from, request.id, request.change_id});
    return {};
}

auto acceptance_driver::onReplaceController(const base::node_id &from,
                                            const wire::operator_request &request,
                                            base::time_point now) -> messages
{
    const auto &members = m_replica.members();
    const base::node_id oldNode(request.old_node);
    const base::node_id newNode(request.new_node);
    const auto isInProgress = std::any_of(members.replacements.begin(), members.replacements.end(),
                                          [&](const auto &replacement) {
                                              return replacement.changeId == request.change_id
                                                     && replacement.oldMember.node == oldNode
                                                     && replacement.newMember.node == newNode;
                                          });
    if (const auto *record = m_replica.state().find(request.change_id)) {
        return {toReplyMessage(from, makeResultReply(request.id, toWireChange(*record)))};
    }
    if (isInProgress || m_replica.hasUncommitted()) {
        return {};
    }
    const auto refusal = m_replica.replaceController(oldNode, newNode, request.change_id, now);
    if (refusal.empty()) {
        return {};
    }
    return {toReplyMessage(
            from,
            makeResultReply(request.id,
                            makeRejectedChange(request.change_id, reject_reason::MemberInvalid,
                                               m_replica.state().accepted(), refusal)))};
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
    auto &state = m_witnessStates[region][from];
    if (report.incarnation < state.incarnation) {
        return;
    }
    if (report.incarnation > state.incarnation) {
        state = {};
        state.incarnation = report.incarnation;
    }
    // Reports of one incarnation may arrive out of order, so the largest values are kept: none of
    // them decreases within an incarnation.
    for (const auto &[name, incarnation] : report.incarnations) {
        state.incarnations[name] = std::max(state.incarnations[name], incarnation);
    }
    state.prepared = std::max(state.prepared, toConfigVersion(report.prepared));
    state.decided = std::max(state.decided, toConfigVersion(report.decided));
    state.drained = std::max(state.drained, toConfigVersion(report.drained));
}

auto acceptance_driver::onReadNewest(const base::node_id &from,
                                     const lease::wire::read_newest &request) -> void
{
    if (m_replica.isReady()) {
        m_witnessReads.push_back({from, request, m_replica.startConfirmedRead()});
    }
}

auto acceptance_driver::advance(base::time_point now) -> messages
{
    messages out;
    resetOnNewTerm();
    storeContents();
    if (!m_replica.isReady()) {
        return out;
    }
    sendPendingReplies(out);
    answerConfirmedReads(out);
    advancePrepare(now, out);
    advanceAnnouncement(now, out);
    proposeNextChange(now, out);
    return out;
}

auto acceptance_driver::resetOnNewTerm() -> void
{
    if (m_replica.isReady() && m_term == m_replica.term()) {
        return;
    }
    m_term = m_replica.term();
    m_queuedChanges.clear();
    m_pendingReplies.clear();
    m_statusReads.clear();
    m_witnessReads.clear();
    m_sendStates.clear();
    m_preparingVersion = 0;
}

// Puts the accepted and pending contents into the content store, so that any node can fetch them
// from any controller.
auto acceptance_driver::storeContents() -> void
{
    const auto &state = m_replica.state();
    if (state.acceptedContent() && m_storedAcceptedDigest != state.accepted().digest) {
        m_storedAcceptedDigest = state.accepted().digest;
        m_exchange.store().put(m_storedAcceptedDigest, state.acceptedContent());
    }
    if (state.pending() && m_storedPendingDigest != state.pending()->digest) {
        m_storedPendingDigest = state.pending()->digest;
        m_exchange.store().put(m_storedPendingDigest, state.pendingContent());
    }
}

auto acceptance_driver::sendPendingReplies(messages &out) -> void
{
    std::erase_if(m_pendingReplies, [&](const auto &pending) {
        const auto *record = m_replica.state().find(pending.changeId);
        const bool isFinal = record != nullptr
                             && (record->outcome == change_outcome::InForce
                                 || record->outcome == change_outcome::Rejected);
        if (isFinal) {
            out.push_back(toReplyMessage(
                    pending.requester, makeResultReply(pending.requestId, toWireChange(*record))));
        }
        return isFinal;
    });
}

auto acceptance_driver::answerConfirmedReads(messages &out) -> void
{
    std::erase_if(m_statusReads, [&](const auto &read) {
        const bool isConfirmed = m_replica.isReadConfirmed(read.round);
        if (isConfirmed) {
            out.push_back(toReplyMessage(read.requester, makeStatusReply(read)));
        }
        return isConfirmed;
    });
    std::erase_if(m_witnessReads, [&](const auto &read) {
        if (!m_replica.isReadConfirmed(read.round)) {
            return false;
        }
        lease::wire::controller_answer answer;
        answer.region = read.request.region;
        answer.asked_incarnation = read.request.incarnation;
        answer.version = static_cast<std::int64_t>(m_replica.state().accepted().version);
        answer.digest = base::toBytes(m_replica.state().accepted().digest);
        out.push_back(lease::toMessage(read.requester, base::channel::Currency,
                                       lease::message_kind::ControllerAnswer, answer));
        return true;
    });
}

auto acceptance_driver::makeStatusReply(const status_read &read) const -> wire::operator_reply
{
    const auto &state = m_replica.state();
    const auto *record = state.find(read.request.change_id);
    wire::change unknownChange;
    unknownChange.id = read.request.change_id;
    auto reply = makeResultReply(read.request.id,
                                 record != nullptr ? toWireChange(*record) : unknownChange);
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
    const auto skippedEntries =
            history.size() - std::min(history.size(), MAX_HISTORY_ENTRIES_IN_REPLY);
    for (auto i = skippedEntries; i < history.size(); ++i) {
        wire::accepted_version entry;
        entry.version = static_cast<std::int64_t>(history[i].version.version);
        entry.digest = base::toBytes(history[i].version.digest);
        entry.change_id = history[i].changeId;
        reply.history.push_back(std::move(entry));
    }
    return reply;
}

auto acceptance_driver::proposeNextChange(base::time_point now, messages &out) -> void
{
    std::erase_if(m_queuedChanges, [&](const auto &change) {
        return m_replica.state().find(change.id) != nullptr
               || now - change.queuedAt > CONTENT_FETCH_TIMEOUT;
    });
    if (m_queuedChanges.empty() || m_replica.state().pending() || m_replica.hasUncommitted()) {
        return;
    }
    // Takes the first change that can be proposed; changes whose content is still being fetched do
    // not block those after them.
    for (std::size_t i = 0; i < m_queuedChanges.size(); ++i) {
        const auto change = m_queuedChanges[i];
        const auto content = m_exchange.store().find(change.digest);
        const bool isOutdated = change.baseVersion != m_replica.state().accepted().version;
        if (!content && !isOutdated) {
            const auto fetchRequests = m_exchange.want(change.digest, {change.requester}, now);
            out.insert(out.end(), fetchRequests.begin(), fetchRequests.end());
            continue;
        }
        m_queuedChanges.erase(m_queuedChanges.begin() + static_cast<std::ptrdiff_t>(i));
        // An outdated or invalid change is proposed without its content. The log then records its
        // rejection, which a repeated request for the change gets too.
        proposeChange(change, isOutdated || !config::decode(*content) ? "" : *content);
        return;
    }
}

auto acceptance_driver::proposeChange(const queued_change &change, const std::string &content)
        -> void
{
    const auto &baseContent = m_replica.state().acceptedContent();
    const auto delta = baseContent ? transfer::makeDelta(*baseContent, content) : std::string();
    const bool useDelta = baseContent && delta.size() < content.size();
    std::string_view remaining = useDelta ? delta : content;
    wire::command command;
    command.change_id = change.id;
    command.kind = static_cast<std::int8_t>(command_kind::Part);
    while (remaining.size() > replica::MAX_ENTRY_BYTES) {
        command.bytes = remaining.substr(0, replica::MAX_ENTRY_BYTES);
        m_replica.propose(command);
        command.part += static_cast<std::int64_t>(command.bytes.size());
        remaining.remove_prefix(command.bytes.size());
    }
    command.kind = static_cast<std::int8_t>(command_kind::Propose);
    command.bytes = remaining;
    command.base = static_cast<std::int64_t>(change.baseVersion);
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

auto acceptance_driver::isPreparedInAllRegions(base::config_version version) const -> bool
{
    return std::all_of(m_witnesses.begin(), m_witnesses.end(), [&](const auto &region) {
        const auto states = m_witnessStates.find(region.first);
        if (states == m_witnessStates.end()) {
            return false;
        }
        const auto preparedCount = std::count_if(
                states->second.begin(), states->second.end(),
                [version](const auto &witness) { return witness.second.prepared == version; });
        return static_cast<std::size_t>(preparedCount) >= lease::majorityOf(region.second.size());
    });
}

auto acceptance_driver::advancePrepare(base::time_point now, messages &out) -> void
{
    const auto pending = m_replica.state().pending();
    if (!pending) {
        return;
    }
    if (m_preparingVersion != pending->version) {
        m_preparingVersion = pending->version;
        m_prepareStartedAt = now;
    }
    if (!m_replica.hasUncommitted() && isPreparedInAllRegions(pending->version)) {
        proposeDecision(command_kind::Accept, pending->version);
        return;
    }
    if (!m_replica.hasUncommitted() && now - m_prepareStartedAt > PREPARE_TIMEOUT) {
        proposeDecision(command_kind::Abort, pending->version);
        return;
    }
    for (const auto &[region, witnesses] : m_witnesses) {
        lease::wire::prepare request;
        request.region = region.str();
        request.version = static_cast<std::int64_t>(pending->version);
        request.digest = base::toBytes(pending->digest);
        for (const auto &witness : witnesses) {
            auto &sent = m_sendStates[region][witness];
            const bool isDue = sent.prepareSentVersion != pending->version
                               || now - sent.prepareSentAt >= RESEND_INTERVAL;
            if (isDue && m_witnessStates[region][witness].prepared != pending->version) {
                sent.prepareSentVersion = pending->version;
                sent.prepareSentAt = now;
                out.push_back(lease::toMessage(witness, base::channel::Currency,
                                               lease::message_kind::Prepare, request));
            }
        }
    }
}

// Returns the newest version for which a majority of the witnesses of each region report that their
// nodes serve no older one.
auto acceptance_driver::drainedInAllRegions() const -> base::config_version
{
    auto lowestVersion = m_replica.state().accepted().version;
    for (const auto &[region, witnesses] : m_witnesses) {
        const auto states = m_witnessStates.find(region);
        std::vector<base::config_version> drainedVersions(witnesses.size(), 0);
        if (states != m_witnessStates.end()) {
            for (const auto &node : lease::consistentMembers(states->second)) {
                drainedVersions.push_back(states->second.at(node).drained);
            }
        }
        std::sort(drainedVersions.begin(), drainedVersions.end(), std::greater<>());
        lowestVersion =
                std::min(lowestVersion, drainedVersions[lease::majorityOf(witnesses.size()) - 1]);
    }
    return lowestVersion;
}

auto acceptance_driver::advanceAnnouncement(base::time_point now, messages &out) -> void
{
    const auto &accepted = m_replica.state().accepted();
    if (accepted.version == 0) {
        return;
    }
    const auto drainedVersion = drainedInAllRegions();
    const bool isInForce = m_replica.state().inForce() == accepted.version;
    if (drainedVersion > m_replica.state().inForce() && !m_replica.hasUncommitted()) {
        proposeDecision(command_kind::InForce, drainedVersion);
    }
    for (const auto &[region, witnesses] : m_witnesses) {
        lease::wire::announce request;
        request.region = region.str();
        request.version = static_cast<std::int64_t>(accepted.version);
        request.digest = base::toBytes(accepted.digest);
        for (const auto &witness : witnesses) {
            const auto &state = m_witnessStates[region][witness];
            auto &sent = m_sendStates[region][witness];
            const bool hasConfirmed =
                    (isInForce ? state.decided : state.drained) >= accepted.version;
            const auto interval = isInForce ? REANNOUNCE_INTERVAL : RESEND_INTERVAL;
            const bool isDue = sent.announceSentVersion != accepted.version
                               || now - sent.announceSentAt >= interval;
            if (!hasConfirmed && isDue) {
                sent.announceSentVersion = accepted.version;
                sent.announceSentAt = now;
                out.push_back(lease::toMessage(witness, base::channel::Currency,
                                               lease::message_kind::Announce, request));
            }
        }
    }
}

} // namespace hawthornpick::control
