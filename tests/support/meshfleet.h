#pragma once

#include "base/time.h"
#include "tests/faultproxy/proxy.h"
#include "tests/support/childprocess.h"
#include "webapi/server.h"

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <filesystem>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace hawthornpick::testsupport {

//! Returns the value of a header, or an empty string. Thread safety: pure.
auto headerValue(const webapi::request &incoming, std::string_view name) -> std::string;

//! Size of a fleet, divided between two regions.
struct fleet_size
{
    int cores = 3;
    int edges = 6;
};

//! Processes of a mesh on loopback addresses, with a stand-in upstream beside each edge node. The
//! traffic between nodes passes a relay that injects faults. The destructor ends the processes.
//! Thread safety: one thread, except for the addresses.
class mesh_fleet
{
public:
    //! Handles a request at the upstream beside a node, on the thread of the upstreams.
    using upstream_handler = std::function<boost::asio::awaitable<webapi::response>(
            int node, webapi::request incoming)>;

    mesh_fleet(std::string binary, std::filesystem::path folder, fleet_size size,
               upstream_handler handler);
    ~mesh_fleet();
    mesh_fleet(const mesh_fleet &) = delete;
    auto operator=(const mesh_fleet &) -> mesh_fleet & = delete;

    [[nodiscard]] auto size() const -> int { return m_size.cores + m_size.edges; }
    [[nodiscard]] auto cores() const -> int { return m_size.cores; }
    [[nodiscard]] auto callerAddress(int node) const -> membership::endpoint;
    [[nodiscard]] auto controlAddress(int node) const -> membership::endpoint;

    //! Starts a node, with variables ("NAME=value") added to the environment.
    auto start(int node, std::vector<std::string> variables = {}) -> void;
    auto signal(int node, int number) -> void;
    auto isRunning(int node) -> bool;
    //! Largest amount of memory that the process of a node has used.
    auto peakMemoryKb(int node) -> long;
    //! Kills a process and waits for its end.
    auto kill(int node) -> void;

    //! Ends the upstream beside a node: its connections are closed and its port refuses new ones
    //! for `downTime`; then a new incarnation with another name starts.
    //! Thread safety: any thread; on that of the upstreams, the end is immediate.
    auto crashUpstream(int node, base::milliseconds downTime) -> void;

    //! Sends the regular heartbeats of the upstream beside a node, as at the start, or none.
    auto setHeartbeats(int node, bool areSent) -> void;
    //! Sets the cold time that the regular heartbeats of the upstream beside a node report.
    auto setColdTime(int node, base::milliseconds coldRemaining) -> void;
    //! Sends a heartbeat of the upstream beside a node; returns the status of the answer, or 0 if
    //! there is none.
    auto sendHeartbeat(int node, const std::string &state, std::uint64_t sequenceNo) -> unsigned;
    //! Sends a heartbeat of another upstream on the host of a node; returns the status of the
    //! answer, or 0 if there is none.
    auto announce(int node, const std::string &name, const std::string &service,
                  const membership::endpoint &address, unsigned slots, std::uint64_t sequenceNo)
            -> unsigned;
    //! Withdraws the upstream beside a node; returns the status of the answer, or 0 if there is
    //! none.
    auto withdrawUpstream(int node) -> unsigned;

    //! Replaces the faults of the relay.
    auto setFaults(std::vector<faultproxy::rule> rules) -> void;
    //! Cuts the traffic from one node to another.
    [[nodiscard]] auto cut(int from, int to) const -> std::vector<faultproxy::rule>;
    //! Delays the traffic from one node to another.
    [[nodiscard]] auto delay(int from, int to, base::milliseconds time) const
            -> std::vector<faultproxy::rule>;

private:
    struct stand_in_upstream
    {
        std::unique_ptr<webapi::server> server;
        //! Time of the start, which also names the incarnation; 0 while the upstream is down.
        std::atomic<std::uint64_t> startTime{0};
        std::atomic<bool> sendsHeartbeats{true};
        std::atomic<std::int64_t> coldMs{0};
    };

    [[nodiscard]] auto ip(int node) const -> std::string;
    [[nodiscard]] auto fault(int from, int to, faultproxy::fault_kind kind,
                             std::uint64_t value) const -> std::vector<faultproxy::rule>;
    [[nodiscard]] auto nameOf(int node) const -> std::string;
    auto writeSettings(int node) -> void;
    auto startUpstream(int node) -> void;
    auto upstreamBeside(int node) -> stand_in_upstream &;
    auto upstreamPath(int node) -> std::string;
    auto registerUpstreams() -> void;

    std::string m_binary;
    std::filesystem::path m_folder;
    fleet_size m_size;
    upstream_handler m_handler;
    std::string m_network;
    boost::asio::io_context m_context{1};
    boost::asio::io_context m_upstreamContext{1};
    std::unique_ptr<faultproxy::proxy> m_proxy;
    std::vector<stand_in_upstream> m_upstreams;
    std::vector<std::optional<child_process>> m_processes;
    std::vector<bool> m_hasStarted;
    std::vector<std::jthread> m_threads;
};

} // namespace hawthornpick::testsupport
