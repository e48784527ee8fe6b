#pragma once

#include "atmostonce/attemptregistry.h"
#include "upstream/hooks.h"

namespace hawthornpick::upstream {

//! Returns the hook `executor_hooks::start` that marks attempts as started in `registry`.
//! Precondition: `registry` outlives the hook.
auto startHook(atmostonce::attempt_registry &registry) -> decltype(executor_hooks::start);

} // namespace hawthornpick::upstream
