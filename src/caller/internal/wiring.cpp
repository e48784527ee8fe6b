#include "caller/wiring.h"

#include "base/awaitcallback.h"

namespace hawthornpick::caller {

namespace {

auto selectWith(policy::selector &selector, const base::evacuation_list &evacuations,
                const selection_request &input) -> base::result<chosen_node>
{
    policy::selection_request request;
    request.service = input.service.id;
    request.warmUpDuration = input.service.warmUp;
    request.idempotent = input.idempotent;
    request.expectedBytes = input.bodyBytes;
    request.excludedNodes = input.excludedNodes;
    request.organisation = input.organisation;
    request.scope = input.scope(evacuations);
    const auto chosen = selector.choose(input.view, request, base::clock::now());
    if (!chosen) {
        return tl::unexpected(chosen.error());
    }
    return chosen_node{chosen->node->id, chosen->node->incarnation, chosen->node->peerAddress};
}

// An attempt that was run and reported a load counts as answered, whatever its outcome.
auto reportToSelector(policy::selector &selector, const attempt_report &report) -> void
{
    const auto now = base::clock::now();
    const bool isRefused = report.failure && base::isNotRun(*report.failure);
    if (report.load && !isRefused) {
        selector.onAnswer(report.service, report.chosen.id, *report.load, now);
        return;
    }
    const auto kind = report.failure.value_or(base::error_kind::OutcomeUnknown);
    selector.onRefusal(report.service, report.chosen.id, report.organisation, kind, now);
}

} // namespace

auto service_budgets::findBudget(const config::service &service) -> policy::retry_budget &
{
    const std::lock_guard lock(m_mutex);
    auto &budget = m_budgets[service.id];
    if (!budget) {
        budget = std::make_unique<policy::retry_budget>(service.retryPercent);
    }
    budget->setRetryPercent(service.retryPercent);
    return *budget;
}

auto service_budgets::onFirstAttempt(const config::service &service,
                                     const base::organisation_id &organisation) -> void
{
    findBudget(service).onFirstAttempt(organisation);
}

auto service_budgets::tryRetry(const config::service &service,
                               const base::organisation_id &organisation) -> bool
{
    return findBudget(service).tryRetry(organisation);
}

auto policyHooks(policy::selector &selector, service_budgets &budgets,
                 std::function<base::evacuation_list()> evacuations) -> entry_hooks
{
    entry_hooks hooks;
    hooks.selectNode = [&selector,
                        evacuations = std::move(evacuations)](const selection_request &input) {
        return selectWith(selector, evacuations ? evacuations() : base::evacuation_list(), input);
    };
    hooks.onAttemptEnd = [&selector](const attempt_report &report) {
        reportToSelector(selector, report);
    };
    hooks.onFirstAttempt = [&budgets](const config::service &service,
                                      const base::organisation_id &organisation) {
        budgets.onFirstAttempt(service, organisation);
    };
    hooks.takeRetry = [&budgets](const config::service &service,
                                 const base::organisation_id &organisation) {
        return budgets.tryRetry(service, organisation);
    };
    return hooks;
}

auto fenceHook(atmostonce::fence_client &fences) -> decltype(entry_hooks::fence)
{
    return [&fences](base::attempt_id attempt, chosen_node chosen) -> boost::asio::awaitable<bool> {
        using atmostonce::fence_answer;
        const atmostonce::attempt_place place{attempt, chosen.id, chosen.incarnation};
        const auto answer = co_await base::awaitCallback<fence_answer>(
                [&fences, place](std::function<void(fence_answer)> done) {
                    fences.ask(place, atmostonce::fence_client::DEFAULT_LIMIT, std::move(done));
                });
        co_return answer == fence_answer::NotStarted;
    };
}

} // namespace hawthornpick::caller
