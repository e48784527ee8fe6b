#include "policy/costqueue.h"

#include <algorithm>
#include <cmath>
#include <iterator>

namespace hawthornpick::policy {

namespace {

constexpr double SERVICE_TIME_SMOOTHING = 0.05;
//! Share of the expected service time that must be left before the deadline: half of the requests
//! take less than about this share of the mean.
constexpr double MIN_REMAINING_SHARE = 0.6;
//! Work of a request of unknown service time while no mean is known.
constexpr base::milliseconds MIN_WORK{1};
constexpr base::milliseconds LOAD_TIME_CONSTANT{1000};
//! Share of the slots that less urgent ranks are assumed to get at least in estimates of waits.
constexpr double MIN_SHARE_LEFT = 0.25;
//! A wait for longer than this share of the time that a request has for it is too long.
constexpr double OVERDUE_SHARE = 0.5;
//! Time for which a refusal for lack of room counts as a sign of overload.
constexpr base::milliseconds REFUSAL_MEMORY{100};

auto scaled(base::duration span, double factor) -> base::duration
{
    return base::fromSeconds(base::toSeconds(span) * factor);
}

auto weightOf(const slot_request &request) -> std::uint32_t
{
    return std::max(1U, request.weight);
}

auto latestStart(const slot_request &request, base::time_point end) -> base::time_point
{
    return end - scaled(request.expectedServiceTime, MIN_REMAINING_SHARE);
}

auto startForDeadline(const slot_request &request) -> base::time_point
{
    return latestStart(request, request.deadline);
}

auto startForTarget(const slot_request &request) -> base::time_point
{
    return latestStart(request, std::min(request.target, request.deadline));
}

auto shareLeft(double utilisation) -> double
{
    return std::max(MIN_SHARE_LEFT, 1.0 - utilisation);
}

} // namespace

auto cost_queue::acquire(const slot_request &request, base::time_point now,
                         slot_resume_function resume) -> base::result<std::optional<slot_grant>>
{
    settle(now);
    auto answer = decide(request, now, std::move(resume));
    updateLevel(now);
    runResumptions();
    return answer;
}

auto cost_queue::decide(const slot_request &request, base::time_point now,
                        slot_resume_function resume) -> base::result<std::optional<slot_grant>>
{
    if (const auto refusal = admissionError()) {
        return base::fail(*refusal);
    }
    if (request.deadline <= now) {
        return base::fail(base::error_kind::DeadlineBeforeStart);
    }
    recordArrival(request, now);
    // No request waits while a slot is free. A free slot serves any request: otherwise an expected
    // service time that is too long would never be corrected.
    if (const auto upstream = leastLoadedUpstream(); upstream != m_upstreams.end()) {
        m_ranks[request.priority].lastGrant = ++m_grantCount;
        return occupy(upstream, request, now);
    }
    if (request.priority > m_level.lowestRank()) {
        ++m_refusals.belowLevel;
        return base::fail(base::error_kind::Overloaded);
    }
    const auto key = keyOf(request, m_lastNumber + 1, now);
    const auto wait = expectedWait(request, key, now);
    if (wait > request.maxWait) {
        return base::fail(base::error_kind::QueueFull);
    }
    if (startForDeadline(request) < now + wait) {
        m_refusedAt = now;
        return base::fail(base::error_kind::Overloaded);
    }
    if (!makeRoomFor(request, now)) {
        return base::fail(base::error_kind::QueueFull);
    }
    enqueue(request, std::move(resume), key, now);
    return std::optional<slot_grant>();
}

auto cost_queue::admissionError() const -> std::optional<base::error_kind>
{
    if (m_isDraining) {
        return base::error_kind::UpstreamDraining;
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

auto cost_queue::leastLoadedUpstream() -> upstream_map::iterator
{
    auto best = m_upstreams.end();
    double bestUtilisation = 1.0;
    for (auto item = m_upstreams.begin(); item != m_upstreams.end(); ++item) {
        const auto &[admission, busy, isRemoved] = item->second;
        if (isRemoved || admission.draining || busy >= admission.usableSlots) {
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

auto cost_queue::occupy(upstream_map::iterator upstream, const slot_request &request,
                        base::time_point now) -> slot_grant
{
    ++upstream->second.busy;
    return {request.attempt, upstream->first, now};
}

auto cost_queue::usableSlots() const -> std::uint32_t
{
    std::uint32_t slots = 0;
    for (const auto &[id, upstream] : m_upstreams) {
        const bool isUsable = !upstream.isRemoved && !upstream.admission.draining && !m_isDraining;
        slots += isUsable ? upstream.admission.usableSlots : 0;
    }
    return slots;
}

auto cost_queue::workOf(const slot_request &request) const -> base::duration
{
    const auto work = request.expectedServiceTime.count() > 0
                              ? request.expectedServiceTime
                              : base::fromSeconds(m_meanServiceSeconds);
    return std::max<base::duration>(work, MIN_WORK);
}

auto cost_queue::keyOf(const slot_request &request, request_number number, base::time_point now)
        -> service_key
{
    const bool missesTarget = startForTarget(request) < now;
    return {missesTarget, missesTarget ? startForDeadline(request) : startForTarget(request),
            number};
}

// Assumes that all slots are busy: the first one becomes free after about the mean service time
// divided by the number of slots. More urgent ranks go on taking their share of the slots
// meanwhile, and from a request that misses its target the others of its rank do too.
auto cost_queue::expectedWait(const slot_request &request, const service_key &key,
                              base::time_point now) const -> base::duration
{
    base::duration workAhead{};
    double utilisationAhead = 0.0;
    for (const auto &[rank, queue] : m_ranks) {
        if (rank > request.priority) {
            break;
        }
        if (rank == request.priority) {
            workAhead += workAheadInRank(queue, request, key, workOf(request));
        } else {
            workAhead += queue.work;
        }
        if (rank < request.priority || key.missesTarget) {
            utilisationAhead += utilisationOf(queue, now);
        }
    }
    const double slots = std::max(1U, usableSlots());
    return base::fromSeconds(
            (m_meanServiceSeconds + base::toSeconds(workAhead) / shareLeft(utilisationAhead))
            / slots);
}

// While the organisation gets its part of the rank's slots, the others get theirs, but no more than
// they need.
auto cost_queue::workAheadInRank(const rank_queue &rank, const slot_request &request,
                                 const service_key &key, base::duration work) -> base::duration
{
    const double weight = weightOf(request);
    const auto own = rank.organisations.find(request.organisation);
    if (own == rank.organisations.end()) {
        const double others = static_cast<double>(rank.weights) / weight;
        return std::min(rank.work, scaled(work, others));
    }
    const auto &queue = own->second;
    const double otherWeights =
            static_cast<double>(rank.weights) - (queue.order.empty() ? 0.0 : queue.weight);
    const auto ownAhead = queue.order.workBefore(key);
    const double ownPart =
            base::toSeconds(ownAhead + work) / weight + std::max(0.0, queue.pass - rank.pass);
    const auto othersAhead =
            std::min(rank.work - queue.order.work(), base::fromSeconds(ownPart * otherWeights));
    return ownAhead + othersAhead;
}

auto cost_queue::utilisationOf(const rank_queue &rank, base::time_point now) const -> double
{
    const double timeConstant = base::toSeconds(LOAD_TIME_CONSTANT);
    const double decay = std::exp(-base::toSeconds(now - rank.arrivedWorkAt) / timeConstant);
    return rank.arrivedWork * decay / timeConstant / std::max(1U, usableSlots());
}

auto cost_queue::recordArrival(const slot_request &request, base::time_point now) -> void
{
    m_level.onArrival(request.priority, now);
    auto &rank = m_ranks[request.priority];
    const double decay = std::exp(-base::toSeconds(now - rank.arrivedWorkAt)
                                  / base::toSeconds(LOAD_TIME_CONSTANT));
    rank.arrivedWork = rank.arrivedWork * decay + base::toSeconds(workOf(request));
    rank.arrivedWorkAt = now;
}

// Refuses a waiting request if the queue is full; returns false if the new request is the one whose
// refusal costs least.
auto cost_queue::makeRoomFor(const slot_request &request, base::time_point now) -> bool
{
    if (m_waiting.size() < static_cast<std::size_t>(usableSlots()) * m_queuePerSlot) {
        return true;
    }
    m_refusedAt = now;
    const auto lowest = std::find_if(m_ranks.rbegin(), m_ranks.rend(),
                                     [](const auto &item) { return !item.second.byPass.empty(); });
    if (lowest == m_ranks.rend() || lowest->first < request.priority) {
        return false;
    }
    auto &rank = lowest->second;
    const auto &[largestBacklog, largest] = *rank.byBacklog.rbegin();
    auto victim = *rank.organisations.at(largest).byRefusal.begin();
    if (lowest->first == request.priority) {
        const auto own = rank.organisations.find(request.organisation);
        const auto ownWork =
                own == rank.organisations.end() ? base::duration{} : own->second.order.work();
        const double ownBacklog = base::toSeconds(ownWork + workOf(request)) / weightOf(request);
        if (ownBacklog >= largestBacklog) {
            const refusal_key ownKey{-workOf(request), request.deadline, m_lastNumber + 1};
            const bool isFirst = own == rank.organisations.end() || own->second.byRefusal.empty()
                                 || ownKey < *own->second.byRefusal.begin();
            if (isFirst) {
                return false;
            }
            victim = *own->second.byRefusal.begin();
        }
    }
    refuse(victim.number, base::error_kind::QueueFull, now);
    return true;
}

auto cost_queue::enqueue(const slot_request &request, slot_resume_function resume,
                         const service_key &key, base::time_point now) -> void
{
    m_lastNumber = key.number;
    const auto end =
            startForTarget(request) < now ? startForDeadline(request) : startForTarget(request);
    const auto overdueAt =
            now + std::min<base::duration>(scaled(end - now, OVERDUE_SHARE), std::chrono::hours(1));
    const auto &item =
            m_waiting
                    .emplace(key.number, waiting_request{request, std::move(resume), key,
                                                         workOf(request), overdueAt, m_grantCount})
                    .first->second;
    m_numbers[request.attempt] = key.number;
    m_overdueTimes.emplace(overdueAt, key.number);
    m_ranks[request.priority].byLatestStart.emplace(startForDeadline(request), key.number);
    link(item);
}

auto cost_queue::link(const waiting_request &item) -> void
{
    auto &rank = m_ranks[item.request.priority];
    const auto &id = item.request.organisation;
    auto &queue = rank.organisations[id];
    if (queue.order.empty()) {
        rank.idleByPass.erase({queue.pass, id});
        queue.pass = std::max(queue.pass, rank.pass);
        queue.weight = weightOf(item.request);
        rank.byPass.emplace(queue.pass, id);
        rank.weights += queue.weight;
    } else {
        rank.byBacklog.erase({base::toSeconds(queue.order.work()) / queue.weight, id});
    }
    queue.order.insert(item.key, item.work);
    queue.byRefusal.insert({-item.work, item.request.deadline, item.key.number});
    rank.byBacklog.emplace(base::toSeconds(queue.order.work()) / queue.weight, id);
    rank.work += item.work;
    if (!item.key.missesTarget) {
        m_targetTimes.emplace(item.key.latestStart, item.key.number);
    }
}

auto cost_queue::unlink(const waiting_request &item) -> void
{
    auto &rank = m_ranks.at(item.request.priority);
    const auto &id = item.request.organisation;
    auto &queue = rank.organisations.at(id);
    rank.byBacklog.erase({base::toSeconds(queue.order.work()) / queue.weight, id});
    queue.order.erase(item.key);
    queue.byRefusal.erase({-item.work, item.request.deadline, item.key.number});
    rank.work -= item.work;
    if (!item.key.missesTarget) {
        m_targetTimes.erase({item.key.latestStart, item.key.number});
    }
    if (!queue.order.empty()) {
        rank.byBacklog.emplace(base::toSeconds(queue.order.work()) / queue.weight, id);
        return;
    }
    rank.byPass.erase({queue.pass, id});
    rank.idleByPass.emplace(queue.pass, id);
    rank.weights -= queue.weight;
}

auto cost_queue::take(request_number number) -> waiting_request
{
    auto item = std::move(m_waiting.extract(number).mapped());
    unlink(item);
    m_numbers.erase(item.request.attempt);
    m_overdueTimes.erase({item.overdueAt, number});
    m_ranks.at(item.request.priority).byLatestStart.erase({startForDeadline(item.request), number});
    return item;
}

auto cost_queue::refuse(request_number number, base::error_kind kind, base::time_point now) -> void
{
    auto item = take(number);
    const auto lessUrgent = m_ranks.upper_bound(item.request.priority);
    const bool isInversion = std::any_of(lessUrgent, m_ranks.end(), [&](const auto &rank) {
        return rank.second.lastGrant > item.grantsBefore;
    });
    m_refusals.inversions += isInversion ? 1 : 0;
    m_refusedAt = now;
    m_resumptions.push_back({std::move(item.resume), base::fail(kind)});
    forgetIdleOrganisations(m_ranks.at(item.request.priority));
}

auto cost_queue::forgetIdleOrganisations(rank_queue &rank) -> void
{
    while (!rank.idleByPass.empty() && rank.idleByPass.begin()->first <= rank.pass) {
        rank.organisations.erase(rank.idleByPass.begin()->second);
        rank.idleByPass.erase(rank.idleByPass.begin());
    }
}

auto cost_queue::release(const slot_grant &grant, bool succeeded, base::time_point now) -> void
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
    expire(now);
}

auto cost_queue::settle(base::time_point now) -> void
{
    if (const auto refusal = admissionError()) {
        refuseAll(*refusal, now);
        return;
    }
    moveMissedTargets(now);
    refuseUnservable(now);
    grantFreeSlots(now);
}

auto cost_queue::refuseAll(base::error_kind kind, base::time_point now) -> void
{
    while (!m_waiting.empty()) {
        refuse(m_waiting.begin()->first, kind, now);
    }
}

auto cost_queue::refuseWaiting(base::error_kind reason) -> void
{
    while (!m_waiting.empty()) {
        auto item = take(m_waiting.begin()->first);
        m_resumptions.push_back({std::move(item.resume), base::fail(reason)});
    }
    runResumptions();
}

// The other requests of the organisation overtake one that misses its target. It goes on waiting
// only if it is expected to meet its deadline behind them.
auto cost_queue::moveMissedTargets(base::time_point now) -> void
{
    while (!m_targetTimes.empty() && m_targetTimes.begin()->first < now) {
        auto &item = m_waiting.at(m_targetTimes.begin()->second);
        unlink(item);
        item.key = keyOf(item.request, item.key.number, now);
        link(item);
        const auto wait = expectedWait(item.request, item.key, now);
        if (startForDeadline(item.request) < now + wait) {
            refuse(item.key.number, base::error_kind::Overloaded, now);
        }
    }
}

auto cost_queue::refuseUnservable(base::time_point now) -> void
{
    const double slots = std::max(1U, usableSlots());
    base::duration workAhead{};
    double utilisationAhead = 0.0;
    for (auto &[priority, rank] : m_ranks) {
        const auto wait =
                base::fromSeconds(base::toSeconds(workAhead) / shareLeft(utilisationAhead) / slots);
        while (!rank.byLatestStart.empty() && rank.byLatestStart.begin()->first < now + wait) {
            refuse(rank.byLatestStart.begin()->second, base::error_kind::Overloaded, now);
        }
        workAhead += rank.work;
        utilisationAhead += utilisationOf(rank, now);
    }
}

auto cost_queue::grantFreeSlots(base::time_point now) -> void
{
    while (!m_waiting.empty()) {
        const auto upstream = leastLoadedUpstream();
        if (upstream == m_upstreams.end()) {
            return;
        }
        const auto rank = std::find_if(m_ranks.begin(), m_ranks.end(), [](const auto &item) {
            return !item.second.byPass.empty();
        });
        grantNext(upstream, rank, now);
    }
}

auto cost_queue::grantNext(upstream_map::iterator upstream, rank_map::iterator rank,
                           base::time_point now) -> void
{
    auto &queues = rank->second;
    const auto [pass, id] = *queues.byPass.begin();
    auto &queue = queues.organisations.at(id);
    auto item = take(queue.order.first().number);
    auto &order = queue.order.empty() ? queues.idleByPass : queues.byPass;
    order.erase({pass, id});
    queue.pass = pass + base::toSeconds(item.work) / queue.weight;
    order.emplace(queue.pass, id);
    queues.pass = pass;
    forgetIdleOrganisations(queues);
    queues.lastGrant = ++m_grantCount;
    m_resumptions.push_back({std::move(item.resume), occupy(upstream, item.request, now)});
}

auto cost_queue::updateLevel(base::time_point now) -> void
{
    const bool isOverdue =
            (!m_overdueTimes.empty() && m_overdueTimes.begin()->first <= now)
            || (!m_waiting.empty() && m_refusedAt && now < *m_refusedAt + REFUSAL_MEMORY);
    if (!admissionError() && leastLoadedUpstream() != m_upstreams.end()) {
        m_level.update(slot_use::Room, now);
    } else {
        m_level.update(isOverdue ? slot_use::Overdue : slot_use::Busy, now);
    }
}

auto cost_queue::runResumptions() -> void
{
    for (auto &item : std::exchange(m_resumptions, {})) {
        item.resume(std::move(item.value));
    }
}

auto cost_queue::cancel(const base::attempt_id &attempt) -> bool
{
    const auto number = m_numbers.find(attempt);
    if (number == m_numbers.end()) {
        return false;
    }
    const auto item = take(number->second);
    forgetIdleOrganisations(m_ranks.at(item.request.priority));
    return true;
}

auto cost_queue::setUpstream(const base::upstream_id &upstream, const upstream_admission &admission,
                             base::time_point now) -> void
{
    auto &slots = m_upstreams[upstream];
    slots.admission = admission;
    slots.isRemoved = false;
    expire(now);
}

auto cost_queue::removeUpstream(const base::upstream_id &upstream, base::time_point now) -> void
{
    const auto position = m_upstreams.find(upstream);
    if (position == m_upstreams.end()) {
        return;
    }
    position->second.isRemoved = true;
    if (position->second.busy == 0) {
        m_upstreams.erase(position);
    }
    expire(now);
}

auto cost_queue::expire(base::time_point now) -> void
{
    settle(now);
    updateLevel(now);
    runResumptions();
}

auto cost_queue::load() const -> service_load
{
    service_load out;
    out.usableSlots = usableSlots();
    for (const auto &[id, upstream] : m_upstreams) {
        out.busySlots += upstream.busy;
    }
    out.waiting = static_cast<std::uint32_t>(m_waiting.size());
    out.meanServiceTime = base::fromSeconds(m_meanServiceSeconds);
    out.lowestRank = m_level.lowestRank();
    return out;
}

} // namespace hawthornpick::policy
