#pragma once

#include "base/errorkind.h"
#include "caller/internal/callerinput.h"

#include <boost/asio/awaitable.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <string>

namespace hawthornpick::caller {

using request_parser = boost::beast::http::request_parser<boost::beast::http::buffer_body>;

//! Reads and decodes the body of one request from the caller's input.
//! Thread safety: the thread of the connection.
class request_body
{
public:
    //! Maximum time without body bytes from the caller.
    static constexpr base::milliseconds BODY_READ_TIMEOUT{10'000};

    //! A body of more than `maxBytes` fails with `BodyTooLarge`.
    //! Precondition: the header is parsed; the referenced arguments outlive the body.
    request_body(caller_input &input, request_parser &parser, std::uint64_t maxBytes,
                 base::time_point deadline)
        : m_input(input), m_parser(parser), m_maxBytes(maxBytes), m_deadline(deadline)
    {}

    //! Returns the next part of the body; an empty part means its end.
    //! Errors: `BadRequest`, `BodyTooLarge`, `RequestTimeout`, `CallerGone`.
    auto read() -> boost::asio::awaitable<base::result<std::string>>;

    //! Reads until at least `minBytes` bytes are collected or the body ends. Errors as `read`.
    auto readAtLeast(std::size_t minBytes) -> boost::asio::awaitable<base::result<std::string>>;

    //! True if the whole body was read.
    [[nodiscard]] auto complete() const -> bool { return m_parser.is_done(); }

private:
    auto parseBuffered(std::string &part) -> base::result<bool>;

    caller_input &m_input;
    request_parser &m_parser;
    std::uint64_t m_maxBytes;
    base::time_point m_deadline;
    std::uint64_t m_receivedBytes = 0;
};

} // namespace hawthornpick::caller
