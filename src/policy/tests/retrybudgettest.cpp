#include "policy/retrybudget.h"

#include <CppUTest/TestHarness.h>

using namespace hawthornpick;
using namespace hawthornpick::policy;

namespace {

const base::organisation_id ORGANISATION("large");

} // namespace

TEST_GROUP(retry_budget){};

// Guards against retries that multiply an overload.
TEST(retry_budget, retriesStayWithinTheShareOfFirstAttempts)
{
    retry_budget budget(20);
    int retries = 0;
    for (int i = 0; i < 1000; ++i) {
        budget.onFirstAttempt(ORGANISATION);
        retries += budget.tryRetry(ORGANISATION) ? 1 : 0;
        retries += budget.tryRetry(ORGANISATION) ? 1 : 0;
    }
    CHECK(retries <= 1000 * 20 / 100 + 10);
    CHECK(retries >= 1000 * 20 / 100);
}

// Guards against a budget that grows without limit at low load and allows a storm of retries.
TEST(retry_budget, unusedRetriesAreBounded)
{
    retry_budget budget(100);
    for (int i = 0; i < 1000; ++i) {
        budget.onFirstAttempt(ORGANISATION);
    }
    int retries = 0;
    while (budget.tryRetry(ORGANISATION)) {
        ++retries;
    }
    CHECK_EQUAL(10, retries);
}

// Guards against an organisation that is refused often and uses up the retries of the others.
TEST(retry_budget, organisationsHaveSeparateBudgets)
{
    retry_budget budget(20);
    while (budget.tryRetry(ORGANISATION)) {
    }
    CHECK(budget.tryRetry(base::organisation_id("small")));
}

// Guards against synchronised retries, and against delays that use up the deadline.
TEST(retry_budget, delayIsRandomAndBounded)
{
    base::random_source random(1);
    CHECK(retryDelay(1, random) != retryDelay(1, random));
    for (std::uint32_t retry = 1; retry < 50; ++retry) {
        CHECK(retryDelay(retry, random) <= base::milliseconds(100));
    }
}
