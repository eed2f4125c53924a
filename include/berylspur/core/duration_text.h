// Durations as text: a number and its unit, "1500ms" or "2.5s".
#pragma once

#include "berylspur/core/clock.h"

#include <optional>
#include <string_view>

namespace berylspur {

/// The duration in \a text, or nothing unless it is a number from 0 on followed by "ms" or "s".
std::optional<Duration> parseDuration(std::string_view text);

} // namespace berylspur
