#pragma once

#include "membership/view.h"

#include <boost/asio/io_context.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <compare>
#include <map>
#include <optional>
#include <string>

namespace hawthornpick::processtest {

using header_map = std::map<std::string, std::string>;

struct http_answer
{
    unsigned status = 0;
    std::string reason;
    std::string outcome;
    std::string body;
    //! Values by lower-case name; a repeated header has its last value.
    header_map headers;

    auto operator<=>(const http_answer &) const = default;
};

//! One keep-alive connection of a caller. Thread safety: one thread.
class http_client
{
public:
    explicit http_client(membership::endpoint address);

    //! Sends a request and waits for the answer; connects first if there is no open connection.
    //! Returns nothing if the connection fails.
    auto send(const std::string &method, const std::string &target, const header_map &headers,
              const std::string &body = {}) -> std::optional<http_answer>;

private:
    boost::asio::io_context m_context{1};
    membership::endpoint m_address;
    std::optional<boost::beast::tcp_stream> m_stream;
    boost::beast::flat_buffer m_buffer;
};

} // namespace hawthornpick::processtest
