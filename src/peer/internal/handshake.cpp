#include "peer/internal/handshake.h"

#include "base/digest.h"
#include "base/thriftcodec.h"
#include "peer/generated/peerwire_types.h"
#include "peer/internal/frame.h"

namespace hawthornpick::peer {

namespace {

constexpr std::size_t NONCE_BYTES = 32;

auto appendText(std::string &out, std::string_view text) -> void
{
    appendNumber32(out, static_cast<std::uint32_t>(text.size()));
    out.append(text);
}

auto isEqualProof(std::string_view left, const std::string &right) -> bool
{
    const auto first = base::digestFromBytes(left);
    const auto second = base::digestFromBytes(right);
    return first && second && base::equalConstantTime(*first, *second);
}

} // namespace

handshake::handshake(side role, const link_identity &identity, std::int32_t version)
    : m_role(role), m_identity(identity), m_version(version),
      m_nonce(base::secureRandomBytes(NONCE_BYTES))
{}

auto handshake::hello() const -> std::string
{
    wire::hello message;
    message.version = m_version;
    message.nonce = m_nonce;
    message.node = m_identity.node.str();
    message.incarnation = static_cast<std::int64_t>(m_identity.incarnation);
    if (m_role == side::Accepting) {
        message.__set_proof(proofOf(side::Accepting));
    }
    return base::encodeThrift(message);
}

auto handshake::takeHello(std::string_view payload) -> base::result<std::string>
{
    const auto message = base::decodeThrift<wire::hello>(payload);
    if (!message || message->nonce.size() != NONCE_BYTES || message->node.empty()) {
        return base::fail(base::error_kind::BadRequest, "malformed hello");
    }
    if (message->version != m_version) {
        return base::fail(base::error_kind::BadRequest,
                          "peer uses protocol version " + std::to_string(message->version));
    }
    m_peerNonce = message->nonce;
    m_peerNode = base::node_id(message->node);
    m_peerIncarnation = static_cast<base::incarnation>(message->incarnation);
    return message->proof;
}

auto handshake::answer(std::string_view peerHello) -> base::result<std::string>
{
    if (const auto proof = takeHello(peerHello); !proof) {
        return tl::unexpected(proof.error());
    }
    return hello();
}

auto handshake::finish(std::string_view peerAnswer) -> base::result<std::string>
{
    const auto peerProof = takeHello(peerAnswer);
    if (!peerProof) {
        return tl::unexpected(peerProof.error());
    }
    if (!isEqualProof(*peerProof, proofOf(side::Accepting))) {
        return base::fail(base::error_kind::KeyInvalid, "peer does not know the fleet secret");
    }
    wire::hello_proof proof;
    proof.proof = proofOf(side::Connecting);
    return base::encodeThrift(proof);
}

auto handshake::verify(std::string_view peerProof) -> base::result<void>
{
    const auto message = base::decodeThrift<wire::hello_proof>(peerProof);
    if (!message) {
        return base::fail(base::error_kind::BadRequest, "malformed proof");
    }
    if (!isEqualProof(message->proof, proofOf(side::Connecting))) {
        return base::fail(base::error_kind::KeyInvalid, "peer does not know the fleet secret");
    }
    return {};
}

auto handshake::proofOf(side role) const -> std::string
{
    const bool isOwnConnecting = m_role == side::Connecting;
    const auto &connectingNonce = isOwnConnecting ? m_nonce : m_peerNonce;
    const auto &acceptingNonce = isOwnConnecting ? m_peerNonce : m_nonce;
    const auto &connectingNode = isOwnConnecting ? m_identity.node : m_peerNode;
    const auto &acceptingNode = isOwnConnecting ? m_peerNode : m_identity.node;
    const auto connectingIncarnation = isOwnConnecting ? m_identity.incarnation : m_peerIncarnation;
    const auto acceptingIncarnation = isOwnConnecting ? m_peerIncarnation : m_identity.incarnation;
    std::string text =
            role == side::Connecting ? "hawthornpick connecting" : "hawthornpick accepting";
    appendNumber32(text, static_cast<std::uint32_t>(m_version));
    appendText(text, connectingNonce);
    appendText(text, acceptingNonce);
    appendText(text, connectingNode.str());
    appendText(text, acceptingNode.str());
    appendNumber64(text, connectingIncarnation);
    appendNumber64(text, acceptingIncarnation);
    return base::toBytes(base::hmacSha256(m_identity.fleetSecret, text));
}

} // namespace hawthornpick::peer
