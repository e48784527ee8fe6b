#pragma once

#include "base/time.h"
#include "membership/view.h"
#include "webapi/server.h"

#include <atomic>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

namespace hawthornpick::processtest {

//! Stand-in upstream inside the test process. It announces itself to one node and counts how often
//! each body was executed. Thread safety of all members: any thread.
class stand_in_upstream
{
public:
    stand_in_upstream(membership::endpoint announceAddress, std::string name, std::string service,
                      const std::string &ip);
    ~stand_in_upstream();
    stand_in_upstream(const stand_in_upstream &) = delete;
    auto operator=(const stand_in_upstream &) -> stand_in_upstream & = delete;

    //! Time from request to answer.
    auto setLatency(std::chrono::milliseconds latency) -> void { m_latencyMs = latency.count(); }
    //! Answers with status 500 if true.
    auto setFailing(bool failing) -> void { m_isFailing = failing; }
    [[nodiscard]] auto address() const -> membership::endpoint { return m_server->address(); }

    //! Slots in the announcements.
    auto setSlots(unsigned slots) -> void { m_slots = slots; }
    //! State in the announcements: "ready" or "draining".
    auto setState(const std::string &state) -> void;

    //! Number of requests with this body that were started.
    [[nodiscard]] auto executions(const std::string &body) const -> int;
    [[nodiscard]] auto started() const -> int { return m_started; }
    //! True if any request had `text` in its target or in the bearer token.
    [[nodiscard]] auto sawText(const std::string &text) const -> bool;

private:
    auto handle(webapi::request incoming) -> boost::asio::awaitable<webapi::response>;
    auto announceLoop() -> void;

    membership::endpoint m_announceAddress;
    std::string m_name;
    std::string m_service;
    std::int64_t m_incarnation;
    std::atomic<std::int64_t> m_latencyMs{0};
    std::atomic<bool> m_isFailing{false};
    std::atomic<unsigned> m_slots{4};
    std::atomic<bool> m_isStopping{false};
    std::atomic<int> m_started{0};
    mutable std::mutex m_mutex;
    std::string m_state = "ready";
    std::map<std::string, int> m_executions;
    std::string m_seen;
    boost::asio::io_context m_context{1};
    std::unique_ptr<webapi::server> m_server;
    std::thread m_serverThread;
    std::thread m_announceThread;
};

} // namespace hawthornpick::processtest
