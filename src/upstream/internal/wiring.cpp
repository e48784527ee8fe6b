#include "upstream/wiring.h"

namespace hawthornpick::upstream {

namespace {

auto refusalOf(atmostonce::start_result result) -> base::result<void>
{
    using atmostonce::start_result;
    switch (result) {
    case start_result::Started:
        return {};
    case start_result::AlreadyStarted:
        return base::fail(base::error_kind::OutcomeUnknown, "the attempt was started before");
    case start_result::Fenced:
        // Nobody waits for this attempt: its entry node has fenced it.
        return base::fail(base::error_kind::CallerGone, "the attempt is fenced");
    case start_result::Full:
        return base::fail(base::error_kind::QueueFull, "the attempt registry is full");
    }
    return base::fail(base::error_kind::InternalError);
}

} // namespace

auto startHook(atmostonce::attempt_registry &registry) -> decltype(executor_hooks::start)
{
    return [&registry](const attempt_request &request) {
        return refusalOf(registry.start(request.attempt));
    };
}

} // namespace hawthornpick::upstream
