// Messages that libraries would write to standard error by themselves.
#pragma once

namespace berylspur::log {

/// Sends the messages of protobuf and libevent to the log, as rate-limited lines "library-message",
/// and turns those of log4cxx off. By default they are blocking writes to standard error, so a node
/// whose standard error nobody reads would hang. Call once at startup, after configure().
void captureLibraryMessages();

} // namespace berylspur::log
