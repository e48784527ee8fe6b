#include "transfer/delta.h"

#include "base/digest.h"

#include <algorithm>
#include <cstdint>
#include <unordered_map>

namespace hawthornpick::transfer {

namespace {

constexpr std::size_t BLOCK_BYTES = 32;
// Deltas with a larger result are rejected before the memory is allocated.
constexpr std::uint64_t MAX_RESULT_BYTES = 256ULL * 1024 * 1024;

enum class operation : std::uint8_t {
    Copy = 0,
    Insert = 1,
};

auto appendVarint(std::string &out, std::uint64_t value) -> void
{
    while (value >= 0x80) {
        out.push_back(static_cast<char>(value | 0x80));
        value >>= 7;
    }
    out.push_back(static_cast<char>(value));
}

auto readVarint(std::string_view &in) -> std::optional<std::uint64_t>
{
    std::uint64_t value = 0;
    for (unsigned shift = 0; shift < 64 && !in.empty(); shift += 7) {
        const auto byte = static_cast<std::uint8_t>(in.front());
        in.remove_prefix(1);
        value |= static_cast<std::uint64_t>(byte & 0x7F) << shift;
        if ((byte & 0x80) == 0) {
            return value;
        }
    }
    return std::nullopt;
}

auto appendCopy(std::string &out, std::size_t offset, std::size_t length) -> void
{
    if (length == 0) {
        return;
    }
    appendVarint(out, static_cast<std::uint64_t>(operation::Copy));
    appendVarint(out, offset);
    appendVarint(out, length);
}

auto appendInsert(std::string &out, std::string_view bytes) -> void
{
    if (bytes.empty()) {
        return;
    }
    appendVarint(out, static_cast<std::uint64_t>(operation::Insert));
    appendVarint(out, bytes.size());
    out.append(bytes);
}

auto commonPrefixLength(std::string_view left, std::string_view right) -> std::size_t
{
    const auto length = std::min(left.size(), right.size());
    const auto end = std::mismatch(left.begin(), left.begin() + length, right.begin()).first;
    return static_cast<std::size_t>(end - left.begin());
}

auto commonSuffixLength(std::string_view left, std::string_view right) -> std::size_t
{
    const auto length = std::min(left.size(), right.size());
    const auto end = std::mismatch(left.rbegin(), left.rbegin() + length, right.rbegin()).first;
    return static_cast<std::size_t>(end - left.rbegin());
}

using block_index = std::unordered_map<std::uint64_t, std::size_t>;

auto indexBlocks(std::string_view base) -> block_index
{
    block_index index;
    for (std::size_t at = 0; at + BLOCK_BYTES <= base.size(); at += BLOCK_BYTES) {
        index.try_emplace(base::hash64(base.substr(at, BLOCK_BYTES)), at);
    }
    return index;
}

// Encodes the part of the target between the prefix and the suffix that it shares with the base.
// `base` is the corresponding part of the base, which starts at `baseOffset`; blocks are matched
// anywhere in it.
auto appendMiddle(std::string &out, std::string_view base, std::size_t baseOffset,
                  std::string_view target) -> void
{
    const auto index = target.size() < BLOCK_BYTES ? block_index{} : indexBlocks(base);
    std::size_t insertStart = 0;
    std::size_t at = 0;
    while (!index.empty() && at + BLOCK_BYTES <= target.size()) {
        const auto found = index.find(base::hash64(target.substr(at, BLOCK_BYTES)));
        const auto matchBytes =
                found == index.end()
                        ? 0
                        : commonPrefixLength(base.substr(found->second), target.substr(at));
        if (matchBytes < BLOCK_BYTES) {
            ++at;
            continue;
        }
        appendInsert(out, target.substr(insertStart, at - insertStart));
        appendCopy(out, baseOffset + found->second, matchBytes);
        at += matchBytes;
        insertStart = at;
    }
    appendInsert(out, target.substr(insertStart));
}

} // namespace

auto makeDelta(std::string_view base, std::string_view target) -> std::string
{
    std::string out;
    const auto prefix = commonPrefixLength(base, target);
    const auto baseRemainder = base.substr(prefix);
    const auto targetRemainder = target.substr(prefix);
    const auto suffix = commonSuffixLength(baseRemainder, targetRemainder);
    appendCopy(out, 0, prefix);
    appendMiddle(out, baseRemainder.substr(0, baseRemainder.size() - suffix), prefix,
                 targetRemainder.substr(0, targetRemainder.size() - suffix));
    appendCopy(out, base.size() - suffix, suffix);
    return out;
}

auto applyDelta(std::string_view base, std::string_view delta) -> std::optional<std::string>
{
    std::string out;
    while (!delta.empty()) {
        const auto kind = readVarint(delta);
        const auto operand = readVarint(delta);
        if (!kind || !operand || *kind > 1) {
            return std::nullopt;
        }
        const bool isCopy = *kind == static_cast<std::uint64_t>(operation::Copy);
        const auto length = isCopy ? readVarint(delta) : operand;
        if (!length || *length > MAX_RESULT_BYTES - out.size()) {
            return std::nullopt;
        }
        const auto source = isCopy ? base : delta;
        const auto offset = isCopy ? *operand : 0;
        if (offset > source.size() || *length > source.size() - offset) {
            return std::nullopt;
        }
        out.append(source.substr(offset, *length));
        if (!isCopy) {
            delta.remove_prefix(*length);
        }
    }
    return out;
}

} // namespace hawthornpick::transfer
