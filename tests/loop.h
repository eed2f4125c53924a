// Event loop and unused loopback addresses for tests.
#pragma once

#include "berylspur/core/address.h"
#include "berylspur/core/clock.h"

#include <event2/event.h>
#include <functional>
#include <sys/socket.h>
#include <unistd.h>

namespace berylspur {

/// Owns an event loop.
struct Loop
{
    event_base *base = event_base_new();
    ~Loop() { event_base_free(base); }

    /// Runs the loop until \a done holds or 20 s have passed; returns whether it holds.
    bool runUntil(const std::function<bool()> &done) const
    {
        const auto limit = BootClock::now() + std::chrono::seconds(20);
        while (!done() && BootClock::now() < limit) {
            const timeval slice {0, 2000};
            event_base_loopexit(base, &slice);
            event_base_dispatch(base);
        }
        return done();
    }
};

/// A loopback address whose TCP port was unused at the time of the call.
inline Address freeAddress()
{
    const int probe = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address = Address {"127.0.0.1", 0}.toSockaddr();
    bind(probe, reinterpret_cast<sockaddr *>(&address), sizeof address);
    socklen_t length = sizeof address;
    getsockname(probe, reinterpret_cast<sockaddr *>(&address), &length);
    close(probe);
    return Address::fromSockaddr(address);
}

} // namespace berylspur
