#include "limits/internal/tokenbucket.h"

#include <CppUTest/TestHarness.h>

using namespace hawthornpick;
using namespace hawthornpick::limits;
using namespace std::chrono_literals;

TEST_GROUP(token_bucket_test){};

// Guards against refilling the bucket while granted tokens may still be used: one window would then
// have more than the burst.
TEST(token_bucket_test, grantedTokensCountAgainstTheBurst)
{
    base::time_point now{1h};
    token_bucket bucket(10.0, 5.0, 10.0, now);
    bucket.issue({base::node_id("a"), 1, 10, now + 530ms, false});
    bucket.refill(now + 500ms);
    DOUBLES_EQUAL(0.0, bucket.level(), 1e-9);
    bucket.refill(now + 1530ms);
    DOUBLES_EQUAL(5.0, bucket.level(), 1e-9);
}

// Guards against tokens of an expired grant that return to the bucket, and against a return that is
// counted twice.
TEST(token_bucket_test, returnsCountOnceAndNeverAfterExpiry)
{
    base::time_point now{1h};
    token_bucket bucket(10.0, 0.0, 10.0, now);
    bucket.issue({base::node_id("a"), 1, 4, now + 530ms, false});
    bucket.issue({base::node_id("a"), 2, 4, now + 530ms, false});
    CHECK_EQUAL(3, bucket.closeGrant(base::node_id("a"), 1, 3));
    CHECK_EQUAL(0, bucket.closeGrant(base::node_id("a"), 1, 3));
    bucket.refill(now + 531ms);
    CHECK_EQUAL(0, bucket.closeGrant(base::node_id("a"), 2, 4));
    DOUBLES_EQUAL(5.0, bucket.level(), 1e-9);
}

// Guards against a change of the limit that fills the bucket.
TEST(token_bucket_test, newLimitDoesNotRefill)
{
    base::time_point now{1h};
    token_bucket bucket(2.0, 1.0, 10.0, now);
    bucket.setLimit(100.0, 1000.0, now);
    DOUBLES_EQUAL(2.0, bucket.level(), 1e-9);
    bucket.setLimit(1.0, 1.0, now);
    DOUBLES_EQUAL(1.0, bucket.level(), 1e-9);
}
