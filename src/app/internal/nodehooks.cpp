#include "app/internal/nodehooks.h"

#include "base/awaitcallback.h"

#include <algorithm>

namespace hawthornpick::app {

namespace {

using base::awaitCallback;

auto convert(const limits::admission_result &result) -> caller::admission
{
    switch (result.verdict) {
    case limits::admission::Admitted:
        return {};
    case limits::admission::RateExceeded:
        return {base::error_kind::RateExceeded, result.retryAfter};
    case limits::admission::RateUnavailable:
        return {base::error_kind::RateUnavailable, result.retryAfter};
    }
    return {base::error_kind::RateUnavailable, result.retryAfter};
}

auto admit(limits::token_cache &tokens, base::organisation_id organisation)
        -> boost::asio::awaitable<caller::admission>
{
    const auto result = co_await awaitCallback<limits::admission_result>(
            [&tokens, &organisation](std::function<void(limits::admission_result)> done) {
                const auto known = tokens.take(organisation, base::clock::now(), done);
                if (known) {
                    done(*known);
                }
            });
    co_return convert(result);
}

struct claim_converter
{
    using target = caller::idempotency_claim;

    auto operator()(const atmostonce::claim_held &item) const -> target
    {
        return caller::idempotency_held{item.claim};
    }
    auto operator()(const atmostonce::claim_completed &item) const -> target
    {
        return caller::idempotency_replay{item.answer};
    }
    auto operator()(const atmostonce::claim_in_progress & /*item*/) const -> target
    {
        return base::error{base::error_kind::IdempotencyInProgress, {}};
    }
    auto operator()(const atmostonce::claim_mismatch & /*item*/) const -> target
    {
        return base::error{base::error_kind::IdempotencyMismatch, {}};
    }
    auto operator()(const atmostonce::claim_unknown & /*item*/) const -> target
    {
        return base::error{base::error_kind::OutcomeUnknown, {}};
    }
    auto operator()(const atmostonce::claim_unavailable & /*item*/) const -> target
    {
        return base::error{base::error_kind::IdempotencyUnavailable, {}};
    }
};

auto keyOf(const caller::idempotency_request &request) -> atmostonce::record_key
{
    return {request.organisation, request.key};
}

auto placeOf(const caller::idempotency_request &request) -> atmostonce::attempt_place
{
    return {request.attempt, request.chosen.id, request.chosen.incarnation};
}

auto claim(atmostonce::idempotency_client &client, caller::idempotency_request request)
        -> boost::asio::awaitable<caller::idempotency_claim>
{
    const auto result = co_await awaitCallback<atmostonce::claim_result>(
            [&client, &request](std::function<void(atmostonce::claim_result)> done) {
                client.claim({keyOf(request), request.digest, placeOf(request), request.recordLife},
                             std::move(done));
            });
    co_return std::visit(claim_converter{}, result);
}

auto renew(atmostonce::idempotency_client &client, caller::idempotency_request request,
           std::uint64_t held) -> boost::asio::awaitable<bool>
{
    co_return co_await awaitCallback<bool>(
            [&client, &request, held](std::function<void(bool)> done) {
                client.renew(keyOf(request), held, placeOf(request), std::move(done));
            });
}

// A suspect runs only on its owner; without a known owner it is not run.
auto chooseOwner(const health_control &health, const caller::selection_request &request,
                 policy::crash_fingerprint fingerprint) -> base::result<caller::chosen_node>
{
    const auto owner = health.suspectOwner(request.service.id, fingerprint);
    const auto *node = owner ? request.view.find(*owner) : nullptr;
    if (node == nullptr) {
        return base::fail(base::error_kind::CrashSuspected, "no node may run the suspect");
    }
    const auto &excluded = request.excluded;
    if (std::find(excluded.begin(), excluded.end(), node->id) != excluded.end()) {
        return base::fail(base::error_kind::CrashSuspected, "the suspect was refused or failed");
    }
    return caller::chosen_node{node->id, node->incarnation, node->peerAddress};
}

} // namespace

auto suspectAwareSelection(const health_control &health, decltype(caller::entry_hooks::select) next)
        -> decltype(caller::entry_hooks::select)
{
    return [&health, next = std::move(next)](
                   const caller::selection_request &request) -> base::result<caller::chosen_node> {
        const auto fingerprint = policy::crashFingerprint(request.organisation, request.route,
                                                          base::toBytes(request.fingerprint));
        switch (health.verdict(request.service.id, fingerprint)) {
        case policy::crash_verdict::Run:
            return next(request);
        case policy::crash_verdict::RunAlone:
            return chooseOwner(health, request, fingerprint);
        case policy::crash_verdict::Refuse:
            break;
        }
        return base::fail(base::error_kind::CrashSuspected, {});
    };
}

auto admissionHook(limits::token_cache &tokens) -> decltype(caller::entry_hooks::admit)
{
    return [&tokens](base::organisation_id organisation) {
        return admit(tokens, std::move(organisation));
    };
}

auto idempotencyHooks(atmostonce::idempotency_client &client) -> caller::idempotency_hooks
{
    caller::idempotency_hooks hooks;
    hooks.claim = [&client](caller::idempotency_request request) {
        return claim(client, std::move(request));
    };
    hooks.renew = [&client](caller::idempotency_request request, std::uint64_t held) {
        return renew(client, std::move(request), held);
    };
    hooks.complete = [&client](const caller::idempotency_request &request, std::uint64_t held,
                               std::string answer) {
        client.complete(keyOf(request), held, 0, std::move(answer), [](bool) {});
    };
    hooks.release = [&client](const caller::idempotency_request &request, std::uint64_t held) {
        client.release(keyOf(request), held, [](bool) {});
    };
    return hooks;
}

} // namespace hawthornpick::app
