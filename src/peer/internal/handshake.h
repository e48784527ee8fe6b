#pragma once

#include "base/ids.h"
#include "peer/link.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace hawthornpick::peer {

//! Version of the peer protocol; nodes of other versions do not connect.
inline constexpr std::int32_t PROTOCOL_VERSION = 1;

//! Proves the fleet secret in both directions. The connecting side sends `hello`, the accepting
//! side answers with its own hello and proof, and the connecting side sends its proof. A proof is
//! an HMAC over the side, the protocol version, both nonces and both identities, so it can be
//! neither reflected nor replayed.
class handshake
{
public:
    enum class side : std::uint8_t {
        Connecting,
        Accepting,
    };

    //! `version` differs from `PROTOCOL_VERSION` only in tests.
    handshake(side role, const link_identity &identity, std::int32_t version = PROTOCOL_VERSION);

    //! Connecting side: returns the first frame's payload. Thread safety: one thread.
    [[nodiscard]] auto hello() const -> std::string;

    //! Accepting side: takes the peer's hello and returns the answer.
    //! Errors: `BadRequest` if the payload is malformed or has another version.
    auto answer(std::string_view peerHello) -> base::result<std::string>;

    //! Connecting side: checks the answer and returns the proof.
    //! Errors: `BadRequest` as in `answer`, `KeyInvalid` if the peer's proof is wrong.
    auto finish(std::string_view peerAnswer) -> base::result<std::string>;

    //! Accepting side: checks the peer's proof. Errors: `BadRequest`, `KeyInvalid`.
    auto verify(std::string_view peerProof) -> base::result<void>;

    //! Identity that the peer claimed; proved once `finish` or `verify` succeeded.
    [[nodiscard]] auto peerNode() const -> const base::node_id & { return m_peerNode; }
    [[nodiscard]] auto peerIncarnation() const -> base::incarnation { return m_peerIncarnation; }

private:
    // Takes the peer's nonce and identity; returns its proof, which is empty in the first hello.
    auto takeHello(std::string_view payload) -> base::result<std::string>;
    [[nodiscard]] auto proofOf(side role) const -> std::string;

    side m_role;
    const link_identity &m_identity;
    std::int32_t m_version;
    std::string m_nonce;
    std::string m_peerNonce;
    base::node_id m_peerNode;
    base::incarnation m_peerIncarnation = 0;
};

} // namespace hawthornpick::peer
