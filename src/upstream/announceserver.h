#pragma once

#include "upstream/registry.h"

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <memory>

namespace hawthornpick::upstream {

class announce_server_state;

//! HTTP endpoint on a loopback address where upstreams of this host announce and withdraw
//! themselves.
class announce_server
{
public:
    //! Binds and listens. Throws boost::system::system_error if the address can't be bound, and
    //! std::invalid_argument if it is not a loopback address.
    //! Precondition: `context` is run by one thread; `registry` outlives the context's run.
    announce_server(boost::asio::io_context &context, const membership::endpoint &address,
                    upstream_registry &registry);
    ~announce_server();
    announce_server(const announce_server &) = delete;
    auto operator=(const announce_server &) -> announce_server & = delete;

    //! Returns the bound port. Thread safety: any thread.
    [[nodiscard]] auto port() const -> std::uint16_t;

    //! Stops accepting connections and expiring announcements. Thread safety: the context's thread.
    auto stop() -> void;

private:
    std::shared_ptr<announce_server_state> m_state;
};

//! Parses the JSON body of an announcement. The error names the invalid member and the allowed
//! values.
//! Thread safety: pure.
auto parseAnnouncement(const std::string &name, std::string_view json)
        -> tl::expected<announcement, std::string>;

} // namespace hawthornpick::upstream
