#pragma once

#include "app/internal/controlplane.h"
#include "app/internal/healthcontrol.h"
#include "caller/hooks.h"
#include "upstream/hooks.h"

namespace hawthornpick::app {

//! Returns the rate limit check of the entry node. Precondition: `tokens` outlives the hook.
auto admissionHook(limits::token_cache &tokens) -> decltype(caller::entry_hooks::takeRateToken);

//! Returns the idempotency hooks of the entry node. Precondition: `client` outlives the hooks.
auto idempotencyHooks(atmostonce::idempotency_client &client) -> caller::idempotency_hooks;

//! Wraps the node selection `next` with a check for requests that are suspected of crashing
//! upstreams: such a request is refused or runs only on the node that owns it. Precondition:
//! `health` outlives the hook.
auto crashAwareSelection(const health_control &health,
                         std::function<base::evacuation_list()> evacuations,
                         decltype(caller::entry_hooks::selectNode) next)
        -> decltype(caller::entry_hooks::selectNode);

} // namespace hawthornpick::app
