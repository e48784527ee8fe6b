#include "peer/internal/datagram.h"

#include "base/digest.h"
#include "peer/internal/frame.h"

#include <openssl/crypto.h>

namespace hawthornpick::peer {

namespace {

constexpr char DATAGRAM_VERSION = 1;
//! 128 bits of the HMAC are enough for a code that must be guessed online.
constexpr std::size_t CODE_BYTES = 16;
constexpr std::size_t CODED_BEGIN = 1 + CODE_BYTES;

auto codeOf(std::string_view secret, const base::node_id &to, std::string_view coded) -> std::string
{
    std::string text;
    text.reserve(coded.size() + to.str().size() + sizeof(std::uint32_t) + 1);
    text.push_back(DATAGRAM_VERSION);
    appendNumber32(text, static_cast<std::uint32_t>(to.str().size()));
    text.append(to.str());
    text.append(coded);
    return base::toBytes(base::hmacSha256(secret, text)).substr(0, CODE_BYTES);
}

} // namespace

auto encodeDatagram(std::string_view fleetSecret, const base::node_id &to, const datagram &content)
        -> std::string
{
    const auto &name = content.from.str();
    std::string bytes;
    bytes.reserve(DATAGRAM_HEADER_BYTES + name.size() + content.payload.size());
    bytes.push_back(DATAGRAM_VERSION);
    bytes.append(CODE_BYTES, '\0');
    appendNumber64(bytes, content.incarnation);
    bytes.push_back(static_cast<char>(content.kind));
    bytes.push_back(static_cast<char>(name.size()));
    bytes.append(name);
    bytes.append(content.payload);
    const auto code = codeOf(fleetSecret, to, std::string_view(bytes).substr(CODED_BEGIN));
    bytes.replace(1, CODE_BYTES, code);
    return bytes;
}

auto decodeDatagram(std::string_view fleetSecret, const base::node_id &self, std::string_view bytes)
        -> std::optional<datagram>
{
    if (bytes.size() < DATAGRAM_HEADER_BYTES || bytes.front() != DATAGRAM_VERSION) {
        return std::nullopt;
    }
    const auto coded = bytes.substr(CODED_BEGIN);
    const auto code = codeOf(fleetSecret, self, coded);
    if (CRYPTO_memcmp(code.data(), bytes.data() + 1, CODE_BYTES) != 0) {
        return std::nullopt;
    }
    const auto nameBytes = static_cast<std::uint8_t>(bytes[DATAGRAM_HEADER_BYTES - 1]);
    if (bytes.size() < DATAGRAM_HEADER_BYTES + nameBytes || nameBytes == 0) {
        return std::nullopt;
    }
    return datagram{base::node_id(std::string(bytes.substr(DATAGRAM_HEADER_BYTES, nameBytes))),
                    readNumber64(coded), static_cast<base::channel>(coded[8]),
                    bytes.substr(DATAGRAM_HEADER_BYTES + nameBytes)};
}

} // namespace hawthornpick::peer
