#include "lease/witness.h"

#include "lease/timing.h"

#include <algorithm>

namespace hawthornpick::lease {

namespace {

auto append(std::vector<base::outgoing_message> &out,
            const std::vector<base::outgoing_message> &batch) -> void
{
    out.insert(out.end(), batch.begin(), batch.end());
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
    const auto isForUs = [this](const auto &message) {
        return message && message->region == m_place.region.str();
    };
    if (kind == message_kind::Check) {
        const auto check = base::decodeThrift<wire::check>(payload);
        return isForUs(check) ? onCheck(from, *check, now) : messages{};
    }
    if (kind == message_kind::Recover) {
        const auto request = base::decodeThrift<wire::recover>(payload);
        return isForUs(request) && isMember(from) ? onRecover(from, *request) : messages{};
    }
    if (kind == message_kind::Prepare) {
        const auto request = base::decodeThrift<wire::prepare>(payload);
        return isForUs(request) ? onPrepare(from, *request, now) : messages{};
    }
    if (kind == message_kind::Announce) {
        const auto request = base::decodeThrift<wire::announce>(payload);
        return isForUs(request) ? onAnnounce(from, *request, now) : messages{};
    }
    if (kind == message_kind::RecoverAnswer) {
        const auto answer = base::decodeThrift<wire::recover_answer>(payload);
        if (isForUs(answer) && isMember(from)) {
            onRecoverAnswer(from, *answer);
        }
    }
    if (kind == message_kind::ControllerAnswer) {
        const auto answer = base::decodeThrift<wire::controller_answer>(payload);
        if (isForUs(answer)) {
            onControllerAnswer(from, *answer);
        }
    }
    return {};
}

auto witness::tick(base::time_point now) -> messages
{
    messages out;
    if (m_isRecovering && now - m_recoverySentAt >= RECOVER_INTERVAL) {
        m_recoverySentAt = now;
        append(out, askForRecovery(now));
    }
    std::erase_if(m_checks, [now](const auto &item) { return now - item.second.at > FORGET_TIME; });
    append(out, fetchMissing(now));
    append(out, poll(now));
    return out;
}

auto witness::poll(base::time_point now) -> messages
{
    if (!m_decidedContent) {
        m_decidedContent = m_exchange.store().find(m_decided.digest);
    }
    const bool wasMissing = !m_preparedContent;
    if (wasMissing && m_prepared.version != 0) {
        m_preparedContent = m_exchange.store().find(m_prepared.digest);
    }
    messages out;
    if (wasMissing && m_preparedContent) {
        out.push_back(report(m_preparer, now));
    }
    if (m_drainedReportIsDue && drained(now) == m_decided.version) {
        m_drainedReportIsDue = false;
        out.push_back(report(m_announcer, now));
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
    auto &last = m_checks[from];
    // A delayed check must not replace the record of a lease that was granted later.
    if (std::pair(incarnation, check.round) <= std::pair(last.incarnation, last.round)) {
        return {};
    }
    wire::check_answer answer;
    answer.round = check.round;
    if (version < m_decided.version) {
        answer.newest = static_cast<std::int64_t>(m_decided.version);
        answer.digest = base::toBytes(m_decided.digest);
    } else {
        last = {incarnation, check.round, version, now};
    }
    messages out{toMessage(from, base::channel::Currency, message_kind::CheckAnswer, answer)};
    append(out, poll(now));
    return out;
}

auto witness::onRecover(const base::node_id &from, const wire::recover &request) -> messages
{
    auto &known = m_incarnations[from.str()];
    known = std::max(known, request.incarnation);
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
    const bool isOurs = answer.asked_incarnation == static_cast<std::int64_t>(m_place.incarnation);
    if (!m_isRecovering || !isOurs || !version || from == m_place.self) {
        return;
    }
    auto &vote = m_recoveryVotes[from];
    if (answer.incarnation >= vote.incarnation) {
        vote = {answer.incarnation, *version, static_cast<std::uint64_t>(answer.epoch),
                answer.incarnations};
    }
    tryToRecover();
}

auto witness::tryToRecover() -> void
{
    const auto members = consistentMembers(m_recoveryVotes);
    if (members.size() < majorityOf(m_place.witnesses.size())) {
        return;
    }
    for (const auto &member : members) {
        const auto &vote = m_recoveryVotes[member];
        decide(vote.version);
        m_granter.raiseFloor(vote.epoch);
        for (const auto &[name, incarnation] : vote.incarnations) {
            m_incarnations[name] = std::max(m_incarnations[name], incarnation);
        }
    }
    m_isRecovering = false;
    m_recoveryVotes.clear();
}

auto witness::onControllerAnswer(const base::node_id &from, const wire::controller_answer &answer)
        -> void
{
    const auto &controllers = m_place.controllers;
    const bool isController =
            std::find(controllers.begin(), controllers.end(), from) != controllers.end();
    const bool isOurs = answer.asked_incarnation == static_cast<std::int64_t>(m_place.incarnation);
    const auto version = versionFromWire(answer.version, answer.digest);
    if (!m_isRecovering || !isController || !isOurs || !version) {
        return;
    }
    decide(*version);
    m_isRecovering = false;
    m_recoveryVotes.clear();
}

auto witness::askForRecovery(base::time_point now) -> messages
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
    // The other witnesses also know the epochs of named leases, so they are asked first.
    if (now - m_startedAt < CONTROLLER_DELAY) {
        return out;
    }
    wire::read_newest read;
    read.region = request.region;
    read.incarnation = request.incarnation;
    for (const auto &controller : m_place.controllers) {
        out.push_back(
                toMessage(controller, base::channel::Consensus, message_kind::ReadNewest, read));
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
    m_preparer = from;
    if (*version != m_prepared) {
        m_prepared = *version;
        m_preparedContent = nullptr;
    } else if (m_preparedContent) {
        return {report(from, now)};
    }
    auto out = m_exchange.want(m_prepared.digest, {from}, now);
    append(out, poll(now));
    return out;
}

auto witness::onAnnounce(const base::node_id &from, const wire::announce &request,
                         base::time_point now) -> messages
{
    const auto version = versionFromWire(request.version, request.digest);
    if (!version || m_isRecovering) {
        return {};
    }
    m_announcer = from;
    messages out;
    if (decide(*version)) {
        append(out, noticeToNodes(now));
    }
    m_drainedReportIsDue = drained(now) != m_decided.version;
    out.push_back(report(from, now));
    return out;
}

auto witness::decide(const version_id &version) -> bool
{
    if (version.version <= m_decided.version) {
        return false;
    }
    m_decided = version;
    m_decidedContent = m_exchange.store().find(version.digest);
    return true;
}

// Nodes would learn of the version at their next check; the notice saves that time.
auto witness::noticeToNodes(base::time_point now) const -> messages
{
    wire::check_answer notice;
    notice.newest = static_cast<std::int64_t>(m_decided.version);
    notice.digest = base::toBytes(m_decided.digest);
    messages out;
    for (const auto &[node, check] : m_checks) {
        if (check.version < m_decided.version && now - check.at < GRANT_HOLD) {
            out.push_back(
                    toMessage(node, base::channel::Currency, message_kind::CheckAnswer, notice));
        }
    }
    return out;
}

auto witness::fetchMissing(base::time_point now) -> messages
{
    messages out;
    if (m_prepared.version != 0 && !m_preparedContent) {
        append(out, m_exchange.want(m_prepared.digest, {m_preparer}, now));
    }
    if (m_decided.version != 0 && !m_decidedContent) {
        auto sources = m_place.witnesses;
        sources.insert(sources.end(), m_place.controllers.begin(), m_place.controllers.end());
        std::erase(sources, m_place.self);
        append(out, m_exchange.want(m_decided.digest, sources, now));
    }
    return out;
}

auto witness::drained(base::time_point now) const -> base::config_version
{
    // Leases granted before a restart are forgotten and may still be in use.
    if (m_isRecovering || now - m_startedAt < GRANT_HOLD) {
        return 0;
    }
    auto oldest = m_decided.version;
    for (const auto &[node, check] : m_checks) {
        if (now - check.at < GRANT_HOLD) {
            oldest = std::min(oldest, check.version);
        }
    }
    return oldest;
}

auto witness::report(const base::node_id &to, base::time_point now) const -> base::outgoing_message
{
    wire::witness_report out;
    out.region = m_place.region.str();
    out.incarnation = static_cast<std::int64_t>(m_place.incarnation);
    out.prepared = m_preparedContent ? static_cast<std::int64_t>(m_prepared.version) : 0;
    out.decided = m_isRecovering ? 0 : static_cast<std::int64_t>(m_decided.version);
    out.drained = static_cast<std::int64_t>(drained(now));
    out.incarnations = m_incarnations;
    return toMessage(to, base::channel::Consensus, message_kind::WitnessReport, out);
}

auto witness::isMember(const base::node_id &node) const -> bool
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
    const bool isSilent = m_isRecovering || now - m_startedAt < GRANT_HOLD;
    if (!request || request->region != m_place.region.str() || isSilent) {
        return {};
    }
    wire::lease_answer answer;
    for (const auto &item : request->items) {
        const auto claim = toClaim(from, *request, item);
        if (request->is_release) {
            m_granter.release(claim);
            continue;
        }
        const auto verdict = m_granter.decide(claim, now);
        wire::lease_result result;
        result.name = item.name;
        result.epoch = static_cast<std::int64_t>(verdict.epoch);
        result.round = item.round;
        result.granted = verdict.granted;
        answer.results.push_back(std::move(result));
    }
    if (answer.results.empty()) {
        return {};
    }
    return {toMessage(from, base::channel::Lease, message_kind::LeaseAnswer, answer)};
}

} // namespace hawthornpick::lease
