#include "transfer/delta.h"

#include "base/digest.h"

#include <algorithm>
#include <cstdint>
#include <unordered_map>

namespace hawthornpick::transfer {

namespace {

constexpr std::size_t BLOCK_BYTES = 32;
// A result larger than this is refused before it is allocated.
constexpr std::uint64_t MAX_RESULT_BYTES = 256ULL * 1024 * 1024;

enum class operation : std::uint8_t {
    Copy = 0,
    Insert = 1,
};

auto putNumber(std::string &out, std::uint64_t value) -> void
{
    while (value >= 0x80) {
        out.push_back(static_cast<char>(value | 0x80));
        value >>= 7;
    }
    out.push_back(static_cast<char>(value));
}

auto takeNumber(std::string_view &in) -> std::optional<std::uint64_t>
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

auto putCopy(std::string &out, std::size_t offset, std::size_t length) -> void
{
    if (length == 0) {
        return;
    }
    putNumber(out, static_cast<std::uint64_t>(operation::Copy));
    putNumber(out, offset);
    putNumber(out, length);
}

auto putInsert(std::string &out, std::string_view bytes) -> void
{
    if (bytes.empty()) {
        return;
    }
    putNumber(out, static_cast<std::uint64_t>(operation::Insert));
    putNumber(out, bytes.size());
    out.append(bytes);
}

auto commonPrefix(std::string_view left, std::string_view right) -> std::size_t
{
    const auto length = std::min(left.size(), right.size());
    const auto end = std::mismatch(left.begin(), left.begin() + length, right.begin()).first;
    return static_cast<std::size_t>(end - left.begin());
}

auto commonSuffix(std::string_view left, std::string_view right) -> std::size_t
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

// Encodes the part of the target that is neither a prefix nor a suffix of the base. Blocks may be
// found anywhere in the base, `offset` is the position of `base` in it.
auto putMiddle(std::string &out, std::string_view base, std::size_t offset, std::string_view target)
        -> void
{
    const auto index = target.size() < BLOCK_BYTES ? block_index{} : indexBlocks(base);
    std::size_t literal = 0;
    std::size_t at = 0;
    while (!index.empty() && at + BLOCK_BYTES <= target.size()) {
        const auto found = index.find(base::hash64(target.substr(at, BLOCK_BYTES)));
        const auto match = found == index.end()
                                   ? 0
                                   : commonPrefix(base.substr(found->second), target.substr(at));
        if (match < BLOCK_BYTES) {
            ++at;
            continue;
        }
        putInsert(out, target.substr(literal, at - literal));
        putCopy(out, offset + found->second, match);
        at += match;
        literal = at;
    }
    putInsert(out, target.substr(literal));
}

} // namespace

auto makeDelta(std::string_view base, std::string_view target) -> std::string
{
    std::string out;
    const auto prefix = commonPrefix(base, target);
    const auto restOfBase = base.substr(prefix);
    const auto restOfTarget = target.substr(prefix);
    const auto suffix = commonSuffix(restOfBase, restOfTarget);
    putCopy(out, 0, prefix);
    putMiddle(out, restOfBase.substr(0, restOfBase.size() - suffix), prefix,
              restOfTarget.substr(0, restOfTarget.size() - suffix));
    putCopy(out, base.size() - suffix, suffix);
    return out;
}

auto applyDelta(std::string_view base, std::string_view delta) -> std::optional<std::string>
{
    std::string out;
    while (!delta.empty()) {
        const auto kind = takeNumber(delta);
        const auto first = takeNumber(delta);
        if (!kind || !first || *kind > 1) {
            return std::nullopt;
        }
        const bool isCopy = *kind == static_cast<std::uint64_t>(operation::Copy);
        const auto length = isCopy ? takeNumber(delta) : first;
        if (!length || *length > MAX_RESULT_BYTES - out.size()) {
            return std::nullopt;
        }
        const auto source = isCopy ? base : delta;
        const auto offset = isCopy ? *first : 0;
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
