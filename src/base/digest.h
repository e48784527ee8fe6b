#pragma once

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace hawthornpick::base {

//! SHA-256 digest or HMAC-SHA256 authentication code.
struct digest256
{
    std::array<std::uint8_t, 32> bytes{};

    auto operator<=>(const digest256 &) const = default;
};

//! Returns the SHA-256 digest of `data`. Thread safety: pure.
auto sha256(std::string_view data) -> digest256;

//! Returns the HMAC-SHA256 of `data` under `key`. Thread safety: pure.
auto hmacSha256(std::string_view key, std::string_view data) -> digest256;

//! Returns true if both are equal. The run time does not depend on their contents.
//! Thread safety: pure.
auto equalConstantTime(const digest256 &left, const digest256 &right) -> bool;

//! Returns the bytes as lower-case hexadecimal digits. Thread safety: pure.
auto toHex(std::string_view data) -> std::string;
auto toHex(const digest256 &value) -> std::string;

//! Parses 64 hexadecimal digits; returns nothing for any other text. Thread safety: pure.
auto digestFromHex(std::string_view text) -> std::optional<digest256>;

//! Returns the 32 bytes of the digest as a binary string. Thread safety: pure.
auto toBytes(const digest256 &value) -> std::string;

//! Returns the digest with the given 32 bytes; nothing for any other length. Thread safety: pure.
auto digestFromBytes(std::string_view bytes) -> std::optional<digest256>;

//! Returns a fast non-cryptographic 64-bit hash that is the same on all hosts. Thread safety: pure.
auto hash64(std::string_view data, std::uint64_t seed = 0) -> std::uint64_t;

//! Returns the weight of `candidate` for `subject` in rendezvous hashing. The candidate with the
//! highest weight is chosen. Thread safety: pure.
auto rendezvousWeight(std::string_view subject, std::string_view candidate) -> std::uint64_t;

//! Returns `count` bytes of OpenSSL's cryptographically secure random generator, for nonces and
//! keys. Throws `std::runtime_error` if the generator fails. Thread safety: any thread.
auto secureRandomBytes(std::size_t count) -> std::string;

} // namespace hawthornpick::base
