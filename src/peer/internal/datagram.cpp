#include "peer/internal/datagram.h"

#include "base/digest.h"
#include "peer/internal/frame.h"

#include <openssl/crypto.h>

namespace hawthornpick::peer {

namespace {

constexpr char DATAGRAM_VERSION = 1;
//! 128 bits of the HMAC suffice, because a guessed tag can only be tested by sending a datagram.
constexpr std::size_t TAG_BYTES = 16;
constexpr std::size_t AUTHENTICATED_OFFSET_BYTES = 1 + TAG_BYTES;

auto authenticationTag(std::string_view secret, const base::node_id &to,
                       std::string_view authenticated) -> std::string
{
    std::string hmacInput;
    hmacInput.reserve(authenticated.size() + to.str().size() + sizeof(std::uint32_t) + 1);
    hmacInput.push_back(DATAGRAM_VERSION);
    appendUint32(hmacInput, static_cast<std::uint32_t>(to.str().size()));
    hmacInput.append(to.str());
    hmacInput.append(authenticated);
    return base::toBytes(base::hmacSha256(secret, hmacInput)).substr(0, TAG_BYTES);
}

} // namespace

auto encodeDatagram(std::string_view fleetSecret, const base::node_id &to, const datagram &content)
        -> std::string
{
    const auto &name = content.from.str();
    std::string bytes;
    bytes.reserve(DATAGRAM_HEADER_BYTES + name.size() + content.payload.size());
    bytes.push_back(DATAGRAM_VERSION);
    bytes.append(TAG_BYTES, '\0');
    appendUint64(bytes, content.incarnation);
    bytes.push_back(static_cast<char>(content.channel));
    bytes.push_back(static_cast<char>(name.size()));
    bytes.append(name);
    bytes.append(content.payload);
    const auto tag = authenticationTag(fleetSecret, to,
                                       std::string_view(bytes).substr(AUTHENTICATED_OFFSET_BYTES));
    bytes.replace(1, TAG_BYTES, tag);
    return bytes;
}

auto decodeDatagram(std::string_view fleetSecret, const base::node_id &self, std::string_view bytes)
        -> std::optional<datagram>
{
    if (bytes.size() < DATAGRAM_HEADER_BYTES || bytes.front() != DATAGRAM_VERSION) {
        return std::nullopt;
    }
    const auto authenticated = bytes.substr(AUTHENTICATED_OFFSET_BYTES);
    const auto tag = authenticationTag(fleetSecret, self, authenticated);
    if (CRYPTO_memcmp(tag.data(), bytes.data() + 1, TAG_BYTES) != 0) {
        return std::nullopt;
    }
    const auto nameBytes = static_cast<std::uint8_t>(bytes[DATAGRAM_HEADER_BYTES - 1]);
    if (bytes.size() < DATAGRAM_HEADER_BYTES + nameBytes || nameBytes == 0) {
        return std::nullopt;
    }
    return datagram{base::node_id(std::string(bytes.substr(DATAGRAM_HEADER_BYTES, nameBytes))),
                    readUint64(authenticated), static_cast<base::channel>(authenticated[8]),
                    bytes.substr(DATAGRAM_HEADER_BYTES + nameBytes)};
}

auto encodeLiveness(const liveness_message &content) -> std::string
{
    std::string payload(1, content.isProof ? '\1' : '\0');
    appendUint64(payload, content.nonce);
    return payload;
}

auto decodeLiveness(std::string_view payload) -> std::optional<liveness_message>
{
    if (payload.size() != 1 + sizeof(std::uint64_t)) {
        return std::nullopt;
    }
    return liveness_message{payload.front() != '\0', readUint64(payload.substr(1))};
}

} // namespace hawthornpick::peer
