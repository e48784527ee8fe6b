#pragma once

#include "config/diagnostic.h"

#include <compare>
#include <string>
#include <string_view>
#include <vector>

namespace hawthornpick::config {

//! One `key = value` line and its line number.
struct ini_entry
{
    std::string key;
    std::string value;
    int line = 0;

    auto operator<=>(const ini_entry &) const = default;
};

//! One section with its entries in file order. A key may occur more than once.
struct ini_section
{
    std::string name;
    int line = 0;
    std::vector<ini_entry> entries;

    auto operator<=>(const ini_section &) const = default;
};

struct ini_document
{
    std::string file;
    std::vector<ini_section> sections;

    auto operator<=>(const ini_document &) const = default;
};

//! Maximum line length in an INI file, a limit of the parser library.
inline constexpr std::size_t MAX_INI_LINE_BYTES = 198;

//! Parses INI text and appends syntax errors to `errors`. Thread safety: pure.
auto parseIni(std::string_view file, std::string_view text, std::vector<diagnostic> &errors)
        -> ini_document;

} // namespace hawthornpick::config
