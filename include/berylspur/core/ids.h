// Request ids, incarnations and the hash functions for key placement.
#pragma once

#include <array>
#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <random>
#include <string>
#include <string_view>

namespace berylspur {

using Random = std::mt19937_64;

/// Random 128-bit id of a request, unique across the fleet.
struct RequestId
{
    std::array<std::uint8_t, 16> bytes {};

    auto operator<=>(const RequestId &) const = default;

    /// Generates an id from \a random.
    static RequestId generate(Random &random);
    /// Returns the id in \a raw, or nullopt unless \a raw has exactly 16 bytes.
    static std::optional<RequestId> fromBytes(std::string_view raw);
    /// Parses 32 hexadecimal digits. Returns nullopt for any other text.
    static std::optional<RequestId> fromHex(std::string_view hex);

    std::string toBytes() const;
    std::string toHex() const;
};

/// Identifies one start of a node. Composed of the start time and random bits, so that it differs
/// from all earlier ones.
using Incarnation = std::uint64_t;

/// Creates an incarnation from the wall clock and the system's entropy source.
Incarnation newIncarnation();

/// Creates a random number generator seeded from the system's entropy source.
Random seededRandom();

/// 64-bit hash of \a text (XXH3), identical on every node.
std::uint64_t hash64(std::string_view text, std::uint64_t seed = 0);

/// Rendezvous hashing weight of \a node for \a key. The node with the highest weight holds the key.
std::uint64_t rendezvousWeight(std::string_view key, std::string_view node);

} // namespace berylspur

template <>
struct std::hash<berylspur::RequestId>
{
    std::size_t operator()(const berylspur::RequestId &id) const noexcept;
};
