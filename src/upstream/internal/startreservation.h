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
    //! Precondition: `gates->tryReserve` succeeded.
    start_reservation(std::shared_ptr<start_gates> gates, base::upstream_id upstream,
                      policy::cold_terms terms)
        : m_gates(std::move(gates)), m_upstream(std::move(upstream)), m_terms(terms),
          m_isReserved(true)
    {}
    ~start_reservation()
    {
        if (m_isReserved) {
            m_gates->cancelReservation(m_upstream);
        }
    }
    start_reservation(start_reservation &&other) noexcept
        : m_gates(std::move(other.m_gates)), m_upstream(std::move(other.m_upstream)),
          m_terms(other.m_terms), m_isReserved(std::exchange(other.m_isReserved, false))
    {}
    auto operator=(start_reservation &&other) -> start_reservation & = delete;
    start_reservation(const start_reservation &) = delete;
    auto operator=(const start_reservation &) -> start_reservation & = delete;

    //! Records that the request is sent now.
    auto onSent() -> void
    {
        if (std::exchange(m_isReserved, false)) {
            m_gates->onSent(m_upstream, m_terms, base::clock::now());
        }
    }

    //! Reserves the start again after a request that was sent in vain.
    //! Errors: those of `start_gates::tryReserve`.
    auto renew() -> base::result<void>
    {
        if (m_isReserved) {
            return {};
        }
        auto reserved = m_gates->tryReserve(m_upstream, m_terms, base::clock::now());
        m_isReserved = reserved.has_value();
        return reserved;
    }

private:
    std::shared_ptr<start_gates> m_gates;
    base::upstream_id m_upstream;
    policy::cold_terms m_terms;
    bool m_isReserved = false;
};

} // namespace hawthornpick::upstream
