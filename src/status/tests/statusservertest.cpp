#include "status/statusserver.h"
#include "webapi/client.h"

#include <CppUTest/TestHarness.h>
#include <thread>

using namespace hawthornpick;

TEST_GROUP(status_server_test)
{
    base::metrics m_metrics;
    std::atomic<bool> m_isConfigCurrent{false};
    boost::asio::io_context m_context{1};
    std::unique_ptr<status::status_server> m_server = std::make_unique<status::status_server>(
            m_context, membership::endpoint{"127.0.0.1", 0}, m_metrics, [this] {
                return std::vector<status::readiness_check>{
                        {"config_current", m_isConfigCurrent.load()}, {"accepting", true}};
            });
    membership::endpoint m_address = m_server->address();
    std::thread m_thread{[this] {
        m_context.run();
    }};

    auto get(const std::string &path)->webapi::response
    {
        return webapi::call(m_address, {"GET", path, {}, {}, {}}, std::chrono::seconds(10)).value();
    }

    auto teardown()->void override
    {
        m_context.stop();
        m_thread.join();
        m_server.reset();
    }
};

// Guards against a node that reports ready while it would reject requests, so that the platform
// routes callers to it.
TEST(status_server_test, readyOnlyWhenAllChecksPass)
{
    CHECK_EQUAL(200U, get("/healthz").status);
    CHECK_EQUAL(503U, get("/readyz").status);
    m_isConfigCurrent = true;
    CHECK_EQUAL(200U, get("/readyz").status);
    STRCMP_EQUAL("{\"config_current\":true,\"accepting\":true}\n", get("/readyz").body.c_str());
}

TEST(status_server_test, metricsAreServedAsText)
{
    m_metrics.countRefusal(base::error_kind::QueueFull);
    STRCMP_CONTAINS("hawthornpick_refusals_total{reason=\"queue_full\"} 1",
                    get("/metrics").body.c_str());
    CHECK_EQUAL(404U, get("/other").status);
}
