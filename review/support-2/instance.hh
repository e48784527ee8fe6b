// Stand-in instance: speaks HTTP as PROTOCOL.md says, registers at the node of its machine and
// records each request that it runs.
#pragma once

#include "rig.hh"

#include <algorithm>
#include <set>

namespace rig {

struct run_record
{
    std::int64_t at = 0;
    std::string requestId;
    std::string instance;
    std::string method;
    std::string path;
    std::size_t bodyBytes = 0;
};

// Requests that instances ran. Thread safety: any thread.
class run_log
{
public:
    void add(run_record item)
    {
        const std::lock_guard lock(m_mutex);
        m_items.push_back(std::move(item));
    }
    auto all() -> std::vector<run_record>
    {
        const std::lock_guard lock(m_mutex);
        return m_items;
    }

private:
    std::mutex m_mutex;
    std::vector<run_record> m_items;
};

class instance
{
public:
    // The instance of a machine, registered at the node beside it.
    instance(const fleet &f, std::size_t node, std::string id, run_log &log)
        : m_address(f.at(node, APP)), m_control(f.at(node, CONTROL)),
          m_service(f.nodes[node]->service), m_zone(f.nodes[node]->zone), m_id(std::move(id)),
          m_log(log)
    {}
    ~instance()
    {
        m_isStopping = true;
        crash();
        if (m_beats.joinable()) {
            m_beats.join();
        }
    }

    // Starts the process: listens and sends a heartbeat at once and then every 1.5 s. `born` is the
    // Unix millisecond of the start by the clock of the machine.
    auto start(std::int64_t born) -> bool
    {
        m_born = born;
        m_sequence = 0;
        m_listener = bindListener(m_address);
        if (m_listener < 0) {
            return false;
        }
        m_isUp = true;
        m_acceptor = std::thread([this] { acceptConnections(); });
        if (!m_beats.joinable()) {
            m_beats = std::thread([this] { sendBeats(); });
        }
        return true;
    }

    // Ends the process: its connections are closed and its port refuses.
    auto crash() -> void
    {
        m_isUp = false;
        if (m_listener >= 0) {
            shutdown(m_listener, SHUT_RDWR);
        }
        if (m_acceptor.joinable()) {
            m_acceptor.join();
        }
        if (m_listener >= 0) {
            close(std::exchange(m_listener, -1));
        }
        {
            const std::lock_guard lock(m_mutex);
            for (const int file : m_files) {
                shutdown(file, SHUT_RDWR);
            }
        }
        while (m_connections > 0) {
            sleepMs(5);
        }
    }

    // Sends one heartbeat now; returns the status of the answer, 0 without one.
    auto beat() -> int
    {
        if (!m_isUp) {
            return 0;
        }
        const std::string state = m_isDraining ? "draining" : "ready";
        const std::string body = "{\"address\":\"" + m_address.ip + ":" + std::to_string(m_address.port)
                                 + "\",\"born\":" + std::to_string(m_born.load())
                                 + ",\"info\":{\"service\":\"" + m_service
                                 + "\",\"version\":\"v1\",\"zone\":\"" + m_zone
                                 + "\",\"max_concurrency\":" + std::to_string(SLOTS) + "},"
                                   "\"status\":{\"state\":\""
                                 + state + "\",\"sequence_no\":" + std::to_string(++m_sequence)
                                 + ",\"cold_remaining\":\"0ms\"}}";
        const auto answer = call(m_control, "PUT", "/instances/" + m_id,
                                 {{"Host", m_control.ip}, {"Content-Type", "application/json"}},
                                 body, 1000);
        return answer ? answer->status() : 0;
    }

    auto setDraining() -> void { m_isDraining = true; }
    // Takes its leave and exits, after it has drained; returns the status of the answer.
    auto leave() -> int
    {
        const auto answer = call(m_control, "DELETE", "/instances/" + m_id, {{"Host", m_control.ip}}, {},
                                 1000);
        crash();
        return answer ? answer->status() : 0;
    }
    [[nodiscard]] auto id() const -> const std::string & { return m_id; }
    // Time for which a request is worked on.
    std::atomic<int> workMs{20};

private:
    auto sendBeats() -> void
    {
        while (!m_isStopping) {
            beat();
            for (int i = 0; i < 15 && !m_isStopping; ++i) {
                sleepMs(100);
            }
        }
    }

    auto acceptConnections() -> void
    {
        while (m_isUp) {
            pollfd item{m_listener, POLLIN, 0};
            if (poll(&item, 1, 100) <= 0) {
                continue;
            }
            const int file = accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (file < 0) {
                continue;
            }
            ++m_connections;
            {
                const std::lock_guard lock(m_mutex);
                m_files.insert(file);
            }
            std::thread([this, file] {
                serve(file);
                --m_connections;
            }).detach();
        }
    }

    auto serve(int file) -> void
    {
        connection link(file);
        while (m_isUp) {
            auto request = readMessage(link, nowMs() + 10'000, false);
            if (!request || !request->isComplete || !m_isUp) {
                break;
            }
            if (!link.send(answerTo(*request), nowMs() + 2000) || m_isDraining) {
                break;
            }
        }
        const std::lock_guard lock(m_mutex);
        m_files.erase(file);
    }

    auto answerTo(const message &request) -> std::string
    {
        const auto &line = request.startLine;
        const auto space = line.find(' ');
        const auto method = line.substr(0, space);
        const auto path = line.substr(space + 1, line.find(' ', space + 1) - space - 1);
        const auto id = request.header("attempt-id");
        if (path == "/health") {
            return format(m_isDraining ? "503 Service Unavailable" : "200 OK",
                          "Instance-Id: " + m_id + "\r\n", {});
        }
        if (id.empty()) {
            return format("400 Bad Request", "Not-Executed: no id\r\n", {});
        }
        const auto echo = "Attempt-Id: " + id + "\r\n";
        const auto wanted = request.header("target-instance");
        if (!wanted.empty() && wanted != m_id) {
            return format("421 Misdirected Request", echo + "Not-Executed: other instance\r\n", {});
        }
        const std::int64_t deadline =
                nowMs() + std::atoll(request.header("deadline-ms").c_str());
        if (!takeSlot(deadline)) {
            return format("503 Service Unavailable", echo + "Not-Executed: full\r\n", {});
        }
        m_log.add({nowMs(), id, m_id, method, path, request.body.size()});
        const auto end = nowMs() + workMs;
        sleepMs(std::max<std::int64_t>(0, std::min(end, deadline) - nowMs()));
        m_busy -= 1;
        const auto signature = echo + "Response-Signature: " + m_id + "." + id + "\r\n";
        return end <= deadline ? format("200 OK", signature, "answer to " + id)
                               : format("504 Gateway Timeout", signature, {});
    }

    auto format(const std::string &status, const std::string &headers, const std::string &body) const
            -> std::string
    {
        return "HTTP/1.1 " + status + "\r\n" + headers + (m_isDraining ? "Connection: close\r\n" : "")
               + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    }

    // Waits for a slot; a few requests may wait. False: the instance is full, or the deadline passed.
    auto takeSlot(std::int64_t deadline) -> bool
    {
        if (m_waiting.fetch_add(1) >= SLOTS) {
            --m_waiting;
            return false;
        }
        bool isTaken = false;
        while (!isTaken && nowMs() < deadline) {
            int busy = m_busy;
            isTaken = busy < SLOTS && m_busy.compare_exchange_strong(busy, busy + 1);
            sleepMs(isTaken ? 0 : 2);
        }
        --m_waiting;
        return isTaken;
    }

    static constexpr int SLOTS = 4;

    address m_address;
    address m_control;
    std::string m_service;
    std::string m_zone;
    std::string m_id;
    run_log &m_log;
    std::atomic<std::int64_t> m_born{0};
    std::atomic<long> m_sequence{0};
    std::atomic<bool> m_isUp{false};
    std::atomic<bool> m_isStopping{false};
    std::atomic<bool> m_isDraining{false};
    std::atomic<int> m_connections{0};
    std::atomic<int> m_busy{0};
    std::atomic<int> m_waiting{0};
    int m_listener = -1;
    std::mutex m_mutex;
    std::set<int> m_files;
    std::thread m_acceptor;
    std::thread m_beats;
};

} // namespace rig
