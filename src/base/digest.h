#pragma once

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace hawthornpick::base {

//! SHA-256 value.
struct digest256
{
    std::array<std::uint8_t, 32> bytes{};

    auto operator<=>(const digest256 &) const = default;
};

//! Returns the SHA-256 of `data`. Thread safety: pure.
auto sha256(std::string_view data) -> digest256;

//! Returns HMAC-SHA256 of `data` under `key`. Thread safety: pure.
auto hmacSha256(std::string_view key, std::string_view data) -> digest256;

//! Compares without a timing difference that depends on the content. Thread safety: pure.
auto equalConstantTime(const digest256 &left, const digest256 &right) -> bool;

//! Returns lower-case hexadecimal text. Thread safety: pure.
auto toHex(std::string_view data) -> std::string;
auto toHex(const digest256 &value) -> std::string;

//! Parses 64 hexadecimal digits; nothing on any other text. Thread safety: pure.
auto digestFromHex(std::string_view text) -> std::optional<digest256>;

//! Returns the raw 32 bytes as text. Thread safety: pure.
auto toBytes(const digest256 &value) -> std::string;

//! Parses exactly 32 raw bytes; nothing on any other length. Thread safety: pure.
auto digestFromBytes(std::string_view bytes) -> std::optional<digest256>;

//! Fast non-cryptographic 64-bit hash, equal on all hosts. Thread safety: pure.
auto hash64(std::string_view data, std::uint64_t seed = 0) -> std::uint64_t;

//! Weight of `candidate` for `subject` in rendezvous hashing; the candidate with the highest weight
//! is chosen. Thread safety: pure.
auto rendezvousWeight(std::string_view subject, std::string_view candidate) -> std::uint64_t;

//! Fills `count` bytes from the operating system's secure random source; for nonces and keys.
//! Thread safety: any thread.
auto secureRandomBytes(std::size_t count) -> std::string;

} // namespace hawthornpick::base
