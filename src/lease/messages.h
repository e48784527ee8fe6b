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

//! Message kind, sent as the first byte of a message of the channels `Currency`, `Lease` and
//! `Consensus`. Values from 50 are reserved for the module control.
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

//! Builds a message that consists of the kind byte and the encoded Thrift struct. Thread safety:
//! pure.
template <typename Kind, typename Struct>
auto toMessage(const base::node_id &to, base::channel channel, Kind kind, const Struct &value)
        -> base::outgoing_message
{
    return {to, channel, static_cast<char>(kind) + base::encodeThrift(value)};
}

//! Removes the kind byte from the payload and returns it, or 0 if the payload is empty. Thread
//! safety: pure.
inline auto takeKind(std::string_view &payload) -> std::uint8_t
{
    if (payload.empty()) {
        return 0;
    }
    const auto kind = static_cast<std::uint8_t>(payload.front());
    payload.remove_prefix(1);
    return kind;
}

//! Configuration version with the digest of its content.
struct version_id
{
    base::config_version version = 0;
    base::digest256 digest;

    auto operator<=>(const version_id &) const = default;
};

//! Builds a version id from message fields. Version 0 gives the empty id regardless of the digest.
//! Returns nothing if the version is negative or the digest has the wrong length.
//! Thread safety: pure.
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
