// Numbers in JSON text of others.
#pragma once

#include <cstdint>
#include <limits>
#include <nlohmann/json.hpp>
#include <optional>

namespace berylspur {

/// \a value, if it is an unsigned integer of at most \a max; otherwise nothing. json::get() would
/// convert negative numbers, fractions and numbers that do not fit.
inline std::optional<std::uint64_t>
unsignedNumber(const nlohmann::json &value,
               std::uint64_t max = std::numeric_limits<std::uint64_t>::max())
{
    if (!value.is_number_unsigned() || value.get<std::uint64_t>() > max)
        return std::nullopt;
    return value.get<std::uint64_t>();
}

} // namespace berylspur
