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

//! Maximum size of a request head: request line, header fields and the empty line.
inline constexpr std::size_t MAX_HEADER_BYTES = 16UL * 1024;

using request_fields = boost::beast::http::header<true, boost::beast::http::fields>;

//! How the length of a request body is determined.
enum class body_framing : std::uint8_t {
    None,
    Length,
    Chunked,
};

//! Validated head of a caller's request. The views refer to the `request_fields` it was parsed
//! from.
struct request_head
{
    std::string_view method;
    //! Request target in origin form: path and query.
    std::string_view target;
    std::string_view path;
    std::string_view query;
    //! Host in lower case and without port.
    std::string host;
    body_framing framing = body_framing::None;
    std::uint64_t contentLength = 0;
    bool isHttp10 = false;
    bool keepAlive = true;
    bool expectsContinue = false;
    //! API key of the caller, if the request has one.
    std::optional<std::string> key;
    //! True if the query has a parameter with the name of an API key, or the target contains the
    //! key.
    bool isKeyInTarget = false;
};

//! Refuses forms that HTTP parsers interpret differently, which allows request smuggling: bare CR
//! or LF, NUL bytes and folded header lines. `bytes` is a request head or the part of it that has
//! arrived, without a CR at its end whose LF is missing. Errors: `BadRequest`. Thread safety: pure.
auto checkRawHeader(std::string_view bytes) -> base::result<void>;

//! Validates the header fields and extracts what the entry node uses of them. Errors: `BadRequest`.
//! Thread safety: pure.
auto parseRequestHead(const request_fields &fields) -> base::result<request_head>;

//! Returns the header lines for the upstream, each ended by CRLF: without headers that contain the
//! API key, hop-by-hop, reserved and framing headers, and with Via and X-Forwarded-For if the wire
//! profile adds them. Thread safety: pure.
auto makeUpstreamHeaders(const request_fields &fields, const request_head &head,
                         const upstream::wire_profile &wire, std::string_view callerAddress)
        -> std::string;

//! Returns the value of the only header field with this name; nothing if there is none or several.
//! Thread safety: pure.
auto findSingleValue(const request_fields &fields, std::string_view name)
        -> std::optional<std::string_view>;

} // namespace hawthornpick::caller
