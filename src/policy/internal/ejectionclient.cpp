#include "policy/ejectionclient.h"

#include "base/thriftcodec.h"
#include "policy/generated/policywire_types.h"

#include <algorithm>
#include <cmath>

namespace hawthornpick::policy {

namespace {

using kind = wire::permit_kind;

constexpr base::duration RENEWAL_INTERVAL = std::chrono::seconds(1);
//! Time without a reply after which the next candidate is asked; a round trip within a region takes
//! a few milliseconds.
constexpr base::duration REPLY_TIMEOUT = std::chrono::milliseconds(150);
//! Backoff after a denial; the upstream stays in service meanwhile.
constexpr base::duration DENIAL_BACKOFF = std::chrono::milliseconds(500);
//! Backoff after a round over all candidates of which none holds the lease.
constexpr base::duration CANDIDATE_ROUND_BACKOFF = std::chrono::milliseconds(100);
//! Bits of a message number that count messages within one incarnation; at one message per second
//! they last twelve days. Incarnations are start times in milliseconds, so the numbers of the next
//! one are far above.
constexpr unsigned MESSAGE_NUMBER_BITS = 20;
constexpr std::uint32_t MAX_DOUBLINGS = 10;

auto isOutOfService(ejection_phase phase) -> bool
{
    return phase == ejection_phase::Ejected || phase == ejection_phase::Probation;
}

} // namespace

ejection_client::ejection_client(base::region_id region, base::incarnation incarnation,
                                 ejection_times times, candidates_function candidates)
    : m_region(std::move(region)), m_times(times), m_candidates(std::move(candidates)),
      m_lastMessageNumber(static_cast<std::int64_t>(incarnation << MESSAGE_NUMBER_BITS))
{}

auto ejection_client::setUpstream(const base::upstream_id &upstream,
                                  const base::service_id &service, std::uint32_t slots) -> void
{
    const std::lock_guard lock(m_mutex);
    auto &item = m_ejections[upstream];
    item.scope = {service, m_region};
    item.slots = slots;
    item.isAnnounced = true;
}

auto ejection_client::removeUpstream(const base::upstream_id &upstream, base::time_point now)
        -> void
{
    const std::lock_guard lock(m_mutex);
    const auto position = m_ejections.find(upstream);
    if (position == m_ejections.end()) {
        return;
    }
    auto &item = position->second;
    item.needsRelease = item.needsRelease || isOutOfService(item.phase);
    item.isAnnounced = false;
    item.isUnhealthy = false;
    item.phase = ejection_phase::InService;
    item.permitExpiresAt = {};
    item.requestedAt.reset();
    item.inServiceSince = now;
}

auto ejection_client::onVerdict(const base::upstream_id &upstream, bool unhealthy, double evidence,
                                base::time_point now) -> void
{
    const std::lock_guard lock(m_mutex);
    const auto position = m_ejections.find(upstream);
    if (position == m_ejections.end() || !position->second.isAnnounced) {
        return;
    }
    auto &item = position->second;
    advancePhase(item, now);
    item.isUnhealthy = unhealthy;
    if (unhealthy) {
        item.evidence = evidence;
    }
    const bool isInService =
            item.phase == ejection_phase::InService || item.phase == ejection_phase::SlowStart;
    if (unhealthy && isInService) {
        item.phase = ejection_phase::Requesting;
        item.requestedAt.reset();
    } else if (!unhealthy && item.phase == ejection_phase::Requesting) {
        item.phase = ejection_phase::InService;
    }
}

auto ejection_client::onResult(const base::upstream_id &upstream, bool succeeded,
                               base::time_point now) -> void
{
    const std::lock_guard lock(m_mutex);
    const auto position = m_ejections.find(upstream);
    if (position == m_ejections.end()) {
        return;
    }
    auto &item = position->second;
    advancePhase(item, now);
    if (item.phase != ejection_phase::Probation) {
        return;
    }
    if (!succeeded) {
        ++item.repetitions;
        eject(item, now);
    } else if (++item.successes >= m_times.probationSuccesses) {
        returnToService(item, ejection_phase::SlowStart, now);
    }
}

auto ejection_client::admissionOf(const base::upstream_id &upstream, base::time_point now)
        -> upstream_admission
{
    const std::lock_guard lock(m_mutex);
    const auto position = m_ejections.find(upstream);
    if (position == m_ejections.end()) {
        return {};
    }
    auto &item = position->second;
    advancePhase(item, now);
    switch (item.phase) {
    case ejection_phase::Ejected:
        return {item.slots, 0};
    case ejection_phase::Probation:
        return {item.slots, 1, true};
    case ejection_phase::SlowStart: {
        const double remainingSeconds = base::toSeconds(item.phaseEndsAt - now);
        const double elapsedShare =
                1.0 - remainingSeconds / base::toSeconds(m_times.slowStartDuration);
        const auto usableSlots = static_cast<std::uint32_t>(std::ceil(item.slots * elapsedShare));
        return {item.slots, std::clamp(usableSlots, 1U, item.slots)};
    }
    default:
        return {item.slots, item.slots};
    }
}

auto ejection_client::phaseOf(const base::upstream_id &upstream, base::time_point now)
        -> ejection_phase
{
    const std::lock_guard lock(m_mutex);
    const auto position = m_ejections.find(upstream);
    if (position == m_ejections.end()) {
        return ejection_phase::InService;
    }
    advancePhase(position->second, now);
    return position->second.phase;
}

auto ejection_client::isEjected(const base::upstream_id &upstream, base::time_point now) -> bool
{
    return isOutOfService(phaseOf(upstream, now));
}

auto ejection_client::isFlapping(const base::upstream_id &upstream, base::time_point now) -> bool
{
    const std::lock_guard lock(m_mutex);
    const auto position = m_ejections.find(upstream);
    if (position == m_ejections.end()) {
        return false;
    }
    advancePhase(position->second, now);
    return position->second.repetitions > 0;
}

// A permit is valid from the time when its request was sent, so that it expires at the arbiter
// later than here however late the grant arrives.
auto ejection_client::receive(const base::node_id & /*from*/, std::string_view payload,
                              base::time_point now) -> std::vector<base::outgoing_message>
{
    const auto message = base::decodeThrift<wire::permit_message>(payload);
    if (!message) {
        return {};
    }
    const std::lock_guard lock(m_mutex);
    const auto position = m_ejections.find(base::upstream_id(message->upstream));
    if (position == m_ejections.end()) {
        return {};
    }
    auto &item = position->second;
    advancePhase(item, now);
    if (message->number != item.requestNumber) {
        return {};
    }
    if (message->kind == kind::Recall && isOutOfService(item.phase)) {
        returnToService(item, ejection_phase::InService, now);
        return {};
    }
    if (!item.requestedAt) {
        return {};
    }
    const auto sentAt = *item.requestedAt;
    if (message->kind == kind::NotHolder) {
        ++item.candidateIndex;
        item.requestedAt.reset();
        const auto candidateCount = std::max<std::size_t>(m_candidates(item.scope).size(), 1);
        item.nextRequestAt =
                item.candidateIndex % candidateCount == 0 ? now + CANDIDATE_ROUND_BACKOFF : now;
        if (auto next = requestPermit(position->first, item, now)) {
            return {std::move(*next)};
        }
    } else if (message->kind == kind::Denial && isOutOfService(item.phase)) {
        returnToService(item, ejection_phase::InService, now);
    } else if (message->kind == kind::Denial) {
        item.requestedAt.reset();
        item.nextRequestAt = now + DENIAL_BACKOFF;
    } else if (message->kind == kind::Grant && sentAt + PERMIT_VALIDITY > now) {
        item.permitExpiresAt = sentAt + PERMIT_VALIDITY;
        item.requestedAt.reset();
        if (item.phase == ejection_phase::Requesting) {
            eject(item, now);
        }
    }
    return {};
}

auto ejection_client::tick(base::time_point now) -> std::vector<base::outgoing_message>
{
    const std::lock_guard lock(m_mutex);
    std::vector<base::outgoing_message> out;
    for (auto &[upstream, item] : m_ejections) {
        advancePhase(item, now);
        auto message = item.needsRelease ? releaseMessage(upstream, item)
                                         : requestPermit(upstream, item, now);
        if (message) {
            out.push_back(std::move(*message));
        }
    }
    std::erase_if(m_ejections, [](const auto &entry) {
        const auto &item = entry.second;
        return !item.isAnnounced && !item.needsRelease && item.repetitions == 0;
    });
    return out;
}

// Changes the phase if it or the permit has ended.
auto ejection_client::advancePhase(ejection &item, base::time_point now) -> void
{
    if (isOutOfService(item.phase) && item.permitExpiresAt <= now) {
        returnToService(item, ejection_phase::InService, now);
    }
    if (item.phase == ejection_phase::Ejected && item.phaseEndsAt <= now) {
        item.phase = ejection_phase::Probation;
        item.successes = 0;
    }
    if (item.phase == ejection_phase::SlowStart && item.phaseEndsAt <= now) {
        item.phase = ejection_phase::InService;
    }
    const bool hasStayedInService = item.phase == ejection_phase::InService
                                    && now - item.inServiceSince >= m_times.repetitionExpiry;
    if (hasStayedInService && item.repetitions > 0) {
        --item.repetitions;
        item.inServiceSince = now;
    }
}

auto ejection_client::eject(ejection &item, base::time_point now) -> void
{
    if (item.phase == ejection_phase::Requesting) {
        ++item.repetitions;
    }
    item.phase = ejection_phase::Ejected;
    item.phaseEndsAt = now + ejectionDuration(item);
}

auto ejection_client::returnToService(ejection &item, ejection_phase phase, base::time_point now)
        -> void
{
    item.phase = phase;
    item.phaseEndsAt = now + m_times.slowStartDuration;
    item.inServiceSince = now;
    item.permitExpiresAt = {};
    item.isUnhealthy = false;
    item.requestedAt.reset();
    item.nextRequestAt = {};
    item.needsRelease = true;
}

auto ejection_client::ejectionDuration(const ejection &item) const -> base::duration
{
    const auto doublings = std::min(std::max(item.repetitions, 1U) - 1, MAX_DOUBLINGS);
    return std::min(m_times.firstEjection * (1U << doublings), m_times.maxEjection);
}

auto ejection_client::requestPermit(const base::upstream_id &upstream, ejection &item,
                                    base::time_point now) -> std::optional<base::outgoing_message>
{
    const bool isRenewalDue = isOutOfService(item.phase)
                              && item.permitExpiresAt - now <= PERMIT_VALIDITY - RENEWAL_INTERVAL;
    if (!isRenewalDue && item.phase != ejection_phase::Requesting) {
        return std::nullopt;
    }
    if (now < item.nextRequestAt || (item.requestedAt && now - *item.requestedAt < REPLY_TIMEOUT)) {
        return std::nullopt;
    }
    const auto candidates = m_candidates(item.scope);
    if (candidates.empty()) {
        return std::nullopt;
    }
    item.candidateIndex += item.requestedAt ? 1 : 0;
    item.requestedAt = now;
    item.requestNumber = ++m_lastMessageNumber;
    wire::permit_message message;
    message.kind = kind::Request;
    message.service_name = item.scope.service.str();
    message.region = item.scope.region.str();
    message.upstream = upstream.str();
    message.number = item.requestNumber;
    message.held = isOutOfService(item.phase);
    message.badness = item.evidence;
    return base::outgoing_message{candidates[item.candidateIndex % candidates.size()],
                                  base::channel::Arbiter, base::encodeThrift(message)};
}

// Sent once to the arbiter that was asked last. If it is lost, the permit expires at the arbiter.
auto ejection_client::releaseMessage(const base::upstream_id &upstream, ejection &item)
        -> std::optional<base::outgoing_message>
{
    item.needsRelease = false;
    const auto candidates = m_candidates(item.scope);
    if (candidates.empty()) {
        return std::nullopt;
    }
    wire::permit_message message;
    message.kind = kind::Release;
    message.service_name = item.scope.service.str();
    message.region = item.scope.region.str();
    message.upstream = upstream.str();
    message.number = ++m_lastMessageNumber;
    return base::outgoing_message{candidates[item.candidateIndex % candidates.size()],
                                  base::channel::Arbiter, base::encodeThrift(message)};
}

} // namespace hawthornpick::policy
