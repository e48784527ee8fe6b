#pragma once

#include <compare>
#include <string>

namespace hawthornpick::config {

//! One error in a settings file or declarative configuration.
struct diagnostic
{
    std::string file;
    //! Line number, starting at 1; 0 if the error applies to no particular line.
    int line = 0;
    std::string section;
    std::string key;
    std::string message;

    auto operator<=>(const diagnostic &) const = default;
};

//! Returns "file:line: [section] key: message", without the line, section or key that the
//! diagnostic does not have. Thread safety: pure.
auto toString(const diagnostic &item) -> std::string;

} // namespace hawthornpick::config
