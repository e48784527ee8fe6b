#pragma once

#include "membership/view.h"
#include "tests/faultproxy/rules.h"

#include <boost/asio/io_context.hpp>
#include <memory>
#include <string>
#include <vector>

namespace hawthornpick::faultproxy {

//! One proxied address. TCP and UDP are both relayed.
struct proxied_link
{
    std::string name;
    membership::endpoint listen;
    membership::endpoint target;

    auto operator<=>(const proxied_link &) const = default;
};

class proxy_state;

//! Relays TCP connections and UDP datagrams and injects faults by rules.
//! Thread safety: the thread of the io_context.
class proxy
{
public:
    //! Throws boost::system::system_error if an address is in use.
    proxy(boost::asio::io_context &context, const std::vector<proxied_link> &links);
    ~proxy();
    proxy(const proxy &) = delete;
    auto operator=(const proxy &) -> proxy & = delete;

    //! Replaces all rules; open connections follow at once.
    auto setRules(std::vector<rule> rules) -> void;

    //! Bytes relayed so far over all links.
    [[nodiscard]] auto relayedBytes() const -> std::uint64_t;

private:
    std::shared_ptr<proxy_state> m_state;
};

} // namespace hawthornpick::faultproxy
