#pragma once

#include "membership/view.h"
#include "peer/link.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <vector>

namespace hawthornpick::app {

//! Accepts connections from other nodes and distributes them round-robin over the link pools of the
//! I/O threads.
class peer_acceptor : public std::enable_shared_from_this<peer_acceptor>
{
public:
    //! Binds and listens. Throws boost::system::system_error if the address is in use.
    //! Precondition: `contexts` and `linkPools` have the same length and order, are not empty and
    //! outlive the acceptor.
    peer_acceptor(std::vector<boost::asio::io_context *> contexts,
                  std::vector<peer::link_pool *> linkPools, const membership::endpoint &address);

    //! Starts accepting. Thread safety: before the threads start, or on the first context's thread.
    auto start() -> void;

    //! Stops accepting. Thread safety: the first context's thread.
    auto stop() -> void;

private:
    auto acceptNext() -> void;

    std::vector<boost::asio::io_context *> m_contexts;
    std::vector<peer::link_pool *> m_linkPools;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::size_t m_nextPoolIndex = 0;
};

} // namespace hawthornpick::app
