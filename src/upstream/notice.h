#pragma once

#include "upstream/wireprofile.h"

#include <boost/beast/http/fields.hpp>
#include <compare>
#include <optional>
#include <string_view>

namespace hawthornpick::upstream {

//! What an upstream says of itself in the head of an answer.
struct upstream_notice
{
    //! Requests per second that it takes from all nodes together; nothing if it names no limit.
    std::optional<double> requestLimit;
    //! True if it names a limit that can't be read, so that it isn't known whether it has one.
    bool isLimitUnreadable = false;
    //! True if it takes no new requests because it is about to end.
    bool isLeaving = false;

    auto operator<=>(const upstream_notice &) const = default;
};

//! Returns the requests per second in a header value: a decimal number without a sign or an
//! exponent; nothing for other text. Thread safety: pure.
auto parseRequestLimit(std::string_view text) -> std::optional<double>;

//! Returns what the headers of an answer say of its upstream. Of several limits the lowest holds.
//! Thread safety: pure.
auto noticeIn(const boost::beast::http::fields &headers, const wire_profile &wire)
        -> upstream_notice;

} // namespace hawthornpick::upstream
