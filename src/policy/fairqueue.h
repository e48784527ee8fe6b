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
//! takes a request of an organisation with few waiting requests by refusing the newest one of the
//! organisation with the most for its weight; otherwise an organisation at five times its rate
//! would fill the queue and get the others refused.
//!
//! Thread safety: all methods may be called from any thread; they hold one short lock. Resume
//! functions are called after the lock is released, in the thread that caused the change.
class fair_queue
{
public:
    //! Called exactly once for each request that had to wait and was not cancelled: with a grant,
    //! or with `QueueFull`, `DeadlineBeforeStart`, `UpstreamDraining`, `UpstreamEjected` or
    //! `NoUpstream`; all of them mean that the request was not run.
    using resume_function = slot_resume_function;

    //! `queuePerSlot` requests may wait for each announced slot.
    explicit fair_queue(std::uint32_t queuePerSlot);

    fair_queue(const fair_queue &) = delete;
    auto operator=(const fair_queue &) -> fair_queue & = delete;

    //! Takes a slot at once, starts to wait (no value; `resume` will be called) or refuses with one
    //! of the errors of `resume_function`.
    //! Precondition: `request.attempt` is neither waiting nor running here.
    auto enter(const slot_request &request, base::time_point now, resume_function resume)
            -> base::result<std::optional<slot_grant>>;

    //! Gives a slot back and starts the next request. Failed requests do not change the mean
    //! service time, so that an upstream that fails fast does not look like a fast one.
    auto release(const slot_grant &grant, bool succeeded, base::time_point now) -> void;

    //! Removes a waiting request whose caller is gone. Returns false if it is not waiting (any
    //! more); then its resume function has been or is being called.
    auto cancel(const base::attempt_id &attempt) -> bool;

    //! Adds an upstream or changes its admission. Requests in its slots go on.
    auto setUpstream(const base::upstream_id &upstream, const upstream_admission &admission,
                     base::time_point now) -> void;

    //! Forgets an upstream. Grants that still name it may be released later.
    auto removeUpstream(const base::upstream_id &upstream, base::time_point now) -> void;

    //! Changes the number of requests that may wait for each slot.
    auto setQueuePerSlot(std::uint32_t queuePerSlot) -> void;

    //! Stops admission: new requests are refused with `UpstreamDraining`, waiting and running ones
    //! finish.
    auto drain() -> void;

    //! Refuses the waiting requests that can no longer meet their deadline. To be called about
    //! every 10 ms while requests wait.
    auto expire(base::time_point now) -> void;

    //! Returns the present load.
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
        bool removed = false;
        base::time_point nextProbe{};
    };
    struct resumption
    {
        resume_function resume;
        base::result<slot_grant> value;
    };
    using resumptions = std::vector<resumption>;
    using upstream_map = std::map<base::upstream_id, upstream_slots>;

    auto refusalOf(const slot_request &request, base::time_point now) const
            -> std::optional<base::error_kind>;
    auto freeUpstream(bool idempotent, base::time_point now) -> upstream_map::iterator;
    auto expectedWait(const slot_request &request) const -> base::duration;
    auto capacity() const -> std::size_t;
    auto usableSlots() const -> std::uint32_t;
    auto emptyQueueError() const -> std::optional<base::error_kind>;
    auto occupy(upstream_map::iterator upstream, const base::attempt_id &attempt,
                base::time_point now) -> slot_grant;
    auto append(const slot_request &request, resume_function resume) -> void;
    auto makeRoom(const slot_request &request, resumptions &out) -> bool;
    auto startWaiting(base::time_point now, resumptions &out) -> void;
    auto startOne(base::time_point now, resumptions &out) -> bool;
    auto takeRunnable(organisation_queue &queue, base::time_point now, resumptions &out)
            -> std::optional<std::pair<waiting_request, upstream_map::iterator>>;
    auto refuseIfUnusable(resumptions &out) -> void;
    auto dropLate(organisation_queue &queue, base::time_point now, resumptions &out) -> void;
    auto removeEmptyQueues() -> void;
    auto cannotFinish(const slot_request &request, base::time_point now) const -> bool;
    static auto resumeAll(resumptions &list) -> void;

    mutable std::mutex m_mutex;
    std::uint32_t m_queuePerSlot;
    upstream_map m_upstreams;
    std::unordered_map<base::organisation_id, organisation_queue> m_queues;
    //! Organisations with waiting requests in the order of service.
    std::deque<base::organisation_id> m_order;
    std::size_t m_waiting = 0;
    std::uint32_t m_busy = 0;
    double m_meanServiceSeconds = 0.0;
    bool m_draining = false;
};

} // namespace hawthornpick::policy
