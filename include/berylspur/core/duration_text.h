// Durations in text form: a number and a unit, such as "1500ms" or "2.5s".
#pragma once

#include "berylspur/core/clock.h"

#include <optional>
#include <string_view>

namespace berylspur {

/// Parses a non-negative number followed by "ms" or "s". Returns nullopt for any other text.
std::optional<Duration> parseDuration(std::string_view text);

} // namespace berylspur
