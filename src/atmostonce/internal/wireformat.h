#pragma once

#include "atmostonce/fence.h"
#include "atmostonce/generated/atmostoncewire_types.h"
#include "atmostonce/idempotencyrecord.h"

#include <cstdint>
#include <string>
#include <tuple>

namespace hawthornpick::atmostonce {

//! Kinds of messages on channel Idempotency. The values are part of the peer protocol.
enum class message_kind : std::int8_t {
    Prepare = 1,
    Promise = 2,
    Accept = 3,
    Accepted = 4,
    //! The ballot doesn't match the promised one, which the message carries in `accepted`.
    Rejected = 5,
    //! The replica holds its maximum number of records.
    Full = 6,
    Fetch = 7,
    Fetched = 8,
    CopyRequest = 9,
    CopyPage = 10,
    //! Reply to a copy request by a replica that is itself recovering.
    Recovering = 11,
};

//! Phases of a record. The values are part of the peer protocol.
enum class record_phase : std::int8_t {
    Empty = 0,
    Claimed = 1,
    Completed = 2,
    //! Completed; the answer was not stored, because a size limit was exceeded.
    CompletedWithoutAnswer = 3,
    //! Completed; this message omits the answer, which can be read with `Fetch`.
    AnswerWithheld = 4,
};

inline auto phaseOf(const wire::record &record) -> record_phase
{
    return static_cast<record_phase>(record.phase);
}

inline auto setPhase(wire::record &record, record_phase phase) -> void
{
    record.phase = static_cast<std::int8_t>(phase);
}

inline auto kindOf(const wire::idempotency_message &message) -> message_kind
{
    return static_cast<message_kind>(message.kind);
}

//! Returns true if `left` is the lower ballot.
inline auto isLowerBallot(const wire::ballot &left, const wire::ballot &right) -> bool
{
    return std::tie(left.round, left.proposer) < std::tie(right.round, right.proposer);
}

inline auto placeOf(const wire::record &record) -> attempt_place
{
    return {{static_cast<std::uint64_t>(record.attempt_high),
             static_cast<std::uint64_t>(record.attempt_low)},
            base::node_id(record.node),
            static_cast<base::incarnation>(record.incarnation)};
}

inline auto setPlace(wire::record &record, const attempt_place &place) -> void
{
    record.attempt_high = static_cast<std::int64_t>(place.attempt.high);
    record.attempt_low = static_cast<std::int64_t>(place.attempt.low);
    record.node = place.node.str();
    record.incarnation = static_cast<std::int64_t>(place.incarnation);
}

//! Returns the key under which replicas store a record.
inline auto storageKey(const record_key &key) -> std::string
{
    return key.organisation.str() + '\0' + key.key;
}

} // namespace hawthornpick::atmostonce
