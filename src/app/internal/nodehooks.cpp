#include "app/internal/nodehooks.h"

#include "app/internal/crashcontrol.h"
#include "base/awaitcallback.h"

#include <algorithm>
#include <atomic>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>

namespace hawthornpick::app {

namespace {

using base::awaitCallback;

//! Time for which a response waits until it is stored for repeats. Covers several round trips
//! between regions; a caller should not wait for records that can't be reached.
constexpr base::milliseconds MAX_STORE_WAIT{500};

auto toAdmission(const limits::admission_result &result) -> caller::admission
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
                const auto immediate = tokens.take(organisation, base::clock::now(), done);
                if (immediate) {
                    done(*immediate);
                }
            });
    co_return toAdmission(result);
}

struct claim_converter
{
    using claim_outcome = caller::idempotency_claim;

    auto operator()(const atmostonce::claim_held &item) const -> claim_outcome
    {
        return caller::idempotency_held{item.claim};
    }
    auto operator()(const atmostonce::claim_completed &item) const -> claim_outcome
    {
        return caller::idempotency_replay{item.answer};
    }
    auto operator()(const atmostonce::claim_in_progress & /*item*/) const -> claim_outcome
    {
        return base::error{base::error_kind::IdempotencyInProgress, {}};
    }
    auto operator()(const atmostonce::claim_mismatch & /*item*/) const -> claim_outcome
    {
        return base::error{base::error_kind::IdempotencyMismatch, {}};
    }
    auto operator()(const atmostonce::claim_unknown & /*item*/) const -> claim_outcome
    {
        return base::error{base::error_kind::OutcomeUnknown, {}};
    }
    auto operator()(const atmostonce::claim_unavailable & /*item*/) const -> claim_outcome
    {
        return base::error{base::error_kind::IdempotencyUnavailable, {}};
    }
};

auto recordKey(const caller::idempotency_request &request) -> atmostonce::record_key
{
    return {request.organisation, request.key};
}

auto attemptPlace(const caller::idempotency_request &request) -> atmostonce::attempt_place
{
    return {request.attempt, request.chosen.id, request.chosen.incarnation};
}

auto claim(atmostonce::idempotency_client &client, caller::idempotency_request request)
        -> boost::asio::awaitable<caller::idempotency_claim>
{
    const auto result = co_await awaitCallback<atmostonce::claim_result>(
            [&client, &request](std::function<void(atmostonce::claim_result)> done) {
                client.claim({recordKey(request), request.digest, attemptPlace(request),
                              request.recordLifetime},
                             std::move(done));
            });
    co_return std::visit(claim_converter{}, result);
}

auto renew(atmostonce::idempotency_client &client, caller::idempotency_request request,
           std::uint64_t claimId) -> boost::asio::awaitable<bool>
{
    co_return co_await awaitCallback<bool>(
            [&client, &request, claimId](std::function<void(bool)> done) {
                client.renew(recordKey(request), claimId, attemptPlace(request), std::move(done));
            });
}

// Returns false after `MAX_STORE_WAIT`; the response is stored all the same if that is possible.
auto complete(atmostonce::idempotency_client &client, caller::idempotency_request request,
              std::uint64_t claimId, std::string answer) -> boost::asio::awaitable<bool>
{
    const auto executor = co_await boost::asio::this_coro::executor;
    co_return co_await awaitCallback<bool>([&](std::function<void(bool)> done) {
        const auto finish = [isDone = std::make_shared<std::atomic<bool>>(false),
                             done = std::move(done)](bool isStored) {
            if (!isDone->exchange(true)) {
                done(isStored);
            }
        };
        const auto timer = std::make_shared<boost::asio::steady_timer>(executor, MAX_STORE_WAIT);
        timer->async_wait([timer, finish](const auto & /*failure*/) { finish(false); });
        client.complete(recordKey(request), claimId, 0, std::move(answer), finish);
    });
}

// Selects the owner of a crash suspect, the only node that may run it. Fails if the owner is
// unknown or was already tried.
auto selectOwner(const health_control &health, const caller::selection_request &request,
                 const base::evacuation_list &evacuations, policy::crash_fingerprint fingerprint)
        -> base::result<caller::chosen_node>
{
    const auto ownerId = health.suspectOwner(request.service.id, fingerprint);
    const auto *owner = ownerId ? request.view.find(*ownerId) : nullptr;
    if (owner == nullptr) {
        return base::fail(base::error_kind::CrashSuspected,
                          "the node that may run this crash suspect is unknown or not in the "
                          "membership view");
    }
    const auto &excludedNodes = request.excludedNodes;
    if (std::find(excludedNodes.begin(), excludedNodes.end(), owner->id) != excludedNodes.end()) {
        return base::fail(base::error_kind::CrashSuspected,
                          "the only node that may run this crash suspect refused or failed it");
    }
    if (const auto refusal =
                request.scope(evacuations).refusalFor(owner->region, owner->failureDomain)) {
        return base::fail(*refusal, "the only node that may run this crash suspect is out of the "
                                    "allowed regions or evacuated");
    }
    return caller::chosen_node{owner->id, owner->incarnation, owner->peerAddress};
}

} // namespace

auto crashAwareSelection(const health_control &health,
                         std::function<base::evacuation_list()> evacuations,
                         decltype(caller::entry_hooks::selectNode) next)
        -> decltype(caller::entry_hooks::selectNode)
{
    return [&health, evacuations = std::move(evacuations), next = std::move(next)](
                   const caller::selection_request &request) -> base::result<caller::chosen_node> {
        const auto fingerprint = crashFingerprintOf(request);
        switch (health.crashVerdict(request.service.id, fingerprint)) {
        case policy::crash_verdict::Run:
            return next(request);
        case policy::crash_verdict::RunAlone:
            return selectOwner(health, request, evacuations(), fingerprint);
        case policy::crash_verdict::Refuse:
            break;
        }
        return base::fail(base::error_kind::CrashSuspected, {});
    };
}

auto admissionHook(limits::token_cache &tokens) -> decltype(caller::entry_hooks::takeRateToken)
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
    hooks.renew = [&client](caller::idempotency_request request, std::uint64_t claimId) {
        return renew(client, std::move(request), claimId);
    };
    hooks.complete = [&client](caller::idempotency_request request, std::uint64_t claimId,
                               std::string answer) {
        return complete(client, std::move(request), claimId, std::move(answer));
    };
    hooks.release = [&client](const caller::idempotency_request &request, std::uint64_t claimId) {
        client.release(recordKey(request), claimId, [](bool) {});
    };
    return hooks;
}

} // namespace hawthornpick::app
