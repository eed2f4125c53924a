// Length-prefixed framing of envelopes.
#include "envelope.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cstdint>
#include <cstring>

namespace berylspur {

namespace {

constexpr std::size_t PrefixBytes = 4;

} // namespace

std::string frameEnvelope(std::string_view envelope)
{
    const std::uint32_t length = htonl(static_cast<std::uint32_t>(envelope.size()));
    std::string framed(PrefixBytes + envelope.size(), '\0');
    std::memcpy(framed.data(), &length, PrefixBytes);
    std::memcpy(framed.data() + PrefixBytes, envelope.data(), envelope.size());
    return framed;
}

std::string_view EnvelopeReader::feed(std::string_view bytes)
{
    if (m_state == State::Complete)
        return bytes;
    if (m_prefix.size() < PrefixBytes) {
        const auto part = std::min(PrefixBytes - m_prefix.size(), bytes.size());
        m_prefix.append(bytes.substr(0, part));
        bytes.remove_prefix(part);
        if (m_prefix.size() < PrefixBytes)
            return {};
        std::uint32_t length = 0;
        std::memcpy(&length, m_prefix.data(), PrefixBytes);
        m_length = ntohl(length);
        if (m_length > MaxEnvelopeBytes)
            m_state = State::Malformed;
    }
    if (m_state == State::Malformed)
        return {};
    const auto part = std::min(m_length - m_envelope.size(), bytes.size());
    m_envelope.append(bytes.substr(0, part));
    bytes.remove_prefix(part);
    if (m_envelope.size() == m_length)
        m_state = State::Complete;
    return bytes;
}

} // namespace berylspur
