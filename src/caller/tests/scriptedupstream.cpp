#include "caller/tests/scriptedupstream.h"

#include <sys/socket.h>

namespace hawthornpick::testing {

scripted_upstream::scripted_upstream(script respond)
    : m_script(std::move(respond)), m_acceptor([this] { acceptAll(); })
{}

scripted_upstream::~scripted_upstream()
{
    m_isStopped = true;
    m_listener.stop();
    m_acceptor.join();
    for (auto &thread : m_threads) {
        thread.join();
    }
}

auto scripted_upstream::acceptAll() -> void
{
    while (!m_isStopped) {
        const int socket = m_listener.accept();
        if (socket < 0) {
            return;
        }
        const std::lock_guard lock(m_mutex);
        m_peers.push_back(std::make_unique<raw_client>(socket, 0));
        m_threads.emplace_back([this, peer = m_peers.back().get()] { serve(*peer); });
    }
}

auto scripted_upstream::serve(raw_client &peer) -> void
{
    for (bool isOpen = true; isOpen && !m_isStopped;) {
        auto head = peer.readUntil("\r\n\r\n", base::milliseconds(100));
        if (peer.isClosed()) {
            ++m_closedByPeerCount;
            break;
        }
        if (head.empty()) {
            continue;
        }
        int number = 0;
        {
            const std::lock_guard lock(m_mutex);
            m_heads.push_back(head);
            number = static_cast<int>(m_heads.size());
        }
        isOpen = m_script(peer, head, number);
    }
    peer.close();
}

auto scripted_upstream::heads() -> std::vector<std::string>
{
    const std::lock_guard lock(m_mutex);
    return m_heads;
}

auto scripted_upstream::connectionCount() -> std::size_t
{
    const std::lock_guard lock(m_mutex);
    return m_peers.size();
}

auto respondWith(const std::string &body) -> scripted_upstream::script
{
    return [body](raw_client &peer, const std::string &, int) {
        peer.send("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n"
                  + body);
        return true;
    };
}

} // namespace hawthornpick::testing
