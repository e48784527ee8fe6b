#include "tests/mesh/meshcaller.h"

#include "platform/internal/wirenames.h"
#include "platform/tests/messages.h"

#include <CppUTest/TestHarness.h>
#include <array>
#include <atomic>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <iostream>
#include <thread>
#include <unistd.h>

using namespace hawthornpick;
using meshtest::mesh_caller;
using testsupport::mesh_fleet;
namespace asio = boost::asio;

namespace {

namespace messages = platform::messages;

constexpr testsupport::fleet_size FLEET_SIZE{3, 3};
//! The limit of a process on the users' hosts.
constexpr long MEMORY_LIMIT_KB = 260L * 1024;
constexpr int CALLER_COUNT = 120;
//! Time within which each node learns of a new upstream.
constexpr base::milliseconds DIRECTORY_TIME{2000};
constexpr std::uint16_t FAULTY_PORT = 7790;
constexpr unsigned FAULTY_SLOTS = 200;

//! Start of an answer and what is repeated after it for ever.
struct endless_answer
{
    std::string name;
    std::string start;
    std::string repeated;
};

auto endlessAnswers() -> std::vector<endless_answer>
{
    const std::string ok = "HTTP/1.1 200 OK\r\n";
    const std::string part(16UL * 1024, 'x');
    const std::string chunk = "4000\r\n" + part + "\r\n";
    return {{"status_line", "HTTP/1.1 200 ", part},
            {"header_field", ok + "Field: ", part},
            {"header_fields", ok, "Field: " + std::string(1000, 'x') + "\r\n"},
            {"interim_answers", "", "HTTP/1.1 100 Continue\r\n\r\n"},
            {"body_to_end_of_connection", ok + "\r\n", part},
            {"long_body", ok + "Content-Length: 1000000000000\r\n\r\n", part},
            {"chunks", ok + "Transfer-Encoding: chunked\r\n\r\n", chunk},
            {"chunk_extension", ok + "Transfer-Encoding: chunked\r\n\r\n1;", part},
            {"trailer", ok + "Transfer-Encoding: chunked\r\n\r\n0\r\nField: ", part},
            {"bytes_after_answer", ok + "Content-Length: 4\r\n\r\ndone", part},
            {"no_answer", "", part}};
}

//! Upstream that sends one answer without end to each request.
class endless_upstream
{
public:
    explicit endless_upstream(const membership::endpoint &address)
        : m_acceptor(m_context, {asio::ip::make_address(address.address), address.port}),
          m_thread([this] { m_context.run(); })
    {
        asio::co_spawn(m_context, accept(), asio::detached);
    }
    ~endless_upstream()
    {
        m_context.stop();
        m_thread.join();
    }
    endless_upstream(const endless_upstream &) = delete;
    auto operator=(const endless_upstream &) -> endless_upstream & = delete;

    auto setAnswer(const endless_answer *answer) -> void { m_answer = answer; }
    [[nodiscard]] auto requestCount() const -> int { return m_requestCount; }

private:
    auto accept() -> asio::awaitable<void>
    {
        while (true) {
            auto socket = co_await m_acceptor.async_accept(asio::use_awaitable);
            asio::co_spawn(m_context, serve(std::move(socket)), asio::detached);
        }
    }

    auto serve(asio::ip::tcp::socket socket) -> asio::awaitable<void>
    {
        boost::system::error_code error;
        auto completion = asio::redirect_error(asio::use_awaitable, error);
        std::string request;
        co_await asio::async_read_until(socket, asio::dynamic_buffer(request), "\r\n\r\n",
                                        completion);
        const auto *answer = m_answer.load();
        if (error || answer == nullptr) {
            co_return;
        }
        ++m_requestCount;
        co_await asio::async_write(socket, asio::buffer(answer->start), completion);
        while (!error) {
            co_await asio::async_write(socket, asio::buffer(answer->repeated), completion);
        }
    }

    asio::io_context m_context{1};
    asio::ip::tcp::acceptor m_acceptor;
    std::atomic<const endless_answer *> m_answer = nullptr;
    std::atomic<int> m_requestCount = 0;
    std::thread m_thread;
};

auto answerAtOnce(webapi::request incoming) -> asio::awaitable<webapi::response>
{
    static const auto names = platform::wireNames();
    webapi::response answer{200, "text/plain", "done"};
    answer.headers[names.requestId] = testsupport::headerValue(incoming, names.requestId);
    co_return answer;
}

//! Sends one request to a node and reads nothing of the answer until `stop`.
auto sendWithoutReading(const membership::endpoint &address, int number,
                        const std::stop_token &stop) -> void
{
    asio::io_context context;
    asio::ip::tcp::socket socket(context);
    boost::system::error_code error;
    socket.connect({asio::ip::make_address(address.address), address.port}, error);
    std::string request = "GET /slow/1 HTTP/1.1\r\n";
    for (const auto &[name, value] :
         messages::requestHeaders("endless-" + std::to_string(number), "wide", 4000)) {
        request += name + ": " + value + "\r\n";
    }
    asio::write(socket, asio::buffer(request + "\r\n"), error);
    while (!stop.stop_requested()) {
        std::this_thread::sleep_for(base::milliseconds(50));
    }
}

} // namespace

TEST_GROUP(endless_answer){};

// Guards against a node that keeps all bytes of an upstream that never ends an answer: it runs out
// of memory, and the requests of other callers end with it.
TEST(endless_answer, nodesBoundWhatTheyKeepAndServeOthers)
{
    mesh_fleet fleet(HAWTHORNPICK_BINARY,
                     std::filesystem::temp_directory_path()
                             / ("hawthornpick-endless-" + std::to_string(getpid())),
                     FLEET_SIZE, [](int /*node*/, webapi::request incoming) {
                         return answerAtOnce(std::move(incoming));
                     });
    mesh_caller caller(fleet);
    CHECK(caller.waitUntilServed());
    const int faulty = fleet.cores();
    const int entry = fleet.cores() + 1;
    const auto faultyAddress =
            membership::endpoint{fleet.callerAddress(faulty).address, FAULTY_PORT};
    endless_upstream upstream(faultyAddress);
    std::jthread heartbeats([&](const std::stop_token &stop) {
        for (std::uint64_t number = 1; !stop.stop_requested(); ++number) {
            CHECK_EQUAL(200U, fleet.announce(faulty, "endless", "slow", faultyAddress, FAULTY_SLOTS,
                                             number));
            std::this_thread::sleep_for(base::milliseconds(500));
        }
    });
    const auto answers = endlessAnswers();
    upstream.setAnswer(&answers.front());
    CHECK(caller.submitSlowRoute());
    std::this_thread::sleep_for(DIRECTORY_TIME);
    int callerNumber = 0;
    for (const auto &answer : answers) {
        upstream.setAnswer(&answer);
        const int before = upstream.requestCount();
        std::vector<std::jthread> callers;
        for (int i = 0; i < CALLER_COUNT; ++i) {
            callers.emplace_back([&, number = ++callerNumber](const std::stop_token &stop) {
                sendWithoutReading(fleet.callerAddress(entry), number, stop);
            });
        }
        const auto end = base::clock::now() + base::milliseconds(2500);
        int otherCount = 0;
        int servedCount = 0;
        while (base::clock::now() < end) {
            for (int edge = 0; edge < FLEET_SIZE.edges; ++edge) {
                const auto served = caller.sendTo(edge, "GET", "/r/1");
                ++otherCount;
                servedCount += served && served->status == 200 ? 1 : 0;
            }
            std::this_thread::sleep_for(base::milliseconds(20));
        }
        for (auto &sender : callers) {
            sender.request_stop();
        }
        long peakKb = 0;
        for (const int node : {faulty, entry}) {
            CHECK_TEXT(fleet.isRunning(node), answer.name.c_str());
            peakKb = std::max(peakKb, fleet.peakMemoryKb(node));
        }
        std::cout << answer.name << ": " << upstream.requestCount() - before
                  << " requests at the upstream, peak " << peakKb << " KB, others " << servedCount
                  << " of " << otherCount << "\n";
        CHECK_TEXT(upstream.requestCount() > before, answer.name.c_str());
        CHECK_TEXT(peakKb < MEMORY_LIMIT_KB, answer.name.c_str());
        CHECK_EQUAL(otherCount, servedCount);
    }
}
