#include "policy/retrybudget.h"

#include <CppUTest/TestHarness.h>

using namespace hawthornpick;
using namespace hawthornpick::policy;

TEST_GROUP(retry_budget){};

// Guards against retries that multiply an overload.
TEST(retry_budget, retriesStayWithinTheShareOfFirstAttempts)
{
    retry_budget budget(20);
    int retries = 0;
    for (int i = 0; i < 1000; ++i) {
        budget.onFirstAttempt();
        retries += budget.tryRetry() ? 1 : 0;
        retries += budget.tryRetry() ? 1 : 0;
    }
    CHECK(retries <= 1000 * 20 / 100 + 10);
    CHECK(retries >= 1000 * 20 / 100);
}

// Guards against credit saved in quiet hours that allows a storm of retries.
TEST(retry_budget, savedRetriesAreBounded)
{
    retry_budget budget(100);
    for (int i = 0; i < 1000; ++i) {
        budget.onFirstAttempt();
    }
    int retries = 0;
    while (budget.tryRetry()) {
        ++retries;
    }
    CHECK_EQUAL(10, retries);
}

// Guards against retries in step and against delays that use up the deadline.
TEST(retry_budget, delayIsRandomAndBounded)
{
    base::random_source random(1);
    CHECK(retryDelay(1, random) != retryDelay(1, random));
    for (std::uint32_t retry = 1; retry < 50; ++retry) {
        CHECK(retryDelay(retry, random) <= base::milliseconds(100));
    }
}
