#include "webapi/server.h"
#include "webapi/client.h"

#include <CppUTest/TestHarness.h>
#include <boost/asio/executor_work_guard.hpp>
#include <stdexcept>
#include <thread>

using namespace hawthornpick;
using namespace hawthornpick::webapi;

namespace {

auto handle(request incoming) -> boost::asio::awaitable<response>
{
    if (incoming.path == "/fail") {
        throw std::runtime_error("on purpose");
    }
    co_return response{200, "text/plain",
                       incoming.method + " " + incoming.path + " " + incoming.query["name"] + " "
                               + incoming.bearerToken + " " + incoming.body};
}

} // namespace

TEST_GROUP(webapi_server)
{
    boost::asio::io_context m_context{1};
    std::unique_ptr<server> m_server = std::make_unique<server>(
            m_context, membership::endpoint{"127.0.0.1", 0}, server_limits{1000, 10}, handle);
    membership::endpoint m_address = m_server->address();
    std::thread m_thread{[this] {
        m_context.run();
    }};

    auto teardown()->void override
    {
        m_context.stop();
        m_thread.join();
        m_server.reset();
    }
};

TEST(webapi_server, handlerReceivesCompleteRequest)
{
    const auto answer = call(m_address, {"PUT", "/v1/a b", {{"name", "x&y"}}, "token", "body"},
                             std::chrono::seconds(10));
    CHECK(answer.has_value());
    STRCMP_EQUAL("PUT /v1/a b x&y token body", answer->body.c_str());
}

// Guards against a handler exception that terminates the server.
TEST(webapi_server, handlerExceptionGives500AndServerContinues)
{
    const auto failed = call(m_address, {"GET", "/fail", {}, {}, {}}, std::chrono::seconds(10));
    CHECK_EQUAL(500U, failed->status);
    const auto next = call(m_address, {"GET", "/x", {}, {}, {}}, std::chrono::seconds(10));
    CHECK_EQUAL(200U, next->status);
}

TEST(webapi_server, oversizedBodyIsRejected)
{
    const auto answer = call(m_address, {"PUT", "/x", {}, {}, std::string(2000, 'b')},
                             std::chrono::seconds(10));
    CHECK(!answer || answer->status == 413);
}

TEST(webapi_server, unreachableServerGivesErrorNamingFailedStep)
{
    const auto answer = call({"127.0.0.1", 1}, {"GET", "/", {}, {}, {}}, std::chrono::seconds(10));
    CHECK(!answer.has_value());
    STRCMP_CONTAINS("connection failed", answer.error().c_str());
}
