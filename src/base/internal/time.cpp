#include "base/time.h"

#include <charconv>
#include <cmath>
#include <system_error>

namespace hawthornpick::base {

auto parseTimeSpan(std::string_view text) -> std::optional<double>
{
    const bool hasMillisecondsUnit = text.ends_with("ms");
    const bool hasSecondsUnit = !hasMillisecondsUnit && text.ends_with("s");
    if (!hasMillisecondsUnit && !hasSecondsUnit) {
        return std::nullopt;
    }
    text.remove_suffix(hasMillisecondsUnit ? 2 : 1);
    double number = 0.0;
    const auto *textEnd = text.data() + text.size();
    const auto [parsedEnd, error] = std::from_chars(text.data(), textEnd, number);
    const double inMilliseconds = number * (hasSecondsUnit ? 1000.0 : 1.0);
    if (error != std::errc() || parsedEnd != textEnd || !std::isfinite(inMilliseconds)) {
        return std::nullopt;
    }
    return inMilliseconds;
}

} // namespace hawthornpick::base
