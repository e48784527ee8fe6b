#pragma once

#include "policy/admissionlevel.h"
#include "policy/slots.h"
#include "policy/worktree.h"

#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace hawthornpick::policy {

//! Counts of refusals since the start of a queue.
struct refusal_counts
{
    //! Requests of a rank below the admission level.
    std::uint64_t belowLevel = 0;
    //! Waiting requests that were refused after one of a less urgent rank, which arrived or waited
    //! at the same time, had been started.
    std::uint64_t inversions = 0;

    auto operator<=>(const refusal_counts &) const = default;
};

//! Slots and waiting requests of one service on one node, for callers of different rank and
//! organisation who compete for fewer slots than they need.
//!
//! The request whose refusal costs its caller most is served first: by rank, within a rank fairly
//! between organisations by weight and work, within an organisation by latest start. A request is
//! refused at once, as not run, if its expected wait exceeds its `maxWait` or makes it miss its
//! deadline, or if its rank is below the admission level. A waiting request is refused as soon as
//! the more urgent work ahead of it makes it miss its deadline. At a full queue the request of the
//! least urgent rank and the organisation with the largest backlog goes that has the most work and
//! the least time left. Every event takes logarithmic time in the number of waiting requests.
//! Thread safety of all members: one thread; resume functions are called at the end of the member
//! that caused the change.
class cost_queue
{
public:
    //! `queuePerSlot` requests may wait for each announced slot.
    explicit cost_queue(std::uint32_t queuePerSlot) : m_queuePerSlot(queuePerSlot) {}

    cost_queue(const cost_queue &) = delete;
    auto operator=(const cost_queue &) -> cost_queue & = delete;

    //! Returns a slot, or no value if the request starts to wait, or refuses with `QueueFull`,
    //! `Overloaded`, `UpstreamDraining`, `UpstreamEjected`, `NoUpstream` or `DeadlineBeforeStart`.
    //! Precondition: `request.attempt` is neither waiting nor running here.
    auto acquire(const slot_request &request, base::time_point now, slot_resume_function resume)
            -> base::result<std::optional<slot_grant>>;
    auto release(const slot_grant &grant, bool succeeded, base::time_point now) -> void;
    //! Removes a waiting request. Returns false if it isn't waiting.
    auto cancel(const base::attempt_id &attempt) -> bool;
    auto setUpstream(const base::upstream_id &upstream, const upstream_admission &admission,
                     base::time_point now) -> void;
    auto removeUpstream(const base::upstream_id &upstream, base::time_point now) -> void;
    auto setQueuePerSlot(std::uint32_t queuePerSlot) -> void { m_queuePerSlot = queuePerSlot; }
    auto drain() -> void { m_isDraining = true; }

    //! Refuses the waiting requests that can no longer meet their deadline. Has to be called about
    //! every 50 ms.
    auto expire(base::time_point now) -> void;
    //! Refuses all waiting requests; their resume functions get `reason`.
    auto refuseWaiting(base::error_kind reason) -> void;
    [[nodiscard]] auto load() const -> service_load;
    [[nodiscard]] auto refusals() const -> refusal_counts { return m_refusals; }

private:
    //! Number of a waiting request, in the order of arrival.
    using request_number = std::uint64_t;
    using numbered_time = std::pair<base::time_point, request_number>;
    using numbered_organisation = std::pair<double, base::organisation_id>;

    struct waiting_request
    {
        slot_request request;
        slot_resume_function resume;
        service_key key;
        base::duration work{};
        //! Time from which the request counts as waiting for too long.
        base::time_point overdueAt;
        std::uint64_t grantsBefore = 0;
    };
    //! Smallest first: the request that is refused first at a full queue.
    struct refusal_key
    {
        base::duration negativeWork{};
        base::time_point deadline;
        request_number number = 0;

        auto operator<=>(const refusal_key &) const = default;
    };
    struct organisation_queue
    {
        work_tree order;
        std::set<refusal_key> byRefusal;
        std::uint32_t weight = 1;
        //! Granted work divided by weight; the organisation with the lowest value is next.
        double pass = 0.0;
    };
    struct rank_queue
    {
        //! Those with waiting requests, and those that have used more than their part until now.
        std::unordered_map<base::organisation_id, organisation_queue> organisations;
        std::set<numbered_organisation> byPass;
        std::set<numbered_organisation> idleByPass;
        std::set<numbered_organisation> byBacklog;
        std::set<numbered_time> byLatestStart;
        base::duration work{};
        std::uint64_t weights = 0;
        //! Pass of the organisation that was served last.
        double pass = 0.0;
        //! Seconds of work that arrived, decayed with `LOAD_TIME_CONSTANT`.
        double arrivedWork = 0.0;
        base::time_point arrivedWorkAt{};
        //! Number of the last grant to this rank.
        std::uint64_t lastGrant = 0;
    };
    struct upstream_slots
    {
        upstream_admission admission;
        std::uint32_t busy = 0;
        bool isRemoved = false;
    };
    struct resumption
    {
        slot_resume_function resume;
        base::result<slot_grant> value;
    };
    using upstream_map = std::map<base::upstream_id, upstream_slots>;
    using rank_map = std::map<std::uint32_t, rank_queue>;

    auto decide(const slot_request &request, base::time_point now, slot_resume_function resume)
            -> base::result<std::optional<slot_grant>>;
    [[nodiscard]] auto admissionError() const -> std::optional<base::error_kind>;
    auto leastLoadedUpstream() -> upstream_map::iterator;
    auto occupy(upstream_map::iterator upstream, const slot_request &request, base::time_point now)
            -> slot_grant;
    [[nodiscard]] auto usableSlots() const -> std::uint32_t;
    [[nodiscard]] auto workOf(const slot_request &request) const -> base::duration;
    [[nodiscard]] static auto keyOf(const slot_request &request, request_number number,
                                    base::time_point now) -> service_key;
    [[nodiscard]] auto expectedWait(const slot_request &request, const service_key &key,
                                    base::time_point now) const -> base::duration;
    [[nodiscard]] static auto workAheadInRank(const rank_queue &rank, const slot_request &request,
                                              const service_key &key, base::duration work)
            -> base::duration;
    [[nodiscard]] auto utilisationOf(const rank_queue &rank, base::time_point now) const -> double;
    auto recordArrival(const slot_request &request, base::time_point now) -> void;

    auto makeRoomFor(const slot_request &request, base::time_point now) -> bool;
    auto enqueue(const slot_request &request, slot_resume_function resume, const service_key &key,
                 base::time_point now) -> void;
    //! Adds a waiting request to the orders of its organisation and rank, or removes it.
    auto link(const waiting_request &item) -> void;
    auto unlink(const waiting_request &item) -> void;
    auto take(request_number number) -> waiting_request;
    auto refuse(request_number number, base::error_kind kind, base::time_point now) -> void;
    static auto forgetIdleOrganisations(rank_queue &rank) -> void;

    auto settle(base::time_point now) -> void;
    auto refuseAll(base::error_kind kind, base::time_point now) -> void;
    auto moveMissedTargets(base::time_point now) -> void;
    auto refuseUnservable(base::time_point now) -> void;
    auto grantFreeSlots(base::time_point now) -> void;
    auto grantNext(upstream_map::iterator upstream, rank_map::iterator rank, base::time_point now)
            -> void;
    auto updateLevel(base::time_point now) -> void;
    auto runResumptions() -> void;

    std::uint32_t m_queuePerSlot;
    upstream_map m_upstreams;
    rank_map m_ranks;
    std::unordered_map<request_number, waiting_request> m_waiting;
    std::unordered_map<base::attempt_id, request_number> m_numbers;
    std::set<numbered_time> m_targetTimes;
    std::set<numbered_time> m_overdueTimes;
    std::vector<resumption> m_resumptions;
    admission_level m_level;
    refusal_counts m_refusals;
    request_number m_lastNumber = 0;
    std::uint64_t m_grantCount = 0;
    double m_meanServiceSeconds = 0.0;
    //! Time of the last refusal for lack of room.
    std::optional<base::time_point> m_refusedAt;
    bool m_isDraining = false;
};

} // namespace hawthornpick::policy
