// Framing inside a stream: a 4-byte big-endian length, an envelope of that length, then the
// payload.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace berylspur {

/// Larger envelopes are rejected. Configuration deltas are the largest in use.
inline constexpr std::size_t MaxEnvelopeBytes = 16u << 20;

/// Returns \a envelope with its length prefix.
std::string frameEnvelope(std::string_view envelope);

/// Splits the bytes of a stream into the envelope and the payload.
class EnvelopeReader
{
public:
    enum class State { Incomplete, Complete, Malformed };

    /// Consumes envelope bytes and returns the part of \a bytes that belongs to the payload.
    std::string_view feed(std::string_view bytes);
    State state() const { return m_state; }
    const std::string &envelope() const { return m_envelope; }
    std::string takeEnvelope() { return std::move(m_envelope); }

private:
    State m_state = State::Incomplete;
    std::string m_prefix; // up to 4 bytes
    std::size_t m_length = 0; // valid once m_prefix has 4 bytes
    std::string m_envelope;
};

} // namespace berylspur
