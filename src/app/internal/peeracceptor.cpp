#include "app/internal/peeracceptor.h"

#include <boost/asio/ip/address.hpp>
#include <boost/asio/post.hpp>

namespace hawthornpick::app {

namespace asio = boost::asio;
using asio::ip::tcp;

peer_acceptor::peer_acceptor(std::vector<asio::io_context *> contexts,
                             std::vector<peer::link_pool *> linkPools,
                             const membership::endpoint &address)
    : m_contexts(std::move(contexts)), m_linkPools(std::move(linkPools)),
      m_acceptor(*m_contexts.front(),
                 tcp::endpoint(asio::ip::make_address(address.address), address.port))
{}

auto peer_acceptor::start() -> void
{
    acceptNext();
}

auto peer_acceptor::stop() -> void
{
    boost::system::error_code ignored;
    m_acceptor.close(ignored);
}

auto peer_acceptor::acceptNext() -> void
{
    const auto poolIndex = m_nextPoolIndex++ % m_linkPools.size();
    m_acceptor.async_accept(*m_contexts[poolIndex], [self = shared_from_this(),
                                                     poolIndex](boost::system::error_code failure,
                                                                tcp::socket socket) {
        if (failure == asio::error::operation_aborted) {
            return;
        }
        if (!failure) {
            asio::post(*self->m_contexts[poolIndex],
                       [self, poolIndex, socket = std::move(socket)]() mutable {
                           self->m_linkPools[poolIndex]->serveAccepted(std::move(socket));
                       });
        }
        self->acceptNext();
    });
}

} // namespace hawthornpick::app
