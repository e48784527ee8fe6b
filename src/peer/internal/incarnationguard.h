#pragma once

#include "base/ids.h"
#include "base/message.h"
#include "base/random.h"
#include "base/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace hawthornpick::peer {

//! A datagram whose sender must prove first that it is the current process of its node.
struct held_datagram
{
    base::node_id from;
    base::incarnation incarnation = 0;
    base::channel channel = base::channel::Membership;
    std::string payload;

    auto operator<=>(const held_datagram &) const = default;
};

//! Datagrams that were released or dropped together.
struct held_datagrams
{
    std::vector<held_datagram> accepted;
    std::vector<held_datagram> refused;
};

//! Decision object that tells the datagrams of a node's current process from late ones of a former
//! process. Incarnations are wall clock times, which can be set back between two starts, so their
//! order says nothing: a datagram of another incarnation than the known one is held until the node
//! has answered a challenge, which only its current process can do. Thread safety: one thread.
class incarnation_guard
{
public:
    //! Time after which a challenge is repeated if further datagrams arrive.
    static constexpr base::milliseconds CHALLENGE_INTERVAL{100};
    //! Time for which datagrams are held; covers several round trips between regions.
    static constexpr base::milliseconds HOLD_TIME{500};
    //! Time for which the answer to a challenge counts. Longer than `HOLD_TIME`, because the node
    //! may be too slow to answer while its datagrams are held.
    static constexpr base::milliseconds PROOF_TIME{5000};
    //! Maximum number of datagrams held for each sender; further ones are refused.
    static constexpr std::size_t MAX_HELD_DATAGRAMS = 32;

    explicit incarnation_guard(std::uint64_t randomSeed) : m_random(randomSeed) {}

    //! Returns true if the process may be the current one of the node: it is the known one, or the
    //! first that is heard of.
    auto isCurrent(const base::node_id &from, base::incarnation incarnation) -> bool;

    //! Holds a datagram that is not from the known process. Returns the nonce of the challenge that
    //! must be sent to the node, if any.
    auto hold(held_datagram content, base::time_point now) -> std::optional<std::uint64_t>;

    //! Handles the answer to a challenge: the process that sent it is the current one.
    auto onProof(const base::node_id &from, base::incarnation incarnation, std::uint64_t nonce)
            -> held_datagrams;

    //! Returns the datagrams whose senders have not answered in time.
    auto expire(base::time_point now) -> std::vector<held_datagram>;

    //! Returns the known incarnation of a node, or 0.
    [[nodiscard]] auto knownIncarnation(const base::node_id &node) const -> base::incarnation;

private:
    struct pending_proof
    {
        std::uint64_t nonce = 0;
        base::time_point start;
        base::time_point lastChallenge;
        //! Arrival of the first held datagram.
        base::time_point heldSince;
        std::vector<held_datagram> held;
    };

    base::random_source m_random;
    std::unordered_map<base::node_id, base::incarnation> m_known;
    std::unordered_map<base::node_id, pending_proof> m_pending;
};

} // namespace hawthornpick::peer
