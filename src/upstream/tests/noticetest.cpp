#include "upstream/notice.h"

#include <CppUTest/TestHarness.h>

using namespace hawthornpick;
using upstream::parseRequestLimit;

namespace {

const upstream::wire_profile WIRE;

auto noticeOf(const std::vector<std::string> &limits, const std::string &leaving = "")
        -> upstream::upstream_notice
{
    boost::beast::http::fields headers;
    for (const auto &limit : limits) {
        headers.insert(WIRE.requestLimit, limit);
    }
    if (!leaving.empty()) {
        headers.insert(WIRE.leaving, leaving);
    }
    return upstream::noticeIn(headers, WIRE);
}

} // namespace

TEST_GROUP(notice){};

// Guards against text that is taken for a limit, such as one that allows nothing or everything.
TEST(notice, onlyDecimalNumbersAreLimits)
{
    CHECK(parseRequestLimit("2.7") == 2.7);
    CHECK(parseRequestLimit(" 10 ") == 10.0);
    CHECK(parseRequestLimit("0") == 0.0);
    CHECK(parseRequestLimit(".5") == 0.5);
    for (const auto *text : {"", " ", ".", "-1", "+1", "1e3", "inf", "nan", "1,5", "1 2", "0x10"}) {
        CHECK_TEXT(!parseRequestLimit(text), text);
    }
    CHECK(!parseRequestLimit(std::string(400, '9')));
}

// Guards against a limit that is lost beside one that can't be read, and against several limits of
// which the highest counts.
TEST(notice, lowestLimitHolds)
{
    CHECK(noticeOf({}) == upstream::upstream_notice{});
    CHECK((noticeOf({"3", "2", "x"}) == upstream::upstream_notice{2.0, true, false}));
    CHECK((noticeOf({"x"}) == upstream::upstream_notice{std::nullopt, true, false}));
}

TEST(notice, onlyTheValueOneMeansLeaving)
{
    CHECK(noticeOf({}, "1").isLeaving);
    CHECK(!noticeOf({}, "0").isLeaving);
    CHECK(!noticeOf({}, "true").isLeaving);
}
