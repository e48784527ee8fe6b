#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace hawthornpick::transfer {

//! Returns instructions that rebuild `target` from `base`. Equal arguments give equal bytes on all
//! hosts, so parts of one delta may come from different peers. Thread safety: pure.
auto makeDelta(std::string_view base, std::string_view target) -> std::string;

//! Reverses `makeDelta`; nothing if the delta is damaged or does not fit `base`. The caller
//! compares the digest of the result. Thread safety: pure.
auto applyDelta(std::string_view base, std::string_view delta) -> std::optional<std::string>;

} // namespace hawthornpick::transfer
