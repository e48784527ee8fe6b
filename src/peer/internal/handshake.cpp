#include "peer/internal/handshake.h"

#include "base/digest.h"
#include "base/thriftcodec.h"
#include "peer/generated/peerwire_types.h"
#include "peer/internal/frame.h"

namespace hawthornpick::peer {

namespace {

constexpr std::size_t NONCE_BYTES = 32;

auto appendLengthPrefixed(std::string &out, std::string_view text) -> void
{
    appendUint32(out, static_cast<std::uint32_t>(text.size()));
    out.append(text);
}

auto areEqualProofs(std::string_view received, const std::string &expected) -> bool
{
    const auto receivedDigest = base::digestFromBytes(received);
    const auto expectedDigest = base::digestFromBytes(expected);
    return receivedDigest && expectedDigest
           && base::equalConstantTime(*receivedDigest, *expectedDigest);
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
        message.__set_proof(proofFor(side::Accepting));
    }
    return base::encodeThrift(message);
}

auto handshake::processHello(std::string_view payload) -> base::result<std::string>
{
    const auto message = base::decodeThrift<wire::hello>(payload);
    if (!message || message->nonce.size() != NONCE_BYTES || message->node.empty()) {
        return base::fail(base::error_kind::BadRequest, "malformed hello frame");
    }
    if (message->version != m_version) {
        return base::fail(base::error_kind::BadRequest,
                          "peer uses protocol version " + std::to_string(message->version)
                                  + ", expected " + std::to_string(m_version));
    }
    m_peerNonce = message->nonce;
    m_peerNode = base::node_id(message->node);
    m_peerIncarnation = static_cast<base::incarnation>(message->incarnation);
    return message->proof;
}

auto handshake::replyToHello(std::string_view peerHello) -> base::result<std::string>
{
    if (const auto proof = processHello(peerHello); !proof) {
        return tl::unexpected(proof.error());
    }
    return hello();
}

auto handshake::verifyReply(std::string_view peerReply) -> base::result<std::string>
{
    const auto peerProof = processHello(peerReply);
    if (!peerProof) {
        return tl::unexpected(peerProof.error());
    }
    if (!areEqualProofs(*peerProof, proofFor(side::Accepting))) {
        return base::fail(base::error_kind::KeyInvalid,
                          "proof of the peer does not match the fleet secret");
    }
    wire::hello_proof proof;
    proof.proof = proofFor(side::Connecting);
    return base::encodeThrift(proof);
}

auto handshake::verifyProof(std::string_view peerProof) -> base::result<void>
{
    const auto message = base::decodeThrift<wire::hello_proof>(peerProof);
    if (!message) {
        return base::fail(base::error_kind::BadRequest, "malformed proof frame");
    }
    if (!areEqualProofs(message->proof, proofFor(side::Connecting))) {
        return base::fail(base::error_kind::KeyInvalid,
                          "proof of the peer does not match the fleet secret");
    }
    return {};
}

auto handshake::proofFor(side role) const -> std::string
{
    const bool isConnectingSide = m_role == side::Connecting;
    const auto &connectingNonce = isConnectingSide ? m_nonce : m_peerNonce;
    const auto &acceptingNonce = isConnectingSide ? m_peerNonce : m_nonce;
    const auto &connectingNode = isConnectingSide ? m_identity.node : m_peerNode;
    const auto &acceptingNode = isConnectingSide ? m_peerNode : m_identity.node;
    const auto connectingIncarnation =
            isConnectingSide ? m_identity.incarnation : m_peerIncarnation;
    const auto acceptingIncarnation = isConnectingSide ? m_peerIncarnation : m_identity.incarnation;
    std::string hmacInput =
            role == side::Connecting ? "hawthornpick connecting" : "hawthornpick accepting";
    appendUint32(hmacInput, static_cast<std::uint32_t>(m_version));
    appendLengthPrefixed(hmacInput, connectingNonce);
    appendLengthPrefixed(hmacInput, acceptingNonce);
    appendLengthPrefixed(hmacInput, connectingNode.str());
    appendLengthPrefixed(hmacInput, acceptingNode.str());
    appendUint64(hmacInput, connectingIncarnation);
    appendUint64(hmacInput, acceptingIncarnation);
    return base::toBytes(base::hmacSha256(m_identity.fleetSecret, hmacInput));
}

} // namespace hawthornpick::peer
