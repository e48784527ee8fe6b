#include "policy/fairqueue.h"

#include <algorithm>

namespace hawthornpick::policy {

namespace {

//! Weight of one new sample in the mean service time.
constexpr double SERVICE_TIME_SMOOTHING = 0.05;

} // namespace

fair_queue::fair_queue(std::uint32_t queuePerSlot) : m_queuePerSlot(queuePerSlot) {}

auto fair_queue::enter(const slot_request &request, base::time_point now, resume_function resume)
        -> base::result<std::optional<slot_grant>>
{
    resumptions resumed;
    const auto answer = [&]() -> base::result<std::optional<slot_grant>> {
        const std::lock_guard lock(m_mutex);
        if (const auto refusal = refusalOf(request, now)) {
            return base::fail(*refusal);
        }
        const auto upstream = freeUpstream(request.idempotent, now);
        if (m_waiting == 0 && upstream != m_upstreams.end()) {
            return occupy(upstream, request.attempt, now);
        }
        if (now + expectedWait(request) + base::fromSeconds(m_meanServiceSeconds)
            > request.deadline) {
            return base::fail(base::error_kind::DeadlineBeforeStart);
        }
        if (m_waiting >= capacity() && !makeRoom(request, resumed)) {
            return base::fail(base::error_kind::QueueFull);
        }
        append(request, std::move(resume));
        return std::optional<slot_grant>();
    }();
    resumeAll(resumed);
    return answer;
}

auto fair_queue::release(const slot_grant &grant, bool succeeded, base::time_point now) -> void
{
    resumptions resumed;
    {
        const std::lock_guard lock(m_mutex);
        const auto upstream = m_upstreams.find(grant.upstream);
        if (upstream != m_upstreams.end() && upstream->second.busy > 0) {
            --upstream->second.busy;
            --m_busy;
        }
        if (upstream != m_upstreams.end() && upstream->second.removed
            && upstream->second.busy == 0) {
            m_upstreams.erase(upstream);
        }
        if (succeeded) {
            const double sample = base::toSeconds(now - grant.since);
            const bool first = m_meanServiceSeconds == 0.0;
            m_meanServiceSeconds +=
                    (first ? 1.0 : SERVICE_TIME_SMOOTHING) * (sample - m_meanServiceSeconds);
        }
        startWaiting(now, resumed);
    }
    resumeAll(resumed);
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
    resumptions resumed;
    {
        const std::lock_guard lock(m_mutex);
        auto &slots = m_upstreams[upstream];
        slots.admission = admission;
        slots.removed = false;
        startWaiting(now, resumed);
        refuseIfUnusable(resumed);
    }
    resumeAll(resumed);
}

auto fair_queue::removeUpstream(const base::upstream_id &upstream, base::time_point now) -> void
{
    resumptions resumed;
    {
        const std::lock_guard lock(m_mutex);
        const auto position = m_upstreams.find(upstream);
        if (position == m_upstreams.end()) {
            return;
        }
        position->second.removed = true;
        if (position->second.busy == 0) {
            m_upstreams.erase(position);
        }
        startWaiting(now, resumed);
        refuseIfUnusable(resumed);
    }
    resumeAll(resumed);
}

auto fair_queue::setQueuePerSlot(std::uint32_t queuePerSlot) -> void
{
    const std::lock_guard lock(m_mutex);
    m_queuePerSlot = queuePerSlot;
}

auto fair_queue::drain() -> void
{
    const std::lock_guard lock(m_mutex);
    m_draining = true;
}

auto fair_queue::expire(base::time_point now) -> void
{
    resumptions resumed;
    {
        const std::lock_guard lock(m_mutex);
        for (auto &[organisation, queue] : m_queues) {
            dropLate(queue, now, resumed);
        }
        removeEmptyQueues();
    }
    resumeAll(resumed);
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
    return m_waiting == 0 && m_busy == 0;
}

auto fair_queue::refusalOf(const slot_request &request, base::time_point now) const
        -> std::optional<base::error_kind>
{
    if (m_draining) {
        return base::error_kind::UpstreamDraining;
    }
    if (request.deadline <= now) {
        return base::error_kind::DeadlineBeforeStart;
    }
    const bool runnable =
            std::any_of(m_upstreams.begin(), m_upstreams.end(), [&](const auto &item) {
                const auto &[admission, busy, removed, nextProbe] = item.second;
                return !removed && !admission.draining && admission.usableSlots > 0
                       && (request.idempotent || !admission.probation);
            });
    if (runnable) {
        return std::nullopt;
    }
    return emptyQueueError().value_or(base::error_kind::UpstreamEjected);
}

// Chooses the upstream with the smallest share of occupied slots.
auto fair_queue::freeUpstream(bool idempotent, base::time_point now) -> upstream_map::iterator
{
    auto best = m_upstreams.end();
    double bestShare = 1.0;
    for (auto item = m_upstreams.begin(); item != m_upstreams.end(); ++item) {
        const auto &[admission, busy, removed, nextProbe] = item->second;
        const bool probeAllowed = idempotent && nextProbe <= now;
        if (removed || admission.draining || (admission.probation && !probeAllowed)
            || busy >= admission.usableSlots) {
            continue;
        }
        const double share = static_cast<double>(busy) / admission.usableSlots;
        if (best == m_upstreams.end() || share < bestShare) {
            best = item;
            bestShare = share;
        }
    }
    return best;
}

// An organisation waits for its own requests and for the others' turns in between, but never for
// more than all requests before it.
auto fair_queue::expectedWait(const slot_request &request) const -> base::duration
{
    const auto slots = usableSlots();
    if (slots == 0) {
        return {};
    }
    double weights = 0.0;
    double ahead = 0.0;
    for (const auto &[organisation, queue] : m_queues) {
        weights += queue.weight;
        if (organisation == request.organisation) {
            ahead = static_cast<double>(queue.requests.size());
        }
    }
    const double own = std::max(request.weight, 1U);
    const double turns = ahead * std::max(weights, own) / own;
    const double before = std::min(turns, static_cast<double>(m_waiting));
    return base::fromSeconds((before + 1.0) / slots * m_meanServiceSeconds);
}

auto fair_queue::capacity() const -> std::size_t
{
    std::size_t slots = 0;
    for (const auto &[id, upstream] : m_upstreams) {
        const bool usable =
                !upstream.removed && !upstream.admission.draining && !upstream.admission.probation;
        slots += usable ? upstream.admission.usableSlots : 0;
    }
    return slots * m_queuePerSlot;
}

auto fair_queue::usableSlots() const -> std::uint32_t
{
    std::uint32_t slots = 0;
    for (const auto &[id, upstream] : m_upstreams) {
        const bool usable = !upstream.removed && !upstream.admission.draining
                            && !upstream.admission.probation && !m_draining;
        slots += usable ? upstream.admission.usableSlots : 0;
    }
    return slots;
}

auto fair_queue::emptyQueueError() const -> std::optional<base::error_kind>
{
    bool present = false;
    bool ejected = false;
    for (const auto &[id, upstream] : m_upstreams) {
        if (upstream.removed) {
            continue;
        }
        if (!upstream.admission.draining && upstream.admission.usableSlots > 0) {
            return std::nullopt;
        }
        present = true;
        ejected = ejected || !upstream.admission.draining;
    }
    if (!present) {
        return base::error_kind::NoUpstream;
    }
    return ejected ? base::error_kind::UpstreamEjected : base::error_kind::UpstreamDraining;
}

auto fair_queue::occupy(upstream_map::iterator upstream, const base::attempt_id &attempt,
                        base::time_point now) -> slot_grant
{
    ++upstream->second.busy;
    ++m_busy;
    upstream->second.nextProbe = now + PROBE_INTERVAL;
    return {attempt, upstream->first, now};
}

auto fair_queue::append(const slot_request &request, resume_function resume) -> void
{
    auto &queue = m_queues[request.organisation];
    if (queue.requests.empty()) {
        m_order.push_back(request.organisation);
        queue.deficit = 0;
    }
    queue.weight = std::max(request.weight, 1U);
    queue.requests.push_back({request, std::move(resume)});
    ++m_waiting;
}

auto fair_queue::makeRoom(const slot_request &request, resumptions &out) -> bool
{
    const auto share = [](const organisation_queue &queue) {
        return static_cast<double>(queue.requests.size()) / queue.weight;
    };
    const auto longest = std::max_element(m_queues.begin(), m_queues.end(),
                                          [&](const auto &left, const auto &right) {
                                              return share(left.second) < share(right.second);
                                          });
    if (longest == m_queues.end() || longest->first == request.organisation) {
        return false;
    }
    const auto own = m_queues.find(request.organisation);
    const double ownCount = own == m_queues.end() ? 0 : own->second.requests.size();
    if ((ownCount + 1) / std::max(request.weight, 1U) >= share(longest->second)) {
        return false;
    }
    auto &victims = longest->second.requests;
    out.push_back({std::move(victims.back().resume), base::fail(base::error_kind::QueueFull)});
    victims.pop_back();
    --m_waiting;
    removeEmptyQueues();
    return true;
}

auto fair_queue::startWaiting(base::time_point now, resumptions &out) -> void
{
    while (m_waiting > 0 && startOne(now, out)) {
    }
    removeEmptyQueues();
}

// Serves the organisation at the head of the round until its deficit is used up. An organisation
// whose requests may not use the free slots keeps its place.
auto fair_queue::startOne(base::time_point now, resumptions &out) -> bool
{
    // Without this check a visit while no slot is free would reset the deficits, and weights would
    // have no effect.
    if (freeUpstream(true, now) == m_upstreams.end()) {
        return false;
    }
    for (std::size_t visited = 0; visited < m_order.size(); ++visited) {
        const auto organisation = m_order.front();
        auto &queue = m_queues.at(organisation);
        auto taken = takeRunnable(queue, now, out);
        if (taken) {
            queue.deficit = queue.deficit == 0 ? queue.weight : queue.deficit;
            --queue.deficit;
            if (queue.deficit == 0) {
                m_order.pop_front();
                m_order.push_back(organisation);
            }
            out.push_back({std::move(taken->first.resume),
                           occupy(taken->second, taken->first.request.attempt, now)});
            return true;
        }
        queue.deficit = 0;
        m_order.pop_front();
        m_order.push_back(organisation);
    }
    return false;
}

auto fair_queue::takeRunnable(organisation_queue &queue, base::time_point now, resumptions &out)
        -> std::optional<std::pair<waiting_request, upstream_map::iterator>>
{
    dropLate(queue, now, out);
    for (auto item = queue.requests.begin(); item != queue.requests.end(); ++item) {
        const auto upstream = freeUpstream(item->request.idempotent, now);
        if (upstream != m_upstreams.end()) {
            auto taken = std::pair(std::move(*item), upstream);
            queue.requests.erase(item);
            --m_waiting;
            return taken;
        }
    }
    return std::nullopt;
}

auto fair_queue::refuseIfUnusable(resumptions &out) -> void
{
    const auto error = emptyQueueError();
    if (!error) {
        return;
    }
    for (auto &[organisation, queue] : m_queues) {
        for (auto &item : queue.requests) {
            out.push_back({std::move(item.resume), base::fail(*error)});
        }
        queue.requests.clear();
    }
    m_waiting = 0;
    removeEmptyQueues();
}

auto fair_queue::dropLate(organisation_queue &queue, base::time_point now, resumptions &out) -> void
{
    for (auto item = queue.requests.begin(); item != queue.requests.end();) {
        if (!cannotFinish(item->request, now)) {
            ++item;
            continue;
        }
        out.push_back({std::move(item->resume), base::fail(base::error_kind::DeadlineBeforeStart)});
        item = queue.requests.erase(item);
        --m_waiting;
    }
}

auto fair_queue::removeEmptyQueues() -> void
{
    std::erase_if(m_queues, [](const auto &item) { return item.second.requests.empty(); });
    std::erase_if(m_order, [&](const auto &id) { return !m_queues.contains(id); });
}

auto fair_queue::cannotFinish(const slot_request &request, base::time_point now) const -> bool
{
    return now + base::fromSeconds(m_meanServiceSeconds) > request.deadline;
}

auto fair_queue::resumeAll(resumptions &list) -> void
{
    for (auto &item : list) {
        item.resume(std::move(item.value));
    }
}

} // namespace hawthornpick::policy
