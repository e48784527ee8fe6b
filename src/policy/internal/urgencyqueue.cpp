#include "policy/urgencyqueue.h"

#include <algorithm>

namespace hawthornpick::policy {

namespace {

constexpr double SERVICE_TIME_SMOOTHING = 0.05;
constexpr double URGENT_SHARE_SMOOTHING = 0.1;
//! Share of the expected service time that must be left before the deadline: half of the requests
//! take less than about this share of the mean.
constexpr double MIN_REMAINING_SHARE = 0.6;

auto scaled(base::duration span, double factor) -> base::duration
{
    return base::fromSeconds(base::toSeconds(span) * factor);
}

} // namespace

auto urgency_queue::acquire(const slot_request &request, base::time_point now,
                            slot_resume_function resume) -> base::result<std::optional<slot_grant>>
{
    if (const auto refusal = admissionError(request, now)) {
        return base::fail(*refusal);
    }
    m_urgentShare +=
            URGENT_SHARE_SMOOTHING * ((isUrgent(request, now) ? 1.0 : 0.0) - m_urgentShare);
    // Requests that wait although a slot is free may be leaving the last slot to a request like
    // this one.
    const auto upstream = leastLoadedUpstream(request, now);
    if (upstream != m_upstreams.end() && isMostUrgent(request, now)) {
        return occupy(upstream, request, now);
    }
    const auto wait = expectedWait(request, now);
    if (wait > request.maxWait
        || m_waiting.size() >= static_cast<std::size_t>(usableSlots()) * m_queuePerSlot) {
        return base::fail(base::error_kind::QueueFull);
    }
    const bool wouldMissTarget = now + wait + request.expectedServiceTime > request.target;
    if (!canMeetDeadline(request, now + wait) || (wouldMissTarget && !m_waiting.empty())) {
        return base::fail(base::error_kind::Overloaded);
    }
    m_waiting.push_back({request, std::move(resume)});
    return std::optional<slot_grant>();
}

auto urgency_queue::admissionError(const slot_request &request, base::time_point now) const
        -> std::optional<base::error_kind>
{
    if (m_isDraining) {
        return base::error_kind::UpstreamDraining;
    }
    if (request.deadline <= now) {
        return base::error_kind::DeadlineBeforeStart;
    }
    auto refusal = base::error_kind::NoUpstream;
    for (const auto &[id, upstream] : m_upstreams) {
        if (upstream.isRemoved) {
            continue;
        }
        if (upstream.admission.draining) {
            refusal = base::error_kind::UpstreamDraining;
        } else if (upstream.admission.usableSlots == 0) {
            refusal = base::error_kind::UpstreamEjected;
        } else {
            return std::nullopt;
        }
    }
    return refusal;
}

auto urgency_queue::leastLoadedUpstream(const slot_request &request, base::time_point now)
        -> upstream_map::iterator
{
    const bool reservesLastSlot = m_urgentShare >= MIN_URGENT_SHARE && !isUrgent(request, now);
    auto best = m_upstreams.end();
    double bestUtilisation = 1.0;
    for (auto item = m_upstreams.begin(); item != m_upstreams.end(); ++item) {
        const auto &[admission, busy, isRemoved] = item->second;
        const auto reservedSlots = reservesLastSlot && admission.usableSlots > 1 ? 1U : 0U;
        if (isRemoved || admission.draining || busy + reservedSlots >= admission.usableSlots) {
            continue;
        }
        const double utilisation = static_cast<double>(busy) / admission.usableSlots;
        if (best == m_upstreams.end() || utilisation < bestUtilisation) {
            best = item;
            bestUtilisation = utilisation;
        }
    }
    return best;
}

auto urgency_queue::isUrgent(const slot_request &request, base::time_point now) -> bool
{
    return now + request.expectedServiceTime + LAST_SLOT_MAX_SLACK >= request.target;
}

auto urgency_queue::occupy(upstream_map::iterator upstream, const slot_request &request,
                           base::time_point now) -> slot_grant
{
    ++upstream->second.busy;
    return {request.attempt, upstream->first, now};
}

auto urgency_queue::isMostUrgent(const slot_request &request, base::time_point now) const -> bool
{
    const auto ownKey = urgencyKeyOf(request, now);
    return std::all_of(m_waiting.begin(), m_waiting.end(), [&](const waiting_request &item) {
        return ownKey <= urgencyKeyOf(item.request, now);
    });
}

auto urgency_queue::usableSlots() const -> std::uint32_t
{
    std::uint32_t slots = 0;
    for (const auto &[id, upstream] : m_upstreams) {
        const bool isUsable = !upstream.isRemoved && !upstream.admission.draining && !m_isDraining;
        slots += isUsable ? upstream.admission.usableSlots : 0;
    }
    return slots;
}

auto urgency_queue::canMeetDeadline(const slot_request &request, base::time_point now) -> bool
{
    return now + scaled(request.expectedServiceTime, MIN_REMAINING_SHARE) <= request.deadline;
}

auto urgency_queue::canMeetTarget(const slot_request &request, base::time_point now) -> bool
{
    return now + scaled(request.expectedServiceTime, MIN_REMAINING_SHARE) <= request.target;
}

auto urgency_queue::urgencyKeyOf(const slot_request &request, base::time_point now) const
        -> urgency_key
{
    const bool meetsTarget = canMeetTarget(request, now);
    const auto dueTime = meetsTarget ? request.target : request.deadline;
    return {!meetsTarget,
            dueTime - request.expectedServiceTime + PRIORITY_DELAY * request.priority};
}

// Assumes that all slots are busy: the first one becomes free after about the mean service time
// divided by the number of slots; then the more urgent requests are served first.
auto urgency_queue::expectedWait(const slot_request &request, base::time_point now) const
        -> base::duration
{
    const double slots = std::max(1U, usableSlots());
    double secondsAhead = m_meanServiceSeconds;
    const auto ownKey = urgencyKeyOf(request, now);
    for (const auto &item : m_waiting) {
        if (urgencyKeyOf(item.request, now) <= ownKey) {
            secondsAhead += base::toSeconds(item.request.expectedServiceTime);
        }
    }
    return base::fromSeconds(secondsAhead / slots);
}

auto urgency_queue::release(const slot_grant &grant, bool succeeded, base::time_point now) -> void
{
    const auto upstream = m_upstreams.find(grant.upstream);
    if (upstream != m_upstreams.end()) {
        upstream->second.busy -= std::min(upstream->second.busy, 1U);
        if (upstream->second.isRemoved && upstream->second.busy == 0) {
            m_upstreams.erase(upstream);
        }
    }
    if (succeeded) {
        const double serviceSeconds = base::toSeconds(now - grant.grantedAt);
        const bool isFirstSample = m_meanServiceSeconds == 0.0;
        m_meanServiceSeconds += (isFirstSample ? 1.0 : SERVICE_TIME_SMOOTHING)
                                * (serviceSeconds - m_meanServiceSeconds);
    }
    grantFreeSlots(now);
    runResumptions();
}

auto urgency_queue::grantFreeSlots(base::time_point now) -> void
{
    refuseUnservable(now);
    while (!m_waiting.empty()) {
        const auto next = std::min_element(
                m_waiting.begin(), m_waiting.end(),
                [&](const waiting_request &left, const waiting_request &right) {
                    return urgencyKeyOf(left.request, now) < urgencyKeyOf(right.request, now);
                });
        const auto upstream = leastLoadedUpstream(next->request, now);
        if (upstream == m_upstreams.end()) {
            return;
        }
        m_resumptions.push_back({std::move(next->resume), occupy(upstream, next->request, now)});
        m_waiting.erase(next);
    }
}

auto urgency_queue::refuseUnservable(base::time_point now) -> void
{
    const bool anyCanMeetTarget =
            std::any_of(m_waiting.begin(), m_waiting.end(),
                        [&](const auto &item) { return canMeetTarget(item.request, now); });
    for (auto item = m_waiting.begin(); item != m_waiting.end();) {
        const auto refusal = admissionError(item->request, now);
        const bool isOvertaken = anyCanMeetTarget && !canMeetTarget(item->request, now);
        if (!refusal && !isOvertaken && canMeetDeadline(item->request, now)) {
            ++item;
            continue;
        }
        const auto kind = refusal.value_or(base::error_kind::Overloaded);
        m_resumptions.push_back({std::move(item->resume), base::fail(kind)});
        item = m_waiting.erase(item);
    }
}

auto urgency_queue::runResumptions() -> void
{
    for (auto &item : std::exchange(m_resumptions, {})) {
        item.resume(std::move(item.value));
    }
}

auto urgency_queue::cancel(const base::attempt_id &attempt) -> bool
{
    const auto item =
            std::find_if(m_waiting.begin(), m_waiting.end(), [&](const waiting_request &waiting) {
                return waiting.request.attempt == attempt;
            });
    if (item == m_waiting.end()) {
        return false;
    }
    m_waiting.erase(item);
    return true;
}

auto urgency_queue::setUpstream(const base::upstream_id &upstream,
                                const upstream_admission &admission, base::time_point now) -> void
{
    auto &slots = m_upstreams[upstream];
    slots.admission = admission;
    slots.isRemoved = false;
    grantFreeSlots(now);
    runResumptions();
}

auto urgency_queue::removeUpstream(const base::upstream_id &upstream, base::time_point now) -> void
{
    const auto position = m_upstreams.find(upstream);
    if (position == m_upstreams.end()) {
        return;
    }
    position->second.isRemoved = true;
    if (position->second.busy == 0) {
        m_upstreams.erase(position);
    }
    grantFreeSlots(now);
    runResumptions();
}

auto urgency_queue::expire(base::time_point now) -> void
{
    // A waiting request that left the last slot free may have become urgent.
    grantFreeSlots(now);
    runResumptions();
}

auto urgency_queue::refuseWaiting(base::error_kind reason) -> void
{
    for (auto &item : std::exchange(m_waiting, {})) {
        m_resumptions.push_back({std::move(item.resume), base::fail(reason)});
    }
    runResumptions();
}

auto urgency_queue::load() const -> service_load
{
    std::uint32_t busy = 0;
    for (const auto &[id, upstream] : m_upstreams) {
        busy += upstream.busy;
    }
    return {usableSlots(), busy, static_cast<std::uint32_t>(m_waiting.size()),
            base::fromSeconds(m_meanServiceSeconds)};
}

} // namespace hawthornpick::policy
