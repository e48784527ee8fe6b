#include "control/controlnode.h"
#include "peer/runtime.h"

namespace hawthornpick::control {

auto control_node::registerWith(peer::control_runtime &runtime) -> void
{
    for (const auto kind : {base::channel::Currency, base::channel::Lease, base::channel::Consensus,
                            base::channel::Distribution}) {
        runtime.onMessage(kind, [this, kind](const auto &from, auto payload, auto now) {
            return receive(from, kind, payload, now);
        });
    }
    runtime.onTick([this](auto now) { return tick(now); });
}

} // namespace hawthornpick::control
