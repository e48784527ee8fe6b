#pragma once

#include "atmostonce/attemptregistry.h"
#include "upstream/hooks.h"

namespace hawthornpick::upstream {

//! Returns the start hook that marks attempts in `registry`. Precondition: `registry` outlives it.
auto startHook(atmostonce::attempt_registry &registry) -> decltype(executor_hooks::start);

} // namespace hawthornpick::upstream
