// Name tables for enumerations.
#pragma once

#include <algorithm>
#include <array>
#include <optional>
#include <string_view>
#include <utility>

namespace berylspur {

/// Table of (value, name) pairs. Invariant: values and names are unique.
template <typename Enum, std::size_t N>
using EnumTable = std::array<std::pair<Enum, std::string_view>, N>;

/// Returns the name of \a value in \a table, or an empty view.
template <typename Enum, std::size_t N>
constexpr std::string_view enumName(const EnumTable<Enum, N> &table, Enum value)
{
    for (const auto &[entry, name] : table) {
        if (entry == value)
            return name;
    }
    return {};
}

/// Returns the value with the name \a name in \a table, or nullopt.
template <typename Enum, std::size_t N>
constexpr std::optional<Enum> enumValue(const EnumTable<Enum, N> &table, std::string_view name)
{
    for (const auto &[value, entry] : table) {
        if (entry == name)
            return value;
    }
    return std::nullopt;
}

} // namespace berylspur
