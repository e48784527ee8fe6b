#include "base/time.h"

#include <charconv>
#include <cmath>
#include <system_error>

namespace hawthornpick::base {

auto parseTimeSpan(std::string_view text) -> std::optional<double>
{
    const bool isMilliseconds = text.ends_with("ms");
    const bool isSeconds = !isMilliseconds && text.ends_with("s");
    if (!isMilliseconds && !isSeconds) {
        return std::nullopt;
    }
    text.remove_suffix(isMilliseconds ? 2 : 1);
    double amount = 0.0;
    const auto *last = text.data() + text.size();
    const auto [end, error] = std::from_chars(text.data(), last, amount);
    const double inMilliseconds = amount * (isSeconds ? 1000.0 : 1.0);
    if (error != std::errc() || end != last || !std::isfinite(inMilliseconds)) {
        return std::nullopt;
    }
    return inMilliseconds;
}

} // namespace hawthornpick::base
