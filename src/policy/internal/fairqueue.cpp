#include "policy/fairqueue.h"

#include <algorithm>

namespace hawthornpick::policy {

namespace {

//! Weight of a new sample in the mean service time.
constexpr double SERVICE_TIME_SMOOTHING = 0.05;

} // namespace

fair_queue::fair_queue(std::uint32_t queuePerSlot) : m_queuePerSlot(queuePerSlot) {}

auto fair_queue::acquire(const slot_request &request, base::time_point now, resume_function resume)
        -> base::result<std::optional<slot_grant>>
{
    resumption_list resumed;
    const auto answer = [&]() -> base::result<std::optional<slot_grant>> {
        const std::lock_guard lock(m_mutex);
        if (const auto refusal = admissionError(request, now)) {
            return base::fail(*refusal);
        }
        const auto upstream = leastLoadedUpstream(request.idempotent, now);
        if (m_waiting == 0 && upstream != m_upstreams.end()) {
            return occupy(upstream, request.attempt, now);
        }
        if (now + expectedWait(request) + base::fromSeconds(m_meanServiceSeconds)
            > request.deadline) {
            return base::fail(base::error_kind::DeadlineBeforeStart);
        }
        if (m_waiting >= queueCapacity() && !evictFromLongestQueue(request, resumed)) {
            return base::fail(base::error_kind::QueueFull);
        }
        enqueue(request, std::move(resume));
        return std::optional<slot_grant>();
    }();
    runResumptions(resumed);
    return answer;
}

auto fair_queue::release(const slot_grant &grant, bool succeeded, base::time_point now) -> void
{
    resumption_list resumed;
    {
        const std::lock_guard lock(m_mutex);
        const auto upstream = m_upstreams.find(grant.upstream);
        if (upstream != m_upstreams.end() && upstream->second.busy > 0) {
            --upstream->second.busy;
            --m_busySlots;
        }
        if (upstream != m_upstreams.end() && upstream->second.isRemoved
            && upstream->second.busy == 0) {
            m_upstreams.erase(upstream);
        }
        if (succeeded) {
            const double serviceSeconds = base::toSeconds(now - grant.grantedAt);
            const bool isFirstSample = m_meanServiceSeconds == 0.0;
            m_meanServiceSeconds += (isFirstSample ? 1.0 : SERVICE_TIME_SMOOTHING)
                                    * (serviceSeconds - m_meanServiceSeconds);
        }
        grantFreeSlots(now, resumed);
    }
    runResumptions(resumed);
}

auto fair_queue::cancel(const base::attempt_id &attempt) -> bool
{
    const std::lock_guard lock(m_mutex);
    for (auto &[organisation, queue] : m_queues) {
        const auto position = std::find_if(
                queue.requests.begin(), queue.requests.end(),
                [&](const waiting_request &item) { return item.request.attempt == attempt; });
        if (position != queue.requests.end()) {
            queue.requests.erase(position);
            --m_waiting;
            removeEmptyQueues();
            return true;
        }
    }
    return false;
}

auto fair_queue::setUpstream(const base::upstream_id &upstream, const upstream_admission &admission,
                             base::time_point now) -> void
{
    resumption_list resumed;
    {
        const std::lock_guard lock(m_mutex);
        auto &slots = m_upstreams[upstream];
        slots.admission = admission;
        slots.isRemoved = false;
        grantFreeSlots(now, resumed);
        refuseAllIfUnavailable(resumed);
    }
    runResumptions(resumed);
}

auto fair_queue::removeUpstream(const base::upstream_id &upstream, base::time_point now) -> void
{
    resumption_list resumed;
    {
        const std::lock_guard lock(m_mutex);
        const auto position = m_upstreams.find(upstream);
        if (position == m_upstreams.end()) {
            return;
        }
        position->second.isRemoved = true;
        if (position->second.busy == 0) {
            m_upstreams.erase(position);
        }
        grantFreeSlots(now, resumed);
        refuseAllIfUnavailable(resumed);
    }
    runResumptions(resumed);
}

auto fair_queue::setQueuePerSlot(std::uint32_t queuePerSlot) -> void
{
    const std::lock_guard lock(m_mutex);
    m_queuePerSlot = queuePerSlot;
}

auto fair_queue::drain() -> void
{
    const std::lock_guard lock(m_mutex);
    m_isDraining = true;
}

auto fair_queue::refuseWaiting(base::error_kind reason) -> void
{
    resumption_list resumed;
    {
        const std::lock_guard lock(m_mutex);
        refuseAll(reason, resumed);
    }
    runResumptions(resumed);
}

auto fair_queue::expire(base::time_point now) -> void
{
    resumption_list resumed;
    {
        const std::lock_guard lock(m_mutex);
        for (auto &[organisation, queue] : m_queues) {
            refuseLateRequests(queue, now, resumed);
        }
        removeEmptyQueues();
    }
    runResumptions(resumed);
}

auto fair_queue::load() const -> service_load
{
    const std::lock_guard lock(m_mutex);
    std::uint32_t busy = 0;
    for (const auto &[id, upstream] : m_upstreams) {
        busy += upstream.admission.usableSlots > 0 ? upstream.busy : 0;
    }
    return {usableSlots(), busy, static_cast<std::uint32_t>(m_waiting),
            base::fromSeconds(m_meanServiceSeconds)};
}

auto fair_queue::idle() const -> bool
{
    const std::lock_guard lock(m_mutex);
    return m_waiting == 0 && m_busySlots == 0;
}

auto fair_queue::admissionError(const slot_request &request, base::time_point now) const
        -> std::optional<base::error_kind>
{
    if (m_isDraining) {
        return base::error_kind::UpstreamDraining;
    }
    if (request.deadline <= now) {
        return base::error_kind::DeadlineBeforeStart;
    }
    const bool isRunnable =
            std::any_of(m_upstreams.begin(), m_upstreams.end(), [&](const auto &item) {
                const auto &[admission, busy, isRemoved, nextProbeAt] = item.second;
                return !isRemoved && !admission.draining && admission.usableSlots > 0
                       && (request.idempotent || !admission.probation);
            });
    if (isRunnable) {
        return std::nullopt;
    }
    return unavailabilityError().value_or(base::error_kind::UpstreamEjected);
}

// Returns the usable upstream with the smallest share of occupied slots, or the end.
auto fair_queue::leastLoadedUpstream(bool idempotent, base::time_point now)
        -> upstream_map::iterator
{
    auto best = m_upstreams.end();
    double bestUtilisation = 1.0;
    for (auto item = m_upstreams.begin(); item != m_upstreams.end(); ++item) {
        const auto &[admission, busy, isRemoved, nextProbeAt] = item->second;
        const bool isProbeAllowed = idempotent && nextProbeAt <= now;
        if (isRemoved || admission.draining || (admission.probation && !isProbeAllowed)
            || busy >= admission.usableSlots) {
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

// A request waits for its organisation's earlier requests and for the turns of the other
// organisations in between, but never for more than all requests that wait.
auto fair_queue::expectedWait(const slot_request &request) const -> base::duration
{
    const auto slots = usableSlots();
    if (slots == 0) {
        return {};
    }
    double totalWeight = 0.0;
    double ownRequestsAhead = 0.0;
    for (const auto &[organisation, queue] : m_queues) {
        totalWeight += queue.weight;
        if (organisation == request.organisation) {
            ownRequestsAhead = static_cast<double>(queue.requests.size());
        }
    }
    const double ownWeight = std::max(request.weight, 1U);
    const double requestsAhead = ownRequestsAhead * std::max(totalWeight, ownWeight) / ownWeight;
    const double waitPosition = std::min(requestsAhead, static_cast<double>(m_waiting));
    return base::fromSeconds((waitPosition + 1.0) / slots * m_meanServiceSeconds);
}

auto fair_queue::queueCapacity() const -> std::size_t
{
    std::size_t slots = 0;
    for (const auto &[id, upstream] : m_upstreams) {
        const bool isUsable = !upstream.isRemoved && !upstream.admission.draining
                              && !upstream.admission.probation;
        slots += isUsable ? upstream.admission.usableSlots : 0;
    }
    return slots * m_queuePerSlot;
}

auto fair_queue::usableSlots() const -> std::uint32_t
{
    std::uint32_t slots = 0;
    for (const auto &[id, upstream] : m_upstreams) {
        const bool isUsable = !upstream.isRemoved && !upstream.admission.draining
                              && !upstream.admission.probation && !m_isDraining;
        slots += isUsable ? upstream.admission.usableSlots : 0;
    }
    return slots;
}

auto fair_queue::unavailabilityError() const -> std::optional<base::error_kind>
{
    bool anyUpstream = false;
    bool anyEjected = false;
    for (const auto &[id, upstream] : m_upstreams) {
        if (upstream.isRemoved) {
            continue;
        }
        if (!upstream.admission.draining && upstream.admission.usableSlots > 0) {
            return std::nullopt;
        }
        anyUpstream = true;
        anyEjected = anyEjected || !upstream.admission.draining;
    }
    if (!anyUpstream) {
        return base::error_kind::NoUpstream;
    }
    return anyEjected ? base::error_kind::UpstreamEjected : base::error_kind::UpstreamDraining;
}

auto fair_queue::occupy(upstream_map::iterator upstream, const base::attempt_id &attempt,
                        base::time_point now) -> slot_grant
{
    ++upstream->second.busy;
    ++m_busySlots;
    upstream->second.nextProbeAt = now + PROBE_INTERVAL;
    return {attempt, upstream->first, now};
}

auto fair_queue::enqueue(const slot_request &request, resume_function resume) -> void
{
    auto &queue = m_queues[request.organisation];
    if (queue.requests.empty()) {
        m_roundRobin.push_back(request.organisation);
        queue.deficit = 0;
    }
    queue.weight = std::max(request.weight, 1U);
    queue.requests.push_back({request, std::move(resume)});
    ++m_waiting;
}

auto fair_queue::evictFromLongestQueue(const slot_request &request, resumption_list &resumed)
        -> bool
{
    const auto relativeLength = [](const organisation_queue &queue) {
        return static_cast<double>(queue.requests.size()) / queue.weight;
    };
    const auto longest = std::max_element(
            m_queues.begin(), m_queues.end(), [&](const auto &left, const auto &right) {
                return relativeLength(left.second) < relativeLength(right.second);
            });
    if (longest == m_queues.end() || longest->first == request.organisation) {
        return false;
    }
    const auto own = m_queues.find(request.organisation);
    const double ownRequests = own == m_queues.end() ? 0 : own->second.requests.size();
    if ((ownRequests + 1) / std::max(request.weight, 1U) >= relativeLength(longest->second)) {
        return false;
    }
    auto &longestRequests = longest->second.requests;
    resumed.push_back(
            {std::move(longestRequests.back().resume), base::fail(base::error_kind::QueueFull)});
    longestRequests.pop_back();
    --m_waiting;
    removeEmptyQueues();
    return true;
}

auto fair_queue::grantFreeSlots(base::time_point now, resumption_list &resumed) -> void
{
    while (m_waiting > 0 && grantNextSlot(now, resumed)) {
    }
    removeEmptyQueues();
}

// Serves the organisation at the front of the round-robin order until its deficit is used up. An
// organisation whose requests may not use the free slots moves to the back.
auto fair_queue::grantNextSlot(base::time_point now, resumption_list &resumed) -> bool
{
    // Without this check a call while no slot is free would reset the deficits, and weights would
    // have no effect.
    if (leastLoadedUpstream(true, now) == m_upstreams.end()) {
        return false;
    }
    for (std::size_t visits = 0; visits < m_roundRobin.size(); ++visits) {
        const auto organisation = m_roundRobin.front();
        auto &queue = m_queues.at(organisation);
        auto next = dequeueRunnable(queue, now, resumed);
        if (next) {
            queue.deficit = queue.deficit == 0 ? queue.weight : queue.deficit;
            --queue.deficit;
            if (queue.deficit == 0) {
                m_roundRobin.pop_front();
                m_roundRobin.push_back(organisation);
            }
            resumed.push_back({std::move(next->first.resume),
                               occupy(next->second, next->first.request.attempt, now)});
            return true;
        }
        queue.deficit = 0;
        m_roundRobin.pop_front();
        m_roundRobin.push_back(organisation);
    }
    return false;
}

auto fair_queue::dequeueRunnable(organisation_queue &queue, base::time_point now,
                                 resumption_list &resumed)
        -> std::optional<std::pair<waiting_request, upstream_map::iterator>>
{
    refuseLateRequests(queue, now, resumed);
    for (auto item = queue.requests.begin(); item != queue.requests.end(); ++item) {
        const auto upstream = leastLoadedUpstream(item->request.idempotent, now);
        if (upstream != m_upstreams.end()) {
            auto next = std::pair(std::move(*item), upstream);
            queue.requests.erase(item);
            --m_waiting;
            return next;
        }
    }
    return std::nullopt;
}

auto fair_queue::refuseAllIfUnavailable(resumption_list &resumed) -> void
{
    const auto error = unavailabilityError();
    if (error) {
        refuseAll(*error, resumed);
    }
}

auto fair_queue::refuseAll(base::error_kind reason, resumption_list &resumed) -> void
{
    for (auto &[organisation, queue] : m_queues) {
        for (auto &item : queue.requests) {
            resumed.push_back({std::move(item.resume), base::fail(reason)});
        }
        queue.requests.clear();
    }
    m_waiting = 0;
    removeEmptyQueues();
}

auto fair_queue::refuseLateRequests(organisation_queue &queue, base::time_point now,
                                    resumption_list &resumed) -> void
{
    for (auto item = queue.requests.begin(); item != queue.requests.end();) {
        if (!cannotMeetDeadline(item->request, now)) {
            ++item;
            continue;
        }
        resumed.push_back(
                {std::move(item->resume), base::fail(base::error_kind::DeadlineBeforeStart)});
        item = queue.requests.erase(item);
        --m_waiting;
    }
}

auto fair_queue::removeEmptyQueues() -> void
{
    std::erase_if(m_queues, [](const auto &item) { return item.second.requests.empty(); });
    std::erase_if(m_roundRobin, [&](const auto &id) { return !m_queues.contains(id); });
}

auto fair_queue::cannotMeetDeadline(const slot_request &request, base::time_point now) const -> bool
{
    return now + base::fromSeconds(m_meanServiceSeconds) > request.deadline;
}

auto fair_queue::runResumptions(resumption_list &resumed) -> void
{
    for (auto &item : resumed) {
        item.resume(std::move(item.value));
    }
}

} // namespace hawthornpick::policy
