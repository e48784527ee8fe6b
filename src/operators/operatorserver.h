#pragma once

#include "operators/fleetaccess.h"
#include "webapi/server.h"

#include <boost/asio/io_context.hpp>
#include <string>

namespace hawthornpick::operators {

//! HTTP interface for operators, on a separate listening address. Each request must carry the
//! operator key as a bearer token.
class operator_server
{
public:
    //! All requests are rejected if `operatorKey` is empty.
    //! Throws boost::system::system_error if the address is in use.
    //! Precondition: `context` is run by one thread and outlives the server.
    operator_server(boost::asio::io_context &context, const membership::endpoint &address,
                    const std::string &operatorKey, fleet_access access);

    //! Returns the bound address. Thread safety: any thread.
    [[nodiscard]] auto address() const -> membership::endpoint { return m_server.address(); }

    //! Stops accepting and closes all connections. Thread safety: the thread of the io_context.
    auto stop() -> void { m_server.stop(); }

private:
    auto handle(webapi::request incoming) -> boost::asio::awaitable<webapi::response>;
    [[nodiscard]] auto isAuthorized(const webapi::request &incoming) const -> bool;
    auto postChange(const webapi::request &incoming) -> boost::asio::awaitable<webapi::response>;
    auto postEvacuation(const webapi::request &incoming)
            -> boost::asio::awaitable<webapi::response>;
    auto apply(change_request request) -> boost::asio::awaitable<webapi::response>;
    auto getChange(std::string changeId) -> boost::asio::awaitable<webapi::response>;
    auto getHistory() -> boost::asio::awaitable<webapi::response>;
    auto getStatus() -> boost::asio::awaitable<webapi::response>;
    auto postControllerReplacement(const webapi::request &incoming)
            -> boost::asio::awaitable<webapi::response>;
    //! These three return the local state of this node without a request to the controllers.
    auto getNode() const -> webapi::response;
    auto getMembers() const -> webapi::response;
    auto getUpstreams() const -> webapi::response;

    base::digest256 m_operatorKeyDigest;
    bool m_hasOperatorKey;
    fleet_access m_access;
    webapi::server m_server;
};

} // namespace hawthornpick::operators
