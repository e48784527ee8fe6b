#pragma once

#include "config/diagnostic.h"
#include "config/model.h"

#include <compare>
#include <string>
#include <tl/expected.hpp>
#include <vector>

namespace hawthornpick::config {

//! Name and content of one declarative configuration file.
struct declaration_file
{
    std::string name;
    std::string text;

    auto operator<=>(const declaration_file &) const = default;
};

//! Maximum total size of the files of one set.
inline constexpr std::size_t MAX_DECLARATION_BYTES = 64ULL * 1024 * 1024;
//! Maximum numbers of items in one set. They exceed the design size of 85,000 organisations and
//! 3,600 routes.
inline constexpr std::size_t MAX_ORGANISATIONS = 200'000;
inline constexpr std::size_t MAX_KEYS = 400'000;
inline constexpr std::size_t MAX_SERVICES = 2'000;
inline constexpr std::size_t MAX_ROUTES = 20'000;

using declaration_result = tl::expected<config_set, std::vector<diagnostic>>;

//! Parses and validates the files of one set; returns the set, or all errors found.
//! Thread safety: pure.
auto parseDeclaration(const std::vector<declaration_file> &files) -> declaration_result;

//! Checks the references between the items of a set, their limits and their numbers, whether the
//! set was read from files or not. The errors have no file and line.
//! Thread safety: pure.
auto validate(const config_set &set) -> std::vector<diagnostic>;

//! Reads all `*.ini` files of a folder in the order of their names. The folder is read twice, and
//! it is an error if the results differ, because then the files are still being written.
//! Thread safety: any thread; blocks on the file system.
auto readDeclarationFolder(const std::string &folder)
        -> tl::expected<std::vector<declaration_file>, std::vector<diagnostic>>;

//! Returns one line for each organisation, key, service and route that was added (`+`), removed
//! (`-`) or changed (`~`) from `older` to `newer`. Thread safety: pure.
auto describeDifference(const config_set &older, const config_set &newer)
        -> std::vector<std::string>;

} // namespace hawthornpick::config
