#include "lease/witness.h"

#include "lease/timing.h"

#include <algorithm>

namespace hawthornpick::lease {

namespace {

auto appendMessages(std::vector<base::outgoing_message> &out,
                    const std::vector<base::outgoing_message> &messages) -> void
{
    out.insert(out.end(), messages.begin(), messages.end());
}

auto toClaim(const base::node_id &from, const wire::lease_request &request,
             const wire::lease_item &item) -> lease_claim
{
    return {from, static_cast<base::incarnation>(request.incarnation), item.name,
            static_cast<std::uint64_t>(item.epoch)};
}

} // namespace

witness::witness(witness_place place, transfer::content_exchange &exchange,
                 base::time_point startedAt)
    : m_place(std::move(place)), m_exchange(exchange), m_startedAt(startedAt)
{
    m_incarnations[m_place.self.str()] = static_cast<std::int64_t>(m_place.incarnation);
}

auto witness::receive(const base::node_id &from, std::string_view payload, base::time_point now)
        -> messages
{
    const auto kind = static_cast<message_kind>(takeKind(payload));
    const auto isForThisRegion = [this](const auto &message) {
        return message && message->region == m_place.region.str();
    };
    if (kind == message_kind::Check) {
        const auto check = base::decodeThrift<wire::check>(payload);
        return isForThisRegion(check) ? onCheck(from, *check, now) : messages{};
    }
    if (kind == message_kind::Recover) {
        const auto request = base::decodeThrift<wire::recover>(payload);
        return isForThisRegion(request) && isRegionWitness(from) ? onRecover(from, *request)
                                                                 : messages{};
    }
    if (kind == message_kind::Prepare) {
        const auto request = base::decodeThrift<wire::prepare>(payload);
        return isForThisRegion(request) ? onPrepare(from, *request, now) : messages{};
    }
    if (kind == message_kind::Announce) {
        const auto request = base::decodeThrift<wire::announce>(payload);
        return isForThisRegion(request) ? onAnnounce(from, *request, now) : messages{};
    }
    if (kind == message_kind::RecoverAnswer) {
        const auto answer = base::decodeThrift<wire::recover_answer>(payload);
        if (isForThisRegion(answer) && isRegionWitness(from)) {
            onRecoverAnswer(from, *answer);
        }
    }
    if (kind == message_kind::ControllerAnswer) {
        const auto answer = base::decodeThrift<wire::controller_answer>(payload);
        if (isForThisRegion(answer)) {
            onControllerAnswer(from, *answer);
        }
    }
    return {};
}

auto witness::tick(base::time_point now) -> messages
{
    messages out;
    if (m_isRecovering && now - m_recoveryRequestSentAt >= RECOVERY_REQUEST_INTERVAL) {
        m_recoveryRequestSentAt = now;
        appendMessages(out, sendRecoveryRequests(now));
    }
    std::erase_if(m_confirmedChecks, [now](const auto &item) {
        return now - item.second.confirmedAt > CHECK_RETENTION_TIME;
    });
    appendMessages(out, requestMissingContent(now));
    appendMessages(out, poll(now));
    return out;
}

auto witness::poll(base::time_point now) -> messages
{
    if (!m_decidedContent) {
        m_decidedContent = m_exchange.store().find(m_decided.digest);
    }
    const bool wasPreparedContentMissing = !m_preparedContent;
    if (wasPreparedContentMissing && m_prepared.version != 0) {
        m_preparedContent = m_exchange.store().find(m_prepared.digest);
    }
    messages out;
    if (wasPreparedContentMissing && m_preparedContent) {
        out.push_back(makeReport(m_prepareSender, now));
    }
    if (m_isDrainedReportDue && drainedVersion(now) == m_decided.version) {
        m_isDrainedReportDue = false;
        out.push_back(makeReport(m_announceSender, now));
    }
    return out;
}

auto witness::onCheck(const base::node_id &from, const wire::check &check, base::time_point now)
        -> messages
{
    if (m_isRecovering) {
        return {};
    }
    const auto version = static_cast<base::config_version>(check.version);
    const auto incarnation = static_cast<base::incarnation>(check.incarnation);
    auto &lastConfirmed = m_confirmedChecks[from];
    // A delayed check must not replace the record of a lease that was granted after it was sent.
    if (std::pair(incarnation, check.round)
        <= std::pair(lastConfirmed.incarnation, lastConfirmed.round)) {
        return {};
    }
    wire::check_answer answer;
    answer.round = check.round;
    if (version < m_decided.version) {
        answer.newest = static_cast<std::int64_t>(m_decided.version);
        answer.digest = base::toBytes(m_decided.digest);
    } else {
        lastConfirmed = {incarnation, check.round, version, now};
    }
    messages out{toMessage(from, base::channel::Currency, message_kind::CheckAnswer, answer)};
    appendMessages(out, poll(now));
    return out;
}

auto witness::onRecover(const base::node_id &from, const wire::recover &request) -> messages
{
    auto &knownIncarnation = m_incarnations[from.str()];
    knownIncarnation = std::max(knownIncarnation, request.incarnation);
    if (m_isRecovering) {
        return {};
    }
    wire::recover_answer answer;
    answer.region = m_place.region.str();
    answer.asked_incarnation = request.incarnation;
    answer.incarnation = static_cast<std::int64_t>(m_place.incarnation);
    answer.version = static_cast<std::int64_t>(m_decided.version);
    answer.digest = base::toBytes(m_decided.digest);
    answer.epoch = static_cast<std::int64_t>(m_granter.highestEpoch());
    answer.incarnations = m_incarnations;
    return {toMessage(from, base::channel::Currency, message_kind::RecoverAnswer, answer)};
}

auto witness::onRecoverAnswer(const base::node_id &from, const wire::recover_answer &answer) -> void
{
    const auto version = versionFromWire(answer.version, answer.digest);
    const bool isForThisIncarnation =
            answer.asked_incarnation == static_cast<std::int64_t>(m_place.incarnation);
    if (!m_isRecovering || !isForThisIncarnation || !version || from == m_place.self) {
        return;
    }
    auto &reply = m_recoveryReplies[from];
    if (answer.incarnation >= reply.incarnation) {
        reply = {answer.incarnation, *version, static_cast<std::uint64_t>(answer.epoch),
                 answer.incarnations};
    }
    recoverFromQuorum();
}

auto witness::recoverFromQuorum() -> void
{
    const auto members = consistentMembers(m_recoveryReplies);
    if (members.size() < majorityOf(m_place.witnesses.size())) {
        return;
    }
    for (const auto &member : members) {
        const auto &reply = m_recoveryReplies[member];
        adoptDecided(reply.version);
        m_granter.raiseEpochFloor(reply.epoch);
        for (const auto &[name, incarnation] : reply.incarnations) {
            m_incarnations[name] = std::max(m_incarnations[name], incarnation);
        }
    }
    m_isRecovering = false;
    m_recoveryReplies.clear();
}

auto witness::onControllerAnswer(const base::node_id &from, const wire::controller_answer &answer)
        -> void
{
    const auto &controllers = m_place.controllers;
    const bool isController =
            std::find(controllers.begin(), controllers.end(), from) != controllers.end();
    const bool isForThisIncarnation =
            answer.asked_incarnation == static_cast<std::int64_t>(m_place.incarnation);
    const auto version = versionFromWire(answer.version, answer.digest);
    if (!m_isRecovering || !isController || !isForThisIncarnation || !version) {
        return;
    }
    adoptDecided(*version);
    m_isRecovering = false;
    m_recoveryReplies.clear();
}

auto witness::sendRecoveryRequests(base::time_point now) -> messages
{
    messages out;
    wire::recover request;
    request.region = m_place.region.str();
    request.incarnation = static_cast<std::int64_t>(m_place.incarnation);
    for (const auto &other : m_place.witnesses) {
        if (other != m_place.self) {
            out.push_back(
                    toMessage(other, base::channel::Currency, message_kind::Recover, request));
        }
    }
    // Witnesses are preferred because they also know the epochs of named leases, which the
    // controllers do not.
    if (now - m_startedAt < CONTROLLER_REQUEST_DELAY) {
        return out;
    }
    wire::read_newest readRequest;
    readRequest.region = request.region;
    readRequest.incarnation = request.incarnation;
    for (const auto &controller : m_place.controllers) {
        out.push_back(toMessage(controller, base::channel::Consensus, message_kind::ReadNewest,
                                readRequest));
    }
    return out;
}

auto witness::onPrepare(const base::node_id &from, const wire::prepare &request,
                        base::time_point now) -> messages
{
    const auto version = versionFromWire(request.version, request.digest);
    if (!version || version->version < m_prepared.version) {
        return {};
    }
    m_prepareSender = from;
    if (*version != m_prepared) {
        m_prepared = *version;
        m_preparedContent = nullptr;
    } else if (m_preparedContent) {
        return {makeReport(from, now)};
    }
    auto out = m_exchange.want(m_prepared.digest, {from}, now);
    appendMessages(out, poll(now));
    return out;
}

auto witness::onAnnounce(const base::node_id &from, const wire::announce &request,
                         base::time_point now) -> messages
{
    const auto version = versionFromWire(request.version, request.digest);
    if (!version || m_isRecovering) {
        return {};
    }
    m_announceSender = from;
    messages out;
    if (adoptDecided(*version)) {
        appendMessages(out, notifyOutdatedNodes(now));
    }
    m_isDrainedReportDue = drainedVersion(now) != m_decided.version;
    out.push_back(makeReport(from, now));
    return out;
}

auto witness::adoptDecided(const version_id &version) -> bool
{
    if (version.version <= m_decided.version) {
        return false;
    }
    m_decided = version;
    m_decidedContent = m_exchange.store().find(version.digest);
    return true;
}

auto witness::notifyOutdatedNodes(base::time_point now) const -> messages
{
    wire::check_answer notice;
    notice.newest = static_cast<std::int64_t>(m_decided.version);
    notice.digest = base::toBytes(m_decided.digest);
    messages out;
    for (const auto &[node, check] : m_confirmedChecks) {
        if (check.version < m_decided.version && now - check.confirmedAt < GRANT_DURATION) {
            out.push_back(
                    toMessage(node, base::channel::Currency, message_kind::CheckAnswer, notice));
        }
    }
    return out;
}

auto witness::requestMissingContent(base::time_point now) -> messages
{
    messages out;
    if (m_prepared.version != 0 && !m_preparedContent) {
        appendMessages(out, m_exchange.want(m_prepared.digest, {m_prepareSender}, now));
    }
    if (m_decided.version != 0 && !m_decidedContent) {
        auto sources = m_place.witnesses;
        sources.insert(sources.end(), m_place.controllers.begin(), m_place.controllers.end());
        std::erase(sources, m_place.self);
        appendMessages(out, m_exchange.want(m_decided.digest, sources, now));
    }
    return out;
}

auto witness::drainedVersion(base::time_point now) const -> base::config_version
{
    // A restart loses the record of the leases granted before it, which may still be in use.
    if (m_isRecovering || now - m_startedAt < GRANT_DURATION) {
        return 0;
    }
    auto oldestVersionInUse = m_decided.version;
    for (const auto &[node, check] : m_confirmedChecks) {
        if (now - check.confirmedAt < GRANT_DURATION) {
            oldestVersionInUse = std::min(oldestVersionInUse, check.version);
        }
    }
    return oldestVersionInUse;
}

auto witness::makeReport(const base::node_id &to, base::time_point now) const
        -> base::outgoing_message
{
    wire::witness_report report;
    report.region = m_place.region.str();
    report.incarnation = static_cast<std::int64_t>(m_place.incarnation);
    report.prepared = m_preparedContent ? static_cast<std::int64_t>(m_prepared.version) : 0;
    report.decided = m_isRecovering ? 0 : static_cast<std::int64_t>(m_decided.version);
    report.drained = static_cast<std::int64_t>(drainedVersion(now));
    report.incarnations = m_incarnations;
    return toMessage(to, base::channel::Consensus, message_kind::WitnessReport, report);
}

auto witness::isRegionWitness(const base::node_id &node) const -> bool
{
    const auto &members = m_place.witnesses;
    return std::find(members.begin(), members.end(), node) != members.end();
}

auto witness::receiveLease(const base::node_id &from, std::string_view payload,
                           base::time_point now) -> messages
{
    if (takeKind(payload) != static_cast<std::uint8_t>(message_kind::LeaseRequest)) {
        return {};
    }
    const auto request = base::decodeThrift<wire::lease_request>(payload);
    const bool mustNotAnswer = m_isRecovering || now - m_startedAt < GRANT_DURATION;
    if (!request || request->region != m_place.region.str() || mustNotAnswer) {
        return {};
    }
    wire::lease_answer answer;
    for (const auto &item : request->items) {
        const auto claim = toClaim(from, *request, item);
        if (request->is_release) {
            m_granter.release(claim);
            continue;
        }
        const auto decision = m_granter.decide(claim, now);
        wire::lease_result result;
        result.name = item.name;
        result.epoch = static_cast<std::int64_t>(decision.epoch);
        result.round = item.round;
        result.granted = decision.granted;
        answer.results.push_back(std::move(result));
    }
    if (answer.results.empty()) {
        return {};
    }
    return {toMessage(from, base::channel::Lease, message_kind::LeaseAnswer, answer)};
}

} // namespace hawthornpick::lease
