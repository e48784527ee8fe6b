#pragma once

#include "policy/slots.h"

#include <list>
#include <map>
#include <optional>
#include <vector>

namespace hawthornpick::policy {

//! Slots and waiting requests of one service on one node, for a service whose requests differ in
//! service time and urgency and whose load exceeds its slots for seconds at a time.
//!
//! The request with the earliest start deadline, its target less its expected service time, is
//! served first: short calls with a tight target pass long reads that have slack. While another
//! waiting request can still meet its target, a request that can't is refused at once: under
//! overload it would be overtaken until its deadline, or would occupy a slot that a response on
//! time needs. If no such request waits, it waits for as long as it can meet its deadline. A
//! request whose expected wait exceeds its `maxWait` is refused at once too.
//! Thread safety of all members: one thread; resume functions are called at the end of the member
//! that caused the change.
class urgency_queue
{
public:
    //! A request with more slack than this, the time between its expected end and its target, does
    //! not use the last free slot of an upstream. Otherwise long reads would hold all slots for a
    //! second while calls of 60 ms wait.
    static constexpr base::milliseconds LAST_SLOT_MAX_SLACK{500};
    //! The last slot is reserved only if at least this share of the requests is urgent.
    static constexpr double MIN_URGENT_SHARE = 0.03;
    //! Time by which each priority rank moves the start deadline of a request back.
    static constexpr base::milliseconds PRIORITY_DELAY{60};

    //! `queuePerSlot` requests may wait for each announced slot.
    explicit urgency_queue(std::uint32_t queuePerSlot) : m_queuePerSlot(queuePerSlot) {}

    urgency_queue(const urgency_queue &) = delete;
    auto operator=(const urgency_queue &) -> urgency_queue & = delete;

    //! Returns a slot, or no value if the request starts to wait, or refuses with `QueueFull`,
    //! `Overloaded`, `UpstreamDraining`, `UpstreamEjected`, `NoUpstream` or `DeadlineBeforeStart`.
    auto acquire(const slot_request &request, base::time_point now, slot_resume_function resume)
            -> base::result<std::optional<slot_grant>>;
    auto release(const slot_grant &grant, bool succeeded, base::time_point now) -> void;
    auto cancel(const base::attempt_id &attempt) -> bool;
    auto setUpstream(const base::upstream_id &upstream, const upstream_admission &admission,
                     base::time_point now) -> void;
    auto removeUpstream(const base::upstream_id &upstream, base::time_point now) -> void;
    auto setQueuePerSlot(std::uint32_t queuePerSlot) -> void { m_queuePerSlot = queuePerSlot; }
    auto drain() -> void { m_isDraining = true; }

    //! Refuses the waiting requests that can no longer meet their deadline and grants slots that
    //! waiting requests may use by now.
    auto expire(base::time_point now) -> void;
    //! Refuses all waiting requests; their resume functions get `reason`.
    auto refuseWaiting(base::error_kind reason) -> void;
    [[nodiscard]] auto load() const -> service_load;

private:
    struct waiting_request
    {
        slot_request request;
        slot_resume_function resume;
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
    //! Sorting key, smallest first: false if the request can meet its target, else true; then its
    //! start deadline, which is based on its deadline if it can't meet its target.
    using urgency_key = std::pair<bool, base::time_point>;
    using upstream_map = std::map<base::upstream_id, upstream_slots>;

    [[nodiscard]] auto admissionError(const slot_request &request, base::time_point now) const
            -> std::optional<base::error_kind>;
    auto leastLoadedUpstream(const slot_request &request, base::time_point now)
            -> upstream_map::iterator;
    auto occupy(upstream_map::iterator upstream, const slot_request &request, base::time_point now)
            -> slot_grant;
    [[nodiscard]] auto urgencyKeyOf(const slot_request &request, base::time_point now) const
            -> urgency_key;
    [[nodiscard]] auto expectedWait(const slot_request &request, base::time_point now) const
            -> base::duration;
    [[nodiscard]] auto isMostUrgent(const slot_request &request, base::time_point now) const
            -> bool;
    [[nodiscard]] auto usableSlots() const -> std::uint32_t;
    [[nodiscard]] static auto canMeetDeadline(const slot_request &request, base::time_point now)
            -> bool;
    [[nodiscard]] static auto canMeetTarget(const slot_request &request, base::time_point now)
            -> bool;
    [[nodiscard]] static auto isUrgent(const slot_request &request, base::time_point now) -> bool;
    auto grantFreeSlots(base::time_point now) -> void;
    auto refuseUnservable(base::time_point now) -> void;
    auto runResumptions() -> void;

    std::uint32_t m_queuePerSlot;
    upstream_map m_upstreams;
    std::list<waiting_request> m_waiting;
    std::vector<resumption> m_resumptions;
    double m_meanServiceSeconds = 0.0;
    //! Exponentially smoothed share of urgent requests, starting from 1.
    double m_urgentShare = 1.0;
    bool m_isDraining = false;
};

} // namespace hawthornpick::policy
