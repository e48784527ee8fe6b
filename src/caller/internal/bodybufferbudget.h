#pragma once

#include <cstddef>

namespace hawthornpick::caller {

//! Divides a limited amount of memory among the large request bodies that are buffered before their
//! requests are placed. Load pattern: many uploads at once, some from callers that send slowly.
//! Each body gets all that it asks for or nothing, so that the bodies that are buffered can be
//! placed with everything that a retry needs, and the others are streamed.
//! Thread safety of all members: one thread.
class body_buffer_budget
{
public:
    explicit body_buffer_budget(std::size_t limitBytes) : m_freeBytes(limitBytes) {}

    //! Memory taken from a budget, which gets it back when the reservation is destroyed.
    class reservation
    {
    public:
        //! Takes `bytes` from the budget, or nothing if less is free.
        //! Precondition: the budget outlives the reservation.
        reservation(body_buffer_budget &budget, std::size_t bytes)
            : m_budget(budget), m_bytes(bytes <= budget.m_freeBytes ? bytes : 0)
        {
            m_budget.m_freeBytes -= m_bytes;
        }
        ~reservation() { m_budget.m_freeBytes += m_bytes; }
        reservation(const reservation &) = delete;
        auto operator=(const reservation &) -> reservation & = delete;

        //! Returns the number of bytes taken.
        [[nodiscard]] auto bytes() const -> std::size_t { return m_bytes; }

    private:
        body_buffer_budget &m_budget;
        std::size_t m_bytes;
    };

    [[nodiscard]] auto freeBytes() const -> std::size_t { return m_freeBytes; }

private:
    std::size_t m_freeBytes;
};

} // namespace hawthornpick::caller
