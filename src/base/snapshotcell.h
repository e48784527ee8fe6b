#pragma once

#include <atomic>
#include <cstdint>
#include <memory>
#include <utility>

namespace hawthornpick::base {

//! Holder of an immutable value that writers replace as a whole (read-copy-update). A reader keeps
//! the version that it loaded alive for as long as it holds the pointer.
template <typename T>
class snapshot_cell
{
public:
    using pointer = std::shared_ptr<const T>;

    //! Precondition: `initial` is not null.
    explicit snapshot_cell(pointer initial) : m_value(std::move(initial)) {}

    snapshot_cell(const snapshot_cell &) = delete;
    auto operator=(const snapshot_cell &) -> snapshot_cell & = delete;

    //! Returns the current value, never null.
    //! Thread safety: any thread; does not wait while a writer prepares a new value.
    [[nodiscard]] auto load() const -> pointer { return m_value.load(std::memory_order_acquire); }

    //! Replaces the value.
    //! Precondition: `newValue` is not null. Thread safety: any thread.
    auto store(pointer newValue) -> void
    {
        m_value.store(std::move(newValue), std::memory_order_release);
        m_generation.fetch_add(1, std::memory_order_release);
    }

    //! Returns the number of completed `store` calls. Thread safety: any thread.
    [[nodiscard]] auto generation() const -> std::uint64_t
    {
        return m_generation.load(std::memory_order_acquire);
    }

private:
    std::atomic<pointer> m_value;
    std::atomic<std::uint64_t> m_generation{0};
};

//! Caches the value of a `snapshot_cell` for one thread and reloads it only after a change. Calling
//! `snapshot_cell::load` for each read would make all threads contend for the cache line of the
//! shared reference count.
template <typename T>
class snapshot_reader
{
public:
    //! Precondition: `cell` outlives the reader.
    explicit snapshot_reader(const snapshot_cell<T> &cell)
        : m_cell(cell), m_generation(cell.generation()), m_value(cell.load())
    {}

    //! Returns the current value, never null.
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
