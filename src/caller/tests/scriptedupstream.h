#pragma once

#include "caller/tests/rawclient.h"

#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace hawthornpick::testing {

//! Upstream that runs a function for each request. Each connection has its own thread.
class scripted_upstream
{
public:
    //! Gets the request head and the number of the request, counted from 1 over all connections.
    //! Writes the response to `peer`; returns false to close the connection.
    using script = std::function<bool(raw_client &peer, const std::string &head, int number)>;

    explicit scripted_upstream(script respond);
    ~scripted_upstream();
    scripted_upstream(const scripted_upstream &) = delete;
    auto operator=(const scripted_upstream &) -> scripted_upstream & = delete;

    [[nodiscard]] auto port() const -> std::uint16_t { return m_listener.port(); }
    //! Returns the heads of all requests received so far.
    auto heads() -> std::vector<std::string>;
    //! Returns the number of connections accepted so far.
    auto connectionCount() -> std::size_t;
    //! Returns the number of connections that the node has closed.
    auto closedByPeerCount() -> int { return m_closedByPeerCount; }

private:
    auto acceptAll() -> void;
    auto serve(raw_client &peer) -> void;

    script m_script;
    raw_listener m_listener;
    std::mutex m_mutex;
    std::vector<std::string> m_heads;
    std::vector<std::unique_ptr<raw_client>> m_peers;
    std::vector<std::thread> m_threads;
    std::atomic<int> m_closedByPeerCount{0};
    std::atomic<bool> m_isStopped{false};
    std::thread m_acceptor;
};

//! Returns a script that responds with status 200 and the given body.
auto respondWith(const std::string &body) -> scripted_upstream::script;

} // namespace hawthornpick::testing
