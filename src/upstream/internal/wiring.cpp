#include "upstream/wiring.h"

namespace hawthornpick::upstream {

namespace {

auto toResult(atmostonce::start_result outcome) -> base::result<void>
{
    using atmostonce::start_result;
    switch (outcome) {
    case start_result::Started:
        return {};
    case start_result::AlreadyStarted:
        return base::fail(base::error_kind::OutcomeUnknown,
                          "the attempt was already started on this node");
    case start_result::Fenced:
        // The entry node fenced the attempt and no longer waits for its answer.
        return base::fail(base::error_kind::CallerGone, "the entry node has fenced the attempt");
    case start_result::Full:
        return base::fail(base::error_kind::QueueFull, "the attempt registry of this node is full");
    }
    return base::fail(base::error_kind::InternalError);
}

} // namespace

auto startHook(atmostonce::attempt_registry &registry) -> decltype(executor_hooks::start)
{
    return [&registry](const attempt_request &request) {
        return toResult(registry.start(request.attempt));
    };
}

} // namespace hawthornpick::upstream
