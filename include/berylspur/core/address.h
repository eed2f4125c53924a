// IPv4 socket address.
#pragma once

#include "berylspur/core/result.h"

#include <cstdint>
#include <netinet/in.h>
#include <string>
#include <string_view>

namespace berylspur {

/// IPv4 address and port, as used in settings and member records.
struct Address
{
    std::string ip;
    std::uint16_t port = 0;

    auto operator<=>(const Address &) const = default;

    std::string toString() const;
    sockaddr_in toSockaddr() const;
    bool isLoopback() const;

    /// Parses "IP:port" and fails with AddressUnusable on anything else. Host names are not
    /// resolved.
    static Result<Address> parse(std::string_view text);
    static Address fromSockaddr(const sockaddr_in &address);
};

} // namespace berylspur
