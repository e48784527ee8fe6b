#pragma once

namespace hawthornpick::app {

//! Exit codes of the program. docs/OPERATIONS.md documents them.
enum class exit_code : int {
    Success = 0,
    Failure = 1,
    Usage = 2,
    InvalidInput = 3,
    Rejected = 4,
    Undecided = 5,
    Unreachable = 6,
};

} // namespace hawthornpick::app
