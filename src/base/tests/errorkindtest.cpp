#include "base/errorkind.h"
#include "base/metrics.h"

#include <CppUTest/TestHarness.h>
#include <fstream>
#include <iterator>
#include <set>

using namespace hawthornpick::base;

TEST_GROUP(error_kind_table){};

// Guards against a row at the wrong index: callers would get the answer of another error kind.
TEST(error_kind_table, eachRowIsAtTheIndexOfItsKind)
{
    std::set<std::string_view> reasons;
    for (std::size_t i = 0; i < ERROR_KIND_COUNT; ++i) {
        const auto kind = errorKindFromNumber(static_cast<std::uint8_t>(i));
        CHECK(kind.has_value());
        CHECK(answerFor(*kind).kind == *kind);
        CHECK(answerFor(*kind).httpStatus >= 400 && answerFor(*kind).httpStatus <= 599);
        CHECK(!answerFor(*kind).description.empty());
        reasons.insert(answerFor(*kind).reason);
    }
    CHECK_EQUAL(ERROR_KIND_COUNT, reasons.size());
}

TEST(error_kind_table, unknownNumberFromNewerPeerIsRejected)
{
    CHECK(!errorKindFromNumber(static_cast<std::uint8_t>(ERROR_KIND_COUNT)));
    CHECK(!errorKindFromNumber(255));
}

// Guards against telling a caller to retry a request that may have been executed. A request whose
// Idempotency-Key is in use may be retried, as the key prevents a second execution.
TEST(error_kind_table, onlyKeyedRequestsMayBeRetriedIfTheyMayHaveRun)
{
    for (const auto &row : errorTable()) {
        if (row.result != outcome::NotRun && row.mayRetry) {
            CHECK(row.kind == error_kind::IdempotencyInProgress);
        }
    }
}

TEST(error_kind_table, everyKindHasRefusalAndRetryCounter)
{
    metrics nodeMetrics;
    nodeMetrics.countRefusal(error_kind::RateExceeded);
    nodeMetrics.countRetry(error_kind::QueueFull);
    const auto text = nodeMetrics.render();
    CHECK(text.find("hawthornpick_refusals_total{reason=\"rate_exceeded\"} 1")
          != std::string::npos);
    CHECK(text.find("hawthornpick_retries_total{reason=\"queue_full\"} 1") != std::string::npos);
    for (const auto &row : errorTable()) {
        const auto label = "{reason=\"" + std::string(row.reason) + "\"}";
        CHECK(text.find("hawthornpick_refusals_total" + label) != std::string::npos);
        CHECK(text.find("hawthornpick_retries_total" + label) != std::string::npos);
    }
}

// Guards against documentation of the errors that differs from the answers that callers get.
TEST(error_kind_table, documentationListsEveryRow)
{
    std::ifstream document(HAWTHORNPICK_SOURCE_DIR "/docs/ERRORS.md");
    const std::string text{std::istreambuf_iterator<char>(document), {}};
    for (const auto &row : errorTable()) {
        const auto line = "| `" + std::string(row.reason) + "` | " + std::to_string(row.httpStatus)
                          + " | " + std::string(outcomeName(row.result)) + " | "
                          + (row.mayRetry ? "yes" : "no") + " | " + std::string(row.description)
                          + " |\n";
        CHECK_TEXT(text.find(line) != std::string::npos, std::string(row.reason).c_str());
    }
}
