#pragma once

#include "base/time.h"
#include "base/usage.h"

#include <cstdint>
#include <functional>
#include <map>

namespace hawthornpick::fleet {

//! Position up to which a reader has received the usages of a process.
struct usage_position
{
    //! Identifies the process; 0 for a process that doesn't number its changes.
    std::uint64_t bootId = 0;
    std::uint64_t number = 0;

    auto operator<=>(const usage_position &) const = default;
};

//! Usages that changed between two positions; all usages if `since` is 0.
struct usage_changes
{
    base::usage_map usages;
    usage_position until = {};
    std::uint64_t since = 0;

    auto operator<=>(const usage_changes &) const = default;
};

//! Sums of usage with the order in which they changed, so that a reader gets only what changed
//! since its last read. For load that is spread unevenly over many organisations, of which few
//! change between two messages. Thread safety of all members: one thread.
class usage_table
{
public:
    //! An organisation without usage is forgotten after this time; readers that lag behind it get
    //! all usages.
    static constexpr base::milliseconds FORGET_TIME{60'000};
    //! A small change of usage that needn't be exact is sent after at most this time.
    static constexpr base::milliseconds SMALL_CHANGE_INTERVAL{1000};

    //! Returns true if each change of the usage of an organisation must be sent at once.
    using exact_function = std::function<bool(const base::organisation_id &organisation)>;

    explicit usage_table(std::uint64_t bootId) : m_bootId(bootId) {}

    //! Replaces the usages.
    auto update(const base::usage_map &usages, const exact_function &isExact, base::time_point now)
            -> void;

    //! Returns what a reader at `reader` lacks: all usages if its position is unknown here.
    [[nodiscard]] auto changesSince(const usage_position &reader) const -> usage_changes;

private:
    struct numbered_usage
    {
        base::rate_usage usage;
        std::uint64_t number = 0;
        base::time_point changedAt;
    };

    auto set(const base::organisation_id &organisation, const base::rate_usage &usage,
             base::time_point now) -> void;
    auto forgetUnused(base::time_point now) -> void;

    std::uint64_t m_bootId;
    std::uint64_t m_lastNumber = 0;
    //! Highest number of a forgotten organisation.
    std::uint64_t m_forgottenNumber = 0;
    std::map<base::organisation_id, numbered_usage> m_usages;
};

//! Usages of another process, put together from the changes that it sends. Thread safety of all
//! members: one thread.
class usage_copy
{
public:
    //! Returns false, without effect, if changes before `changes` are missing. Changes that are
    //! already known have no effect.
    auto apply(const usage_changes &changes) -> bool;

    //! Takes over usages of a process that doesn't number its changes.
    auto overlay(const base::usage_map &usages) -> void;

    [[nodiscard]] auto usages() const -> const base::usage_map & { return m_usages; }
    [[nodiscard]] auto position() const -> const usage_position & { return m_position; }
    //! Returns all usages, for a reader without a position.
    [[nodiscard]] auto all() const -> usage_changes { return {m_usages, m_position, 0}; }

private:
    base::usage_map m_usages;
    usage_position m_position;
};

} // namespace hawthornpick::fleet
