// Request ids, incarnations and placement hashes.
#include "berylspur/core/ids.h"

#include "berylspur/core/clock.h"

#include <boost/algorithm/hex.hpp>
#include <cstring>
#include <xxhash.h>

namespace berylspur {

RequestId RequestId::generate(Random &random)
{
    RequestId id;
    const std::uint64_t halves[2] = {random(), random()};
    std::memcpy(id.bytes.data(), halves, id.bytes.size());
    return id;
}

std::optional<RequestId> RequestId::fromBytes(std::string_view raw)
{
    RequestId id;
    if (raw.size() != id.bytes.size())
        return std::nullopt;
    std::memcpy(id.bytes.data(), raw.data(), raw.size());
    return id;
}

std::optional<RequestId> RequestId::fromHex(std::string_view hex)
{
    RequestId id;
    if (hex.size() != 2 * id.bytes.size())
        return std::nullopt;
    try {
        boost::algorithm::unhex(hex.begin(), hex.end(), id.bytes.begin());
    } catch (const boost::algorithm::hex_decode_error &) {
        return std::nullopt;
    }
    return id;
}

std::string RequestId::toBytes() const
{
    return {reinterpret_cast<const char *>(bytes.data()), bytes.size()};
}

std::string RequestId::toHex() const
{
    std::string hex;
    hex.reserve(2 * bytes.size());
    boost::algorithm::hex_lower(bytes.begin(), bytes.end(), std::back_inserter(hex));
    return hex;
}

Incarnation newIncarnation()
{
    // The upper 42 bits are milliseconds, so that incarnations of a node are ordered by start time.
    // The random bits below distinguish two starts within the same millisecond.
    constexpr int RandomBits = 22;
    const auto time = static_cast<std::uint64_t>(wallClockMs());
    return (time << RandomBits) | (seededRandom()() >> (64 - RandomBits));
}

Random seededRandom()
{
    std::random_device device;
    std::seed_seq seed {device(), device(), device(), device()};
    return Random(seed);
}

std::uint64_t hash64(std::string_view text, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

std::uint64_t rendezvousWeight(std::string_view key, std::string_view node)
{
    return hash64(node, hash64(key));
}

} // namespace berylspur

std::size_t
std::hash<berylspur::RequestId>::operator()(const berylspur::RequestId &id) const noexcept
{
    std::uint64_t half = 0;
    std::memcpy(&half, id.bytes.data(), sizeof half);
    return half;
}
