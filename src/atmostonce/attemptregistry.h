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

//! Answer of an executing node to a fence request.
enum class fence_answer : std::uint8_t {
    //! The attempt has not been started and is now fenced: it can no longer be started.
    NotStarted,
    Started,
    //! The request named another incarnation, the registry is full, or no answer arrived in time.
    Unknown,
};

//! Result of `attempt_registry::start`.
enum class start_result : std::uint8_t {
    Started,
    AlreadyStarted,
    Fenced,
    //! The registry holds its maximum number of ids; the attempt must be refused.
    Full,
};

//! Ids of the attempts that one executing node has started or fenced. An id is started at most
//! once, and never after it was fenced. Each id is retained for `RETENTION`; when the registry is
//! full, new ids are refused and no id is removed early. At most `MAX_TICK_STEP` of the time
//! between two ticks counts towards `RETENTION`, so that a process that was paused doesn't drop a
//! fence while the fenced request still waits in a socket buffer.
//! Thread safety of all members: any thread; ids are sharded, with one mutex for each shard.
class attempt_registry
{
public:
    static constexpr base::duration RETENTION = std::chrono::minutes(10);
    static constexpr base::duration MAX_TICK_STEP = std::chrono::seconds(1);
    //! Sufficient for ten minutes at 1,600 attempts/s; each id takes about 75 bytes.
    static constexpr std::size_t DEFAULT_MAX_IDS = 1'000'000;

    explicit attempt_registry(base::incarnation incarnation, std::size_t maxIds = DEFAULT_MAX_IDS);

    //! Registers the start of an attempt. Call it immediately before the request is sent to the
    //! upstream, and send the request only if the result is `Started`.
    auto start(const base::attempt_id &id) -> start_result;

    //! Fences the attempt if it has not been started. `expected` is the incarnation that the
    //! request was addressed to.
    auto fence(const base::attempt_id &id, base::incarnation expected) -> fence_answer;

    //! Removes ids older than `RETENTION`. Call it at least every `MAX_TICK_STEP`; longer intervals
    //! extend the retention.
    auto tick(base::time_point now) -> void;

    //! Returns the number of retained ids.
    [[nodiscard]] auto size() const -> std::size_t;

private:
    enum class attempt_state : std::uint8_t {
        Started,
        Fenced,
    };
    struct retained_id
    {
        base::duration addedAt;
        base::attempt_id id;
    };
    struct id_shard
    {
        mutable std::mutex mutex;
        //! Sum of the tick steps that count towards `RETENTION`.
        base::duration countedTime{0};
        std::unordered_map<base::attempt_id, attempt_state> states;
        std::deque<retained_id> insertionOrder;
    };
    static constexpr std::size_t SHARD_COUNT = 16;

    auto shardOf(const base::attempt_id &id) -> id_shard &;
    auto insert(id_shard &shard, const base::attempt_id &id, attempt_state state) -> void;

    base::incarnation m_incarnation;
    std::size_t m_maxIdsPerShard;
    std::array<id_shard, SHARD_COUNT> m_shards;
    std::mutex m_tickMutex;
    base::time_point m_lastTickAt{};
};

} // namespace hawthornpick::atmostonce
