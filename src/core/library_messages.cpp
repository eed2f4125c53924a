// Handlers for the messages of libraries.
#include "berylspur/core/library_messages.h"

#include "berylspur/core/log.h"

#include <event2/event.h>
#include <google/protobuf/stubs/logging.h>
#include <log4cxx/helpers/loglog.h>
#include <string>

namespace berylspur::log {

namespace {

void onProtobufMessage(google::protobuf::LogLevel, const char *, int, const std::string &message)
{
    info("library-message", {{"library", "protobuf"}, {"text", message}});
}

void onLibeventMessage(int severity, const char *message)
{
    if (severity != EVENT_LOG_DEBUG)
        info("library-message", {{"library", "libevent"}, {"text", message}});
}

} // namespace

void captureLibraryMessages()
{
    google::protobuf::SetLogHandler(onProtobufMessage);
    event_set_log_callback(onLibeventMessage);
    log4cxx::helpers::LogLog::setQuietMode(true);
}

} // namespace berylspur::log
