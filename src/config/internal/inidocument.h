#pragma once

#include "config/diagnostic.h"

#include <compare>
#include <string>
#include <string_view>
#include <vector>

namespace hawthornpick::config {

//! One `key = value` line.
struct ini_entry
{
    std::string key;
    std::string value;
    int line = 0;

    auto operator<=>(const ini_entry &) const = default;
};

//! One section with its entries in the order of the file. Keys may repeat.
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

//! Longest line of an INI file, a limit of the parser library.
inline constexpr std::size_t MAX_INI_LINE_BYTES = 198;

//! Parses INI text and appends errors of form to `errors`. Thread safety: pure.
auto parseIni(std::string_view file, std::string_view text, std::vector<diagnostic> &errors)
        -> ini_document;

} // namespace hawthornpick::config
