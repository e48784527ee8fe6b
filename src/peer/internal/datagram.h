#pragma once

#include "base/ids.h"
#include "base/message.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace hawthornpick::peer {

//! Content of one control datagram.
struct datagram
{
    base::node_id from;
    base::incarnation incarnation = 0;
    base::channel channel = base::channel::Membership;
    std::string_view payload;
};

//! Bytes of a datagram besides the sender's name and the payload: version, authentication tag,
//! incarnation, channel, length of the name.
inline constexpr std::size_t DATAGRAM_HEADER_BYTES = 1 + 16 + 8 + 1 + 1;

//! Asks a node to prove which of its processes is the current one, or answers that with the same
//! nonce. The incarnation is that of the datagram.
struct liveness_message
{
    bool isProof = false;
    std::uint64_t nonce = 0;

    auto operator<=>(const liveness_message &) const = default;
};

//! Encodes the payload of a datagram of the channel `Liveness`. Thread safety: pure.
auto encodeLiveness(const liveness_message &content) -> std::string;

//! Returns nothing if the payload is malformed. Thread safety: pure.
auto decodeLiveness(std::string_view payload) -> std::optional<liveness_message>;

//! Encodes and authenticates a datagram. The authentication tag covers the receiver's name, so that
//! a datagram replayed to another node is refused. Precondition: the sender's name is at most 255
//! bytes. Thread safety: pure.
auto encodeDatagram(std::string_view fleetSecret, const base::node_id &to, const datagram &content)
        -> std::string;

//! Verifies and parses a datagram received by `self`. Returns nothing if the datagram is damaged,
//! has another version, or was sent to another node or with another fleet secret. The payload
//! points into `bytes`. Thread safety: pure.
auto decodeDatagram(std::string_view fleetSecret, const base::node_id &self, std::string_view bytes)
        -> std::optional<datagram>;

} // namespace hawthornpick::peer
