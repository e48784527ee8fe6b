#pragma once

#include "base/ids.h"
#include "peer/link.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace hawthornpick::peer {

//! Version of the peer protocol; a handshake between different versions fails.
inline constexpr std::int32_t PROTOCOL_VERSION = 1;

//! Mutual authentication with the fleet secret. The connecting side sends its hello, the accepting
//! side replies with its own hello and proof, and the connecting side sends its proof. A proof is
//! an HMAC, keyed with the fleet secret, over the side, the protocol version, both nonces and both
//! identities, so that it can be neither reflected nor replayed. Thread safety: one thread.
class handshake
{
public:
    enum class side : std::uint8_t {
        Connecting,
        Accepting,
    };

    //! Precondition: `identity` outlives the handshake. `version` differs from `PROTOCOL_VERSION`
    //! only in tests.
    handshake(side role, const link_identity &identity, std::int32_t version = PROTOCOL_VERSION);

    //! Returns the encoded hello of this side; on the accepting side it includes the proof, which
    //! needs the peer's hello.
    [[nodiscard]] auto hello() const -> std::string;

    //! Accepting side: processes the peer's hello and returns the reply, a hello with proof.
    //! Errors: `BadRequest` if the payload is malformed or has another protocol version.
    auto replyToHello(std::string_view peerHello) -> base::result<std::string>;

    //! Connecting side: verifies the reply and returns the encoded proof of this side.
    //! Errors: `BadRequest` as in `replyToHello`, `KeyInvalid` if the peer's proof is wrong.
    auto verifyReply(std::string_view peerReply) -> base::result<std::string>;

    //! Accepting side: verifies the peer's proof.
    //! Errors: `BadRequest` if the payload is malformed, `KeyInvalid` if the proof is wrong.
    auto verifyProof(std::string_view peerProof) -> base::result<void>;

    //! Identity claimed by the peer; authenticated once `verifyReply` or `verifyProof` has
    //! succeeded.
    [[nodiscard]] auto peerNode() const -> const base::node_id & { return m_peerNode; }
    [[nodiscard]] auto peerIncarnation() const -> base::incarnation { return m_peerIncarnation; }

private:
    // Stores the peer's nonce and identity and returns its proof, which is empty in the hello of
    // the connecting side.
    auto processHello(std::string_view payload) -> base::result<std::string>;
    // HMAC that `role` must send.
    [[nodiscard]] auto proofFor(side role) const -> std::string;

    side m_role;
    const link_identity &m_identity;
    std::int32_t m_version;
    std::string m_nonce;
    std::string m_peerNonce;
    base::node_id m_peerNode;
    base::incarnation m_peerIncarnation = 0;
};

} // namespace hawthornpick::peer
