#include "upstream/tests/rawupstream.h"
#include "upstream/upstreamservice.h"

// Defines `new` as a macro, which Boost's headers don't allow.
#include <CppUTest/TestHarness.h>

using namespace hawthornpick;
using base::error_kind;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

namespace asio = boost::asio;

const base::service_id SERVICE("s");

//! Answer of an attempt, as the entry node gets it.
struct received_answer
{
    unsigned status = 0;
    std::string body;
    std::optional<error_kind> failure;
};

} // namespace

TEST_GROUP(upstream_answer)
{
    asio::io_context m_context{1};
    upstreamtest::raw_upstream m_upstream{m_context};
    config::snapshot_cell m_configuration{makeConfiguration()};
    std::unique_ptr<upstream::upstream_service> m_service;
    std::uint64_t m_attempts = 0;

    static auto makeConfiguration()->config::snapshot_pointer
    {
        config::config_set set;
        set.services.emplace_back();
        set.services.back().id = SERVICE;
        return std::make_shared<const config::snapshot>(1, std::move(set));
    }

    void setup() override
    {
        m_service = std::make_unique<upstream::upstream_service>(
                std::vector{&m_context}, membership::endpoint{},
                upstream::service_dependencies{base::node_id("n"),
                                               1,
                                               m_configuration,
                                               {},
                                               {},
                                               {},
                                               upstream::executor_options{false, false, 1.0}});
        const upstream::announcement received{"u",
                                              SERVICE,
                                              {"127.0.0.1", m_upstream.port()},
                                              50,
                                              membership::upstream_state::Ready,
                                              1};
        CHECK(m_service->registry().announce(received, base::clock::now())
              == upstream::announce_result::Accepted);
    }

    void teardown() override
    {
        m_service->stop();
        m_context.run_for(milliseconds(50));
        m_service.reset();
    }

    auto attempt(std::shared_ptr<std::optional<received_answer>> result)->asio::awaitable<void>
    {
        upstream::attempt_request request;
        request.attempt = {1, ++m_attempts};
        request.service = SERVICE;
        request.method = "GET";
        request.target = "/work";
        request.requestId = std::to_string(m_attempts);
        request.deadline = base::clock::now() + seconds(2);
        received_answer answer;
        upstream::answer_sink sink;
        sink.start = [&](upstream::answer_start start) -> asio::awaitable<base::result<void>> {
            answer.status = start.status;
            answer.body += start.body;
            co_return base::result<void>();
        };
        sink.data = [&](std::string part) -> asio::awaitable<base::result<void>> {
            answer.body += part;
            co_return base::result<void>();
        };
        upstream::cancellation cancel;
        const upstream::body_source source;
        const auto ended = co_await m_service->executorOf(0).run(request, source, sink, cancel);
        if (ended.failure) {
            answer.failure = ended.failure->kind;
        }
        *result = answer;
    }

    //! Runs an attempt that the upstream answers with the given bytes.
    auto answerTo(const std::string &bytes)->received_answer
    {
        m_upstream.answer = bytes;
        const auto result = std::make_shared<std::optional<received_answer>>();
        asio::co_spawn(m_context, attempt(result), asio::detached);
        const auto end = base::clock::now() + seconds(10);
        while (!*result && base::clock::now() < end) {
            m_context.run_for(milliseconds(5));
            m_context.restart();
        }
        CHECK(result->has_value());
        return result->value_or(received_answer{});
    }
};

// Guards against the body of an answer with an invalid status that is taken for an answer, and
// against a caller that waits until its deadline for another one (MIXED).
TEST(upstream_answer, statusBelow100IsNoInterimAnswer)
{
    const std::string forged = "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nforged";
    for (const std::string status : {"000", "001", "099"}) {
        const auto head = "HTTP/1.1 " + status + " Odd\r\nContent-Length: ";
        const auto withBody = answerTo(head + std::to_string(forged.size()) + "\r\n\r\n" + forged);
        CHECK(withBody.failure == error_kind::UpstreamFailed);
        LONGS_EQUAL(0, withBody.status);
        STRCMP_EQUAL("", withBody.body.c_str());
        CHECK(answerTo(head + "2\r\n\r\nok").failure == error_kind::UpstreamFailed);
        CHECK(answerTo(head + "0\r\n\r\n").failure == error_kind::UpstreamFailed);
    }
}

// Guards against bytes that are no answer in the protocol and are passed on as one.
TEST(upstream_answer, statusAbove599IsNoAnswer)
{
    for (const std::string status : {"600", "999"}) {
        const auto answer = answerTo("HTTP/1.1 " + status + " Odd\r\nContent-Length: 2\r\n\r\nok");
        CHECK(answer.failure == error_kind::UpstreamFailed);
        LONGS_EQUAL(0, answer.status);
    }
}

TEST(upstream_answer, interimAnswersAreSkipped)
{
    const auto answer = answerTo("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 199 Odd\r\n\r\n"
                                 "HTTP/1.1 599 Odd\r\nContent-Length: 2\r\n\r\nok");
    CHECK(!answer.failure);
    LONGS_EQUAL(599, answer.status);
    STRCMP_EQUAL("ok", answer.body.c_str());
}
