// Address parsing and formatting.
#include "berylspur/core/address.h"

#include <arpa/inet.h>
#include <charconv>

namespace berylspur {

std::string Address::toString() const
{
    return ip + ":" + std::to_string(port);
}

sockaddr_in Address::toSockaddr() const
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    return address;
}

bool Address::isLoopback() const
{
    return ip.starts_with("127.");
}

Result<Address> Address::parse(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return failure(ErrorCode::AddressUnusable, std::string(text) + " is not IP:port");
    Address address;
    address.ip = std::string(text.substr(0, colon));
    in_addr parsed {};
    const auto digits = text.substr(colon + 1);
    const auto [end, error] =
            std::from_chars(digits.data(), digits.data() + digits.size(), address.port);
    if (inet_pton(AF_INET, address.ip.c_str(), &parsed) != 1 || error != std::errc()
        || end != digits.data() + digits.size())
        return failure(ErrorCode::AddressUnusable, std::string(text) + " is not IP:port");
    return address;
}

Address Address::fromSockaddr(const sockaddr_in &address)
{
    char text[INET_ADDRSTRLEN] = {};
    inet_ntop(AF_INET, &address.sin_addr, text, sizeof text);
    return {text, ntohs(address.sin_port)};
}

} // namespace berylspur
