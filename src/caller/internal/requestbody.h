#pragma once

#include "base/errorkind.h"
#include "caller/internal/callerinput.h"

#include <boost/asio/awaitable.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <string>

namespace hawthornpick::caller {

using request_parser = boost::beast::http::request_parser<boost::beast::http::buffer_body>;

//! Reads the body of one request from the caller's input.
class request_body
{
public:
    //! Longest time between two parts of a body.
    static constexpr base::milliseconds PART_LIMIT{10'000};

    //! Precondition: the header is parsed; the arguments outlive the body.
    request_body(caller_input &input, request_parser &parser, std::uint64_t maxBytes,
                 base::time_point deadline)
        : m_input(input), m_parser(parser), m_maxBytes(maxBytes), m_deadline(deadline)
    {}

    //! Returns the next part; an empty part is the end.
    //! Errors: `BadRequest`, `BodyTooLarge`, `RequestTimeout`, `CallerGone`.
    auto read() -> boost::asio::awaitable<base::result<std::string>>;

    //! Reads until `limit` bytes are collected or the body ends. Errors as `read`.
    auto readPrefix(std::size_t limit) -> boost::asio::awaitable<base::result<std::string>>;

    [[nodiscard]] auto complete() const -> bool { return m_parser.is_done(); }

private:
    auto takeParsed(std::string &part) -> base::result<bool>;

    caller_input &m_input;
    request_parser &m_parser;
    std::uint64_t m_maxBytes;
    base::time_point m_deadline;
    std::uint64_t m_received = 0;
};

} // namespace hawthornpick::caller
