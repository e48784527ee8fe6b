#include "upstream/notice.h"

#include "upstream/headerrules.h"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace hawthornpick::upstream {

auto parseRequestLimit(std::string_view text) -> std::optional<double>
{
    const auto number = trimmed(text);
    const auto isDecimal = [](char item) {
        return item == '.' || (item >= '0' && item <= '9');
    };
    if (number.empty() || !std::all_of(number.begin(), number.end(), isDecimal)) {
        return std::nullopt;
    }
    double limit = 0.0;
    const auto *end = number.data() + number.size();
    const auto result = std::from_chars(number.data(), end, limit, std::chars_format::fixed);
    if (result.ec != std::errc() || result.ptr != end || !std::isfinite(limit)) {
        return std::nullopt;
    }
    return limit;
}

auto noticeIn(const boost::beast::http::fields &headers, const wire_profile &wire)
        -> upstream_notice
{
    upstream_notice notice;
    for (const auto &field : headers) {
        const std::string_view name(field.name_string().data(), field.name_string().size());
        const std::string_view value(field.value().data(), field.value().size());
        if (equalIgnoreCase(name, wire.requestLimit)) {
            const auto limit = parseRequestLimit(value);
            notice.isLimitUnreadable = notice.isLimitUnreadable || !limit;
            notice.requestLimit = limit ? std::min(*limit, notice.requestLimit.value_or(*limit))
                                        : notice.requestLimit;
        }
        if (equalIgnoreCase(name, wire.leaving) && trimmed(value) == "1") {
            notice.isLeaving = true;
        }
    }
    return notice;
}

} // namespace hawthornpick::upstream
