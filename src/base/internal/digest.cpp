#include "base/digest.h"

#include <algorithm>
#include <openssl/crypto.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>
#include <openssl/sha.h>
#include <stdexcept>
#include <xxhash.h>

namespace hawthornpick::base {

namespace {

auto hexDigitValue(char digit) -> int
{
    if (digit >= '0' && digit <= '9') {
        return digit - '0';
    }
    if (digit >= 'a' && digit <= 'f') {
        return digit - 'a' + 10;
    }
    if (digit >= 'A' && digit <= 'F') {
        return digit - 'A' + 10;
    }
    return -1;
}

auto unsignedBytes(std::string_view data) -> const unsigned char *
{
    return reinterpret_cast<const unsigned char *>(data.data());
}

} // namespace

auto sha256(std::string_view data) -> digest256
{
    digest256 value;
    SHA256(unsignedBytes(data), data.size(), value.bytes.data());
    return value;
}

auto hmacSha256(std::string_view key, std::string_view data) -> digest256
{
    digest256 value;
    unsigned int length = 0;
    HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()), unsignedBytes(data), data.size(),
         value.bytes.data(), &length);
    return value;
}

auto equalConstantTime(const digest256 &left, const digest256 &right) -> bool
{
    return CRYPTO_memcmp(left.bytes.data(), right.bytes.data(), left.bytes.size()) == 0;
}

auto toHex(std::string_view data) -> std::string
{
    constexpr std::string_view DIGITS = "0123456789abcdef";
    std::string text;
    text.reserve(data.size() * 2);
    for (const char character : data) {
        const auto byte = static_cast<unsigned char>(character);
        text.push_back(DIGITS[byte >> 4U]);
        text.push_back(DIGITS[byte & 0x0FU]);
    }
    return text;
}

auto toHex(const digest256 &value) -> std::string
{
    return toHex(toBytes(value));
}

auto digestFromHex(std::string_view text) -> std::optional<digest256>
{
    digest256 value;
    if (text.size() != value.bytes.size() * 2) {
        return std::nullopt;
    }
    for (std::size_t i = 0; i < value.bytes.size(); ++i) {
        const int high = hexDigitValue(text[2 * i]);
        const int low = hexDigitValue(text[2 * i + 1]);
        if (high < 0 || low < 0) {
            return std::nullopt;
        }
        value.bytes[i] = static_cast<std::uint8_t>(high * 16 + low);
    }
    return value;
}

auto toBytes(const digest256 &value) -> std::string
{
    return {value.bytes.begin(), value.bytes.end()};
}

auto digestFromBytes(std::string_view bytes) -> std::optional<digest256>
{
    digest256 value;
    if (bytes.size() != value.bytes.size()) {
        return std::nullopt;
    }
    std::copy(bytes.begin(), bytes.end(), value.bytes.begin());
    return value;
}

auto hash64(std::string_view data, std::uint64_t seed) -> std::uint64_t
{
    return XXH64(data.data(), data.size(), seed);
}

auto rendezvousWeight(std::string_view subject, std::string_view candidate) -> std::uint64_t
{
    return hash64(candidate, hash64(subject));
}

auto secureRandomBytes(std::size_t count) -> std::string
{
    std::string bytes(count, '\0');
    if (RAND_bytes(reinterpret_cast<unsigned char *>(bytes.data()), static_cast<int>(count)) != 1) {
        throw std::runtime_error("OpenSSL's secure random generator failed (RAND_bytes)");
    }
    return bytes;
}

} // namespace hawthornpick::base
