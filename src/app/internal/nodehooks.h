#pragma once

#include "app/internal/controlplane.h"
#include "app/internal/healthcontrol.h"
#include "caller/hooks.h"
#include "upstream/hooks.h"

namespace hawthornpick::app {

//! Returns the rate hook of the entry side. Precondition: `tokens` outlives the hook.
auto admissionHook(limits::token_cache &tokens) -> decltype(caller::entry_hooks::admit);

//! Returns the idempotency hooks of the entry side. Precondition: `client` outlives the hooks.
auto idempotencyHooks(atmostonce::idempotency_client &client) -> caller::idempotency_hooks;

//! Returns `next` preceded by the check for requests that crashed upstreams: such a request runs
//! on one node only or is refused. Precondition: `health` outlives the hook.
auto suspectAwareSelection(const health_control &health, decltype(caller::entry_hooks::select) next)
        -> decltype(caller::entry_hooks::select);

} // namespace hawthornpick::app
