// Structured logging through log4cxx: one line per event, "event key=value key=value". Writing to
// standard output never blocks; log_buffer.h holds the bounds on memory and rate.
#pragma once

#include "berylspur/core/log_buffer.h"

#include <event2/event.h>
#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>
#include <variant>

namespace berylspur::log {

enum class Level { Trace, Debug, Info, Warn, Error };

/// A key and its value. Text values with spaces, quotes, '=' or bytes that are not printable ASCII
/// are quoted, and these bytes escaped as by printableText().
struct Field
{
    std::string_view key;
    std::variant<std::string_view, std::int64_t, double> value;

    Field(std::string_view k, std::string_view v) : key(k), value(v) { }
    Field(std::string_view k, const std::string &v) : key(k), value(std::string_view(v)) { }
    Field(std::string_view k, const char *v) : key(k), value(std::string_view(v)) { }
    Field(std::string_view k, double v) : key(k), value(v) { }
    template <typename Integer>
    requires std::is_integral_v<Integer> Field(std::string_view k, Integer v)
        : key(k), value(static_cast<std::int64_t>(v))
    {
    }
};

/// Sends all log lines to standard output, each with the name \a node. Call once at startup.
void configure(std::string_view node, Level level);

/// Batches lines and writes them from the event loop \a base after a short delay. Without an
/// attached loop, each line is written immediately.
void attach(event_base *base);

/// Detaches from the event loop and writes the buffered lines, for at most one second.
void detach();

/// Sets the lowest level that is logged.
void setLevel(Level level);

/// Returns the level named \a name, for example "info", or Level::Info if the name is unknown.
Level levelFromName(std::string_view name);

/// Logs one line if \a level is enabled. Lines below Level::Warn are rate-limited per \a name, and
/// decisions per decision kind. Warnings and errors are not rate-limited.
void event(Level level, std::string_view name, std::initializer_list<Field> fields = {});

/// Logs the cause of a failed request at Level::Info, without rate limit.
void infoUnlimited(std::string_view name, std::initializer_list<Field> fields);

inline void debug(std::string_view name, std::initializer_list<Field> fields = {})
{
    event(Level::Debug, name, fields);
}
inline void info(std::string_view name, std::initializer_list<Field> fields = {})
{
    event(Level::Info, name, fields);
}
inline void warn(std::string_view name, std::initializer_list<Field> fields = {})
{
    event(Level::Warn, name, fields);
}
inline void error(std::string_view name, std::initializer_list<Field> fields = {})
{
    event(Level::Error, name, fields);
}

} // namespace berylspur::log
