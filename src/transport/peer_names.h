// Values of ":path" for the peer methods.
#pragma once

#include "berylspur/core/enum_table.h"
#include "berylspur/transport/peer.h"

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

} // namespace berylspur
