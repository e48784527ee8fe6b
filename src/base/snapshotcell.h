#pragma once

#include <atomic>
#include <cstdint>
#include <memory>
#include <utility>

namespace hawthornpick::base {

//! Read-copy-update cell: writers replace an immutable value, readers keep the version they read
//! for as long as they need it.
template <typename T>
class snapshot_cell
{
public:
    using pointer = std::shared_ptr<const T>;

    //! Precondition: `initial` is not null.
    explicit snapshot_cell(pointer initial) : m_value(std::move(initial)) {}

    snapshot_cell(const snapshot_cell &) = delete;
    auto operator=(const snapshot_cell &) -> snapshot_cell & = delete;

    //! Returns the current value. Never null.
    //! Thread safety: any thread; does not wait for writers' work.
    [[nodiscard]] auto load() const -> pointer { return m_value.load(std::memory_order_acquire); }

    //! Replaces the value.
    //! Precondition: `next` is not null. Thread safety: any thread.
    auto store(pointer next) -> void
    {
        m_value.store(std::move(next), std::memory_order_release);
        m_generation.fetch_add(1, std::memory_order_release);
    }

    //! Number of `store` calls so far. Thread safety: any thread.
    [[nodiscard]] auto generation() const -> std::uint64_t
    {
        return m_generation.load(std::memory_order_acquire);
    }

private:
    std::atomic<pointer> m_value;
    std::atomic<std::uint64_t> m_generation{0};
};

//! Reader of one thread that keeps the last value and touches the shared reference count only after
//! a change. The plain `load` makes all threads write to one cache line.
template <typename T>
class snapshot_reader
{
public:
    //! Precondition: `cell` outlives the reader.
    explicit snapshot_reader(const snapshot_cell<T> &cell)
        : m_cell(cell), m_generation(cell.generation()), m_value(cell.load())
    {}

    //! Returns the current value. Never null.
    //! Thread safety: one thread for each reader.
    auto current() -> const std::shared_ptr<const T> &
    {
        const auto generation = m_cell.generation();
        if (generation != m_generation) {
            m_value = m_cell.load();
            m_generation = generation;
        }
        return m_value;
    }

private:
    const snapshot_cell<T> &m_cell;
    std::uint64_t m_generation;
    std::shared_ptr<const T> m_value;
};

} // namespace hawthornpick::base
