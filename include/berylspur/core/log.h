// Structured logging through log4cxx: one line per event, "event key=value key=value". Lines go to
// standard output without ever waiting for its reader; see log_buffer.h for the bounds.
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

/// A key and its value. Texts with spaces or quotes are quoted.
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

/// Sends all log lines to standard output; \a node is part of each line. Called once at start.
void configure(std::string_view node, Level level);

/// Collects lines and writes them together from \a base, a moment later. Without a loop each line
/// is written at once.
void attach(event_base *base);

/// Ends the work on the loop of attach() and writes what is left, for at most a second.
void detach();

/// Lowest level that is written from now on.
void setLevel(Level level);

/// Level with the name \a name ("info"); Level::Info if there is none.
Level levelFromName(std::string_view name);

/// Writes one line if \a level is enabled. Routine lines of one \a name, and of decisions those of
/// one kind, are limited in rate; warnings and errors are not.
void event(Level level, std::string_view name, std::initializer_list<Field> fields = {});

/// Writes a line that names the cause of a failed request. It is not limited in rate.
void cause(std::string_view name, std::initializer_list<Field> fields);

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
