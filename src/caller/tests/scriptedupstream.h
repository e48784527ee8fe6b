#pragma once

#include "caller/tests/rawclient.h"

#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace hawthornpick::testing {

//! Upstream that answers each request by a function. Each connection has a thread.
class scripted_upstream
{
public:
    //! Gets the request head and the number of the request over all connections, from 1. Writes the
    //! answer to `peer`; returns false to close the connection.
    using script = std::function<bool(raw_client &peer, const std::string &head, int number)>;

    explicit scripted_upstream(script answer);
    ~scripted_upstream();
    scripted_upstream(const scripted_upstream &) = delete;
    auto operator=(const scripted_upstream &) -> scripted_upstream & = delete;

    [[nodiscard]] auto port() const -> std::uint16_t { return m_listener.port(); }
    //! Heads of all requests so far.
    auto heads() -> std::vector<std::string>;
    auto connectionCount() -> std::size_t;
    //! Number of connections that were closed by the other side.
    auto closedByPeer() -> int { return m_closedByPeer; }

private:
    auto acceptAll() -> void;
    auto serve(raw_client &peer) -> void;

    script m_answer;
    raw_listener m_listener;
    std::mutex m_mutex;
    std::vector<std::string> m_heads;
    std::vector<std::unique_ptr<raw_client>> m_peers;
    std::vector<std::thread> m_threads;
    std::atomic<int> m_closedByPeer{0};
    std::atomic<bool> m_stopped{false};
    std::thread m_acceptor;
};

//! Answers with 200 and the given body.
auto answerWith(const std::string &body) -> scripted_upstream::script;

} // namespace hawthornpick::testing
