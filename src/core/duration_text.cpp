// Duration parser.
#include "berylspur/core/duration_text.h"

#include <charconv>
#include <cmath>

namespace berylspur {

std::optional<Duration> parseDuration(std::string_view text)
{
    constexpr double LargestSeconds = 1e9;
    constexpr double UsPerSecond = 1e6;
    double number = 0;
    const auto *last = text.data() + text.size();
    const auto [end, error] = std::from_chars(text.data(), last, number);
    const std::string_view unit(end, static_cast<std::size_t>(last - end));
    if (error != std::errc() || (unit != "ms" && unit != "s"))
        return std::nullopt;
    const double seconds = unit == "ms" ? number / 1000 : number;
    if (!std::isfinite(seconds) || seconds < 0 || seconds > LargestSeconds)
        return std::nullopt;
    return Duration(std::llround(seconds * UsPerSecond));
}

} // namespace berylspur
