#pragma once

#include "base/log.h"
#include "base/time.h"
#include "config/diagnostic.h"
#include "config/internal/inidocument.h"
#include "membership/view.h"

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace hawthornpick::config {

//! Longest name of an organisation, key, service, route, node, region or failure domain.
inline constexpr std::size_t MAX_NAME_BYTES = 64;

//! Returns true for 1 to 64 letters, digits, `-`, `_` and `.`. Thread safety: pure.
auto isName(std::string_view text) -> bool;

//! Reads typed values of one section and collects an error for each value that is missing,
//! malformed, out of range, repeated or unknown. Thread safety: one thread.
class section_reader
{
public:
    section_reader(const std::string &file, const ini_section &section,
                   std::vector<diagnostic> &errors);

    //! Returns the value, or nothing if the key is absent. A repeated key is an error.
    auto text(std::string_view key) -> std::optional<std::string>;

    //! As `text`, but an absent key is an error.
    auto requiredText(std::string_view key) -> std::string;

    //! A name as accepted by `isName`; empty after an error.
    auto requiredName(std::string_view key) -> std::string;

    //! All values of a key that may repeat.
    auto list(std::string_view key) -> std::vector<ini_entry>;

    //! Whole number in [minimum, maximum], `fallback` if absent or wrong.
    auto number(std::string_view key, std::uint64_t fallback, std::uint64_t minimum,
                std::uint64_t maximum) -> std::uint64_t;

    //! Decimal number in [minimum, maximum], `fallback` if absent or wrong.
    auto decimal(std::string_view key, double fallback, double minimum, double maximum) -> double;

    //! Whole number of milliseconds.
    auto span(std::string_view key, base::milliseconds fallback, base::milliseconds minimum,
              base::milliseconds maximum) -> base::milliseconds;

    //! Number with the unit `ms` or `s`, such as `1500ms` or `2.5s`.
    auto timeSpan(std::string_view key, base::milliseconds fallback, base::milliseconds minimum,
                  base::milliseconds maximum) -> base::milliseconds;

    //! `yes` or `no`.
    auto flag(std::string_view key, bool fallback) -> bool;

    //! Index of the value in `allowed`, `fallback` if absent or wrong.
    auto choice(std::string_view key, const std::vector<std::string> &allowed, std::size_t fallback)
            -> std::size_t;

    //! Value of the key `log_level`, `Info` if absent or wrong.
    auto logLevel() -> base::log_level;

    //! Address and port; an absent key is an error only if `required`.
    auto endpoint(std::string_view key, bool required) -> membership::endpoint;

    //! Adds an error for the key, at its line if it is present.
    auto reject(std::string_view key, std::string message) -> void;

    //! Adds an error for each key that was never asked for.
    auto rejectUnknownKeys() -> void;

private:
    auto find(std::string_view key) -> const ini_entry *;

    const std::string &m_file;
    const ini_section &m_section;
    std::vector<diagnostic> &m_errors;
    std::set<std::string, std::less<>> m_known;
};

} // namespace hawthornpick::config
