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

auto addRequestLimit(upstream_notice &notice, std::string_view text) -> void
{
    const auto limit = parseRequestLimit(text);
    if (!limit) {
        notice.isLimitUnreadable = true;
        return;
    }
    notice.requestLimit = std::min(*limit, notice.requestLimit.value_or(*limit));
}

} // namespace hawthornpick::upstream
