#pragma once

#include "atmostonce/fence.h"
#include "caller/hooks.h"
#include "policy/retrybudget.h"
#include "policy/selector.h"

#include <functional>
#include <memory>
#include <mutex>
#include <unordered_map>

namespace hawthornpick::caller {

//! Retry budgets of all services. Thread safety: any thread; one short lock.
class service_budgets
{
public:
    auto onFirstAttempt(const config::service &service, const base::organisation_id &organisation)
            -> void;
    auto tryRetry(const config::service &service, const base::organisation_id &organisation)
            -> bool;

private:
    auto budgetOf(const config::service &service) -> policy::retry_budget &;

    std::mutex m_mutex;
    std::unordered_map<base::service_id, std::unique_ptr<policy::retry_budget>> m_budgets;
};

//! Returns hooks that select with `selector`, feed it with loads and refusals, and limit retries.
//! The other hooks are empty. Precondition: the arguments outlive the hooks.
auto policyHooks(policy::selector &selector, service_budgets &budgets) -> entry_hooks;

//! Returns the fence hook. Precondition: `fences` outlives the hook.
auto fenceHook(atmostonce::fence_client &fences) -> decltype(entry_hooks::fence);

} // namespace hawthornpick::caller
