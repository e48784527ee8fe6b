#include "base/digest.h"
#include "base/random.h"
#include "platform/internal/wirenames.h"
#include "platform/tests/messages.h"
#include "tests/mesh/meshcaller.h"

#include <CppUTest/TestHarness.h>
#include <array>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <csignal>
#include <iostream>
#include <mutex>
#include <set>
#include <thread>
#include <unistd.h>

using namespace hawthornpick;
using meshtest::mesh_caller;
using processtest::http_client;
using testsupport::mesh_fleet;

namespace {

namespace messages = platform::messages;

constexpr testsupport::fleet_size FLEET_SIZE{3, 4};
constexpr int STOP_COUNT = 4;
constexpr int CALLERS_PER_STOP = 8;
constexpr base::milliseconds TIME_BEFORE_STOP{500};
//! The grace time of the platform; the process is killed after it.
constexpr base::milliseconds GRACE_TIME{6000};

//! Requests as the upstreams and the callers saw them. Thread safety of all members: any thread.
class stop_record
{
public:
    auto onExecuted(const std::string &id) -> void
    {
        const std::lock_guard lock(m_mutex);
        m_executed.insert(id);
    }
    auto onAnswer(const std::string &id, unsigned status) -> void
    {
        const std::lock_guard lock(m_mutex);
        ++m_answerCount;
        if (status != 200) {
            m_otherAnswers[id] = status;
        }
    }
    auto onNoAnswer(const std::string &id) -> void
    {
        const std::lock_guard lock(m_mutex);
        m_unanswered.insert(id);
    }
    auto answerCount() -> int
    {
        const std::lock_guard lock(m_mutex);
        return m_answerCount;
    }

    //! Number of requests that an upstream ran and that got no answer, or another than its own.
    auto countCut() -> int
    {
        const std::lock_guard lock(m_mutex);
        int count = 0;
        for (const auto &id : m_unanswered) {
            if (m_executed.contains(id)) {
                std::cout << id << " ran and got no answer\n";
                ++count;
            }
        }
        for (const auto &[id, status] : m_otherAnswers) {
            if (m_executed.contains(id)) {
                std::cout << id << " ran and was answered " << status << "\n";
                ++count;
            }
        }
        return count;
    }

private:
    std::mutex m_mutex;
    std::set<std::string> m_executed;
    std::set<std::string> m_unanswered;
    std::map<std::string, unsigned> m_otherAnswers;
    int m_answerCount = 0;
};

//! Works on a request for as many milliseconds as the last element of its path says.
auto runRequest(stop_record &record, webapi::request incoming)
        -> boost::asio::awaitable<webapi::response>
{
    static const auto names = platform::wireNames();
    const auto id = testsupport::headerValue(incoming, names.requestId);
    record.onExecuted(id);
    const base::milliseconds workTime(
            std::stoi(incoming.path.substr(incoming.path.rfind('/') + 1)));
    boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor, workTime);
    co_await timer.async_wait(boost::asio::use_awaitable);
    webapi::response answer{200, "text/plain", "done"};
    answer.headers[names.requestId] = id;
    co_return answer;
}

auto recordedWork(stop_record &record) -> mesh_fleet::upstream_handler
{
    return [&record](int /*node*/, webapi::request incoming) {
        return runRequest(record, std::move(incoming));
    };
}

auto fleetFolder() -> std::filesystem::path
{
    return std::filesystem::temp_directory_path()
           / ("hawthornpick-stop-" + std::to_string(getpid()));
}

//! Sends writes to one node over a kept connection until the node is gone.
auto sendUntilGone(const mesh_fleet &fleet, int node, const std::string &name, stop_record &record,
                   const std::stop_token &gone) -> void
{
    constexpr std::uint64_t DEADLINE_MARGIN_MS = 1000;
    constexpr std::array<int, 4> WORK_TIMES_MS{10, 150, 900, 1800};
    base::random_source random(base::hash64(name));
    http_client client(fleet.callerAddress(node));
    for (int i = 0; !gone.stop_requested(); ++i) {
        const auto id = name + "-" + std::to_string(i);
        const int workTimeMs = WORK_TIMES_MS.at(random.below(WORK_TIMES_MS.size()));
        // With a short deadline, a request may be taken later in the grace time.
        const std::uint64_t deadlineMs =
                random.chance(0.5) ? mesh_caller::DEADLINE_MS
                                   : static_cast<std::uint64_t>(workTimeMs) + DEADLINE_MARGIN_MS;
        const auto answer = client.send("POST", "/w/" + std::to_string(workTimeMs),
                                        messages::requestHeaders(id, "wide", deadlineMs), "x");
        if (answer) {
            record.onAnswer(id, answer->status);
        } else {
            record.onNoAnswer(id);
        }
        std::this_thread::sleep_for(base::milliseconds(random.below(40)));
    }
}

//! Sends one write that takes `workTime` over a new connection.
auto sendOnce(const mesh_fleet &fleet, int node, const std::string &id, base::milliseconds workTime,
              stop_record &record) -> void
{
    http_client client(fleet.callerAddress(node));
    const auto answer =
            client.send("POST", "/w/" + std::to_string(workTime.count()),
                        messages::requestHeaders(id, "wide", mesh_caller::DEADLINE_MS), "x");
    if (answer) {
        record.onAnswer(id, answer->status);
    } else {
        record.onNoAnswer(id);
    }
}

} // namespace

TEST_GROUP(planned_stop){};

// Guards against a node that ignores a second SIGTERM and breaks off requests by the grace time of
// the first, although the platform grants it anew.
TEST(planned_stop, secondStopSignalGrantsTheGraceTimeAnew)
{
    constexpr base::milliseconds TIME_BETWEEN_SIGNALS{1800};
    constexpr base::milliseconds WORK_TIME{3800};
    stop_record record;
    mesh_fleet fleet(HAWTHORNPICK_BINARY, fleetFolder(), FLEET_SIZE, recordedWork(record));
    CHECK(mesh_caller(fleet).waitUntilServed());
    const int node = fleet.cores();
    fleet.signal(node, SIGTERM);
    std::this_thread::sleep_for(TIME_BETWEEN_SIGNALS);
    fleet.signal(node, SIGTERM);
    std::vector<std::jthread> callers;
    for (int i = 0; i < CALLERS_PER_STOP; ++i) {
        callers.emplace_back([&fleet, &record, node, i, WORK_TIME] {
            sendOnce(fleet, node, "late-" + std::to_string(i), WORK_TIME, record);
        });
    }
    const auto end = base::clock::now() + GRACE_TIME;
    while (fleet.isRunning(node) && base::clock::now() < end) {
        std::this_thread::sleep_for(base::milliseconds(20));
    }
    CHECK_TEXT(!fleet.isRunning(node), "the process outlives the grace time");
    callers.clear();
    CHECK(record.answerCount() > 0);
    const int cut = record.countCut();
    CHECK_EQUAL(0, cut);
}

// Guards against writes that a stopping node takes late, passes on and cuts at the end of the grace
// time, and against a process that outlives it.
TEST(planned_stop, stoppingNodeCutsNoRequestThatItPassedOn)
{
    stop_record record;
    mesh_fleet fleet(HAWTHORNPICK_BINARY, fleetFolder(), FLEET_SIZE, recordedWork(record));
    CHECK(mesh_caller(fleet).waitUntilServed());
    for (int stop = 0; stop < STOP_COUNT; ++stop) {
        const int node = fleet.cores() + stop % FLEET_SIZE.edges;
        std::vector<std::jthread> callers;
        for (int i = 0; i < CALLERS_PER_STOP; ++i) {
            const auto name = std::to_string(stop) + "-" + std::to_string(i);
            callers.emplace_back([&fleet, &record, node, name](const std::stop_token &gone) {
                sendUntilGone(fleet, node, name, record, gone);
            });
        }
        std::this_thread::sleep_for(TIME_BEFORE_STOP);
        fleet.signal(node, SIGTERM);
        const auto end = base::clock::now() + GRACE_TIME;
        while (fleet.isRunning(node) && base::clock::now() < end) {
            std::this_thread::sleep_for(base::milliseconds(20));
        }
        CHECK_TEXT(!fleet.isRunning(node), "the process outlives the grace time");
        for (auto &caller : callers) {
            caller.request_stop();
        }
        callers.clear();
        fleet.kill(node);
        fleet.start(node);
    }
    std::cout << "answers: " << record.answerCount() << ", cut: " << record.countCut() << "\n";
    CHECK_EQUAL(0, record.countCut());
}
