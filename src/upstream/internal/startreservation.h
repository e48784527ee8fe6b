#pragma once

#include "upstream/startgates.h"

#include <memory>
#include <utility>

namespace hawthornpick::upstream {

//! Owns the reserved start of a request at an upstream that may be cold, and ends the reservation
//! on destruction. Thread safety: one thread at a time.
class start_reservation
{
public:
    //! Start at an upstream of a service without a limit.
    start_reservation() = default;
    //! Precondition: `starts->tryReserve` returned true.
    start_reservation(std::shared_ptr<start_gates> starts, base::upstream_id upstream,
                      policy::cold_terms terms)
        : m_starts(std::move(starts)), m_upstream(std::move(upstream)), m_terms(terms),
          m_isReserved(true)
    {}
    ~start_reservation()
    {
        if (m_isReserved) {
            m_starts->cancelReservation(m_upstream);
        }
    }
    start_reservation(start_reservation &&other) noexcept
        : m_starts(std::move(other.m_starts)), m_upstream(std::move(other.m_upstream)),
          m_terms(other.m_terms), m_isReserved(std::exchange(other.m_isReserved, false))
    {}
    auto operator=(start_reservation &&other) -> start_reservation & = delete;
    start_reservation(const start_reservation &) = delete;
    auto operator=(const start_reservation &) -> start_reservation & = delete;

    //! Records that the request is sent now.
    auto onSent() -> void
    {
        if (std::exchange(m_isReserved, false)) {
            m_starts->onSent(m_upstream, m_terms, base::clock::now());
        }
    }

    //! Reserves the start again after a request that was sent in vain. Returns false if the rate
    //! doesn't allow it.
    auto renew() -> bool
    {
        if (!m_starts || m_isReserved) {
            return true;
        }
        m_isReserved = m_starts->tryReserve(m_upstream, m_terms, base::clock::now());
        return m_isReserved;
    }

private:
    std::shared_ptr<start_gates> m_starts;
    base::upstream_id m_upstream;
    policy::cold_terms m_terms;
    bool m_isReserved = false;
};

} // namespace hawthornpick::upstream
