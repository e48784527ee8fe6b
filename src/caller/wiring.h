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

//! Retry budgets of all services. Thread safety: any thread; the map of budgets is locked for each
//! look-up.
class service_budgets
{
public:
    //! Adds the first attempt of a request to the budget of its service.
    auto onFirstAttempt(const config::service &service, const base::organisation_id &organisation)
            -> void;
    //! Takes one retry from the budget of the service; false if it is used up.
    auto tryRetry(const config::service &service, const base::organisation_id &organisation)
            -> bool;

private:
    auto findBudget(const config::service &service) -> policy::retry_budget &;

    std::mutex m_mutex;
    std::unordered_map<base::service_id, std::unique_ptr<policy::retry_budget>> m_budgets;
};

//! Returns hooks that choose nodes with `selector`, report the load and the refusals of nodes to
//! it, and limit retries by `budgets`. The other hooks are empty. `evacuations` returns those in
//! force; null means that there are none. Precondition: `selector` and `budgets` outlive the hooks.
auto policyHooks(policy::selector &selector, service_budgets &budgets,
                 std::function<base::evacuation_list()> evacuations = nullptr) -> entry_hooks;

//! Returns a hook that asks the executing node through `fences` whether an attempt has started, and
//! keeps it from starting later. Precondition: `fences` outlives the hook.
auto fenceHook(atmostonce::fence_client &fences) -> decltype(entry_hooks::fence);

} // namespace hawthornpick::caller
