#pragma once

#include "base/ids.h"
#include "base/time.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <mutex>
#include <unordered_map>

namespace hawthornpick::atmostonce {

//! What an executing node knows about an attempt that was fenced.
enum class fence_answer : std::uint8_t {
    //! The attempt was not started and never will be.
    NotStarted,
    Started,
    //! The attempt belongs to another incarnation, the registry is full, or nobody answered.
    Unknown,
};

//! Result of `attempt_registry::start`.
enum class start_result : std::uint8_t {
    Started,
    AlreadyStarted,
    Fenced,
    //! The registry can't remember another id; the attempt must be refused before its start.
    Full,
};

//! Attempt ids of one executing node. An id is started at most once, and never after it was
//! fenced. Ids are remembered for `MEMORY`; at the bound new ids are refused and none is forgotten
//! early. Only time between ticks that are at most `MAX_STEP` apart counts towards `MEMORY`, so a
//! process that was paused doesn't forget a fence while the fenced request waits in a socket.
//! Thread safety of all members: any thread; one short lock for each group of ids.
class attempt_registry
{
public:
    static constexpr base::duration MEMORY = std::chrono::minutes(10);
    static constexpr base::duration MAX_STEP = std::chrono::seconds(1);
    //! About 75 bytes for each id; ten minutes at 1,600 attempts/s.
    static constexpr std::size_t DEFAULT_MAX_IDS = 1'000'000;

    explicit attempt_registry(base::incarnation own, std::size_t maxIds = DEFAULT_MAX_IDS);

    //! Call immediately before the request is sent to the upstream; send only after `Started`.
    auto start(const base::attempt_id &id) -> start_result;

    //! Makes sure that the attempt never starts, if it hasn't. `expected` is the incarnation that
    //! the request named.
    auto fence(const base::attempt_id &id, base::incarnation expected) -> fence_answer;

    //! Forgets old ids. Call at least every `MAX_STEP`; missing calls lengthen the memory.
    auto tick(base::time_point now) -> void;

    //! Number of remembered ids.
    [[nodiscard]] auto size() const -> std::size_t;

private:
    enum class mark : std::uint8_t {
        Started,
        Fenced,
    };
    struct remembered
    {
        base::duration since;
        base::attempt_id id;
    };
    struct group
    {
        mutable std::mutex lock;
        base::duration age{0};
        std::unordered_map<base::attempt_id, mark> marks;
        std::deque<remembered> order;
    };
    static constexpr std::size_t GROUPS = 16;

    auto groupOf(const base::attempt_id &id) -> group &;
    auto add(group &target, const base::attempt_id &id, mark value) -> void;

    base::incarnation m_own;
    std::size_t m_maxIdsPerGroup;
    std::array<group, GROUPS> m_groups;
    std::mutex m_tickLock;
    base::time_point m_lastTick{};
};

} // namespace hawthornpick::atmostonce
