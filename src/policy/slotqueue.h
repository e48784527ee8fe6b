#pragma once

#include "policy/costqueue.h"
#include "policy/fairqueue.h"
#include "policy/urgencyqueue.h"

#include <optional>
#include <variant>

namespace hawthornpick::policy {

//! Order in which waiting requests get a slot.
enum class queue_order : std::uint8_t {
    //! Weighted round robin between organisations.
    FairShare,
    //! Earliest start deadline first; see `urgency_queue`.
    Urgency,
    //! Lowest cost of a refusal last; see `cost_queue`.
    Cost,
};

//! Slots and waiting requests of one service on one node, served in the given order.
//! Thread safety of all members: as for the queue of that order.
class slot_queue
{
    // The variant holds `std::monostate` only until the constructor has created the queue.
    template <typename Visitor>
    auto visit(Visitor visitor)
    {
        if (auto *queue = std::get_if<urgency_queue>(&m_queue)) {
            return visitor(*queue);
        }
        if (auto *queue = std::get_if<cost_queue>(&m_queue)) {
            return visitor(*queue);
        }
        return visitor(std::get<fair_queue>(m_queue));
    }

public:
    slot_queue(queue_order order, std::uint32_t queuePerSlot)
    {
        switch (order) {
        case queue_order::FairShare:
            m_queue.emplace<fair_queue>(queuePerSlot);
            break;
        case queue_order::Urgency:
            m_queue.emplace<urgency_queue>(queuePerSlot);
            break;
        case queue_order::Cost:
            m_queue.emplace<cost_queue>(queuePerSlot);
            break;
        }
    }

    auto acquire(const slot_request &request, base::time_point now, slot_resume_function resume)
            -> base::result<std::optional<slot_grant>>
    {
        return visit([&](auto &queue) { return queue.acquire(request, now, std::move(resume)); });
    }
    auto release(const slot_grant &grant, bool succeeded, base::time_point now) -> void
    {
        visit([&](auto &queue) { queue.release(grant, succeeded, now); });
    }
    auto cancel(const base::attempt_id &attempt) -> bool
    {
        return visit([&](auto &queue) { return queue.cancel(attempt); });
    }
    auto setUpstream(const base::upstream_id &upstream, const upstream_admission &admission,
                     base::time_point now) -> void
    {
        visit([&](auto &queue) { queue.setUpstream(upstream, admission, now); });
    }
    auto removeUpstream(const base::upstream_id &upstream, base::time_point now) -> void
    {
        visit([&](auto &queue) { queue.removeUpstream(upstream, now); });
    }
    auto setQueuePerSlot(std::uint32_t queuePerSlot) -> void
    {
        visit([&](auto &queue) { queue.setQueuePerSlot(queuePerSlot); });
    }
    auto drain() -> void
    {
        visit([](auto &queue) { queue.drain(); });
    }
    auto refuseWaiting(base::error_kind reason) -> void
    {
        visit([&](auto &queue) { queue.refuseWaiting(reason); });
    }
    auto expire(base::time_point now) -> void
    {
        visit([&](auto &queue) { queue.expire(now); });
    }
    [[nodiscard]] auto load() const -> service_load
    {
        return std::visit(
                [](const auto &queue) -> service_load {
                    if constexpr (requires { queue.load(); }) {
                        return queue.load();
                    }
                    return {};
                },
                m_queue);
    }
    //! Returns counts of refusals; all are 0 for other orders than `queue_order::Cost`.
    [[nodiscard]] auto refusals() const -> refusal_counts
    {
        const auto *queue = std::get_if<cost_queue>(&m_queue);
        return queue == nullptr ? refusal_counts{} : queue->refusals();
    }

private:
    std::variant<std::monostate, fair_queue, urgency_queue, cost_queue> m_queue;
};

} // namespace hawthornpick::policy
