#pragma once

#include "base/errorkind.h"
#include "upstream/wireprofile.h"

#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace hawthornpick::caller {

inline constexpr std::size_t MAX_HEADER_BYTES = 16UL * 1024;

using request_fields = boost::beast::http::header<true, boost::beast::http::fields>;

//! How the length of a request body is given.
enum class body_framing : std::uint8_t {
    None,
    Length,
    Chunked,
};

//! Checked head of a caller's request. The views belong to the fields it was made from.
struct request_head
{
    std::string_view method;
    //! Path and query in origin form.
    std::string_view target;
    std::string_view path;
    std::string_view query;
    //! Host in lower case and without port.
    std::string host;
    body_framing framing = body_framing::None;
    std::uint64_t contentLength = 0;
    bool http10 = false;
    bool keepAlive = true;
    bool expectsContinue = false;
    //! Text of the caller's key, if there is one.
    std::optional<std::string> key;
    bool keyInQuery = false;
};

//! Refuses the shapes that different HTTP parsers read differently: bare CR or LF, zero bytes and
//! folded lines. `head` ends with the empty line. Errors: `BadRequest`. Thread safety: pure.
auto checkRawHead(std::string_view head) -> base::result<void>;

//! Checks the parsed fields and collects what the entry side needs. Errors: `BadRequest`.
//! Thread safety: pure.
auto readHead(const request_fields &fields) -> base::result<request_head>;

//! Returns the header lines for the upstream: without the key, hop-by-hop, reserved and framing
//! headers, with Via and X-Forwarded-For if the profile has them. Thread safety: pure.
auto cleanHeaders(const request_fields &fields, const request_head &head,
                  const upstream::wire_profile &wire, std::string_view callerAddress)
        -> std::string;

//! Returns the value of the only header with this name; nothing if there is none or several.
//! Thread safety: pure.
auto singleValue(const request_fields &fields, std::string_view name)
        -> std::optional<std::string_view>;

} // namespace hawthornpick::caller
