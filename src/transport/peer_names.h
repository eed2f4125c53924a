// Values of ":path" for the peer methods.
#pragma once

#include "berylspur/core/enum_table.h"
#include "berylspur/transport/peer.h"

#include <cstddef>
#include <string_view>

namespace berylspur {

inline constexpr EnumTable<PeerMethod, 10> PeerMethodPaths {{
        {PeerMethod::Hello, "/hello"},
        {PeerMethod::Dispatch, "/dispatch"},
        {PeerMethod::Offer, "/offer"},
        {PeerMethod::Ask, "/ask"},
        {PeerMethod::Claim, "/claim"},
        {PeerMethod::Quota, "/quota"},
        {PeerMethod::Sync, "/sync"},
        {PeerMethod::Config, "/config"},
        {PeerMethod::KeyHandover, "/key-handover"},
        {PeerMethod::CustomerQuota, "/customer-quota"},
}};

/// Request header with the size of a large payload, so that the server can reserve memory for it.
inline constexpr std::string_view PayloadSizeHeader = "payload-bytes";
/// Request header with the number of a payload that both ends hold in the same process, in place of
/// its bytes.
inline constexpr std::string_view LocalPayloadHeader = "local-payload";
/// Payloads from this size on are announced by one of these headers.
inline constexpr std::size_t MinAnnouncedPayloadBytes = 64u << 10;

} // namespace berylspur
