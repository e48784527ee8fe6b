#pragma once

#include "policy/slots.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <unordered_map>
#include <vector>

namespace hawthornpick::policy {

//! Slots and waiting requests of one service on one node.
//!
//! Waiting requests are served by weighted deficit round robin between organisations. A full queue
//! admits a request of an organisation with few waiting requests by refusing the newest request of
//! the organisation with the most waiting requests relative to its weight; otherwise an
//! organisation at five times its rate would fill the queue and get the others refused.
//!
//! Thread safety: all methods may be called from any thread; they hold one short lock. Resume
//! functions are called after the lock is released, in the thread that caused the change.
class fair_queue
{
public:
    //! Called exactly once for each request that had to wait and was not cancelled: with a grant,
    //! or with `QueueFull`, `DeadlineBeforeStart`, `UpstreamDraining`, `UpstreamEjected` or
    //! `NoUpstream`; all of these errors mean that the request was not started.
    using resume_function = slot_resume_function;

    //! `queuePerSlot` requests may wait for each announced slot.
    explicit fair_queue(std::uint32_t queuePerSlot);

    fair_queue(const fair_queue &) = delete;
    auto operator=(const fair_queue &) -> fair_queue & = delete;

    //! Returns a slot, or no value if the request starts to wait (`resume` will be called), or
    //! refuses with one of the errors of `resume_function`.
    //! Precondition: `request.attempt` is neither waiting nor running here.
    auto acquire(const slot_request &request, base::time_point now, resume_function resume)
            -> base::result<std::optional<slot_grant>>;

    //! Releases a slot and starts the next request. Failed requests do not change the mean service
    //! time, so that an upstream that fails fast does not look fast.
    auto release(const slot_grant &grant, bool succeeded, base::time_point now) -> void;

    //! Removes a waiting request, for example because its caller disconnected. Returns false if it
    //! is not waiting; then its resume function was called or is being called.
    auto cancel(const base::attempt_id &attempt) -> bool;

    //! Adds an upstream or changes its admission. Requests that occupy its slots continue.
    auto setUpstream(const base::upstream_id &upstream, const upstream_admission &admission,
                     base::time_point now) -> void;

    //! Removes an upstream. Its outstanding grants may be released later.
    auto removeUpstream(const base::upstream_id &upstream, base::time_point now) -> void;

    //! Changes the number of requests that may wait for each slot.
    auto setQueuePerSlot(std::uint32_t queuePerSlot) -> void;

    //! Stops admission: new requests are refused with `UpstreamDraining`; waiting and running ones
    //! finish.
    auto drain() -> void;

    //! Refuses the waiting requests that can no longer meet their deadline. Has to be called about
    //! every 10 ms while requests wait.
    auto expire(base::time_point now) -> void;

    //! Refuses all waiting requests; their resume functions get `reason`.
    auto refuseWaiting(base::error_kind reason) -> void;

    [[nodiscard]] auto load() const -> service_load;

    //! True if no request is running or waiting.
    [[nodiscard]] auto idle() const -> bool;

private:
    struct waiting_request
    {
        slot_request request;
        resume_function resume;
    };
    struct organisation_queue
    {
        std::deque<waiting_request> requests;
        std::uint32_t weight = 1;
        std::uint32_t deficit = 0;
    };
    struct upstream_slots
    {
        upstream_admission admission;
        std::uint32_t busy = 0;
        bool isRemoved = false;
        base::time_point nextProbeAt{};
    };
    struct resumption
    {
        resume_function resume;
        base::result<slot_grant> value;
    };
    using resumption_list = std::vector<resumption>;
    using upstream_map = std::map<base::upstream_id, upstream_slots>;

    auto admissionError(const slot_request &request, base::time_point now) const
            -> std::optional<base::error_kind>;
    auto leastLoadedUpstream(bool idempotent, base::time_point now) -> upstream_map::iterator;
    auto expectedWait(const slot_request &request) const -> base::duration;
    auto queueCapacity() const -> std::size_t;
    auto usableSlots() const -> std::uint32_t;
    auto unavailabilityError() const -> std::optional<base::error_kind>;
    auto occupy(upstream_map::iterator upstream, const base::attempt_id &attempt,
                base::time_point now) -> slot_grant;
    auto enqueue(const slot_request &request, resume_function resume) -> void;
    auto evictFromLongestQueue(const slot_request &request, resumption_list &resumed) -> bool;
    auto grantFreeSlots(base::time_point now, resumption_list &resumed) -> void;
    auto grantNextSlot(base::time_point now, resumption_list &resumed) -> bool;
    auto dequeueRunnable(organisation_queue &queue, base::time_point now, resumption_list &resumed)
            -> std::optional<std::pair<waiting_request, upstream_map::iterator>>;
    auto refuseAllIfUnavailable(resumption_list &resumed) -> void;
    auto refuseAll(base::error_kind reason, resumption_list &resumed) -> void;
    auto refuseLateRequests(organisation_queue &queue, base::time_point now,
                            resumption_list &resumed) -> void;
    auto removeEmptyQueues() -> void;
    auto cannotMeetDeadline(const slot_request &request, base::time_point now) const -> bool;
    static auto runResumptions(resumption_list &resumed) -> void;

    mutable std::mutex m_mutex;
    std::uint32_t m_queuePerSlot;
    upstream_map m_upstreams;
    std::unordered_map<base::organisation_id, organisation_queue> m_queues;
    //! Organisations with waiting requests, in round-robin order.
    std::deque<base::organisation_id> m_roundRobin;
    std::size_t m_waiting = 0;
    std::uint32_t m_busySlots = 0;
    double m_meanServiceSeconds = 0.0;
    bool m_isDraining = false;
};

} // namespace hawthornpick::policy
