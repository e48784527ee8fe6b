#pragma once

#include "policy/slotqueue.h"
#include "upstream/registry.h"

#include <optional>
#include <utility>

namespace hawthornpick::upstream {

//! Owns a slot of an upstream and releases it to the queue on destruction.
//! Thread safety: one thread at a time.
class slot_guard
{
public:
    slot_guard(queue_pointer queue, policy::slot_grant grant)
        : m_queue(std::move(queue)), m_grant(std::move(grant))
    {}
    ~slot_guard()
    {
        if (m_queue) {
            m_queue->release(m_grant, m_succeeded, base::clock::now());
        }
    }
    slot_guard(slot_guard &&other) noexcept = default;
    auto operator=(slot_guard &&other) -> slot_guard & = delete;
    slot_guard(const slot_guard &) = delete;
    auto operator=(const slot_guard &) -> slot_guard & = delete;

    [[nodiscard]] auto upstream() const -> const base::upstream_id & { return m_grant.upstream; }

    //! Marks the request as successful, so that its duration counts in the mean service time.
    auto markSucceeded() -> void { m_succeeded = true; }

private:
    queue_pointer m_queue;
    policy::slot_grant m_grant;
    bool m_succeeded = false;
};

} // namespace hawthornpick::upstream
