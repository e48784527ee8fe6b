#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace hawthornpick::transfer {

//! Returns a delta (copy and insert instructions) that rebuilds `target` from `base`. The output is
//! deterministic across hosts, so parts of one delta may be fetched from different peers.
//! Thread safety: pure.
auto makeDelta(std::string_view base, std::string_view target) -> std::string;

//! Rebuilds the target from `base` and a delta of `makeDelta`. Returns nothing if the delta is
//! malformed, reads outside `base` or exceeds the maximum result size. A corrupted delta can still
//! give wrong bytes, so the caller verifies the digest of the result. Thread safety: pure.
auto applyDelta(std::string_view base, std::string_view delta) -> std::optional<std::string>;

} // namespace hawthornpick::transfer
