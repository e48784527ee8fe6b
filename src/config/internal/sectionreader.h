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

//! Maximum length of the name of an organisation, key, service, route, node, region or failure
//! domain.
inline constexpr std::size_t MAX_NAME_BYTES = 64;

//! Returns true for 1 to 64 letters, digits, `-`, `_` and `.`. Thread safety: pure.
auto isName(std::string_view text) -> bool;

//! Reads typed values of one section and appends an error for each required key that is missing,
//! each value that is malformed or out of range, and each key that is repeated or unknown. Thread
//! safety: one thread.
class section_reader
{
public:
    section_reader(const std::string &file, const ini_section &section,
                   std::vector<diagnostic> &errors);

    //! Returns the value, or nothing if the key is absent. A repeated key is an error.
    auto text(std::string_view key) -> std::optional<std::string>;

    //! As `text`, but an absent key or empty value is an error; returns an empty text after it.
    auto requiredText(std::string_view key) -> std::string;

    //! Returns a name as accepted by `isName`; returns an empty text after an error.
    auto requiredName(std::string_view key) -> std::string;

    //! Returns all entries of a key that may be repeated.
    auto repeatedEntries(std::string_view key) -> std::vector<ini_entry>;

    //! Returns a whole number in [minimum, maximum], or `fallback` if it is absent or invalid.
    auto wholeNumber(std::string_view key, std::uint64_t fallback, std::uint64_t minimum,
                     std::uint64_t maximum) -> std::uint64_t;

    //! Returns a decimal number in [minimum, maximum], or `fallback` if it is absent or invalid.
    auto decimal(std::string_view key, double fallback, double minimum, double maximum) -> double;

    //! Returns a duration that is written as a whole number of milliseconds without unit.
    auto wholeMilliseconds(std::string_view key, base::milliseconds fallback,
                           base::milliseconds minimum, base::milliseconds maximum)
            -> base::milliseconds;

    //! Returns a duration that is written with the unit `ms` or `s`, such as `1500ms` or `2.5s`.
    auto duration(std::string_view key, base::milliseconds fallback, base::milliseconds minimum,
                  base::milliseconds maximum) -> base::milliseconds;

    //! Returns true for `yes` and false for `no`, or `fallback` if it is absent or invalid.
    auto flag(std::string_view key, bool fallback) -> bool;

    //! Returns the index of the value in `allowed`, or `fallback` if it is absent or invalid.
    auto choice(std::string_view key, const std::vector<std::string> &allowed, std::size_t fallback)
            -> std::size_t;

    //! Returns the value of the key `log_level`, or `Info` if it is absent or invalid.
    auto logLevel() -> base::log_level;

    //! Returns an IP address with a port; an absent key is an error only if `required`.
    auto endpoint(std::string_view key, bool required) -> membership::endpoint;

    //! Appends an error for the key, with its first line, or the line of the section if the key is
    //! absent.
    auto reject(std::string_view key, std::string message) -> void;

    //! Appends an error for each key that no other member was called with.
    auto rejectUnknownKeys() -> void;

private:
    //! Returns the first entry of the key, or null if it is absent; a repeated key is an error.
    auto find(std::string_view key) -> const ini_entry *;

    const std::string &m_file;
    const ini_section &m_section;
    std::vector<diagnostic> &m_errors;
    std::set<std::string, std::less<>> m_knownKeys;
};

} // namespace hawthornpick::config
