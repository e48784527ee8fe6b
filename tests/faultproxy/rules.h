#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace hawthornpick::faultproxy {

//! Direction of traffic on a proxied link, seen from the side that connects.
enum class direction : std::uint8_t {
    ToTarget,
    FromTarget,
};

enum class fault_kind : std::uint8_t {
    //! Nothing passes; TCP data is held back until the rule is removed, datagrams are dropped.
    Cut,
    //! Adds `value` milliseconds.
    Delay,
    //! Drops `value` percent of the datagrams.
    Loss,
    //! Limits each connection to `value` bytes per second.
    Bandwidth,
    //! Closes TCP connections at once.
    Reset,
};

//! One fault. Empty names match everything.
struct rule
{
    std::string link;
    std::string source;
    std::optional<direction> only;
    fault_kind kind = fault_kind::Cut;
    std::uint64_t value = 0;

    auto operator<=>(const rule &) const = default;
};

//! Faults that apply to one direction of a link for one source address.
struct active_faults
{
    bool isCut = false;
    bool isReset = false;
    std::uint64_t delayMs = 0;
    std::uint64_t lossPercent = 0;
    std::uint64_t bytesPerSecond = 0;

    auto operator<=>(const active_faults &) const = default;
};

//! Combines all matching rules. Thread safety: pure.
auto activeFaults(const std::vector<rule> &rules, std::string_view link, std::string_view source,
                  direction way) -> active_faults;

//! Parses the body of `PUT /v1/rules`; nothing if it is malformed. Thread safety: pure.
auto parseRules(std::string_view text) -> std::optional<std::vector<rule>>;

} // namespace hawthornpick::faultproxy
