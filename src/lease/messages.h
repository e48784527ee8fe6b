#pragma once

#include "base/digest.h"
#include "base/message.h"
#include "base/thriftcodec.h"
#include "lease/generated/leasewire_types.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace hawthornpick::lease {

//! First byte of a message of the channels `Currency`, `Lease` and `Consensus`. Numbers from 50 on
//! belong to module control.
enum class message_kind : std::uint8_t {
    Check = 1,
    CheckAnswer = 2,
    Recover = 3,
    RecoverAnswer = 4,
    ControllerAnswer = 5,
    Prepare = 6,
    Announce = 7,
    WitnessReport = 8,
    ReadNewest = 9,
    LeaseRequest = 10,
    LeaseAnswer = 11,
};

//! Builds a message of a kind byte and a Thrift struct. Thread safety: pure.
template <typename Kind, typename Struct>
auto toMessage(const base::node_id &to, base::channel channel, Kind kind, const Struct &value)
        -> base::outgoing_message
{
    return {to, channel, static_cast<char>(kind) + base::encodeThrift(value)};
}

//! Removes the kind byte; 0 for an empty payload. Thread safety: pure.
inline auto takeKind(std::string_view &payload) -> std::uint8_t
{
    if (payload.empty()) {
        return 0;
    }
    const auto kind = static_cast<std::uint8_t>(payload.front());
    payload.remove_prefix(1);
    return kind;
}

//! A version with the digest of its content.
struct version_id
{
    base::config_version version = 0;
    base::digest256 digest;

    auto operator<=>(const version_id &) const = default;
};

//! Builds a version id from message fields; nothing if the digest has the wrong length and the
//! version is not 0. Thread safety: pure.
inline auto versionFromWire(std::int64_t version, const std::string &digest)
        -> std::optional<version_id>
{
    if (version == 0) {
        return version_id{};
    }
    const auto parsed = base::digestFromBytes(digest);
    if (!parsed || version < 0) {
        return std::nullopt;
    }
    return version_id{static_cast<base::config_version>(version), *parsed};
}

} // namespace hawthornpick::lease
