#include "operators/operatorserver.h"
#include "operators/apitypes.h"
#include "webapi/client.h"

#include <CppUTest/TestHarness.h>
#include <atomic>
#include <thread>

using namespace hawthornpick;
using namespace hawthornpick::operators;

namespace {

const std::string OPERATOR_KEY = "an operator key of enough bytes";

auto makeFleetAccess(std::atomic<int> &applyCalls) -> fleet_access
{
    fleet_access access;
    access.apply = [&applyCalls](change_request request, const auto &done) {
        ++applyCalls;
        if (request.baseVersion == 0) {
            done({change_state::InForce, 1, "d1", ""});
            return;
        }
        done({change_state::Rejected, 1, "d1", "base version is not the newest"});
    };
    access.changeResult = [](const std::string &changeId, const auto &done) {
        done({changeId == "c1" ? change_state::InForce : change_state::Undecided, 1, "", ""});
    };
    access.history = [](const auto &done) {
        done({{1, "d1", "c1"}});
    };
    access.status = [](const auto &done) {
        done({true, true, "n1", 1, 1, {"n1"}, {}});
    };
    access.configuration = [] {
        return std::make_shared<const config::snapshot>();
    };
    access.evacuationRefusal = [](const base::failure_domain_id &failureDomain, bool /*starts*/) {
        return failureDomain.str() == "d1" ? "" : "no such failure domain";
    };
    access.isCurrent = [] {
        return true;
    };
    access.view = [] {
        return std::make_shared<const membership::view>();
    };
    return access;
}

} // namespace

TEST_GROUP(operator_server_test)
{
    std::atomic<int> m_applyCalls{0};
    boost::asio::io_context m_context{1};
    std::unique_ptr<operator_server> m_server =
            std::make_unique<operator_server>(m_context, membership::endpoint{"127.0.0.1", 0},
                                              OPERATOR_KEY, makeFleetAccess(m_applyCalls));
    membership::endpoint m_address = m_server->address();
    std::thread m_thread{[this] {
        m_context.run();
    }};

    auto send(const std::string &method, const std::string &path, const std::string &body,
              const std::string &token)
            ->webapi::response
    {
        return webapi::call(m_address, {method, path, {}, token, body}, std::chrono::seconds(10))
                .value();
    }

    auto teardown()->void override
    {
        m_context.stop();
        m_thread.join();
        m_server.reset();
    }
};

// Guards against an interface that accepts requests from any client that can reach its address.
TEST(operator_server_test, requestsWithoutOperatorKeyAreRejected)
{
    for (const auto *path :
         {"/v1/changes/c1", "/v1/status", "/v1/node", "/v1/members", "/v1/history"}) {
        CHECK_EQUAL(401U, send("GET", path, "", "").status);
        CHECK_EQUAL(401U, send("GET", path, "", "a wrong key of many bytes").status);
        CHECK_EQUAL(200U, send("GET", path, "", OPERATOR_KEY).status);
    }
    CHECK_EQUAL(401U, send("POST", "/v1/changes", "{}", "").status);
}

TEST(operator_server_test, changeIsAppliedOrRejectedWithNewestDigest)
{
    const change_submission first{"c1", 0, {{"a.ini", "[service kitchen]\n"}}};
    const auto accepted = send("POST", "/v1/changes", toJson(first), OPERATOR_KEY);
    CHECK_EQUAL(200U, accepted.status);
    CHECK(parseChangeAnswer(accepted.body)->state == change_state::InForce);
    const change_submission second{"c2", 7, first.files};
    const auto rejected = send("POST", "/v1/changes", toJson(second), OPERATOR_KEY);
    CHECK_EQUAL(409U, rejected.status);
    STRCMP_EQUAL("d1", parseChangeAnswer(rejected.body)->digest.c_str());
}

// Guards against an evacuation of a misspelt domain that is applied, and a malformed order that is
// read as a start.
TEST(operator_server_test, evacuationIsAppliedUnlessItIsRefused)
{
    const auto post = [&](const std::string &body) {
        return send("POST", "/v1/evacuations", body, OPERATOR_KEY);
    };
    const evacuation_submission order{"c1", base::failure_domain_id("d1"), false};
    CHECK(parseEvacuationSubmission(toJson(order)) == order);
    CHECK_EQUAL(200U, post(toJson(order)).status);
    CHECK_EQUAL(1, m_applyCalls.load());
    const auto refused = post(toJson(evacuation_submission{"c2", base::failure_domain_id("d2")}));
    CHECK_EQUAL(409U, refused.status);
    STRCMP_EQUAL("no such failure domain", parseChangeAnswer(refused.body)->reason.c_str());
    CHECK_EQUAL(400U, post(R"({"change_id":"c3","failure_domain":"d1","order":"stop"})").status);
    CHECK_EQUAL(1, m_applyCalls.load());
}

// Guards against an invalid configuration that is appended to the replicated log.
TEST(operator_server_test, invalidConfigurationIsRejectedWithErrorsAndNotApplied)
{
    const change_submission bad{"c1", 0, {{"a.ini", "[service k]\nfloor = 2\n[route r]\n"}}};
    const auto answer = send("POST", "/v1/changes", toJson(bad), OPERATOR_KEY);
    CHECK_EQUAL(422U, answer.status);
    STRCMP_CONTAINS("\"line\":2", answer.body.c_str());
    STRCMP_CONTAINS("[\"errors\"", ("[" + answer.body.substr(1)).c_str());
    CHECK_EQUAL(400U, send("POST", "/v1/changes", "not json", OPERATOR_KEY).status);
    CHECK_EQUAL(0, m_applyCalls.load());
}

TEST(operator_server_test, statusAndHistoryAreJson)
{
    STRCMP_CONTAINS("\"leader\":\"n1\"", send("GET", "/v1/status", "", OPERATOR_KEY).body.c_str());
    STRCMP_CONTAINS("\"change_id\":\"c1\"",
                    send("GET", "/v1/history", "", OPERATOR_KEY).body.c_str());
    CHECK_EQUAL(202U, send("GET", "/v1/changes/other", "", OPERATOR_KEY).status);
}
