#include "config/snapshot.h"

#include <CppUTest/TestHarness.h>

using namespace hawthornpick;
using namespace hawthornpick::config;

namespace {

auto makeRoute(const std::string &id, const std::string &host, const std::string &path,
               std::vector<std::string> methods) -> route
{
    route item;
    item.id = base::route_id(id);
    item.host = host;
    item.pathPrefix = path;
    item.methods = std::move(methods);
    return item;
}

} // namespace

TEST_GROUP(snapshot_test){};

TEST(snapshot_test, mostSpecificRouteIsMatched)
{
    config_set set;
    set.routes = {makeRoute("a", "", "/", {}), makeRoute("b", "", "/diary", {}),
                  makeRoute("c", "", "/diary", {"POST"}),
                  makeRoute("d", "shop.example", "/", {"GET"})};
    const snapshot current(3, set);
    const auto matchedId = [&current](const char *host, const char *path, const char *method) {
        const auto match = current.match(host, path, method);
        return match.found == nullptr ? std::string() : match.found->id.str();
    };
    STRCMP_EQUAL("a", matchedId("x", "/", "GET").c_str());
    STRCMP_EQUAL("b", matchedId("x", "/diary/today", "GET").c_str());
    STRCMP_EQUAL("c", matchedId("x", "/diary", "POST").c_str());
    STRCMP_EQUAL("a", matchedId("x", "/diaryother", "GET").c_str());
    STRCMP_EQUAL("d", matchedId("shop.example", "/diary", "GET").c_str());
    STRCMP_EQUAL("b", matchedId("shop.example", "/diary", "DELETE").c_str());
}

TEST(snapshot_test, methodMismatchIsDistinguishedFromNoRoute)
{
    config_set set;
    set.routes = {makeRoute("a", "", "/diary", {"GET"})};
    const snapshot current(1, set);
    CHECK(current.match("", "/diary", "POST").methodMismatch);
    CHECK(!current.match("", "/other", "POST").methodMismatch);
}

TEST(snapshot_test, keyIsFoundByTheDigestOfItsPlainText)
{
    config_set set;
    set.keys = {{base::key_id("k1"), base::organisation_id("o"), base::sha256("secret one")},
                {base::key_id("k2"), base::organisation_id("o"), base::sha256("secret two")}};
    const snapshot current(1, set);
    CHECK(current.keyByDigest(base::sha256("secret two"))->id == base::key_id("k2"));
    POINTERS_EQUAL(nullptr, current.keyByDigest(base::sha256("secret three")));
}
