#pragma once

#include <compare>
#include <string>

namespace hawthornpick::config {

//! One error in a settings or declarative file.
struct diagnostic
{
    std::string file;
    //! Starts at 1; 0 if the error belongs to the whole file.
    int line = 0;
    std::string section;
    std::string key;
    std::string message;

    auto operator<=>(const diagnostic &) const = default;
};

//! Returns "file:line: [section] key: message". Thread safety: pure.
auto toString(const diagnostic &item) -> std::string;

} // namespace hawthornpick::config
