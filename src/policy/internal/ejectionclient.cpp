#include "policy/ejectionclient.h"

#include "base/thriftcodec.h"
#include "policy/generated/policywire_types.h"

#include <algorithm>
#include <cmath>

namespace hawthornpick::policy {

namespace {

using kind = wire::permit_kind;

constexpr base::duration RENEW_INTERVAL = std::chrono::seconds(1);
//! A candidate without answer is given up after this time; within a region a round trip takes a few
//! milliseconds.
constexpr base::duration ANSWER_TIME = std::chrono::milliseconds(150);
//! After a denial the upstream stays in service and the request is repeated.
constexpr base::duration DENIED_PAUSE = std::chrono::milliseconds(500);
//! Time between two rounds over candidates of which none holds the lease.
constexpr base::duration ROUND_PAUSE = std::chrono::milliseconds(100);
//! Messages numbered within one incarnation; one a second lasts twelve days. Incarnations are
//! start times in milliseconds, so that the next one is far above.
constexpr unsigned NUMBER_BITS = 20;
constexpr std::uint32_t MOST_DOUBLINGS = 10;

auto isOut(ejection_phase phase) -> bool
{
    return phase == ejection_phase::Ejected || phase == ejection_phase::Probation;
}

} // namespace

ejection_client::ejection_client(base::region_id region, base::incarnation incarnation,
                                 ejection_times times, candidates_function candidates)
    : m_region(std::move(region)), m_times(times), m_candidates(std::move(candidates)),
      m_nextNumber(static_cast<std::int64_t>(incarnation << NUMBER_BITS))
{}

auto ejection_client::setUpstream(const base::upstream_id &upstream,
                                  const base::service_id &service, std::uint32_t slots) -> void
{
    const std::lock_guard lock(m_mutex);
    auto &item = m_ejections[upstream];
    item.scope = {service, m_region};
    item.slots = slots;
    item.present = true;
}

auto ejection_client::upstreamGone(const base::upstream_id &upstream, base::time_point now) -> void
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_ejections.find(upstream);
    if (found == m_ejections.end()) {
        return;
    }
    auto &item = found->second;
    item.release = item.release || isOut(item.phase);
    item.present = false;
    item.unhealthy = false;
    item.phase = ejection_phase::InService;
    item.permitEnds = {};
    item.asked.reset();
    item.inServiceSince = now;
}

auto ejection_client::report(const base::upstream_id &upstream, bool unhealthy, double evidence,
                             base::time_point now) -> void
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_ejections.find(upstream);
    if (found == m_ejections.end() || !found->second.present) {
        return;
    }
    auto &item = found->second;
    advance(item, now);
    item.unhealthy = unhealthy;
    if (unhealthy) {
        item.evidence = evidence;
    }
    const bool inService =
            item.phase == ejection_phase::InService || item.phase == ejection_phase::SlowStart;
    if (unhealthy && inService) {
        item.phase = ejection_phase::Requesting;
        item.asked.reset();
    } else if (!unhealthy && item.phase == ejection_phase::Requesting) {
        item.phase = ejection_phase::InService;
    }
}

auto ejection_client::onResult(const base::upstream_id &upstream, bool succeeded,
                               base::time_point now) -> void
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_ejections.find(upstream);
    if (found == m_ejections.end()) {
        return;
    }
    auto &item = found->second;
    advance(item, now);
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
    const auto found = m_ejections.find(upstream);
    if (found == m_ejections.end()) {
        return {};
    }
    auto &item = found->second;
    advance(item, now);
    switch (item.phase) {
    case ejection_phase::Ejected:
        return {item.slots, 0};
    case ejection_phase::Probation:
        return {item.slots, 1, true};
    case ejection_phase::SlowStart: {
        const double left = base::toSeconds(item.phaseEnds - now);
        const double part = 1.0 - left / base::toSeconds(m_times.slowStart);
        const auto usable = static_cast<std::uint32_t>(std::ceil(item.slots * part));
        return {item.slots, std::clamp(usable, 1U, item.slots)};
    }
    default:
        return {item.slots, item.slots};
    }
}

auto ejection_client::phaseOf(const base::upstream_id &upstream, base::time_point now)
        -> ejection_phase
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_ejections.find(upstream);
    if (found == m_ejections.end()) {
        return ejection_phase::InService;
    }
    advance(found->second, now);
    return found->second.phase;
}

auto ejection_client::isEjected(const base::upstream_id &upstream, base::time_point now) -> bool
{
    return isOut(phaseOf(upstream, now));
}

auto ejection_client::isFlapping(const base::upstream_id &upstream, base::time_point now) -> bool
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_ejections.find(upstream);
    if (found == m_ejections.end()) {
        return false;
    }
    advance(found->second, now);
    return found->second.repetitions > 0;
}

// A grant counts from the time the request was sent, so that the arbiter's record lasts longer than
// the ejection however late the grant arrives.
auto ejection_client::receive(const base::node_id & /*from*/, std::string_view payload,
                              base::time_point now) -> std::vector<base::outgoing_message>
{
    const auto message = base::decodeThrift<wire::permit_message>(payload);
    if (!message) {
        return {};
    }
    const std::lock_guard lock(m_mutex);
    const auto found = m_ejections.find(base::upstream_id(message->upstream));
    if (found == m_ejections.end()) {
        return {};
    }
    auto &item = found->second;
    advance(item, now);
    if (message->number != item.number) {
        return {};
    }
    if (message->kind == kind::Recall && isOut(item.phase)) {
        returnToService(item, ejection_phase::InService, now);
        return {};
    }
    if (!item.asked) {
        return {};
    }
    const auto sent = *item.asked;
    if (message->kind == kind::NotHolder) {
        ++item.candidate;
        item.asked.reset();
        const auto count = std::max<std::size_t>(m_candidates(item.scope).size(), 1);
        item.pausedUntil = item.candidate % count == 0 ? now + ROUND_PAUSE : now;
        if (auto next = ask(found->first, item, now)) {
            return {std::move(*next)};
        }
    } else if (message->kind == kind::Denial && isOut(item.phase)) {
        returnToService(item, ejection_phase::InService, now);
    } else if (message->kind == kind::Denial) {
        item.asked.reset();
        item.pausedUntil = now + DENIED_PAUSE;
    } else if (message->kind == kind::Grant && sent + PERMIT_LIFE > now) {
        item.permitEnds = sent + PERMIT_LIFE;
        item.asked.reset();
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
        advance(item, now);
        auto message = item.release ? releaseMessage(upstream, item) : ask(upstream, item, now);
        if (message) {
            out.push_back(std::move(*message));
        }
    }
    std::erase_if(m_ejections, [](const auto &entry) {
        const auto &item = entry.second;
        return !item.present && !item.release && item.repetitions == 0;
    });
    return out;
}

// Moves on when a phase or the permit has ended.
auto ejection_client::advance(ejection &item, base::time_point now) -> void
{
    if (isOut(item.phase) && item.permitEnds <= now) {
        returnToService(item, ejection_phase::InService, now);
    }
    if (item.phase == ejection_phase::Ejected && item.phaseEnds <= now) {
        item.phase = ejection_phase::Probation;
        item.successes = 0;
    }
    if (item.phase == ejection_phase::SlowStart && item.phaseEnds <= now) {
        item.phase = ejection_phase::InService;
    }
    const bool quiet = item.phase == ejection_phase::InService
                       && now - item.inServiceSince >= m_times.forgetAfter;
    if (quiet && item.repetitions > 0) {
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
    item.phaseEnds = now + ejectionTime(item);
}

auto ejection_client::returnToService(ejection &item, ejection_phase phase, base::time_point now)
        -> void
{
    item.phase = phase;
    item.phaseEnds = now + m_times.slowStart;
    item.inServiceSince = now;
    item.permitEnds = {};
    item.unhealthy = false;
    item.asked.reset();
    item.pausedUntil = {};
    item.release = true;
}

auto ejection_client::ejectionTime(const ejection &item) const -> base::duration
{
    const auto doublings = std::min(std::max(item.repetitions, 1U) - 1, MOST_DOUBLINGS);
    return std::min(m_times.first * (1U << doublings), m_times.longest);
}

auto ejection_client::ask(const base::upstream_id &upstream, ejection &item, base::time_point now)
        -> std::optional<base::outgoing_message>
{
    const bool renews = isOut(item.phase) && item.permitEnds - now <= PERMIT_LIFE - RENEW_INTERVAL;
    if (!renews && item.phase != ejection_phase::Requesting) {
        return std::nullopt;
    }
    if (now < item.pausedUntil || (item.asked && now - *item.asked < ANSWER_TIME)) {
        return std::nullopt;
    }
    const auto candidates = m_candidates(item.scope);
    if (candidates.empty()) {
        return std::nullopt;
    }
    item.candidate += item.asked ? 1 : 0;
    item.asked = now;
    item.number = ++m_nextNumber;
    wire::permit_message message;
    message.kind = kind::Request;
    message.service_name = item.scope.service.str();
    message.region = item.scope.region.str();
    message.upstream = upstream.str();
    message.number = item.number;
    message.held = isOut(item.phase);
    message.badness = item.evidence;
    return base::outgoing_message{candidates[item.candidate % candidates.size()],
                                  base::channel::Arbiter, base::encodeThrift(message)};
}

// Sent once to the arbiter asked last. If it is lost, the arbiter's record ends by itself.
auto ejection_client::releaseMessage(const base::upstream_id &upstream, ejection &item)
        -> std::optional<base::outgoing_message>
{
    item.release = false;
    const auto candidates = m_candidates(item.scope);
    if (candidates.empty()) {
        return std::nullopt;
    }
    wire::permit_message message;
    message.kind = kind::Release;
    message.service_name = item.scope.service.str();
    message.region = item.scope.region.str();
    message.upstream = upstream.str();
    message.number = ++m_nextNumber;
    return base::outgoing_message{candidates[item.candidate % candidates.size()],
                                  base::channel::Arbiter, base::encodeThrift(message)};
}

} // namespace hawthornpick::policy
